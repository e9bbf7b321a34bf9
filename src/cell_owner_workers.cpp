#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using std::chrono::milliseconds;

/// Load pattern: most polls of a large cell end without news. A longer wait
/// bounds their rate, at the price of a later repetition of a lost answer.
milliseconds busy_poll_wait(std::size_t workers)
{
    return std::clamp(config::cell_poll_wait_per_worker *
                          static_cast<std::int64_t>(workers),
                      config::cell_poll_wait, config::cell_idle_poll_wait);
}

/// Load pattern: commits are late, and each poll before the commit lists the
/// same ends again. A longer delay in a large cell keeps the backlog from
/// making work of its own.
milliseconds max_ack_delay(std::size_t workers)
{
    return std::clamp(config::cell_poll_wait_per_worker *
                          static_cast<std::int64_t>(workers),
                      config::cell_max_ack_delay, config::cell_idle_poll_wait);
}

} // namespace

// ---------------------------------------------------------------- worker list

void cell_owner::watch_workers(time_point now)
{
    if (worker_watch_ || now < next_worker_watch_)
        return;
    if (reread_workers_)
    {
        reread_workers_ = false;
        next_worker_watch_ = time_point::max();
        request_page({state_table::workers, ""});
        return;
    }
    worker_watch_ =
        context_.request_watch(context_.external_rows.worker_table(),
                               worker_version_, config::cell_max_watch_wait);
}

bool cell_owner::on_watch(time_point now, const watch_result& result)
{
    if (!worker_watch_ || !(*worker_watch_ == result.op))
        return false;
    worker_watch_.reset();
    next_worker_watch_ = now + config::cell_min_worker_watch_interval;
    if (result.history_lost)
    {
        reread_workers_ = true;
        return true;
    }
    if (result.status != store_status::ok)
        return true;
    if (result.version < worker_version_)
    {
        context_.report_read_behind(context_.external_rows.worker_table(),
                                    result.version, worker_version_);
        return true;
    }
    worker_version_ = result.version;
    for (const auto& row : result.rows)
        apply_worker_row(now, row.key, row.value);
    for (const auto& id : result.removed)
        on_worker_unlisted(now, id);
    write_leased_workers();
    return true;
}

void cell_owner::apply_worker_row(time_point now, const std::string& key,
                                  const std::string& value)
{
    auto report = context_.external_rows.read_worker(key, value);
    if (!report)
    {
        context_.log(log_code::cell_row_unreadable,
                     fmt::format("worker={} {}", key, report.error().detail));
        return;
    }
    auto* worker = workers_.find(key);
    if (!worker)
    {
        worker = &workers_.add(std::move(*report));
        worker->first_seen = now;
        worker->next_poll_at = now;
        workers_to_update_.insert(key);
        const auto& added = worker->report();
        context_.log(log_code::cell_worker_listed,
                     fmt::format("worker={} data_centre={} rack={} cpu={} "
                                 "memory_mb={} draining={}",
                                 key, added.data_centre, added.rack,
                                 added.capacity.cpu_millis,
                                 added.capacity.memory_mb, added.draining));
        return;
    }
    if (report->draining && !worker->report().draining)
        context_.log(
            log_code::cell_worker_draining,
            fmt::format("worker={} runs={}", key, worker->runs().size()));
    worker->listed = true;
    worker->update(std::move(*report));
}

void cell_owner::on_worker_unlisted(time_point now, const std::string& id)
{
    auto* worker = workers_.find(id);
    if (!worker || !worker->listed)
        return;
    worker->listed = false;
    worker->next_poll_at = now;
    context_.log(log_code::cell_worker_unlisted,
                 fmt::format("worker={} runs={} reachable={}", id,
                             worker->runs().size(), worker->reachable));
}

// --------------------------------------------------------------------- calls

