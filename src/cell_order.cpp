#include "cell_order_p.hpp"

#include <algorithm>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// Priority bands of the order, first to last.
enum band : int
{
    band_urgent,
    band_normal,
    band_late,
    band_excess,
    band_expired
};

/// Each lower priority is ordered as if its latest start were this much later.
constexpr auto delay_per_priority = std::chrono::milliseconds(500);

} // namespace

order_key make_order_key(const order_input& job, time_point now)
{
    order_key key;
    key.tie_breaker = job.tie_breaker;
    key.latest_start = job.objective -
                       std::chrono::milliseconds(job.remaining_ms) +
                       delay_per_priority * job.priority;
    if (now > job.hard_deadline)
        key.band = band_expired;
    else if (job.excess)
        key.band = band_excess;
    else if (now > job.objective)
        key.band = band_late;
    else if (job.priority == 0)
        key.band = band_urgent;
    else
        key.band = band_normal;
    return key;
}

bool customer_rate_limiter::try_take(time_point now,
                                     const std::string& customer,
                                     double per_second)
{
    // A burst of one second, and at least one job.
    const auto capacity = std::max(1.0, per_second);
    auto [at, is_new] = buckets_.try_emplace(customer, bucket{capacity, now});
    auto& bucket = at->second;
    const std::chrono::duration<double> passed = now - bucket.filled_at;
    bucket.tokens =
        std::min(capacity, bucket.tokens + passed.count() * per_second);
    bucket.filled_at = now;
    if (bucket.tokens < 1.0)
        return false;
    bucket.tokens -= 1.0;
    return true;
}

double expected_wait_ms(const std::vector<customer_backlog>& backlogs,
                        const std::string& customer, double cores)
{
    if (cores <= 0)
        return 0;
    double wait = 0;
    for (const auto& each : backlogs)
        wait += each.core_ms / cores;
    // Within the wait, a customer gets no more work done than its limit allows;
    // the rest of its backlog does not use the cell. Iterates towards the fixed
    // point.
    constexpr int iterations = 4;
    for (int i = 0; i < iterations; ++i)
    {
        double done = 0;
        for (const auto& each : backlogs)
            done += each.max_cores > 0
                        ? std::min(each.core_ms, each.max_cores * wait)
                        : each.core_ms;
        wait = done / cores;
    }
    for (const auto& each : backlogs)
    {
        if (each.customer == customer && each.max_cores > 0)
            wait = std::max(wait, each.core_ms / each.max_cores);
    }
    return wait;
}

admission admit_unread(bool excess, duration lag, std::uint64_t random)
{
    if (!excess || lag <= duration(config::cell_max_excess_lag))
        return {};
    const auto spread =
        static_cast<std::uint64_t>(config::cell_excess_retry_spread.count());
    return {result_code::team_queue_full,
            config::cell_retry_after.count() +
                static_cast<std::int64_t>(random % spread)};
}

admission admit(const admission_input& input)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto retry = milliseconds(config::cell_retry_after).count();
    if (input.store_failing)
        return {result_code::store_unavailable, retry};
    if (input.jobs >= config::cell_max_jobs || !input.has_memory ||
        input.lag > duration(config::cell_max_owner_lag))
        return {result_code::team_queue_full, retry};
    const auto wait = milliseconds(static_cast<std::int64_t>(input.wait_ms));
    const auto end = input.now + wait + milliseconds(input.critical_path_ms);
    const auto limit = input.excess ? input.objective : input.hard_deadline;
    if (end <= limit)
        return {};
    // After this time the backlog is short enough for the job to end in time.
    const auto overrun_ms = duration_cast<milliseconds>(end - limit).count();
    return {result_code::team_queue_full,
            std::max<std::int64_t>(overrun_ms, retry)};
}

} // namespace carobcourse
