#include "cell_reservations_p.hpp"

#include <algorithm>

namespace carobcourse
{

void gang_reservations::reserve(std::uint64_t step_key,
                                const std::set<worker_number>& workers,
                                time_point expires_at, time_point expected_at,
                                bool freed)
{
    release(step_key);
    for (const auto worker : workers)
    {
        if (worker >= steps_by_worker_.size())
            steps_by_worker_.resize(worker + 1);
        auto& steps = steps_by_worker_[worker];
        worker_count_ += steps.empty() ? 1 : 0;
        steps.push_back(step_key);
    }
    by_step_[step_key] = {workers, expires_at, expected_at, freed};
}

void gang_reservations::release(std::uint64_t step_key)
{
    const auto found = by_step_.find(step_key);
    if (found == by_step_.end())
        return;
    for (const auto worker : found->second.workers)
    {
        auto& steps = steps_by_worker_[worker];
        steps.erase(std::remove(steps.begin(), steps.end(), step_key),
                    steps.end());
        worker_count_ -= steps.empty() ? 1 : 0;
    }
    by_step_.erase(found);
}

void gang_reservations::release_unneeded(
    time_point now, const std::set<std::uint64_t>& waiting_steps)
{
    std::vector<std::uint64_t> unneeded;
    for (const auto& [step_key, each] : by_step_)
        if (now >= each.expires_at || waiting_steps.count(step_key) == 0)
            unneeded.push_back(step_key);
    for (const auto step_key : unneeded)
        release(step_key);
}

std::set<worker_number>
gang_reservations::workers_of(std::uint64_t step_key) const
{
    const auto found = by_step_.find(step_key);
    return found == by_step_.end() ? std::set<worker_number>()
                                   : found->second.workers;
}

time_point gang_reservations::expected_at(std::uint64_t step_key) const
{
    const auto found = by_step_.find(step_key);
    return found == by_step_.end() ? time_point() : found->second.expected_at;
}

bool gang_reservations::is_reserved_for_other(worker_number worker,
                                              std::uint64_t step_key) const
{
    if (worker >= steps_by_worker_.size())
        return false;
    const auto& steps = steps_by_worker_[worker];
    return std::any_of(steps.begin(), steps.end(),
                       [step_key](std::uint64_t each)
                       { return each != step_key; });
}

bool gang_reservations::is_freed_for_other(worker_number worker,
                                           std::uint64_t step_key) const
{
    if (worker >= steps_by_worker_.size())
        return false;
    const auto& steps = steps_by_worker_[worker];
    return std::any_of(steps.begin(), steps.end(),
                       [this, step_key](std::uint64_t each)
                       { return each != step_key && by_step_.at(each).freed; });
}

} // namespace carobcourse