std::string cell_owner::relay_for(const cell_worker& worker,
                                  unsigned attempt) const
{
    // Prefers hosts in the worker's data centre. The owner makes calls itself
    // only when there is no other host, because its time is needed for
    // scheduling decisions.
    static const relay_group no_relays;
    const auto found = relay_groups_.find(worker.report().data_centre);
    const auto& group =
        found != relay_groups_.end() ? found->second : no_relays;
    const auto& same_data_centre = group.inside;
    const auto& others =
        found != relay_groups_.end() ? group.outside : all_relays_;
    const auto hash = stable_hash(worker.report().id, 0, 0);
    if (!same_data_centre.empty() && attempt % 2 == 0)
        return same_data_centre[(hash + attempt / 2) % same_data_centre.size()];
    if (!others.empty() && (attempt > 0 || same_data_centre.empty()))
        return others[(hash + attempt) % others.size()];
    return same_data_centre.empty() ? context_.identity.host
                                    : same_data_centre.front();
}

std::uint64_t cell_owner::send_call(time_point now, const std::string& relay,
                                    worker_call call, pending_call pending)
{
    call.id = context_.next_call_id();
    call.epoch = row().epoch;
    pending.command = call.command;
    pending.relay = relay;
    pending.worker = call.worker;
    pending.address = call.address;
    pending.acked_end = call.acked_end;
    if (const auto* worker = workers_.find(call.worker))
        call.fence = worker->fence.last();
    pending.fence = call.fence;
    pending.sent_at = now;
    pending.deadline = now + std::chrono::milliseconds(call.timeout_ms) +
                       config::cell_relay_timeout_margin;
    const auto id = call.id;
    call_deadlines_.emplace(pending.deadline, id);
    pending_calls_.emplace(id, std::move(pending));
    transport_.send_call(relay, call);
    return id;
}

void cell_owner::on_answer(time_point now, const worker_answer& answer)
{
    const auto found = pending_calls_.find(answer.id);
    if (found == pending_calls_.end())
    {
        context_.counters.count("carobcourse_unmatched_answers_total");
        return;
    }
    if (lost_ownership_)
        return;
    const auto pending = std::move(found->second);
    pending_calls_.erase(found);
    dispatch_due_ = true;
    auto* worker = workers_.find(pending.worker);
    // The call did nothing. A later call of this owner has a higher fence, or a
    // later owner has: that shows with the next call.
    const bool is_overtaken = answer.status == command_status::fenced &&
                              pending.fence < (worker ? worker->fence.last()
                                                      : workers_.first_fence());
    if (answer.status == command_status::fenced && !is_overtaken)
    {
        // Only a later owner raises the epoch of a worker or of a relay.
        if (!lost_ownership_)
            context_.log(
                log_code::cell_fenced,
                fmt::format("worker={} epoch={}", pending.worker, row().epoch));
        context_.counters.count("carobcourse_fenced_total");
        lost_ownership_ = true;
        return;
    }
    if (pending.command == worker_command::advise)
    {
        on_advice_answer(now, pending, answer);
        return;
    }
    if (!worker)
        return;
    workers_to_update_.insert(pending.worker);
    if (is_overtaken)
        context_.counters.count("carobcourse_overtaken_calls_total");
    end_call(*worker, pending, answer.status);
    read_clock(now, *worker, pending, answer);
    switch (pending.command)
    {
    case worker_command::poll:
        if (is_overtaken)
            on_poll_overtaken(*worker, pending);
        else
            on_poll_answer(now, *worker, pending, answer);
        break;
    case worker_command::start:
        on_start_answer(now, *worker, pending, answer);
        break;
    case worker_command::stop:
        on_stop_answer(now, *worker, pending, answer);
        break;
    case worker_command::advise:
    case worker_command::pace:
        break;
    }
}

void cell_owner::end_call(cell_worker& worker, const pending_call& pending,
                          command_status status)
{
    if (pending.command == worker_command::start)
        worker.fence.end_start(pending.fence,
                               status != command_status::unknown);
    else if (pending.command == worker_command::poll)
        worker.fence.end_poll(pending.fence, status == command_status::ok);
}

