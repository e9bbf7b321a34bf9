#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <random>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// A round of dispatch takes time for each ready step and eligible worker. Up
/// to this many of them, the next round may follow at once.
constexpr int max_undelayed_items = 100;
/// Delay of the next round for each further step or worker, so that a long
/// queue and a large cell leave time for events.
constexpr auto dispatch_delay_per_item = std::chrono::microseconds(15);
/// Reserved workers are chosen again after this time, which is long enough for
/// a call to the advice service. Reservations that last until their room is
/// expected would serve gangs in the order in which they came, not by their
/// objectives.
constexpr auto reservation_timeout = std::chrono::seconds(1);
/// Maximum share of all workers that gangs may reserve, in percent.
constexpr std::size_t max_reserved_percent = 50;

std::vector<placement_candidate>
permitted_only(std::vector<placement_candidate> candidates)
{
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [](const placement_candidate& each)
                                    { return !each.permitted; }),
                     candidates.end());
    return candidates;
}

} // namespace

std::vector<cell_owner::ready_step> cell_owner::find_ready_steps(time_point now)
{
    std::vector<ready_step> ready;
    preemptible_priority_ = std::numeric_limits<int>::min();
    for (auto& [id, job] : jobs_)
    {
        if (is_final(job->phase()))
            continue;
        const auto* queue = find_queue(*job);
        if (!queue)
            continue;
        for (auto& [number, occurrence] : job->occurrences())
        {
            if (!job->is_due(number, context_.wall_clock_ms))
                continue;
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
            {
                const auto& step = occurrence.steps[s];
                if (step.active > 0 && job->spec().steps[s].checkpoints)
                    preemptible_priority_ =
                        std::max(preemptible_priority_, queue->priority);
                const auto waiting_tasks =
                    static_cast<std::uint32_t>(step.tasks.size()) - step.done -
                    step.active;
                const bool gang = job->spec().steps[s].gang;
                if (waiting_tasks == 0 || (gang && step.active > 0) ||
                    !job->is_ready(occurrence, s))
                    continue;
                order_input input;
                input.priority = queue->priority;
                input.excess = job->excess;
                input.objective = job->objective;
                input.hard_deadline = job->hard_deadline;
                input.remaining_ms = job->spec().steps[s].estimate_ms;
                input.tie_breaker = step.key;
                ready.push_back({make_order_key(input, now), job.get(), queue,
                                 number, s, input.tie_breaker, waiting_tasks});
            }
        }
    }
    std::sort(ready.begin(), ready.end(),
              [](const ready_step& a, const ready_step& b)
              { return a.order < b.order; });
    return ready;
}

void cell_owner::dispatch(time_point now)
{
    // A worker refuses a start whose lease is over.
    if (remaining_lease(now) < duration(config::cell_start_timeout))
        return;
    const auto examined_before = examined_;
    // An exception may have ended the last round early.
    reserved_gangs_.clear();
    auto ready = find_ready_steps(now);
    update_speeds(now);
    waiting_steps_ = ready.size();
    locality_waits_.forget_old(now);
    update_eligible_workers(now);
    update_unresolved_usage();
    const auto items = static_cast<int>(ready.size() + eligible_.all.size());
    next_dispatch_ = now + dispatch_delay_per_item *
                               std::max(0, items - max_undelayed_items);
    if (!reservations_.empty())
    {
        std::set<std::uint64_t> waiting_steps;
        for (const auto& each : ready)
            waiting_steps.insert(each.step_key);
        reservations_.release_unneeded(now, waiting_steps);
    }
    gang_turns_.begin_round(std::max<std::uint64_t>(
        config::cell_min_examined_per_round,
        eligible_.all.size() * config::cell_gang_turns_per_round));
    preemption_budget_end_ = examined_ + config::cell_min_examined_per_round;
    for (auto& each : ready)
    {
        if (!each.job->spec().steps[each.step].gang)
        {
            place_tasks(now, each);
            continue;
        }
        auto* step = each.job->find_step(each.occurrence, each.step);
        if (!gang_turns_.take(step->latest_pass))
            continue;
        const auto examined_before_turn = examined_;
        place_gang(now, each);
        // Starts are limited by the room; only fruitless turns need a limit.
        if (step->active == 0)
            gang_turns_.record(examined_ - examined_before_turn);
    }
    // Gangs that have no workers yet need the calls more.
    for (const auto* each : std::exchange(reserved_gangs_, {}))
    {
        if (gang_turns_.is_used_up())
            break;
        const auto examined_before_call = examined_;
        if (!ask_about_gang(now, *each))
            request_advice(now, *each, workers_to_renew(now, *each));
        gang_turns_.record(examined_ - examined_before_call);
    }
    // Gangs that were left out get their turn without news.
    dispatch_due_ = dispatch_due_ || gang_turns_.is_cut_short();
    const auto examined = examined_ - examined_before;
    ++load_.rounds;
    load_.examined += examined;
    load_.longest_round = std::max(load_.longest_round, examined);
    context_.counters.count("carobcourse_dispatch_rounds_total");
    context_.counters.count("carobcourse_dispatch_examined_total", {},
                            examined);
}

