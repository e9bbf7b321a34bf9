// Stops of runs that make room for gangs and urgent steps.
#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

constexpr double millis_per_core = 1000;
/// Time until a step that got no room by stops is considered again.
constexpr auto retry_delay = std::chrono::milliseconds(100);
/// Room that was freed stays reserved this long after its expected time. Covers
/// one repetition of a stop whose answer is lost.
constexpr auto reservation_margin = std::chrono::milliseconds(1000);
/// Longest time from the report of a percentage to the next higher one. A run
/// that gains none for longer does no work that a stop could lose.
constexpr auto progress_interval = std::chrono::milliseconds(1500);
/// An urgent step asks for advice until it knows this many allowed workers.
constexpr std::size_t min_allowed_workers = 8;
constexpr std::size_t max_workers_per_question = 16;

double cores_of(const resources& amount)
{
    return static_cast<double>(amount.cpu_millis) / millis_per_core;
}

time_point start_of_unsaved_work(const cell_run& run, time_point now)
{
    const auto since = std::max(run.confirmed_at, run.checkpoint_at);
    const auto gain_at = run.progress.latest_gain_at();
    if (gain_at == time_point() || now <= gain_at + progress_interval)
        return since;
    // `now` less the time in which the run has worked.
    return now - std::max(duration(0), gain_at + progress_interval - since);
}

} // namespace

bool cell_owner::may_preempt(time_point now, const ready_step& ready) const
{
    const auto* step = ready.job->find_step(ready.occurrence, ready.step);
    return preemptible_priority_ > ready.queue->priority &&
           ready.job->durable && !ready.job->excess &&
           now >= step->next_preemption_at && now >= step->preempting_until;
}

std::optional<preemption_candidate>
cell_owner::make_preemption_candidate(time_point now, const cell_worker& worker,
                                      const run_key& key,
                                      const cell_run& run) const
{
    if (run.state != run_state::running || run.stop_requested ||
        run.amount_unknown)
        return std::nullopt;
    auto* job = find_job(key.first.job);
    const auto* task = job ? job->find(key.first) : nullptr;
    if (!task || task->state != cell_task_state::running ||
        task->run != key.second || task->worker != worker.report().id)
        return std::nullopt;
    // A customer with tasks that a takeover holds back is spared.
    const auto held_back = unresolved_usage_.find(job->customer());
    if (held_back != unresolved_usage_.end() &&
        held_back->second.cpu_millis > 0)
        return std::nullopt;
    const auto& spec = job->spec().steps[key.first.step];
    if (!spec.checkpoints || spec.gang || spec.long_running)
        return std::nullopt;
    const auto* queue = find_queue(*job);
    preemption_candidate result;
    result.key = key;
    result.worker = worker.number();
    result.customer = job->customer();
    result.amount = allocated_resources(run);
    if (queue)
        result.priority = queue->priority;
    result.checkpoints = spec.checkpoints;
    result.expected_end = expected_end_after(run, now);
    result.saved_at = start_of_unsaved_work(run, now);
    result.stops = task->preemptions;
    result.stopped_at = task->preempted_at;
    const auto deadline =
        now <= job->objective ? job->objective : job->hard_deadline;
    const auto delay = (now - result.saved_at) + 2 * stop_times_.expected();
    result.endangers_job = result.expected_end <= deadline &&
                           result.expected_end + delay > deadline;
    return result;
}

std::vector<std::string>
cell_owner::workers_with_old_tickets(time_point now, const ready_step& ready,
                                     const std::set<worker_number>& workers,
                                     time_point needed_at) const
{
    std::vector<std::string> result;
    if (!ready.queue->advice)
        return result;
    // Stops that take longer than a ticket is valid do not wait for one.
    const auto needed_until = std::min(
        needed_at + config::cell_min_ticket_validity,
        now + std::chrono::milliseconds(ready.queue->advice->valid_ms / 2));
    const auto& advice =
        ready.job->find_step(ready.occurrence, ready.step)->advice;
    for (const auto number : workers)
    {
        const auto* worker = eligible_.find(number);
        const auto* known = advice.find(number);
        if (worker && known && known->valid_until < needed_until)
            result.push_back(worker->report().id);
    }
    return result;
}

