// Runs of tasks on workers: what a list says about them, starts and stops.
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

} // namespace

void cell_owner::reconcile(time_point now, cell_worker& worker,
                           const pending_call& pending,
                           const worker_answer& answer)
{
    std::set<run_key> named;
    for (const auto& report : answer.running)
    {
        const run_key key{report.task, report.run};
        named.insert(key);
        auto* run = worker.find(key);
        if (!run)
        {
            adopt(now, worker, report);
            continue;
        }
        if (run->state == run_state::unclear)
        {
            run->state = run_state::running;
            run->seen_at = now;
        }
        if (!report.checkpoint.empty())
            run->checkpoint = report.checkpoint;
    }
    for (const auto& end : answer.ended)
    {
        named.insert({end.task, end.run});
        if (end.number <= worker.ends_seen)
            continue;
        worker.ends_seen = end.number;
        on_end(now, worker, end);
    }
    if (worker.ends_seen > worker.ends_durable)
        acks_due_.insert(worker.report().id);
    std::vector<run_key> absent;
    for (const auto& [key, run] : worker.runs())
    {
        if (named.count(key))
            continue;
        const bool never = run.state == run_state::unclear &&
                           answer.clock_ms >= run.start_until_ms;
        const bool lost =
            run.state == run_state::running && pending.sent_at > run.seen_at;
        if (never || lost)
            absent.push_back(key);
    }
    for (const auto& key : absent)
    {
        context_.log(log_code::cell_task_lost,
                     fmt::format("task={} run={} worker={} reason=not_listed",
                                 to_string(key.first), key.second,
                                 worker.report().id));
        drop_run(now, worker, key);
    }
}

void cell_owner::adopt(time_point now, cell_worker& worker,
                       const running_report& report)
{
    auto* job = find_job(report.task.job);
    auto* task = job ? job->find(report.task) : nullptr;
    cell_run run;
    run.state = run_state::running;
    run.seen_at = now;
    run.checkpoint = report.checkpoint;
    run.step_key =
        step_key_of(report.task.job, report.task.occurrence, report.task.step);
    if (task)
    {
        const auto& spec = job->spec().steps[report.task.step];
        run.amount = spec.amount;
        run.fills = spec.fills;
        run.customer = job->customer();
        run.expected_end = now + std::chrono::milliseconds(spec.estimate_ms);
    }
    run.amount_unknown = !task;
    const bool wanted = task && task->state == cell_task_state::unclear &&
                        !is_final(job->phase());
    run.stop_wanted = !wanted;
    workers_.add_run(worker, {report.task, report.run}, run);
    context_.log(log_code::cell_task_adopted,
                 fmt::format("task={} run={} worker={} wanted={} epoch={}",
                             to_string(report.task), report.run,
                             worker.report().id, wanted, row().epoch));
    if (!wanted)
        return;
    task->state = cell_task_state::running;
    task->worker = worker.report().id;
    task->run = report.run;
    job->note_started();
}

void cell_owner::on_end(time_point now, cell_worker& worker,
                        const end_report& end)
{
    const run_key key{end.task, end.run};
    const auto& id = worker.report().id;
    context_.counters.count("carobcourse_task_ends_total", name_of(end.kind));
    context_.log(log_code::cell_task_ended,
                 fmt::format("task={} run={} worker={} end={} number={}",
                             to_string(end.task), end.run, id,
                             name_of(end.kind), end.number));
    auto* job = find_job(end.task.job);
    auto* task = job ? job->find(end.task) : nullptr;
    workers_.remove_run(worker, key);
    if (!task || is_final(job->phase()))
        return;
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    if (end.kind == end_kind::done)
    {
        worker.failures = 0;
        worker.failed_jobs.clear();
        job->mark_done(end.task);
        dirty_.insert(job->id());
        return;
    }
    release_task(id, key);
    const auto& spec = job->spec().steps[end.task.step];
    if (end.kind == end_kind::failed)
    {
        const auto* queue = context_.config
                                ? context_.config->queue_named(job->queue())
                                : nullptr;
        note_failure(now, worker, end.task.job);
        job->mark_failed(end.task, end.run, queue ? queue->attempts : 1);
        dirty_.insert(job->id());
        if (is_final(job->phase()))
            stop_job_runs(now, job->id());
    }
    if (spec.gang)
        stop_gang(now, *job, end.task);
}

void cell_owner::release_task(const std::string& worker, const run_key& key)
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
}

void cell_owner::drop_run(time_point now, cell_worker& worker,
                          const run_key& key)
{
    const auto* run = worker.find(key);
    if (!run)
        return;
    auto* job = find_job(key.first.job);
    auto* task = job ? job->find(key.first) : nullptr;
    if (task && !run->checkpoint.empty())
        task->checkpoint = run->checkpoint;
    workers_.remove_run(worker, key);
    release_task(worker.report().id, key);
    if (task && job->spec().steps[key.first.step].gang)
        stop_gang(now, *job, key.first);
}

void cell_owner::lose_runs(time_point now, cell_worker& worker,
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

/// Members of a gang that is no longer complete do no work; they are stopped
/// so that the gang can start again as a whole.
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
            stop_run(now, *worker,
                     {{job.id(), member.occurrence, member.step, i}, task.run});
    }
}

