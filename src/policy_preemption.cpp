#include "policy_preemption_p.hpp"

#include <utility>

namespace carobcourse
{

namespace
{

/// Bounds the cost of one choice; at about 25 tasks a worker these span every
/// size that one worker can free.
constexpr std::size_t max_candidates = 1024;

} // namespace

preemption_book::position preemption_book::position_of(const task_id& task,
                                                       const record& of)
{
    return {of.loses, -of.started.time_since_epoch(), task};
}

void preemption_book::add(const task_id& task, const std::string& worker,
                          const resources& amount, bool checkpoints,
                          time_point started)
{
    const record of{worker, amount, !checkpoints, started};
    if (tasks_.emplace(task, of).second)
        order_.insert(position_of(task, of));
}

void preemption_book::remove(const task_id& task)
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end())
        return;
    order_.erase(position_of(task, found->second));
    tasks_.erase(found);
}

void preemption_book::clear()
{
    tasks_.clear();
    order_.clear();
}

std::vector<task_id> preemption_book::choose(const placement_index& index,
                                             const resources& amount) const
{
    struct gain
    {
        resources free;
        std::vector<task_id> tasks;
    };
    std::map<worker_handle, gain> gains;
    std::size_t seen = 0;
    for (const auto& place : order_)
    {
        if (++seen > max_candidates)
            break;
        const auto& task = std::get<2>(place);
        const auto& of = tasks_.at(task);
        const auto worker = index.find(of.worker);
        if (worker == no_worker || !amount.fits_in(index.total(worker)))
            continue;
        auto [found, added] = gains.try_emplace(worker);
        auto& sum = found->second;
        if (added)
            sum.free = index.free(worker);
        sum.free += of.amount;
        sum.tasks.push_back(task);
        if (amount.fits_in(sum.free))
            return std::move(sum.tasks);
    }
    return {};
}

} // namespace carobcourse
