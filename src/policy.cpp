#include "policy_p.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace carobcourse
{

namespace
{

/// Number of tasks of `amount` that `free` holds.
std::int64_t tasks_in(const resources& free, const resources& amount)
{
    auto most = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&most](std::int64_t have, std::int64_t want)
    {
        if (want > 0)
            most = std::min(most, have / want);
    };
    limit(free.cpu_millis, amount.cpu_millis);
    limit(free.memory_mb, amount.memory_mb);
    limit(free.accelerators, amount.accelerators);
    return most;
}

/// Packs tightly, which keeps large holes for large tasks.
class batch_policy final : public placement_policy
{
public:
    std::vector<placement>
    choose(placement_index& index,
           const placement_request& request) const override
    {
        const auto worker = index.best_fit(request.amount);
        if (worker == no_worker)
            return {};
        return {{worker, "best fit: least capacity left over"}};
    }
};

/// Spreads over racks, so that the failure of a rack ends few tasks of a
/// service, then takes the least loaded worker.
class service_policy final : public placement_policy
{
public:
    std::vector<placement>
    choose(placement_index& index,
           const placement_request& request) const override
    {
        const auto worker =
            index.spread_fit(request.amount, request.racks_used);
        if (worker == no_worker)
            return {};
        const bool fresh = request.racks_used.count(index.rack(worker)) == 0;
        return {{worker, fresh ? "spread: least loaded worker of a rack "
                                 "without a task of this job"
                               : "spread: rack with the fewest tasks of "
                                 "this job"}};
    }
};

/// Places all tasks or none.
class gang_policy final : public placement_policy
{
public:
    std::vector<placement>
    choose(placement_index& index,
           const placement_request& request) const override
    {
        std::vector<placement> chosen;
        // A sum over all workers bounds the number of tasks from above and
        // refuses a gang that is far too large without a search.
        if (tasks_in(index.free_capacity(), request.amount) < request.tasks)
            return chosen;
        std::vector<std::pair<worker_handle, resources>> before;
        while (chosen.size() < request.tasks)
        {
            const auto worker = index.best_fit(request.amount);
            if (worker == no_worker)
                break;
            const auto free = index.free(worker);
            const auto count = std::min<std::int64_t>(
                tasks_in(free, request.amount),
                static_cast<std::int64_t>(request.tasks - chosen.size()));
            before.emplace_back(worker, free);
            index.set_free(worker, free - request.amount * count);
            chosen.insert(chosen.end(), static_cast<std::size_t>(count),
                          {worker, "gang: all tasks start together"});
        }
        for (const auto& [worker, free] : before)
            index.restore_free(worker, free);
        if (chosen.size() < request.tasks)
            chosen.clear();
        return chosen;
    }
};

} // namespace

const placement_policy& policy_for(job_kind kind)
{
    static const batch_policy batch;
    static const service_policy service;
    static const gang_policy gang;
    switch (kind)
    {
    case job_kind::service:
        return service;
    case job_kind::gang:
        return gang;
    case job_kind::batch:
        break;
    }
    return batch;
}

} // namespace carobcourse
