// The clocks of the process on a machine that is suspended. This program
// replaces clock_gettime, so that it can add the time of a suspension.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

#include "shell_clock_p.hpp"

using namespace carobcourse;
using namespace std::chrono_literals;

namespace
{

std::atomic<time_t> suspended_s{0};

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* value) noexcept
{
    const auto result =
        static_cast<int>(syscall(SYS_clock_gettime, clock, value));
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)
        value->tv_sec += suspended_s;
    return result;
}

TEST_CASE("The clock of the core counts the time for which the machine was "
          "suspended")
{
    // Guards against a host that takes its copy of the configuration, with
    // keys that were withdrawn meanwhile, for confirmed after a suspension.
    const boot_clock_adapter clock;
    const auto steady_before = std::chrono::steady_clock::now();
    const auto before = clock.now();
    suspended_s += 60;
    CHECK(clock.now() - before >= 60s);
    CHECK(clock.now() - before < 70s);
    // The replaced function is the one that the library calls.
    CHECK(std::chrono::steady_clock::now() - steady_before < 10s);
}

TEST_CASE("A deadline of the core passes during a suspension")
{
    // Guards against a request that is sent after a suspension although the
    // core allowed it for some seconds only.
    const boot_clock_adapter clock;
    const auto deadline = to_boot_time(clock.now() + 2s);
    CHECK(boot_clock::now() < deadline);
    suspended_s += 60;
    CHECK(boot_clock::now() > deadline);
}