/// Only an answer that lists runs tells the incarnation that gives it.
void cell_owner::read_clock(time_point now, cell_worker& worker,
                            const pending_call& pending,
                            const worker_answer& answer)
{
    const bool tells_incarnation = pending.command == worker_command::poll &&
                                   answer.status == command_status::ok;
    if (answer.clock_ms < 0 || tells_incarnation ||
        answer.status == command_status::other_incarnation)
        return;
    if (worker.is_plausible_clock(pending.sent_at, now, answer.clock_ms))
    {
        worker.update_clock(pending.sent_at, now, answer.clock_ms);
        return;
    }
    if (!worker.is_restart_suspected())
        context_.log(log_code::cell_worker_restart_suspected,
                     fmt::format("worker={} runs={} clock_ms={}",
                                 worker.report().id, worker.runs().size(),
                                 answer.clock_ms));
    worker.suspect_restart();
    worker.doubt_incarnation(now, longest_unknown_lease());
    worker.next_poll_at = std::min(worker.next_poll_at, now);
}

duration cell_owner::longest_unknown_lease() const
{
    return context_.identity.max_worker_lease *
               (100 + 2 * config::cell_max_clock_drift_percent) / 100 +
           duration(config::cell_relay_timeout_margin);
}

void cell_owner::fail_calls(
    time_point now, const std::function<bool(const pending_call&)>& has_failed)
{
    std::vector<std::uint64_t> failed;
    for (const auto& [id, call] : pending_calls_)
        if (has_failed(call))
            failed.push_back(id);
    fail_calls(now, failed);
}

void cell_owner::fail_overdue_calls(time_point now, time_point heard_until)
{
    std::vector<std::uint64_t> overdue;
    while (!call_deadlines_.empty() &&
           call_deadlines_.top().first <= heard_until)
    {
        overdue.push_back(call_deadlines_.top().second);
        call_deadlines_.pop();
    }
    // Independent of the deadlines, so that decisions follow the order in which
    // the calls were made.
    std::sort(overdue.begin(), overdue.end());
    fail_calls(now, overdue);
}

void cell_owner::fail_calls(time_point now,
                            const std::vector<std::uint64_t>& ids)
{
    for (const auto id : ids)
    {
        worker_answer no_answer;
        no_answer.id = id;
        on_answer(now, no_answer);
    }
}

// --------------------------------------------------------------------- polls

/// A later owner waits for the longest possible lease from its claim on. Its
/// claim is later than the last confirmed commit of this owner, so leases must
/// end at most one lease time after that commit.
duration cell_owner::remaining_lease(time_point now) const
{
    return std::max(duration(0), journal_.ownership_confirmed_at() +
                                     duration(config::cell_max_worker_lease) -
                                     now);
}

bool cell_owner::has_owned_at(time_point at) const
{
    return journal_.ownership_confirmed_at() >= at;
}

void cell_owner::update_workers(time_point now)
{
    std::vector<std::string> removed;
    if (now >= next_worker_update_)
    {
        next_worker_update_ = now + config::cell_worker_update_interval;
        workers_to_update_.clear();
        for (auto& [id, worker] : workers_.all())
            if (update_worker(now, worker))
                removed.push_back(id);
    }
    for (const auto& id : std::exchange(workers_to_update_, {}))
    {
        auto* worker = workers_.find(id);
        if (worker && update_worker(now, *worker))
            removed.push_back(id);
    }
    for (const auto& id : removed)
    {
        context_.log(log_code::cell_worker_gone, fmt::format("worker={}", id));
        workers_.remove(id);
        workers_to_acknowledge_.erase(id);
    }
    if (!removed.empty())
        write_leased_workers();
}

bool cell_owner::update_worker(time_point now, cell_worker& worker)
{
    const auto& id = worker.report().id;
    send_stops(now, worker);
    if (worker.poll_call != 0)
        return false;
    // Before the lease is over a later owner may hear of ends that this host
    // does not know.
    if (!worker.reachable && has_owned_at(worker.lease_expires_at()))
    {
        if (!worker.runs().empty())
            drop_all_runs(now, worker, "lease_over");
        // An earlier owner may have extended the lease of a worker that has
        // never answered; see `resolve_silent_workers`.
        if (worker.has_reported && unresolved_workers_.erase(id) > 0)
            dispatch_due_ = true;
        if (!worker.listed)
            return true;
    }
    // A start in flight puts off the acknowledgement until its answer.
    const bool is_ack_delayed =
        worker.last_seen_end > worker.last_durable_end ||
        (worker.last_durable_end > worker.last_acknowledged_end &&
         worker.fence.has_open_starts());
    if (is_ack_delayed &&
        now < worker.poll_sent_at + max_ack_delay(workers_.all().size()))
        return false;
    if (now >= worker.next_poll_at)
        send_poll(now, worker);
    return false;
}

