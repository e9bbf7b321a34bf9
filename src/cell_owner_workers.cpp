#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using std::chrono::milliseconds;

} // namespace

// ------------------------------------------------------------ list of workers

void cell_owner::watch_workers(time_point now)
{
    if (worker_watch_ || now < next_worker_watch_)
        return;
    if (reread_workers_)
    {
        reread_workers_ = false;
        next_worker_watch_ = time_point::max();
        for (auto& [id, worker] : workers_.all())
            worker.listed = false;
        scan(load_part::workers, "");
        return;
    }
    worker_watch_ =
        context_.watch(context_.outside.worker_table(), worker_version_);
}

bool cell_owner::on_watch(time_point now, const watch_result& result)
{
    if (!worker_watch_ || !(*worker_watch_ == result.op))
        return false;
    worker_watch_.reset();
    next_worker_watch_ = now + config::cell_worker_watch_gap;
    if (result.history_lost)
    {
        reread_workers_ = true;
        return true;
    }
    if (result.status != store_status::ok)
        return true;
    worker_version_ = std::max(worker_version_, result.version);
    for (const auto& row : result.rows)
        apply_worker_row(now, row.key, row.value);
    for (const auto& id : result.removed)
        on_unlisted(now, id);
    record_leases();
    return true;
}

void cell_owner::apply_worker_row(time_point now, const std::string& key,
                                  const std::string& value)
{
    auto report = context_.outside.read_worker(key, value);
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
        worker->next_hold = now;
        attention_.insert(key);
        const auto& about = worker->report();
        context_.log(log_code::cell_worker_listed,
                     fmt::format("worker={} data_centre={} rack={} cpu={} "
                                 "memory_mb={} draining={}",
                                 key, about.data_centre, about.rack,
                                 about.capacity.cpu_millis,
                                 about.capacity.memory_mb, about.draining));
        return;
    }
    if (report->draining && !worker->report().draining)
        context_.log(
            log_code::cell_worker_draining,
            fmt::format("worker={} runs={}", key, worker->runs().size()));
    worker->listed = true;
    worker->update(std::move(*report));
}

void cell_owner::on_unlisted(time_point now, const std::string& id)
{
    auto* worker = workers_.find(id);
    if (!worker || !worker->listed)
        return;
    worker->listed = false;
    worker->next_hold = now;
    context_.log(log_code::cell_worker_unlisted,
                 fmt::format("worker={} runs={} reachable={}", id,
                             worker->runs().size(), worker->reachable));
}

// --------------------------------------------------------------------- calls

std::string cell_owner::agent_for(const cell_worker& worker,
                                  unsigned attempt) const
{
    // Beside the worker, and not the owner while there are others: its time
    // goes to decisions.
    std::vector<const cell_agent*> near;
    std::vector<const cell_agent*> others;
    for (const auto& agent : agents_)
    {
        if (agent.host == context_.identity.host || agent.leaving)
            continue;
        if (agent.data_centre == worker.report().data_centre)
            near.push_back(&agent);
        else
            others.push_back(&agent);
    }
    const auto hash = step_key_of(worker.report().id, 0, 0);
    if (!near.empty() && attempt % 2 == 0)
        return near[(hash + attempt / 2) % near.size()]->host;
    if (!others.empty() && (attempt > 0 || near.empty()))
        return others[(hash + attempt) % others.size()]->host;
    return near.empty() ? context_.identity.host : near.front()->host;
}

std::uint64_t cell_owner::send_call(time_point now, const std::string& agent,
                                    worker_call call, pending_call pending)
{
    call.id = context_.next_call();
    call.epoch = row().epoch;
    pending.order = call.command;
    pending.agent = agent;
    pending.worker = call.worker;
    pending.sent_at = now;
    pending.deadline = now + std::chrono::milliseconds(call.timeout_ms) +
                       config::cell_relay_margin;
    const auto id = call.id;
    calls_.emplace(id, std::move(pending));
    links_.call(agent, call);
    return id;
}

void cell_owner::on_answer(time_point now, const worker_answer& answer)
{
    const auto found = calls_.find(answer.id);
    if (found == calls_.end())
        return;
    const auto pending = std::move(found->second);
    calls_.erase(found);
    dispatch_due_ = true;
    if (pending.order == worker_command::advise)
    {
        on_advice(now, pending, answer);
        return;
    }
    auto* worker = workers_.find(pending.worker);
    if (!worker)
        return;
    attention_.insert(pending.worker);
    if (answer.clock_ms >= 0 &&
        answer.status != command_status::other_incarnation)
        worker->note_clock(now, answer.clock_ms);
    if (answer.status == command_status::fenced)
    {
        // Another owner has reached the worker. The store tells who it is.
        context_.log(
            log_code::cell_fenced,
            fmt::format("worker={} epoch={}", pending.worker, row().epoch));
        context_.counters.count("carobcourse_fenced_total");
    }
    switch (pending.order)
    {
    case worker_command::poll:
        on_hold(now, *worker, pending, answer);
        break;
    case worker_command::start:
        on_start(now, *worker, pending, answer);
        break;
    case worker_command::stop:
        on_stop(now, *worker, pending, answer);
        break;
    case worker_command::advise:
    case worker_command::pace:
        break;
    }
}

void cell_owner::give_up_calls(
    time_point now, const std::function<bool(const pending_call&)>& is_lost)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : calls_)
        if (is_lost(call))
            lost.push_back(id);
    for (const auto id : lost)
    {
        worker_answer none;
        none.id = id;
        on_answer(now, none);
    }
}

