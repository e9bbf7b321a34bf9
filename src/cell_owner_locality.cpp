// Waits of tasks for a place near their data, and of gangs for one rack.
#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

std::vector<placement_candidate>
on_rack(const std::vector<placement_candidate>& candidates,
        const std::string& rack)
{
    std::vector<placement_candidate> result;
    std::copy_if(candidates.begin(), candidates.end(),
                 std::back_inserter(result),
                 [&rack](const placement_candidate& each)
                 { return each.worker->report().rack == rack; });
    return result;
}

/// Returns true when a gang with these places runs as slowly as one on several
/// racks, or away from its data.
bool is_far_plan(const std::vector<gang_assignment>& plan,
                 const step_spec& step)
{
    if (!step.same_rack && step.data_rack.empty())
        return false;
    const auto& rack =
        step.data_rack.empty() ? plan[0].worker->report().rack : step.data_rack;
    return std::any_of(plan.begin(), plan.end(),
                       [&rack](const gang_assignment& each)
                       { return each.worker->report().rack != rack; });
}

/// Returns how many places of `slots` others take that wait for the rack
/// already.
std::size_t slots_of_others(const std::pair<std::int64_t, std::uint32_t>& claim,
                            const step_spec& step)
{
    const auto cpu = step.amount.cpu_millis;
    if (cpu <= 0 || step.uses_spare_cpu)
        return claim.second;
    return static_cast<std::size_t>((claim.first + cpu - 1) / cpu);
}

} // namespace

std::optional<locality_request>
cell_owner::make_locality_request(time_point now, const ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    // Services run on after any wait, and a result after the hard deadline has
    // no value.
    if (context_.identity.far_factor <= 1 || spec.long_running ||
        now >= ready.job->hard_deadline ||
        locality_waits_.is_excluded(ready.step_key))
        return std::nullopt;
    const auto times = expected_locality_times(
        ready.job->find_step(ready.occurrence, ready.step)->durations,
        spec.estimate_ms, context_.identity.far_factor);
    if (!times)
    {
        // Nothing has ended, or far runs are no longer than near ones.
        if (locality_waits_.find(ready.step_key))
            report_locality_end(ready, locality_end::broken);
        if (locality_waits_.exclude(ready.step_key, ready.job->hard_deadline))
        {
            context_.counters.count(
                "carobcourse_locality_unknown_durations_total");
            context_.log(log_code::cell_locality_unknown,
                         fmt::format("job={} step={} estimate_ms={}",
                                     ready.job->id(), ready.step,
                                     spec.estimate_ms));
        }
        return std::nullopt;
    }
    locality_request request;
    request.now = now;
    request.times = *times;
    const auto after = std::chrono::milliseconds(
        chain_after_ms(ready.job->spec(), ready.step));
    request.objective = ready.job->objective - after;
    request.hard_deadline = ready.job->hard_deadline - after;
    request.others_wait = waiting_steps_ > 1;
    request.broken_share = locality_waits_.broken_share();
    return request;
}

bool cell_owner::holds_task(time_point now, const ready_step& ready,
                            const std::vector<placement_candidate>& candidates,
                            const cell_worker& worker, held_tasks& held)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    if (worker.report().rack == spec.data_rack)
    {
        if (locality_waits_.fulfil(ready.step_key))
            report_locality_end(ready, locality_end::near_start);
        return false;
    }
    if (!held.decided)
    {
        held.decided = true;
        auto request = make_locality_request(now, ready);
        if (!request)
            return false;
        const auto near = on_rack(candidates, spec.data_rack);
        examined_ += near.size();
        const auto slots =
            find_room_slots(near, spec, ready.step_key, true, now);
        const auto taken = slots_of_others(
            locality_waits_.claimed_before(now, ready.step_key, spec.data_rack),
            spec);
        locality_wait wait;
        wait.rack = spec.data_rack;
        wait.forget_at = ready.job->hard_deadline;
        std::size_t next = taken;
        for (; next < slots.size() && wait.tasks < ready.waiting_tasks; ++next)
        {
            request->near_at = slots[next].at;
            const auto until = choose_locality_wait(*request);
            if (!until)
                break;
            ++wait.tasks;
            wait.deadline = std::max(wait.deadline, *until);
        }
        wait.cpu_millis = spec.amount.cpu_millis * wait.tasks;
        if (wait.tasks == 0)
        {
            if (locality_waits_.break_off(ready.step_key))
                report_locality_end(ready, locality_end::broken);
        }
        else if (hold_for_rack(now, ready, wait, slots[taken].at))
        {
            held.count = wait.tasks;
            held.needs_tickets = slots[taken].at <= now;
        }
        held.left = held.count;
    }
    if (held.left > 0)
    {
        --held.left;
        return true;
    }
    context_.counters.count("carobcourse_locality_far_starts_total");
    return false;
}