bool cell_owner::may_acknowledge(time_point now,
                                 const cell_worker& worker) const
{
    return worker.fence.may_acknowledge() && !worker.is_restart_suspected() &&
           worker.poll_failures == 0 &&
           now <=
               worker.poll_answered_at + max_ack_delay(workers_.all().size());
}

void cell_owner::send_poll(time_point now, cell_worker& worker)
{
    worker_call call;
    call.command = worker_command::poll;
    call.worker = worker.report().id;
    call.address = worker.report().address;
    const bool has_ends_to_acknowledge =
        worker.last_durable_end > worker.last_acknowledged_end;
    const bool acknowledges =
        has_ends_to_acknowledge && may_acknowledge(now, worker);
    if (acknowledges)
        call.acked_end = worker.last_durable_end;
    worker.waits_to_acknowledge = has_ends_to_acknowledge && !acknowledges;
    worker.fence.begin_poll();
    // A worker with unacknowledged ends answers at once, so a wait has no
    // effect. The first poll does not wait, because the worker's clock is still
    // unknown.
    const bool long_poll = worker.has_reported && worker.reachable &&
                           worker.last_seen_end == worker.last_durable_end &&
                           !worker.waits_to_acknowledge &&
                           !worker.fence.has_lost_start();
    // The owner learns of no ends on the worker until it notices that an answer
    // is lost, so the wait is shorter while tasks are running.
    const auto wait = worker.runs().empty()
                          ? config::cell_idle_poll_wait
                          : busy_poll_wait(workers_.all().size());
    call.wait_ms = long_poll ? wait.count() : 0;
    call.timeout_ms = call.wait_ms + config::cell_poll_timeout.count();
    // The lease of a worker that does not answer is not extended, because its
    // tasks can not run elsewhere before the lease ends.
    const auto lease = remaining_lease(now);
    if (worker.has_clock() && worker.poll_failures == 0 &&
        !worker.is_restart_suspected() && lease > duration(0))
    {
        call.lease_until_ms =
            worker.clock_lower_bound_ms(now) + lease / milliseconds(1);
        worker.record_lease(call.lease_until_ms);
        worker.record_call_in_doubt(now, longest_unknown_lease());
    }
    worker.poll_sent_at = now;
    worker.poll_call = send_call(now, relay_for(worker, worker.poll_failures),
                                 std::move(call), {});
}

/// The worker takes starts from its restart on, so runs that the owner assigned
/// to it since then can be runs of the new incarnation: `reconcile_runs` drops
/// those that the worker does not list.
void cell_owner::on_worker_restarted(time_point now, cell_worker& worker,
                                     const worker_answer& answer)
{
    context_.log(
        log_code::cell_worker_restarted,
        fmt::format("worker={} incarnation={} earlier={} runs={} "
                    "listed_runs={} listed_ends={} first_end={} "
                    "earlier_seen={} earlier_acknowledged={} fence={}",
                    worker.report().id, answer.incarnation_start_ms,
                    worker.incarnation_start_ms, worker.runs().size(),
                    answer.running.size(), answer.ended.size(),
                    answer.ended.empty() ? 0 : answer.ended.front().number,
                    worker.last_seen_end, worker.last_acknowledged_end,
                    worker.fence.last()));
    // Calls of before may have given the new incarnation a lease.
    worker.doubt_incarnation(now, longest_unknown_lease());
    workers_.restart(worker);
    worker.first_seen = now;
    worker.ends_are_contiguous = true;
    std::vector<run_key> unconfirmed;
    for (const auto& [key, run] : worker.runs())
        if (run.state != run_state::running)
            unconfirmed.push_back(key);
    // The clock of the new incarnation may not reach the deadline of such a
    // start for hours, so only a stop settles whether its run exists.
    for (const auto& key : unconfirmed)
    {
        auto& run = *worker.find(key);
        run.start_deadline_ms = no_start_deadline;
        if (run.state == run_state::unconfirmed)
            request_stop(now, worker, key);
    }
}