// --------------------------------------------------------------------- holds

/// A later owner waits for the longest lease from its claim on. The claim is
/// later than the last commit of this one, so leases are counted from that.
duration cell_owner::lease_left(time_point now) const
{
    return std::max(duration(0), journal_.ownership_confirmed_at() +
                                     duration(config::cell_worker_lease) - now);
}

bool cell_owner::is_confirmed(time_point now) const
{
    return now <= journal_.ownership_confirmed_at() + config::cell_owner_doubt;
}

void cell_owner::hold_due(time_point now)
{
    std::vector<std::string> gone;
    if (now >= next_look_)
    {
        next_look_ = now + config::cell_worker_look_gap;
        attention_.clear();
        for (auto& [id, worker] : workers_.all())
            if (look_after(now, worker))
                gone.push_back(id);
    }
    for (const auto& id : std::exchange(attention_, {}))
    {
        auto* worker = workers_.find(id);
        if (worker && look_after(now, *worker))
            gone.push_back(id);
    }
    for (const auto& id : gone)
    {
        context_.log(log_code::cell_worker_gone, fmt::format("worker={}", id));
        workers_.remove(id);
        acks_due_.erase(id);
    }
    if (!gone.empty())
        record_leases();
}

/// Sends what is due to a worker. Returns true when it is gone for good.
bool cell_owner::look_after(time_point now, cell_worker& worker)
{
    const auto& id = worker.report().id;
    send_stops(now, worker);
    if (worker.hold_call != 0)
        return false;
    // Another host that has taken the cell over may have heard of ends that
    // this one can not see.
    if (!worker.reachable && now >= worker.lease_over() && is_confirmed(now))
    {
        if (!worker.runs().empty())
            lose_runs(now, worker, "lease_over");
        if (unresolved_.erase(id) > 0)
            dispatch_due_ = true;
        if (!worker.listed)
            return true;
    }
    if (worker.ends_seen > worker.ends_durable &&
        now < worker.hold_sent + config::cell_ack_patience)
        return false;
    if (now >= worker.next_hold)
        hold(now, worker);
    return false;
}

void cell_owner::hold(time_point now, cell_worker& worker)
{
    worker_call call;
    call.command = worker_command::poll;
    call.worker = worker.report().id;
    call.address = worker.report().address;
    call.acked_end = worker.ends_durable;
    // A worker that lists ends answers at once, so there is no point in
    // waiting; neither is there before its clock is known.
    const bool waits = worker.held && worker.reachable &&
                       worker.ends_seen == worker.ends_durable;
    // Until a lost answer is noticed, ends on the worker are not heard of.
    const auto wait = worker.runs().empty() ? config::cell_hold_wait_idle
                                            : config::cell_hold_wait;
    call.wait_ms = waits ? wait.count() : 0;
    call.timeout_ms = call.wait_ms + config::cell_hold_timeout.count();
    // A worker that does not answer gets no longer lease: its tasks could not
    // run elsewhere before the end of the last one.
    const auto lease = lease_left(now);
    if (worker.has_clock() && worker.hold_failures == 0 && lease > duration(0))
    {
        call.lease_until_ms = worker.clock_at(now) + lease / milliseconds(1);
        worker.note_lease(call.lease_until_ms);
    }
    worker.hold_sent = now;
    worker.hold_call = send_call(now, agent_for(worker, worker.hold_failures),
                                 std::move(call), {});
}

void cell_owner::on_hold(time_point now, cell_worker& worker,
                         const pending_call& pending,
                         const worker_answer& answer)
{
    worker.hold_call = 0;
    const auto& id = worker.report().id;
    const bool reborn = answer.status == command_status::ok &&
                        answer.incarnation_start_ms != 0 &&
                        worker.born_ms != 0 &&
                        answer.incarnation_start_ms != worker.born_ms;
    if (answer.status == command_status::other_incarnation || reborn)
    {
        // What ran in the incarnation before has ended with it.
        lose_runs(now, worker, "restarted");
        auto report = worker.report();
        const bool listed = worker.listed;
        workers_.remove(id);
        if (!listed)
            return;
        auto& fresh = workers_.add(std::move(report));
        fresh.first_seen = now;
        fresh.next_hold = now + config::cell_hold_retry;
        unresolved_.erase(fresh.report().id);
        return;
    }
    if (answer.status != command_status::ok)
    {
        ++worker.hold_failures;
        if (worker.reachable && worker.hold_failures > 1)
        {
            worker.reachable = false;
            context_.log(log_code::cell_worker_unreachable,
                         fmt::format("worker={} status={} runs={} agent={}", id,
                                     to_string(answer.status),
                                     worker.runs().size(), pending.agent));
        }
        worker.next_hold = now + config::cell_hold_retry;
        return;
    }
    if (!worker.reachable)
        context_.log(log_code::cell_worker_reachable,
                     fmt::format("worker={} after_failures={}", id,
                                 worker.hold_failures));
    worker.hold_failures = 0;
    worker.reachable = true;
    worker.born_ms = answer.incarnation_start_ms;
    const bool first = !worker.held;
    worker.held = true;
    reconcile(now, worker, pending, answer);
    if (first && unresolved_.erase(id) > 0)
        dispatch_due_ = true;
    worker.next_hold = now;
}

} // namespace carobcourse
