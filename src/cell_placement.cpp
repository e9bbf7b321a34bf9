#include "cell_placement_p.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>

namespace carobcourse
{

namespace
{

/// Least expected remaining time of a run that has exceeded its expected end.
constexpr auto overdue_run_remaining = std::chrono::milliseconds(300);

/// Returns the free parts of processors and memory after the placement of one
/// task, added up, each in thousandths of the capacity.
std::int64_t remaining_capacity(const cell_worker& worker,
                                const step_spec& step)
{
    const auto room = worker.room() - step.amount;
    const auto& all = worker.report().capacity;
    constexpr std::int64_t scale = 1000;
    const auto cpu =
        all.cpu_millis > 0 ? room.cpu_millis * scale / all.cpu_millis : scale;
    const auto memory =
        all.memory_mb > 0 ? room.memory_mb * scale / all.memory_mb : scale;
    return cpu + memory;
}

bool is_outside_data_rack(const cell_worker& worker, const step_spec& step)
{
    return !step.data_rack.empty() && worker.report().rack != step.data_rack;
}

/// Workers this many classes faster than the slowest member have about the same
/// speed.
constexpr int similar_classes = 3;

/// Returns the class of the slowest member when the fastest workers are taken.
int slowest_class(std::vector<gang_assignment> rooms, std::uint32_t count)
{
    std::sort(rooms.begin(), rooms.end(),
              [](const gang_assignment& a, const gang_assignment& b)
              { return a.speed_class > b.speed_class; });
    std::uint64_t tasks = 0;
    for (const auto& each : rooms)
    {
        tasks += each.tasks;
        if (tasks >= count)
            return each.speed_class;
    }
    return rooms.empty() ? 0 : rooms.back().speed_class;
}

/// Distributes `count` tasks over the fastest workers that suffice. Among these
/// the ones about as slow as the slowest come first, because the gang gains
/// nothing from faster ones, then those with room for most tasks. Returns an
/// empty plan when there is not enough room.
std::vector<gang_assignment>
fill_largest_first(std::vector<gang_assignment> rooms, std::uint32_t count)
{
    const auto slowest = slowest_class(rooms, count);
    rooms.erase(std::remove_if(rooms.begin(), rooms.end(),
                               [slowest](const gang_assignment& each)
                               { return each.speed_class < slowest; }),
                rooms.end());
    const auto rank = [slowest](const gang_assignment& each)
    {
        return std::pair((each.speed_class - slowest) / similar_classes,
                         -static_cast<std::int64_t>(each.tasks));
    };
    std::stable_sort(rooms.begin(), rooms.end(),
                     [&rank](const gang_assignment& a, const gang_assignment& b)
                     { return rank(a) < rank(b); });
    std::vector<gang_assignment> plan;
    for (auto& each : rooms)
    {
        if (count == 0)
            break;
        each.tasks = std::min(each.tasks, count);
        count -= each.tasks;
        plan.push_back(each);
    }
    if (count > 0)
        plan.clear();
    return plan;
}

} // namespace

time_point expected_end_after(const cell_run& run, time_point now)
{
    return std::max(
        now + std::max<duration>(overdue_run_remaining, now - run.expected_end),
        run.expected_end);
}

bool meets_requirements(const cell_worker& worker, const std::string& service,
                        const step_spec& step)
{
    const auto& report = worker.report();
    return report.service == service &&
           (step.label.empty() ||
            std::find(report.labels.begin(), report.labels.end(), step.label) !=
                report.labels.end());
}

std::uint32_t tasks_that_fit(const resources& room, const step_spec& step,
                             std::uint32_t placed_on_worker)
{
    auto max_tasks = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&max_tasks](std::int64_t have, std::int64_t need)
    {
        if (need > 0)
            max_tasks =
                std::min(max_tasks, std::max<std::int64_t>(0, have) / need);
    };
    if (!step.uses_spare_cpu)
        limit(room.cpu_millis, step.amount.cpu_millis);
    limit(room.memory_mb, step.amount.memory_mb);
    limit(room.accelerators, step.amount.accelerators);
    if (step.max_per_worker > 0)
        max_tasks = std::min<std::int64_t>(
            max_tasks, step.max_per_worker > placed_on_worker
                           ? step.max_per_worker - placed_on_worker
                           : 0);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(max_tasks, step.count));
}