void cell_owner::on_poll_overtaken(cell_worker& worker,
                                   const pending_call& pending)
{
    worker.poll_call = 0;
    // More starts might overtake the next poll as well.
    if (pending.acked_end > 0)
        worker.waits_to_acknowledge = true;
}

void cell_owner::on_poll_answer(time_point now, cell_worker& worker,
                                const pending_call& pending,
                                const worker_answer& answer)
{
    worker.poll_call = 0;
    ++load_.polls;
    const auto& id = worker.report().id;
    // Answers from a former address may come after starts at the present one.
    if (answer.status == command_status::other_incarnation &&
        pending.address == worker.report().address)
    {
        // The incarnation with this id has ended, and all its runs with it.
        drop_all_runs(now, worker, "restarted");
        auto report = worker.report();
        const bool listed = worker.listed;
        workers_.remove(id);
        if (!listed)
            return;
        auto& restarted_worker = workers_.add(std::move(report));
        restarted_worker.first_seen = now;
        restarted_worker.next_poll_at = now + config::cell_poll_retry_delay;
        unresolved_workers_.erase(restarted_worker.report().id);
        return;
    }
    const bool has_restarted =
        answer.status == command_status::ok &&
        answer.incarnation_start_ms != 0 && worker.incarnation_start_ms != 0 &&
        answer.incarnation_start_ms != worker.incarnation_start_ms;
    if (has_restarted)
        on_worker_restarted(now, worker, answer);
    else if (answer.status == command_status::ok)
        worker.confirm_incarnation(pending.sent_at);
    if (answer.status == command_status::ok && answer.clock_ms >= 0)
        worker.update_clock(pending.sent_at, now, answer.clock_ms);
    if (answer.status != command_status::ok)
    {
        ++worker.poll_failures;
        if (worker.reachable && worker.poll_failures > 1)
        {
            worker.reachable = false;
            context_.log(log_code::cell_worker_unreachable,
                         fmt::format("worker={} status={} runs={} agent={}", id,
                                     to_string(answer.status),
                                     worker.runs().size(), pending.relay));
        }
        worker.next_poll_at = now + config::cell_poll_retry_delay;
        return;
    }
    if (!worker.reachable)
        context_.log(log_code::cell_worker_reachable,
                     fmt::format("worker={} after_failures={}", id,
                                 worker.poll_failures));
    worker.poll_failures = 0;
    worker.reachable = true;
    worker.poll_answered_at = now;
    if (!has_restarted)
        worker.last_acknowledged_end =
            std::max(worker.last_acknowledged_end, pending.acked_end);
    worker.incarnation_start_ms = answer.incarnation_start_ms;
    if (!worker.has_reported)
        speeds_.restore(now,
                        {worker.number(), id, answer.incarnation_start_ms});
    worker.has_reported = true;
    reconcile_runs(now, worker, pending, answer);
    // An earlier owner may have acknowledged the first ends.
    worker.ends_are_contiguous =
        worker.ends_are_contiguous || worker.last_seen_end > 0;
    worker.next_poll_at = now;
}

void cell_owner::count_worker_failure(time_point now, cell_worker& worker,
                                      const std::string& job)
{
    ++worker.consecutive_failures;
    worker.failed_jobs.insert(job);
    if (worker.consecutive_failures < config::cell_max_worker_failures ||
        worker.failed_jobs.size() < 2)
        return;
    worker.avoid_until = now + config::cell_worker_quarantine_time;
    context_.log(log_code::worker_quarantined,
                 fmt::format("worker={} failures={} jobs={}",
                             worker.report().id, worker.consecutive_failures,
                             worker.failed_jobs.size()));
}

void cell_owner::remove_run(cell_worker& worker, const run_key& key)
{
    workers_.remove_run(worker, key);
    superfluous_runs_.erase(key);
    preemption_ledger_.forget(key);
}

} // namespace carobcourse
