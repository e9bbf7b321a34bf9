// Runs of tasks on workers: reports of the workers, starts and stops.
#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

const char* name_of(end_kind kind)
{
    switch (kind)
    {
    case end_kind::done:
        return "done";
    case end_kind::failed:
        return "failed";
    case end_kind::stopped:
        return "stopped";
    case end_kind::lease_expired:
        return "lapsed";
    case end_kind::peer_ended:
        return "peer_ended";
    case end_kind::incomplete:
        break;
    }
    return "incomplete";
}

bool lists_all_ends(const worker_answer& answer)
{
    return answer.ended.size() < config::cell_max_listed_ends;
}

} // namespace

void cell_owner::reconcile_runs(time_point now, cell_worker& worker,
                                const pending_call& pending,
                                const worker_answer& answer)
{
    std::set<run_key> reported;
    for (const auto& report : answer.running)
    {
        const run_key key{report.task, report.run};
        reported.insert(key);
        auto* run = worker.find(key);
        if (!run)
        {
            adopt_run(now, worker, report);
            continue;
        }
        if (run->state != run_state::running)
        {
            if (auto* job = find_job(report.task.job))
                mark_begun(*job);
        }
        if (run->state == run_state::unconfirmed)
        {
            run->state = run_state::running;
            run->confirmed_at = now;
        }
        if (!report.checkpoint.empty() && run->checkpoint != report.checkpoint)
        {
            run->checkpoint = report.checkpoint;
            run->checkpoint_at = now;
        }
        take_progress(now, worker, *run, report);
    }
    for (const auto& end : answer.ended)
    {
        reported.insert({end.task, end.run});
        if (end.number <= worker.last_seen_end)
        {
            ++load_.repeated_ends;
            continue;
        }
        ++load_.new_ends;
        if (worker.ends_are_contiguous &&
            end.number != worker.last_seen_end + 1)
            report_missing_ends(worker, end.number);
        worker.last_seen_end = end.number;
        on_run_ended(now, worker, end);
    }
    if (worker.last_seen_end > worker.last_durable_end)
        workers_to_acknowledge_.insert(worker.report().id);
    // A run that is not listed may have its end on a later page.
    if (!lists_all_ends(answer))
        return;
    if (unresolved_workers_.erase(worker.report().id) > 0)
        dispatch_due_ = true;
    std::vector<run_key> dropped;
    for (const auto& [key, run] : worker.runs())
    {
        if (reported.count(key))
            continue;
        const bool never_started = run.state == run_state::unconfirmed &&
                                   answer.clock_ms >= run.start_deadline_ms;
        const bool disappeared = run.state == run_state::running &&
                                 pending.sent_at > run.confirmed_at;
        if (never_started || disappeared)
            dropped.push_back(key);
    }
    for (const auto& key : dropped)
    {
        context_.log(
            log_code::cell_task_lost,
            fmt::format("task={} run={} worker={} reason=not_listed "
                        "incarnation={} call={} agent={}",
                        to_string(key.first), key.second, worker.report().id,
                        worker.incarnation_start_ms, answer.id, pending.relay));
        drop_run(now, worker, key);
    }
}

/// An end that was acknowledged before any list named it is not listed again.
/// Its task can not be told done or failed, and is taken for lost.
void cell_owner::report_missing_ends(const cell_worker& worker,
                                     std::uint64_t next_end)
{
    const auto missing = next_end - worker.last_seen_end - 1;
    context_.log(
        log_code::cell_ends_missing,
        fmt::format("worker={} incarnation={} seen={} next={} missing={} "
                    "acknowledged={} fence={}",
                    worker.report().id, worker.incarnation_start_ms,
                    worker.last_seen_end, next_end, missing,
                    worker.last_acknowledged_end, worker.fence.last()));
    context_.counters.count("carobcourse_missing_ends_total", {}, missing);
}

