/// Clock of the process.
#pragma once

#include <carobcourse/ports.hpp>
#include <chrono>

namespace carobcourse
{

/// Monotonic clock that goes on while the machine is suspended, which
/// std::chrono::steady_clock does not on Linux. Meets the requirements of a
/// standard clock. Thread safe.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// The same clock for the core.
class boot_clock_adapter final : public clock
{
public:
    carobcourse::time_point now() const override;
};

/// Converts a deadline of the core to the clock of the shell.
boot_clock::time_point to_boot_time(time_point deadline);

} // namespace carobcourse