void cell_owner::stop_run(time_point now, cell_worker& worker,
                          const run_key& key)
{
    auto* run = worker.find(key);
    if (!run || run->stop_wanted)
        return;
    run->stop_wanted = true;
    run->next_stop = now;
    ++worker.stops_wanted;
    attention_.insert(worker.report().id);
}

void cell_owner::stop_job_runs(time_point now, const std::string& job)
{
    for (auto& [id, worker] : workers_.all())
    {
        std::vector<run_key> keys;
        for (const auto& [key, run] : worker.runs())
            if (key.first.job == job)
                keys.push_back(key);
        for (const auto& key : keys)
            stop_run(now, worker, key);
    }
}

void cell_owner::note_failure(time_point now, cell_worker& worker,
                              const std::string& job)
{
    ++worker.failures;
    worker.failed_jobs.insert(job);
    if (worker.failures < config::cell_failing_worker ||
        worker.failed_jobs.size() < 2)
        return;
    worker.avoid_until = now + config::cell_failing_pause;
    context_.log(log_code::worker_quarantined,
                 fmt::format("worker={} failures={} jobs={}",
                             worker.report().id, worker.failures,
                             worker.failed_jobs.size()));
}

/// Ends the wait for workers of earlier owners once each has said what it
/// runs or can run nothing any more.
void cell_owner::resolve_unclear(time_point now)
{
    if (!has_unclear_)
        return;
    if (!unresolved_.empty())
    {
        if (now < claimed_at_ + config::cell_worker_lease_most)
            return;
        context_.log(log_code::cell_workers_unresolved,
                     fmt::format("count={} first={}", unresolved_.size(),
                                 *unresolved_.begin()));
        unresolved_.clear();
    }
    has_unclear_ = false;
    for (auto& [id, job] : jobs_)
    {
        for (auto& [number, occurrence] : job->occurrences())
        {
            for (auto& step : occurrence.steps)
            {
                for (auto& task : step.tasks)
                {
                    if (task.state != cell_task_state::unclear)
                        continue;
                    task.state = cell_task_state::waiting;
                    --step.active;
                    dispatch_due_ = true;
                }
            }
        }
    }
}

// ----------------------------------------------------------- starts and stops

void cell_owner::on_start(time_point now, cell_worker& worker,
                          const pending_call& pending,
                          const worker_answer& answer)
{
    auto* run = worker.find(pending.key);
    if (!run)
        return;
    auto* job = find_job(pending.key.first.job);
    if (answer.status == command_status::ok)
    {
        worker.silent_starts = 0;
        run->state = run_state::running;
        run->seen_at = now;
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
                             pending.agent));
    const bool is_unknown = answer.status == command_status::unknown;
    if (is_unknown && pending.attempt + 1 < config::cell_start_attempts &&
        !run->stop_wanted && job &&
        lease_left(now) >= duration(config::cell_start_timeout))
    {
        send_start(now, worker, pending.key, pending.ticket,
                   pending.attempt + 1);
        return;
    }
    // A refusal of a repeated start says nothing about the copies before.
    if (is_unknown || pending.attempt > 0)
    {
        // Settled by a later list, after the time in which it is taken.
        run->state = run_state::unclear;
        worker.next_hold = std::min(worker.next_hold, now);
        worker.avoid_until =
            now + std::min<duration>(config::cell_silent_pause *
                                         ++worker.silent_starts,
                                     config::cell_silent_pause_most);
        // The others of a gang would wait in vain; a stop settles this run
        // sooner than the next list.
        if (job && job->spec().steps[pending.key.first.step].gang)
            stop_gang(now, *job, pending.key.first);
        return;
    }
    if (answer.status == command_status::no_room ||
        answer.status == command_status::unhealthy)
        worker.avoid_until =
            std::max(worker.avoid_until, now + config::cell_refusal_pause);
    if (answer.status == command_status::unhealthy)
        note_failure(now, worker, pending.key.first.job);
    if (answer.status == command_status::bad_ticket && job)
    {
        auto* step = job->find_step(pending.key.first.occurrence,
                                    pending.key.first.step);
        if (step)
            step->advice.by_worker[worker.number()].valid_until = {};
    }
    drop_run(now, worker, pending.key);
}

void cell_owner::send_stops(time_point now, cell_worker& worker)
{
    if (worker.stops_wanted == 0)
        return;
    for (const auto& [key, seen] : worker.runs())
    {
        if (!seen.stop_wanted || seen.stop_call != 0 || now < seen.next_stop ||
            seen.state == run_state::ordered)
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
        auto* run = worker.find(key);
        run->stop_call = send_call(now, agent_for(worker, worker.hold_failures),
                                   std::move(call), std::move(pending));
    }
}

void cell_owner::on_stop(time_point now, cell_worker& worker,
                         const pending_call& pending,
                         const worker_answer& answer)
{
    auto* run = worker.find(pending.key);
    if (!run)
        return;
    run->stop_call = 0;
    run->next_stop = now + config::cell_stop_retry;
    if (answer.status == command_status::ok)
    {
        run->next_stop = now + config::cell_stop_patience;
        // A run that is not there is refused from now on; the next list that
        // was asked for later shows whether it was.
        if (run->state == run_state::unclear)
        {
            run->state = run_state::running;
            run->seen_at = now;
        }
        worker.next_hold = std::min(worker.next_hold, now);
    }
}

} // namespace carobcourse