void cell_owner::adopt_run(time_point now, cell_worker& worker,
                           const running_report& report)
{
    auto* job = find_job(report.task.job);
    auto* task = find_reported_task(job, report.task);
    cell_run run;
    run.state = run_state::running;
    run.confirmed_at = now;
    run.checkpoint = report.checkpoint;
    run.step_key =
        stable_hash(report.task.job, report.task.occurrence, report.task.step);
    if (task)
    {
        const auto& spec = job->spec().steps[report.task.step];
        run.amount = spec.amount;
        run.gang = spec.gang;
        run.uses_spare_cpu = spec.uses_spare_cpu;
        run.customer = job->customer();
        run.expected_end = now + std::chrono::milliseconds(spec.estimate_ms);
    }
    run.amount_unknown = !task;
    // A waiting task has had its latest run given up. It may be this one, whose
    // start was carried out late by a restarted worker.
    const bool was_given_up = task && task->state == cell_task_state::waiting;
    const bool wanted =
        task && (was_given_up || task->state == cell_task_state::unresolved) &&
        !is_final(job->phase());
    run.stop_requested = !wanted;
    const run_key key{report.task, report.run};
    const auto& id = worker.report().id;
    workers_.add_run(worker, key, run);
    context_.log(
        log_code::cell_task_adopted,
        fmt::format("task={} run={} worker={} wanted={} highest_run={} "
                    "epoch={}",
                    to_string(report.task), report.run, id, wanted,
                    task ? task->highest_run : 0, row().epoch));
    if (!task)
        return;
    mark_begun(*job);
    if (!wanted)
    {
        task->highest_run = std::max(task->highest_run, report.run);
        superfluous_runs_[key] = id;
        return;
    }
    set_current_run(*job, key, id);
    // The other members have been given up or are being stopped.
    if (was_given_up && job->spec().steps[report.task.step].gang)
        stop_gang(now, *job, report.task);
}

void cell_owner::set_current_run(cell_job& job, const run_key& key,
                                 const std::string& worker)
{
    auto& task = *job.find(key.first);
    if (task.state == cell_task_state::waiting)
        ++job.find_step(key.first.occurrence, key.first.step)->active;
    task.state = cell_task_state::running;
    task.worker = worker;
    task.run = key.second;
    task.highest_run = std::max(task.highest_run, key.second);
}

void cell_owner::mark_begun(cell_job& job)
{
    if (job.has_started())
        return;
    job.mark_started();
    // A job of an earlier owner may have begun before this one heard of it.
    if (job.accepted_epoch() == row().epoch)
        context_.counters.observe(
            "carobcourse_job_wait_seconds",
            std::chrono::milliseconds(std::max<std::int64_t>(
                0, context_.wall_clock_ms - job.accepted_unix_ms())));
}

void cell_owner::on_run_ended(time_point now, cell_worker& worker,
                              const end_report& end)
{
    const run_key key{end.task, end.run};
    const auto& id = worker.report().id;
    context_.counters.count("carobcourse_task_ends_total", name_of(end.kind));
    context_.log(
        log_code::cell_task_ended,
        fmt::format("task={} run={} worker={} end={} number={} incarnation={}",
                    to_string(end.task), end.run, id, name_of(end.kind),
                    end.number, worker.incarnation_start_ms));
    auto* job = find_job(end.task.job);
    auto* task = find_reported_task(job, end.task);
    take_end(now, worker, end);
    if (end.kind == end_kind::stopped)
        record_stop(now, worker.find(key));
    if (end.kind == end_kind::done)
        learn_duration(now, worker, key);
    remove_run(worker, key);
    if (!task || is_final(job->phase()))
        return;
    mark_begun(*job);
    take_checkpoint(*task, key, end.checkpoint);
    if (end.kind == end_kind::done)
    {
        worker.consecutive_failures = 0;
        worker.failed_jobs.clear();
        job->mark_done(end.task);
        dirty_jobs_.insert(job->id());
        return;
    }
    requeue_task(id, key);
    const auto& spec = job->spec().steps[end.task.step];
    if (end.kind == end_kind::failed)
    {
        count_worker_failure(now, worker, end.task.job);
        // Without the queue, `settle_by_config` applies the limit later.
        const auto* queue = find_queue(*job);
        job->mark_failed(end.task, end.run,
                         queue ? std::make_optional(queue->max_attempts)
                               : std::nullopt);
        dirty_jobs_.insert(job->id());
        if (is_final(job->phase()))
            stop_job_runs(now, *job);
    }
    if (spec.gang)
        stop_gang(now, *job, end.task);
}