bool cell_owner::holds_gang(time_point now, const ready_step& ready,
                            const std::vector<gang_assignment>& plan,
                            std::vector<placement_candidate>& candidates)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    if (!is_far_plan(plan, spec))
    {
        if (locality_waits_.fulfil(ready.step_key))
            report_locality_end(ready, locality_end::near_start);
        return false;
    }
    auto request = make_locality_request(now, ready);
    if (request)
    {
        // A gang stays with the rack that it waits for.
        const auto* current = locality_waits_.find(ready.step_key);
        std::set<std::string> racks;
        if (current)
            racks.insert(current->rack);
        else if (!spec.data_rack.empty())
            racks.insert(spec.data_rack);
        else
            for (const auto& each : candidates)
                racks.insert(each.worker->report().rack);
        examined_ += candidates.size();
        locality_wait wait;
        std::vector<placement_candidate> near;
        for (const auto& rack : racks)
        {
            auto inside = on_rack(candidates, rack);
            const auto room =
                find_earliest_workers(inside, spec, spec.count, now);
            if (room.workers.empty() ||
                (request->near_at && *request->near_at <= room.at))
                continue;
            request->near_at = room.at;
            wait.rack = rack;
            near = std::move(inside);
        }
        const auto until = choose_locality_wait(*request);
        if (until)
        {
            wait.tasks = spec.count;
            wait.cpu_millis = spec.amount.cpu_millis * spec.count;
            wait.deadline = *until;
            wait.forget_at = ready.job->hard_deadline;
            if (hold_for_rack(now, ready, wait, *request->near_at))
            {
                candidates = std::move(near);
                return true;
            }
        }
        else if (locality_waits_.break_off(ready.step_key))
            report_locality_end(ready, locality_end::broken);
    }
    context_.counters.count("carobcourse_locality_far_starts_total");
    return false;
}

bool cell_owner::hold_for_rack(time_point now, const ready_step& ready,
                               const locality_wait& wait,
                               time_point expected_at)
{
    switch (locality_waits_.hold(now, ready.step_key, wait, expected_at))
    {
    case locality_waits::outcome::begun:
        context_.counters.count("carobcourse_locality_waits_total");
        context_.log(
            log_code::cell_locality_wait,
            fmt::format("job={} step={} rack={} tasks={} expected_ms={} "
                        "deadline_ms={} epoch={}",
                        ready.job->id(), ready.step, wait.rack, wait.tasks,
                        (expected_at - now) / std::chrono::milliseconds(1),
                        (wait.deadline - now) / std::chrono::milliseconds(1),
                        row().epoch));
        return true;
    case locality_waits::outcome::continued:
        return true;
    case locality_waits::outcome::expired:
        report_locality_end(ready, locality_end::expired);
        return false;
    case locality_waits::outcome::broken:
        report_locality_end(ready, locality_end::broken);
        return false;
    case locality_waits::outcome::refused:
        break;
    }
    return false;
}

void cell_owner::report_locality_end(const ready_step& ready, locality_end end)
{
    context_.counters.count("carobcourse_locality_ends_total", to_string(end));
    context_.log(log_code::cell_locality_wait_ended,
                 fmt::format("job={} step={} end={} epoch={}", ready.job->id(),
                             ready.step, to_string(end), row().epoch));
}

void cell_owner::learn_duration(time_point now, const cell_worker& worker,
                                const run_key& key)
{
    const auto found = worker.runs().find(key);
    auto* job = find_job(key.first.job);
    auto* step =
        job ? job->find_step(key.first.occurrence, key.first.step) : nullptr;
    if (found == worker.runs().end() || !step)
        return;
    const auto& run = found->second;
    const auto& rack = job->spec().steps[key.first.step].data_rack;
    // The begin of an adopted run is not known, and a run from a checkpoint or
    // one without a confirmed start shows only a part.
    if (rack.empty() || run.start_deadline_ms == 0 ||
        run.state != run_state::running || !run.start_checkpoint.empty())
        return;
    step->durations = step->durations.with_run(worker.report().rack == rack,
                                               now - run.confirmed_at);
}

} // namespace carobcourse