void cell_owner::update_eligible_workers(time_point now)
{
    eligible_.all.clear();
    eligible_.by_number.clear();
    eligible_.largest_room = {};
    for (const auto& [id, worker] : workers_.all())
    {
        const auto& report = worker.report();
        if (!worker.has_reported || !worker.reachable || !worker.listed ||
            worker.is_restart_suspected() || worker.waits_to_acknowledge ||
            report.draining || now < worker.avoid_until ||
            worker.has_run_of_unknown_amount() ||
            context_.evacuated_data_centres.count(report.data_centre) > 0)
            continue;
        eligible_.all.push_back(&worker);
        if (worker.number() >= eligible_.by_number.size())
            eligible_.by_number.resize(worker.number() + 1);
        eligible_.by_number[worker.number()] = &worker;
        const auto room = worker.room();
        auto& largest = eligible_.largest_room;
        largest = {std::max(largest.cpu_millis, room.cpu_millis),
                   std::max(largest.memory_mb, room.memory_mb),
                   std::max(largest.accelerators, room.accelerators)};
    }
}

/// After a takeover a worker may run tasks of an earlier owner that it has not
/// reported yet. Until then all unresolved tasks of a customer count as
/// running, as far as the unresolved workers have room for them.
void cell_owner::update_unresolved_usage()
{
    unresolved_usage_.clear();
    if (!has_unresolved_tasks_)
        return;
    resources room;
    bool is_room_known = true;
    for (const auto& id : unresolved_workers_)
    {
        const auto* worker = workers_.find(id);
        is_room_known = is_room_known && worker;
        if (worker)
            room += worker->report().capacity;
    }
    for (const auto& [id, job] : jobs_)
    {
        auto& used = unresolved_usage_[job->customer()];
        for (const auto& [number, occurrence] : job->occurrences())
        {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
            {
                const auto& tasks = occurrence.steps[s].tasks;
                used += job->spec().steps[s].amount *
                        std::count_if(tasks.begin(), tasks.end(),
                                      [](const cell_task& task) {
                                          return task.state ==
                                                 cell_task_state::unresolved;
                                      });
            }
        }
    }
    if (!is_room_known)
        return;
    for (auto& [customer, used] : unresolved_usage_)
        used = {std::min(used.cpu_millis, room.cpu_millis),
                std::min(used.memory_mb, room.memory_mb),
                std::min(used.accelerators, room.accelerators)};
}

std::vector<placement_candidate>
cell_owner::find_candidates(time_point now, const ready_step& ready) const
{
    const auto& step = ready.job->spec().steps[ready.step];
    std::vector<placement_candidate> result;
    const bool urgent = ready.queue->priority == 0 && !ready.job->excess;
    const auto need = speed_need_of(now, ready, urgent);
    const auto add =
        [&](const cell_worker& worker, std::string_view ticket, bool permitted)
    {
        ++examined_;
        if (!meets_requirements(worker, ready.queue->service, step))
            return;
        const bool reserved = reservations_.is_reserved_for_other(
            worker.number(), ready.step_key);
        if (reserved && (!urgent || reservations_.is_freed_for_other(
                                        worker.number(), ready.step_key)))
            return;
        const auto& speed = class_of(worker);
        result.push_back({&worker, ticket, reserved, permitted, speed.number,
                          speed_rank(need, speed)});
    };
    if (!ready.queue->advice)
    {
        for (const auto* worker : eligible_.all)
            add(*worker, {}, true);
        return result;
    }
    const auto* run = ready.job->find_step(ready.occurrence, ready.step);
    for (const auto& advice : run->advice.by_worker)
    {
        if (const auto* worker =
                advice.allowed ? eligible_.find(advice.worker) : nullptr)
            add(*worker, advice.ticket,
                now + config::cell_min_ticket_validity < advice.valid_until);
    }
    return result;
}