void cell_owner::requeue_task(const std::string& worker, const run_key& key)
{
    auto* job = find_job(key.first.job);
    if (!job)
        return;
    auto* task = job->find(key.first);
    auto* step = job->find_step(key.first.occurrence, key.first.step);
    if (!task || task->worker != worker || task->run != key.second ||
        (task->state != cell_task_state::starting &&
         task->state != cell_task_state::running))
        return;
    task->state = cell_task_state::waiting;
    --step->active;
    dispatch_due_ = true;
    const auto other = superfluous_runs_.lower_bound({key.first, 0});
    if (other != superfluous_runs_.end() && other->first.first == key.first)
        set_current_run(*job, other->first, other->second);
}

void cell_owner::drop_run(time_point now, cell_worker& worker,
                          const run_key& key)
{
    const auto* run = worker.find(key);
    if (!run)
        return;
    auto* job = find_job(key.first.job);
    auto* task = job ? job->find(key.first) : nullptr;
    if (task)
        take_checkpoint(*task, key, run->checkpoint);
    remove_run(worker, key);
    requeue_task(worker.report().id, key);
    if (task && job->spec().steps[key.first.step].gang)
        stop_gang(now, *job, key.first);
}

void cell_owner::drop_all_runs(time_point now, cell_worker& worker,
                               const char* reason)
{
    std::vector<run_key> keys;
    for (const auto& [key, run] : worker.runs())
        keys.push_back(key);
    for (const auto& key : keys)
    {
        context_.log(log_code::cell_task_lost,
                     fmt::format("task={} run={} worker={} reason={}",
                                 to_string(key.first), key.second,
                                 worker.report().id, reason));
        drop_run(now, worker, key);
    }
}

/// Stops all members of a gang that is no longer complete. They can do no work
/// and the gang has to start again as a whole.
void cell_owner::stop_gang(time_point now, cell_job& job,
                           const cell_task_id& member)
{
    auto* step = job.find_step(member.occurrence, member.step);
    if (!step)
        return;
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i)
    {
        const auto& task = step->tasks[i];
        if (task.state != cell_task_state::starting &&
            task.state != cell_task_state::running)
            continue;
        if (auto* worker = workers_.find(task.worker))
            request_stop(
                now, *worker,
                {{job.id(), member.occurrence, member.step, i}, task.run});
    }
}

void cell_owner::request_stop(time_point now, cell_worker& worker,
                              const run_key& key)
{
    auto* run = worker.find(key);
    if (!run || run->stop_requested)
        return;
    run->stop_requested = true;
    run->stop_requested_at = now;
    run->next_stop_at = now;
    ++worker.requested_stops;
    workers_to_update_.insert(worker.report().id);
}

/// A task has one run at most that is not being stopped already: its latest.
void cell_owner::stop_job_runs(time_point now, const cell_job& job)
{
    for (const auto& [number, occurrence] : job.occurrences())
    {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
        {
            const auto& tasks = occurrence.steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i)
            {
                auto* worker = tasks[i].run == 0
                                   ? nullptr
                                   : workers_.find(tasks[i].worker);
                if (worker)
                    request_stop(now, *worker,
                                 {{job.id(), number, s, i}, tasks[i].run});
            }
        }
    }
}

/// An earlier owner that is cut off knows the jobs that it has accepted and
/// goes on starting their occurrences until its leases end.
void cell_owner::hold_back_unresolved(cell_job& job, std::uint32_t first)
{
    if (has_unresolved_tasks_ && job.accepted_epoch() != row().epoch)
        job.mark_unresolved(first);
}

cell_task* cell_owner::find_reported_task(cell_job* job, const cell_task_id& id)
{
    if (!job)
        return nullptr;
    if (id.occurrence >= job->next_occurrence() && !is_final(job->phase()))
    {
        const auto first = job->next_occurrence();
        job->add_occurrences_through(id.occurrence);
        hold_back_unresolved(*job, first);
        dispatch_due_ = true;
    }
    return job->find(id);
}

// ----------------------------------------------------------- starts and stops