const placement_candidate*
choose_worker(const std::vector<placement_candidate>& candidates,
              const step_spec& step, std::uint64_t step_key)
{
    const placement_candidate* best = nullptr;
    std::tuple<bool, bool, int, std::int64_t> best_rank;
    for (const auto& each : candidates)
    {
        const auto& worker = *each.worker;
        if (tasks_that_fit(worker.room(), step,
                           worker.runs_of_step(step_key)) == 0)
            continue;
        const std::tuple rank{is_outside_data_rack(worker, step), each.reserved,
                              each.speed_rank,
                              remaining_capacity(worker, step)};
        if (best && !(rank < best_rank))
            continue;
        best = &each;
        best_rank = rank;
    }
    return best;
}

std::vector<gang_assignment>
plan_gang(const std::vector<placement_candidate>& candidates,
          const step_spec& step, std::uint32_t count)
{
    std::size_t total = 0;
    std::size_t unreserved_total = 0;
    std::size_t reserved_workers = 0;
    for (const auto& each : candidates)
    {
        const auto fits = tasks_that_fit(each.worker->room(), step, 0);
        total += fits;
        unreserved_total += each.reserved ? 0 : fits;
        reserved_workers += each.reserved ? 1 : 0;
    }
    if (total < count)
        return {};
    if (reserved_workers > 0 && unreserved_total >= count)
    {
        std::vector<placement_candidate> unreserved;
        std::copy_if(candidates.begin(), candidates.end(),
                     std::back_inserter(unreserved),
                     [](const placement_candidate& each)
                     { return !each.reserved; });
        return plan_gang(unreserved, step, count);
    }
    std::vector<gang_assignment> rooms;
    std::map<std::string, std::vector<gang_assignment>> by_rack;
    for (const auto& each : candidates)
    {
        const auto fits = tasks_that_fit(each.worker->room(), step, 0);
        if (fits == 0)
            continue;
        rooms.push_back({each.worker, each.ticket, fits, each.speed_class});
        if (step.same_rack || !step.data_rack.empty())
            by_rack[each.worker->report().rack].push_back(rooms.back());
    }
    if (!step.data_rack.empty())
    {
        auto plan = fill_largest_first(by_rack[step.data_rack], count);
        if (!plan.empty())
            return plan;
    }
    for (auto& [rack, inside] : by_rack)
    {
        auto plan = fill_largest_first(std::move(inside), count);
        if (!plan.empty())
            return plan;
    }
    return fill_largest_first(std::move(rooms), count);
}

std::vector<room_slot>
find_room_slots(const std::vector<placement_candidate>& candidates,
                const step_spec& step, std::uint64_t step_key,
                bool count_step_runs, time_point now)
{
    std::vector<room_slot> slots;
    for (const auto& each : candidates)
    {
        const auto& worker = *each.worker;
        const auto placed = count_step_runs ? worker.runs_of_step(step_key) : 0;
        std::vector<std::pair<time_point, resources>> ends;
        for (const auto& [key, run] : worker.runs())
            ends.emplace_back(expected_end_after(run, now),
                              allocated_resources(run));
        std::sort(ends.begin(), ends.end(),
                  [](const auto& a, const auto& b)
                  { return a.first < b.first; });
        auto room = worker.room();
        std::uint32_t fits = tasks_that_fit(room, step, placed);
        slots.insert(slots.end(), fits, {now, &worker});
        for (const auto& [at, amount] : ends)
        {
            room += amount;
            const auto fits_then = tasks_that_fit(room, step, placed);
            if (fits_then > fits)
                slots.insert(slots.end(), fits_then - fits, {at, &worker});
            fits = std::max(fits, fits_then);
        }
    }
    std::stable_sort(slots.begin(), slots.end(),
                     [](const room_slot& a, const room_slot& b)
                     { return a.at < b.at; });
    return slots;
}

earliest_room
find_earliest_workers(const std::vector<placement_candidate>& candidates,
                      const step_spec& step, std::uint32_t count,
                      time_point now)
{
    const auto slots = find_room_slots(candidates, step, 0, false, now);
    if (slots.size() < count)
        return {};
    earliest_room room;
    room.at = now;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        room.at = slots[i].at;
        if (std::find(room.workers.begin(), room.workers.end(),
                      slots[i].worker) == room.workers.end())
            room.workers.push_back(slots[i].worker);
    }
    return room;
}

} // namespace carobcourse
