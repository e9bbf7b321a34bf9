/// Value types shared by all modules.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace carobcourse
{

/// Clock of the decision core. Time is only ever passed in; the shell maps
/// its monotonic clock to it.
struct core_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
using time_point = core_clock::time_point;

/// Whole milliseconds from `now` to `deadline`, zero when it has passed.
inline std::int64_t remaining_ms(time_point now, time_point deadline)
{
    if (deadline <= now)
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now)
        .count();
}

/// An amount of each resource: processor in thousandths of a core, memory in
/// MiB, accelerators as whole devices.
struct resources
{
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    /// True when every part of this amount is at most that of `other`.
    bool fits_in(const resources& other) const
    {
        return cpu_millis <= other.cpu_millis && memory_mb <= other.memory_mb &&
               accelerators <= other.accelerators;
    }
    bool is_zero() const
    {
        return cpu_millis == 0 && memory_mb == 0 && accelerators == 0;
    }
    bool has_negative() const
    {
        return cpu_millis < 0 || memory_mb < 0 || accelerators < 0;
    }
    resources& operator+=(const resources& o)
    {
        cpu_millis += o.cpu_millis;
        memory_mb += o.memory_mb;
        accelerators += o.accelerators;
        return *this;
    }
    resources& operator-=(const resources& o)
    {
        cpu_millis -= o.cpu_millis;
        memory_mb -= o.memory_mb;
        accelerators -= o.accelerators;
        return *this;
    }
    friend resources operator+(resources a, const resources& b)
    {
        return a += b;
    }
    friend resources operator-(resources a, const resources& b)
    {
        return a -= b;
    }
    friend resources operator*(resources a, std::int64_t n)
    {
        return {a.cpu_millis * n, a.memory_mb * n, a.accelerators * n};
    }
    friend bool operator==(const resources& a, const resources& b)
    {
        return a.cpu_millis == b.cpu_millis && a.memory_mb == b.memory_mb &&
               a.accelerators == b.accelerators;
    }
    friend bool operator!=(const resources& a, const resources& b)
    {
        return !(a == b);
    }
};

/// Kind of work; each kind has its own placement policy.
enum class job_kind : std::uint8_t
{
    service,
    batch,
    gang
};

/// Class of urgency within a team.
enum class job_class : std::uint8_t
{
    normal,
    urgent
};

/// Names one task of a job.
struct task_id
{
    std::string job;
    std::uint32_t index = 0;

    friend bool operator==(const task_id& a, const task_id& b)
    {
        return a.index == b.index && a.job == b.job;
    }
    friend bool operator!=(const task_id& a, const task_id& b)
    {
        return !(a == b);
    }
    friend bool operator<(const task_id& a, const task_id& b)
    {
        return std::tie(a.job, a.index) < std::tie(b.job, b.index);
    }
};

/// One try to run a task. A higher attempt replaces a lower one.
struct attempt_id
{
    task_id task;
    std::uint32_t attempt = 0;

    friend bool operator==(const attempt_id& a, const attempt_id& b)
    {
        return a.attempt == b.attempt && a.task == b.task;
    }
    friend bool operator!=(const attempt_id& a, const attempt_id& b)
    {
        return !(a == b);
    }
    friend bool operator<(const attempt_id& a, const attempt_id& b)
    {
        return std::tie(a.task, a.attempt) < std::tie(b.task, b.attempt);
    }
};

} // namespace carobcourse