void cell_owner::on_start_answer(time_point now, cell_worker& worker,
                                 const pending_call& pending,
                                 const worker_answer& answer)
{
    auto* run = worker.find(pending.key);
    if (!run)
        return;
    auto* job = find_job(pending.key.first.job);
    if (answer.status == command_status::ok)
    {
        worker.unanswered_starts = 0;
        run->state = run_state::running;
        run->confirmed_at = now;
        if (job)
            mark_begun(*job);
        auto* task = job ? job->find(pending.key.first) : nullptr;
        if (task && task->worker == pending.worker &&
            task->run == pending.key.second &&
            task->state == cell_task_state::starting)
            task->state = cell_task_state::running;
        return;
    }
    context_.counters.count("carobcourse_start_failures_total",
                            to_string(answer.status));
    context_.log(log_code::cell_start_failed,
                 fmt::format("task={} run={} worker={} status={} agent={}",
                             to_string(pending.key.first), pending.key.second,
                             pending.worker, to_string(answer.status),
                             pending.relay));
    const bool is_unknown = answer.status == command_status::unknown;
    // A later call had arrived before.
    const bool is_overtaken = answer.status == command_status::fenced;
    if ((is_unknown || is_overtaken) &&
        pending.attempt + 1 < config::cell_max_start_attempts &&
        !run->stop_requested && job &&
        remaining_lease(now) >= duration(config::cell_start_timeout))
    {
        send_start(now, worker, pending.key, pending.ticket,
                   pending.attempt + 1);
        return;
    }
    // The refusal of a repeated start does not tell whether an earlier copy was
    // accepted.
    if (is_unknown || pending.attempt > 0)
    {
        if (is_unknown)
            worker.doubt_incarnation(now, longest_unknown_lease());
        // A report that the worker makes after `start_deadline_ms`, when it
        // accepts the start no longer, shows whether the run exists.
        run->state = run_state::unconfirmed;
        worker.next_poll_at = std::min(worker.next_poll_at, now);
        worker.avoid_until =
            now + std::min<duration>(config::cell_unanswered_start_delay *
                                         ++worker.unanswered_starts,
                                     config::cell_max_unanswered_start_delay);
        if (run->start_deadline_ms == no_start_deadline)
            request_stop(now, worker, pending.key);
        // The other members of the gang can not proceed, and a stop settles the
        // state of this run sooner than the next report.
        if (job && job->spec().steps[pending.key.first.step].gang)
            stop_gang(now, *job, pending.key.first);
        return;
    }
    if (answer.status == command_status::no_room ||
        answer.status == command_status::unhealthy)
        worker.avoid_until = std::max(worker.avoid_until,
                                      now + config::cell_start_refusal_delay);
    if (answer.status == command_status::unhealthy)
        count_worker_failure(now, worker, pending.key.first.job);
    if (answer.status == command_status::bad_ticket && job)
    {
        auto* step = job->find_step(pending.key.first.occurrence,
                                    pending.key.first.step);
        if (step)
            step->advice.at(worker.number()).valid_until = {};
    }
    drop_run(now, worker, pending.key);
}

void cell_owner::send_stops(time_point now, cell_worker& worker)
{
    if (worker.requested_stops == 0)
        return;
    for (const auto& [key, run] : worker.runs())
    {
        if (!run.stop_requested || run.stop_call != 0 ||
            now < run.next_stop_at || run.state == run_state::starting)
            continue;
        worker_call call;
        call.command = worker_command::stop;
        call.worker = worker.report().id;
        call.address = worker.report().address;
        call.task = key.first;
        call.run = key.second;
        call.timeout_ms = config::cell_start_timeout.count();
        pending_call pending;
        pending.key = key;
        auto* mutable_run = worker.find(key);
        mutable_run->stop_call =
            send_call(now, relay_for(worker, worker.poll_failures),
                      std::move(call), std::move(pending));
    }
}

void cell_owner::on_stop_answer(time_point now, cell_worker& worker,
                                const pending_call& pending,
                                const worker_answer& answer)
{
    auto* run = worker.find(pending.key);
    if (!run)
        return;
    run->stop_call = 0;
    const bool is_overtaken = answer.status == command_status::fenced;
    run->next_stop_at =
        is_overtaken ? now : now + config::cell_stop_retry_delay;
    if (answer.status == command_status::ok)
    {
        run->next_stop_at = now + config::cell_stop_repeat_delay;
        // From now on the worker refuses the start if it has not arrived yet.
        // The answer to the next poll shows whether the run exists.
        if (run->state == run_state::unconfirmed)
        {
            run->state = run_state::running;
            run->confirmed_at = now;
        }
        worker.next_poll_at = std::min(worker.next_poll_at, now);
    }
}

} // namespace carobcourse