void cell_owner::preempt_for(time_point now, const ready_step& ready,
                             const std::vector<placement_candidate>& candidates,
                             std::uint32_t count)
{
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    if (step->preempting_until != time_point() && now >= step->preempting_until)
        on_preemption_lapsed(ready);
    if (!may_preempt(now, ready))
        return;
    step->next_preemption_at = now + retry_delay;
    const auto& spec = ready.job->spec().steps[ready.step];
    auto usable = candidates;
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [](const placement_candidate& each)
                                { return each.reserved; }),
                 usable.end());
    examined_ += usable.size();
    const auto without_stops = find_earliest_workers(usable, spec, count, now);
    // There are no workers when the candidates are too small for the step.
    if (without_stops.workers.empty() || without_stops.at <= now)
        return;
    preemption_gain gain;
    gain.now = now;
    gain.start_at = now + stop_times_.expected();
    gain.wait_at = std::min(without_stops.at, ready.job->hard_deadline);
    gain.remaining =
        std::chrono::milliseconds(std::max<std::int64_t>(0, spec.estimate_ms));
    gain.objective = ready.job->objective;
    gain.hard_deadline = ready.job->hard_deadline;
    gain.cores = cores_of(spec.amount) * count;
    gain.urgent = ready.queue->priority == 0;
    preemption_request request;
    request.max_lost = acceptable_loss(gain);
    if (request.max_lost <= 0)
        return;
    request.now = now;
    request.priority = ready.queue->priority;
    request.step = spec;
    request.tasks = count;
    request.all_or_nothing = spec.gang;
    request.stop_time = stop_times_.expected();
    request.max_cores = preemption_ledger_.cores_left(usable_cores(now));
    std::vector<preemption_candidate> runs;
    for (const auto& each : usable)
    {
        const auto& worker = *each.worker;
        request.rooms.push_back(
            {worker.number(), worker.room(),
             spec.gang ? 0 : worker.runs_of_step(ready.step_key)});
        examined_ += worker.runs().size();
        for (const auto& [key, run] : worker.runs())
            if (auto candidate =
                    make_preemption_candidate(now, worker, key, run))
            {
                request.stops_left.emplace(
                    candidate->customer,
                    preemption_ledger_.stops_left(now, candidate->customer));
                runs.push_back(std::move(*candidate));
            }
    }
    const auto chosen = choose_preemptions(request, runs);
    if (!chosen.empty())
        make_room(now, ready, usable, request, runs, chosen);
}

/// Reserves the workers on which the step gets room and stops the runs there.
/// Where a call for tickets takes longer than the stops, the stops wait for its
/// answer, so that no room stays empty.
void cell_owner::make_room(time_point now, const ready_step& ready,
                           const std::vector<placement_candidate>& usable,
                           const preemption_request& request,
                           const std::vector<preemption_candidate>& runs,
                           const std::vector<run_key>& chosen)
{
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    std::map<run_key, const preemption_candidate*> stopped;
    for (const auto& run : runs)
        if (std::find(chosen.begin(), chosen.end(), run.key) != chosen.end())
            stopped.emplace(run.key, &run);
    std::map<worker_number, resources> freed;
    for (const auto& [key, run] : stopped)
        freed[run->worker] += run->amount;
    // Workers with freed room first, then those with room now.
    std::set<worker_number> kept;
    std::uint32_t tasks = 0;
    const auto keep = [&](const preemption_room& each, const resources& room)
    {
        const auto fits = tasks_that_fit(room, request.step, each.runs_of_step);
        if (fits == 0 || tasks >= request.tasks)
            return;
        tasks += fits;
        kept.insert(each.worker);
    };
    for (const auto& each : request.rooms)
        if (const auto found = freed.find(each.worker); found != freed.end())
            keep(each, each.room + found->second);
    for (const auto& each : request.rooms)
        if (freed.count(each.worker) == 0)
            keep(each, each.room);
    // The new reservation replaces an earlier one of the step.
    const auto own = reservations_.workers_of(ready.step_key).size();
    if (reservations_.worker_count() + kept.size() >
        max_reserved_workers() + own)
        return;
    auto room_at = now + request.stop_time;
    const auto stale = workers_with_old_tickets(now, ready, kept, room_at);
    if (!stale.empty())
    {
        if (step->advice.calls_in_flight > 0 || now < step->advice.ask_again_at)
            return;
        const auto call_time =
            std::chrono::milliseconds(static_cast<std::int64_t>(
                advice_call_ms(*ready.queue->advice, stale.size())));
        request_advice(now, ready, stale);
        if (step->advice.calls_in_flight == 0)
            return;
        room_at = std::max(room_at, now + call_time);
        if (call_time > request.stop_time)
        {
            reservations_.reserve(ready.step_key, kept,
                                  room_at + reservation_margin, room_at);
            return;
        }
    }
    const auto until = room_at + reservation_margin;
    reservations_.reserve(ready.step_key, kept, until, room_at, true);
    step->preempting_until = until;
    double lost = 0;
    double cores = 0;
    for (const auto& [key, run] : stopped)
    {
        for (const auto& each : usable)
            if (each.worker->number() == run->worker)
                request_stop(now, *workers_.find(each.worker->report().id),
                             key);
        auto* task = find_job(key.first.job)->find(key.first);
        ++task->preemptions;
        task->preempted_at = now;
        preemption_ledger_.record(now, key, run->customer,
                                  cores_of(run->amount));
        lost += lost_work(*run, now, request.stop_time);
        cores += cores_of(run->amount);
    }
    context_.counters.count("carobcourse_preemptions_total", ready.queue->name);
    context_.counters.count("carobcourse_preempted_runs_total",
                            ready.queue->name, stopped.size());
    context_.log(
        log_code::cell_preemption_chosen,
        fmt::format("job={} step={} tasks={} runs={} first={} workers={} "
                    "cores={:.1f} lost_core_s={:.1f} acceptable={:.1f} "
                    "room_ms={} epoch={}",
                    ready.job->id(), ready.step, request.tasks, stopped.size(),
                    to_string(stopped.begin()->first.first), kept.size(), cores,
                    lost, request.max_lost,
                    (room_at - now) / std::chrono::milliseconds(1),
                    row().epoch));
}