bool cell_owner::is_within_limit(const cell_job& job,
                                 const resources& more) const
{
    const auto* customer =
        context_.config->find_customer_by_name(job.customer());
    if (!customer)
        return true;
    auto used = workers_.usage_of(job.customer()) + more;
    const auto unresolved = unresolved_usage_.find(job.customer());
    if (unresolved != unresolved_usage_.end())
        used += unresolved->second;
    const auto over = [](std::int64_t amount, std::int64_t limit)
    { return limit > 0 && amount > limit; };
    return !over(used.cpu_millis, customer->limit.cpu_millis) &&
           !over(used.memory_mb, customer->limit.memory_mb) &&
           !over(used.accelerators, customer->limit.accelerators);
}

void cell_owner::start_task(time_point now, const ready_step& ready,
                            std::uint32_t index, const cell_worker& worker,
                            const std::string& ticket, std::uint32_t run)
{
    auto& job = *ready.job;
    const auto& spec = job.spec().steps[ready.step];
    auto* step = job.find_step(ready.occurrence, ready.step);
    auto& task = step->tasks[index];
    auto& target = *workers_.find(worker.report().id);
    const cell_task_id id{job.id(), ready.occurrence, ready.step, index};
    task.state = cell_task_state::starting;
    task.worker = target.report().id;
    task.run = run;
    task.highest_run = run;
    ++step->active;
    if (spec.gang || ready.waiting_tasks <= 1)
        step->preempting_until = {};
    cell_run entry;
    entry.amount = spec.amount;
    entry.uses_spare_cpu = spec.uses_spare_cpu;
    entry.customer = job.customer();
    entry.step_key = ready.step_key;
    entry.start_checkpoint = task.checkpoint;
    entry.expected_end = now + std::chrono::milliseconds(spec.estimate_ms);
    entry.gang = spec.gang;
    if (task.checkpoint.empty())
        entry.pace.started_at = now;
    note_start(now, target);
    workers_.add_run(target, {id, run}, std::move(entry));
    const auto used = workers_.usage_of(job.customer());
    context_.log(log_code::cell_task_started,
                 fmt::format("task={} run={} worker={} room_cpu={} "
                             "room_memory_mb={} customer={} used_cpu={} "
                             "used_memory_mb={} config={} epoch={}",
                             to_string(id), run, target.report().id,
                             target.room().cpu_millis, target.room().memory_mb,
                             job.customer(), used.cpu_millis, used.memory_mb,
                             context_.config->version(), row().epoch));
    send_start(now, target, {id, run}, ticket, 0);
}

/// Workers handle starts idempotently: a start without an answer can be sent
/// again to the same worker.
void cell_owner::send_start(time_point now, cell_worker& worker,
                            const run_key& key, const std::string& ticket,
                            unsigned attempt)
{
    const auto& job = *jobs_.at(key.first.job);
    auto& run = *worker.find(key);
    const auto until =
        worker.clock_lower_bound_ms(now) +
        std::min(duration(config::cell_start_validity), remaining_lease(now)) /
            std::chrono::milliseconds(1);
    run.start_deadline_ms = std::max(run.start_deadline_ms, until);
    worker_call call;
    call.command = worker_command::start;
    call.worker = worker.report().id;
    call.address = worker.report().address;
    call.timeout_ms = config::cell_start_timeout.count();
    call.task = key.first;
    call.run = key.second;
    call.payload = job.spec().payload;
    call.checkpoint = run.start_checkpoint;
    // It is not known which copy of the call the worker carries out.
    if (attempt > 0)
        run.pace.started_at = {};
    call.ticket = ticket;
    call.lease_until_ms = until;
    worker.record_call_in_doubt(now, longest_unknown_lease());
    worker.fence.begin_start();
    pending_call pending;
    pending.key = key;
    pending.ticket = ticket;
    pending.attempt = attempt;
    send_call(now, relay_for(worker, attempt), std::move(call),
              std::move(pending));
}

void cell_owner::place_tasks(time_point now, ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    if (tasks_that_fit(eligible_.largest_room, spec, 0) == 0)
    {
        preempt_for_tasks(now, ready);
        return;
    }
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    held_tasks held;
    if (ready.job->durable)
    {
        const auto candidates = find_candidates(now, ready);
        const auto usable = permitted_only(candidates);
        for (std::uint32_t i = 0; i < step->tasks.size(); ++i)
        {
            auto& task = step->tasks[i];
            if (task.state != cell_task_state::waiting)
                continue;
            if (!is_within_limit(*ready.job, spec.amount))
                return;
            examined_ += usable.size();
            const auto* best = choose_worker(usable, spec, ready.step_key);
            if (!best)
                break;
            if (!spec.data_rack.empty() &&
                holds_task(now, ready, candidates, *best->worker, held))
                continue;
            start_task(now, ready, i, *best->worker, std::string(best->ticket),
                       cell_job::next_run_number(task.highest_run, row().epoch,
                                                 ready.job->accepted_epoch()));
            --ready.waiting_tasks;
        }
    }
    if (ready.waiting_tasks > held.count)
        preempt_for_tasks(now, ready);
    // Tasks that wait for a place that is known need no advice about others.
    const bool asks = ready.waiting_tasks > held.count || held.needs_tickets;
    if (asks && ready.queue->advice && is_within_limit(*ready.job, spec.amount))
        request_advice(now, ready, choose_workers_to_advise(now, ready));
}

