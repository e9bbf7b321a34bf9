#include "gang_p.hpp"

#include <algorithm>
#include <limits>

namespace carobcourse
{

namespace
{

resources lower_of(const resources& a, const resources& b)
{
    const auto low = [](std::int64_t x, std::int64_t y)
    { return std::max(std::min(x, y), std::int64_t{0}); };
    return {low(a.cpu_millis, b.cpu_millis), low(a.memory_mb, b.memory_mb),
            low(a.accelerators, b.accelerators)};
}

} // namespace

std::int64_t tasks_in(const resources& free, const resources& amount)
{
    if (free.has_negative())
        return 0;
    auto most = std::int64_t{std::numeric_limits<std::int32_t>::max()};
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

std::optional<gang_reservation>
gang_reservation::plan(const placement_index& index, const resources& amount,
                       std::uint32_t tasks, std::vector<expected_end> ends,
                       time_point now, const std::set<worker_handle>& taken)
{
    std::map<worker_handle, resources> free;
    std::int64_t slots = 0;
    index.for_each(
        [&](worker_handle worker)
        {
            if (taken.count(worker) != 0)
                return;
            free[worker] = index.free(worker);
            slots += tasks_in(index.free(worker), amount);
        });
    // Few of the ends are needed, so a heap costs less than a sort.
    const auto later = [](const auto& a, const auto& b)
    { return std::tie(a.at, a.worker) > std::tie(b.at, b.worker); };
    std::make_heap(ends.begin(), ends.end(), later);
    gang_reservation result;
    result.start_ = now;
    while (slots < tasks && !ends.empty())
    {
        std::pop_heap(ends.begin(), ends.end(), later);
        const auto end = ends.back();
        ends.pop_back();
        const auto found = free.find(end.worker);
        if (found == free.end())
            continue;
        slots -= tasks_in(found->second, amount);
        found->second += end.amount;
        slots += tasks_in(found->second, amount);
        result.start_ = std::max(result.start_, end.at);
    }
    if (slots < tasks)
        return std::nullopt;
    // The workers with most room first: few workers are reserved.
    std::vector<std::pair<std::int64_t, worker_handle>> by_room;
    for (const auto& [worker, left] : free)
    {
        if (const auto room = tasks_in(left, amount); room > 0)
            by_room.emplace_back(-room, worker);
    }
    std::sort(by_room.begin(), by_room.end());
    auto wanted = static_cast<std::int64_t>(tasks);
    for (const auto& [room, worker] : by_room)
    {
        const auto count = std::min(wanted, -room);
        if (count == 0)
            break;
        wanted -= count;
        result.workers_[worker].beyond = free[worker] - amount * count;
    }
    return result;
}

void gang_reservation::mask(placement_index& index)
{
    for (const auto& item : workers_)
        refresh(index, item.first);
}

void gang_reservation::unmask(placement_index& index)
{
    for (const auto& [worker, reserved] : workers_)
    {
        if (index.is_used(worker))
            index.restore_free(worker, reserved.free);
    }
}

void gang_reservation::restore(placement_index& index, worker_handle worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && index.is_used(worker))
        index.restore_free(worker, found->second.free);
}

void gang_reservation::refresh(placement_index& index, worker_handle worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !index.is_used(worker))
        return;
    auto& reserved = found->second;
    reserved.free = index.free(worker);
    index.restore_free(worker, lower_of(reserved.free, reserved.beyond));
}

worker_handle gang_reservation::backfill(const resources& amount) const
{
    for (const auto& [worker, reserved] : workers_)
    {
        if (amount.fits_in(reserved.free))
            return worker;
    }
    return no_worker;
}

} // namespace carobcourse
