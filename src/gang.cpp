#include "gang_p.hpp"

#include <algorithm>
#include <limits>

namespace carobcourse
{

namespace
{

/// Minimum of each resource, at least zero.
resources non_negative_min(const resources& a, const resources& b)
{
    const auto component_min = [](std::int64_t x, std::int64_t y)
    { return std::max(std::min(x, y), std::int64_t{0}); };
    return {component_min(a.cpu_millis, b.cpu_millis),
            component_min(a.memory_mb, b.memory_mb),
            component_min(a.accelerators, b.accelerators)};
}

} // namespace

std::int64_t fitting_task_count(const resources& free, const resources& amount)
{
    if (free.has_negative())
        return 0;
    auto count = std::int64_t{std::numeric_limits<std::int32_t>::max()};
    const auto limit_by = [&count](std::int64_t available, std::int64_t needed)
    {
        if (needed > 0)
            count = std::min(count, available / needed);
    };
    limit_by(free.cpu_millis, amount.cpu_millis);
    limit_by(free.memory_mb, amount.memory_mb);
    limit_by(free.accelerators, amount.accelerators);
    return count;
}

std::optional<gang_reservation>
gang_reservation::plan(const placement_index& index, const resources& amount,
                       std::uint32_t tasks, std::vector<expected_end> ends,
                       time_point now, const std::set<worker_handle>& excluded)
{
    std::map<worker_handle, resources> free;
    std::int64_t total_slots = 0;
    index.for_each(
        [&](worker_handle worker)
        {
            if (excluded.count(worker) != 0)
                return;
            free[worker] = index.free(worker);
            total_slots += fitting_task_count(index.free(worker), amount);
        });
    // The loop usually needs only a few of the ends, so a heap is cheaper than
    // a sort.
    const auto ends_later = [](const auto& a, const auto& b)
    { return std::tie(a.time, a.worker) > std::tie(b.time, b.worker); };
    std::make_heap(ends.begin(), ends.end(), ends_later);
    gang_reservation result;
    result.start_time_ = now;
    while (total_slots < tasks && !ends.empty())
    {
        std::pop_heap(ends.begin(), ends.end(), ends_later);
        const auto end = ends.back();
        ends.pop_back();
        const auto found = free.find(end.worker);
        if (found == free.end())
            continue;
        total_slots -= fitting_task_count(found->second, amount);
        found->second += end.amount;
        total_slots += fitting_task_count(found->second, amount);
        result.start_time_ = std::max(result.start_time_, end.time);
    }
    if (total_slots < tasks)
        return std::nullopt;
    // Workers that hold the most tasks come first, so that the gang reserves
    // as few workers as possible.
    std::vector<std::pair<std::int64_t, worker_handle>> by_slots;
    for (const auto& [worker, available] : free)
    {
        if (const auto worker_slots = fitting_task_count(available, amount);
            worker_slots > 0)
            by_slots.emplace_back(-worker_slots, worker);
    }
    std::sort(by_slots.begin(), by_slots.end());
    auto unplaced = static_cast<std::int64_t>(tasks);
    for (const auto& [worker_slots, worker] : by_slots)
    {
        const auto count = std::min(unplaced, -worker_slots);
        if (count == 0)
            break;
        unplaced -= count;
        result.workers_[worker].unreserved = free[worker] - amount * count;
    }
    return result;
}

void gang_reservation::mask(placement_index& index)
{
    for (const auto& item : workers_)
        mask_worker(index, item.first);
}

void gang_reservation::unmask(placement_index& index)
{
    for (const auto& [worker, reserved] : workers_)
    {
        if (index.contains(worker))
            index.restore_free(worker, reserved.true_free);
    }
}

void gang_reservation::unmask_worker(placement_index& index,
                                     worker_handle worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && index.contains(worker))
        index.restore_free(worker, found->second.true_free);
}

void gang_reservation::mask_worker(placement_index& index, worker_handle worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !index.contains(worker))
        return;
    auto& reserved = found->second;
    reserved.true_free = index.free(worker);
    index.restore_free(
        worker, non_negative_min(reserved.true_free, reserved.unreserved));
}

worker_handle
gang_reservation::find_backfill_worker(const resources& amount) const
{
    for (const auto& [worker, reserved] : workers_)
    {
        if (amount.fits_in(reserved.true_free))
            return worker;
    }
    return no_worker;
}

} // namespace carobcourse