void cell_owner::on_preemption_lapsed(const ready_step& ready)
{
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    step->preempting_until = {};
    context_.counters.count("carobcourse_preemptions_lapsed_total",
                            ready.queue->name);
    context_.log(log_code::cell_preemption_lapsed,
                 fmt::format("job={} step={} waiting={} epoch={}",
                             ready.job->id(), ready.step, ready.waiting_tasks,
                             row().epoch));
}

void cell_owner::preempt_for_tasks(time_point now, const ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    if (ready.queue->priority != 0 || !may_preempt(now, ready) ||
        examined_ > preemption_budget_end_ ||
        !is_within_limit(*ready.job, spec.amount * ready.waiting_tasks))
        return;
    const auto usable = find_candidates(now, ready);
    preempt_for(now, ready, usable, ready.waiting_tasks);
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    const auto remaining =
        std::chrono::milliseconds(std::max<std::int64_t>(0, spec.estimate_ms));
    if (!ready.queue->advice || step->advice.calls_in_flight > 0 ||
        now < step->advice.ask_again_at ||
        usable.size() >= min_allowed_workers ||
        now + stop_times_.expected() + remaining > ready.job->objective)
        return;
    // Usual questions name workers with room only.
    const auto known = known_workers(*step);
    const auto total = eligible_.all.size();
    const auto first = total > 0 ? context_.random() % total : 0;
    std::vector<std::string> asked;
    for (std::size_t i = 0;
         i < total && asked.size() < max_workers_per_question; ++i)
    {
        ++examined_;
        const auto& worker = *eligible_.all[(first + i) % total];
        if (!known[worker.number()] &&
            meets_requirements(worker, ready.queue->service, spec) &&
            tasks_that_fit(worker.report().capacity, spec, 0) > 0 &&
            !reservations_.is_reserved_for_other(worker.number(),
                                                 ready.step_key))
            asked.push_back(worker.report().id);
    }
    request_advice(now, ready, std::move(asked));
}

void cell_owner::record_stop(time_point now, const cell_run* run)
{
    if (run && run->stop_requested && run->stop_requested_at != time_point())
        stop_times_.record(now - run->stop_requested_at);
}

void cell_owner::take_checkpoint(cell_task& task, const run_key& key,
                                 const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    if (key.second < task.checkpoint_run)
    {
        context_.counters.count("carobcourse_bad_checkpoints_total");
        context_.log(log_code::cell_checkpoint_ignored,
                     fmt::format("task={} run={} later_run={}",
                                 to_string(key.first), key.second,
                                 task.checkpoint_run));
        return;
    }
    task.checkpoint = checkpoint;
    task.checkpoint_run = key.second;
}

} // namespace carobcourse
