#include "cell_takeover_p.hpp"

#include <algorithm>

#include "cell_limits_p.hpp"
#include "cell_placement_p.hpp"

namespace carobcourse
{

time_point takeover_lease_end(time_point claimed_at, bool all_hosts_follow,
                              duration longest_unknown_lease)
{
    const auto known_end =
        claimed_at + config::cell_max_worker_lease_with_drift;
    return all_hosts_follow ? known_end : known_end + longest_unknown_lease;
}

bool may_run_on_silent(const std::vector<const cell_worker*>& silent,
                       const std::string& service, const step_spec& step)
{
    const std::uint64_t needed = step.gang ? step.count : 1;
    std::uint64_t fitting = 0;
    for (const auto* worker : silent)
    {
        if (!worker)
            return true;
        if (meets_requirements(*worker, service, step))
            fitting += tasks_that_fit(worker->report().capacity, step, 0);
    }
    return fitting >= needed;
}

} // namespace carobcourse
