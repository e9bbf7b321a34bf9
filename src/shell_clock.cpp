#include "shell_clock_p.hpp"

#include <ctime>

namespace carobcourse
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

time_point boot_clock_adapter::now() const
{
    return time_point(std::chrono::duration_cast<carobcourse::duration>(
        boot_clock::now().time_since_epoch()));
}

boot_clock::time_point to_boot_time(time_point deadline)
{
    return boot_clock::time_point(
        std::chrono::duration_cast<boot_clock::duration>(
            deadline.time_since_epoch()));
}

} // namespace carobcourse
