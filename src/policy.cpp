#include "policy_p.hpp"

#include <algorithm>
#include <utility>

#include "gang_p.hpp"

namespace carobcourse
{

namespace
{

/// Best fit: packs workers tightly, so that large free blocks remain for large
/// tasks.
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

/// Spreads the tasks of a service over racks, so that the failure of a rack
/// ends few of them. Among the least used racks it takes the least loaded
/// worker.
class service_policy final : public placement_policy
{
public:
    std::vector<placement>
    choose(placement_index& index,
           const placement_request& request) const override
    {
        const auto worker =
            index.spread_fit(request.amount, request.tasks_per_rack);
        if (worker == no_worker)
            return {};
        const bool is_new_rack =
            request.tasks_per_rack.count(index.rack(worker)) == 0;
        return {{worker, is_new_rack ? "spread: least loaded worker of a rack "
                                       "without a task of this job"
                                     : "spread: rack with the fewest tasks of "
                                       "this job"}};
    }
};

/// All or nothing: places every task of the gang or none.
class gang_policy final : public placement_policy
{
public:
    std::vector<placement>
    choose(placement_index& index,
           const placement_request& request) const override
    {
        std::vector<placement> chosen;
        // The free capacity of all workers together is an upper bound on the
        // number of tasks. It rejects a gang that is far too large without a
        // search.
        if (fitting_task_count(index.free_capacity(), request.amount) <
            request.task_count)
            return chosen;
        std::vector<std::pair<worker_handle, resources>> saved;
        while (chosen.size() < request.task_count)
        {
            const auto worker = index.best_fit(request.amount);
            if (worker == no_worker)
                break;
            const auto free = index.free(worker);
            const auto count = std::min<std::int64_t>(
                fitting_task_count(free, request.amount),
                static_cast<std::int64_t>(request.task_count - chosen.size()));
            saved.emplace_back(worker, free);
            index.set_free(worker, free - request.amount * count);
            chosen.insert(chosen.end(), static_cast<std::size_t>(count),
                          {worker, "gang: all tasks start together"});
        }
        for (const auto& [worker, free] : saved)
            index.restore_free(worker, free);
        if (chosen.size() < request.task_count)
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
