#include "policy_preemption_p.hpp"

#include <utility>

namespace carobcourse
{

namespace
{

/// Bounds the cost of one choice. With about 25 tasks per worker, this many
/// candidates cover every size that one worker can free.
constexpr std::size_t max_candidates = 1024;

} // namespace

preemption_candidates::order_key
preemption_candidates::order_key_of(const task_id& task,
                                    const preemptible_task& candidate)
{
    return {candidate.loses_work, -candidate.started.time_since_epoch(), task};
}

void preemption_candidates::add(const task_id& task, const std::string& worker,
                                const resources& amount, bool checkpoints,
                                time_point started)
{
    const preemptible_task candidate{worker, amount, !checkpoints, started};
    if (tasks_.emplace(task, candidate).second)
        order_.insert(order_key_of(task, candidate));
}

void preemption_candidates::remove(const task_id& task)
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end())
        return;
    order_.erase(order_key_of(task, found->second));
    tasks_.erase(found);
}

void preemption_candidates::clear()
{
    tasks_.clear();
    order_.clear();
}

std::vector<task_id>
preemption_candidates::choose_victims(const placement_index& index,
                                      const resources& amount) const
{
    struct freed_capacity
    {
        resources free;
        std::vector<task_id> tasks;
    };
    std::map<worker_handle, freed_capacity> freed_by_worker;
    std::size_t examined = 0;
    for (const auto& key : order_)
    {
        if (++examined > max_candidates)
            break;
        const auto& task = std::get<2>(key);
        const auto& candidate = tasks_.at(task);
        const auto worker = index.find(candidate.worker);
        if (worker == no_worker || !amount.fits_in(index.total(worker)))
            continue;
        auto [found, added] = freed_by_worker.try_emplace(worker);
        auto& freed = found->second;
        if (added)
            freed.free = index.free(worker);
        freed.free += candidate.amount;
        freed.tasks.push_back(task);
        if (amount.fits_in(freed.free))
            return std::move(freed.tasks);
    }
    return {};
}

} // namespace carobcourse