void cell_owner::place_gang(time_point now, ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    const auto count = static_cast<std::uint32_t>(step->tasks.size());
    if (!is_within_limit(*ready.job, spec.amount * count))
        return;
    auto candidates = find_candidates(now, ready);
    if (ready.job->durable)
    {
        const auto plan = plan_gang(permitted_only(candidates), spec, count);
        if (!plan.empty() && !holds_gang(now, ready, plan, candidates))
        {
            std::uint32_t last = 0;
            std::string checkpoint;
            for (const auto& task : step->tasks)
            {
                last = std::max(last, task.highest_run);
                checkpoint = std::max(checkpoint, task.checkpoint);
            }
            const auto run = cell_job::next_run_number(
                last, row().epoch, ready.job->accepted_epoch());
            std::uint32_t index = 0;
            for (const auto& share : plan)
            {
                for (std::uint32_t i = 0; i < share.tasks; ++i, ++index)
                {
                    // A checkpoint of one member is valid for all members.
                    step->tasks[index].checkpoint = checkpoint;
                    start_task(now, ready, index, *share.worker,
                               std::string(share.ticket), run);
                }
            }
            reservations_.release(ready.step_key);
            return;
        }
    }
    preempt_for(now, ready, candidates, count);
    if (!ready.queue->advice)
    {
        reserve_workers(now, ready, candidates);
        return;
    }
    if (step->advice.calls_in_flight > 0)
    {
        // The call may take longer than the reservation lasts.
        reserve_workers(now, ready, candidates);
        return;
    }
    const auto unpermitted_plan = plan_gang(candidates, spec, count);
    if (!unpermitted_plan.empty())
    {
        // Reserves the workers until their tickets arrive.
        std::vector<std::string> worker_ids;
        worker_ids.reserve(unpermitted_plan.size());
        std::set<worker_number> kept;
        for (const auto& share : unpermitted_plan)
        {
            worker_ids.push_back(share.worker->report().id);
            kept.insert(share.worker->number());
        }
        request_advice(now, ready, std::move(worker_ids));
        // Room that stops have freed stays reserved until its own deadline.
        if (step->advice.calls_in_flight > 0 && now >= step->preempting_until)
            reservations_.reserve(ready.step_key, kept,
                                  now + reservation_timeout);
        return;
    }
    reserve_workers(now, ready, candidates);
    if (reservations_.contains(ready.step_key))
        reserved_gangs_.push_back(&ready);
    else
        ask_about_gang(now, ready);
}

std::size_t cell_owner::max_reserved_workers() const
{
    return workers_.all().size() * max_reserved_percent / 100;
}

void cell_owner::reserve_workers(time_point now, const ready_step& ready,
                                 const std::vector<placement_candidate>& usable)
{
    if (reservations_.contains(ready.step_key) || !ready.job->durable)
        return;
    const auto taken = reservations_.worker_count();
    const auto max_reserved = max_reserved_workers();
    if (taken >= max_reserved)
        return;
    const auto& spec = ready.job->spec().steps[ready.step];
    examined_ += usable.size();
    // A result after the deadline has no value, so the job takes only room that
    // nobody else needs.
    if (now > ready.job->hard_deadline)
        return;
    const auto room = find_earliest_workers(usable, spec, spec.count, now);
    std::set<worker_number> next;
    for (const auto* worker : room.workers)
        next.insert(worker->number());
    if (next.empty() || taken + next.size() > max_reserved)
        return;
    context_.log(log_code::cell_gang_waits,
                 fmt::format("job={} step={} tasks={} kept={} allowed={} "
                             "kept_for_others={} expected_ms={} epoch={}",
                             ready.job->id(), ready.step, spec.count,
                             next.size(), usable.size(), taken,
                             (room.at - now) / std::chrono::milliseconds(1),
                             row().epoch));
    reservations_.reserve(ready.step_key, next, now + reservation_timeout,
                          room.at);
}

} // namespace carobcourse
