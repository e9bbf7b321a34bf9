#include "policy_dispatcher_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <utility>

namespace carobcourse
{

namespace
{

/// A plan goes over all running tasks, so it is not made on every pass.
constexpr auto plan_period = std::chrono::seconds(1);
/// Run time assumed for a task without a declared or learned one.
constexpr auto unknown_run = std::chrono::seconds(60);
/// A task past its expected end is expected to run this much longer.
constexpr auto overdue_run = std::chrono::seconds(1);
/// Stopped tasks that have not ended by then are not waited for any longer.
constexpr auto preempt_patience = std::chrono::seconds(1);

} // namespace

void dispatcher::erase(const task_id& task)
{
    queue_.erase(task);
    preempting_.erase(task);
    if (reservation_ && reservation_->job() == task.job)
        reservation_.reset();
}

void dispatcher::clear()
{
    queue_.clear();
    shares_.clear();
    preemptible_.clear();
    running_.clear();
    racks_.clear();
    rack_of_.clear();
    preempting_.clear();
    reservation_.reset();
    next_plan_ = time_point();
}

duration dispatcher::expected_run(const dispatch_job& job) const
{
    return usage_.expected_run(job.queued.team, job.queued.kind,
                               job.declared_run);
}

void dispatcher::running(time_point now, const task_id& task,
                         const dispatch_job& job, const std::string& worker)
{
    const auto& queued = job.queued;
    if (!running_
             .try_emplace(task,
                          running_task{job, worker, now, expected_run(job)})
             .second)
        return;
    shares_.charge(now, task, queued.team, queued.amount);
    if (queued.kind == job_kind::batch && queued.urgency == job_class::normal)
        preemptible_.add(task, worker, queued.amount, job.checkpoints, now);
}

void dispatcher::ended(time_point now, const task_id& task, bool succeeded)
{
    const auto found = running_.find(task);
    if (found == running_.end())
        return;
    const auto& of = found->second;
    if (succeeded)
        usage_.observe_run(of.job.queued.team, of.job.queued.kind,
                           of.job.declared_run, now - of.started);
    running_.erase(found);
    preemptible_.remove(task);
    shares_.release(now, task);
    if (const auto rack = rack_of_.find(task); rack != rack_of_.end())
    {
        auto& counts = racks_[task.job];
        if (--counts[rack->second] == 0)
            counts.erase(rack->second);
        if (counts.empty())
            racks_.erase(task.job);
        rack_of_.erase(rack);
    }
}

void dispatcher::observe_size(const task_id& task, const resources& used)
{
    const auto found = running_.find(task);
    if (found == running_.end())
        return;
    const auto& queued = found->second.job.queued;
    usage_.observe_size(queued.team, queued.kind, queued.amount, used);
}

std::size_t dispatcher::schedule(time_point now, placement_index& index,
                                 dispatch_port& port, std::size_t max_tries)
{
    shares_.set_capacity(index.total_capacity());
    const auto grown = index.take_grown();
    for (const auto worker : grown)
    {
        if (index.is_used(worker))
            queue_.freed(index.free(worker));
    }
    for (const auto& [task, since] : preempting_)
    {
        if (!grown.empty() || now - since >= preempt_patience)
            queue_.insert(task);
    }
    if (reservation_)
        reservation_->mask(index);
    const auto tries = queue_.pass(
        now, shares_,
        [&](const task_id& task, queued_job& queued)
        {
            dispatch_job job;
            if (!port.describe(task, job))
                return false;
            queued = job.queued;
            queued.estimate = expected_run(job);
            port.waits(task, result_code::waits_for_turn, "");
            return true;
        },
        [&](const task_id& task) { return try_task(now, index, port, task); },
        max_tries);
    if (reservation_)
        reservation_->unmask(index);
    return tries;
}

void dispatcher::start(time_point now, placement_index& index,
                       dispatch_port& port, const task_id& task,
                       const dispatch_job& job, const placement& where)
{
    const auto worker = index.name(where.worker);
    if (reservation_)
        reservation_->restore(index, where.worker);
    port.start(task, worker, where.why);
    if (reservation_)
        reservation_->refresh(index, where.worker);
    preempting_.erase(task);
    running(now, task, job, worker);
    if (job.queued.kind == job_kind::service)
    {
        const auto& rack = index.rack_name(index.rack(where.worker));
        if (rack_of_.emplace(task, rack).second)
            ++racks_[task.job][rack];
    }
}

try_result dispatcher::try_task(time_point now, placement_index& index,
                                dispatch_port& port, const task_id& task)
{
    dispatch_job job;
    if (!port.describe(task, job))
        return try_result::gone;
    const auto& queued = job.queued;
    if (queued.kind == job_kind::gang)
        return try_gang(now, index, port, task, job);
    if (!port.may_start(job, 1))
        return try_result::team_refused;
    placement_request request;
    request.amount = queued.amount;
    if (const auto used = racks_.find(task.job); used != racks_.end())
    {
        for (const auto& [name, count] : used->second)
        {
            if (const auto rack = index.find_rack(name))
                request.racks_used[*rack] = count;
        }
    }
    auto chosen = policy_for(queued.kind).choose(index, request);
    if (chosen.empty() && reservation_)
    {
        const auto run = expected_run(job);
        const auto worker = reservation_->backfill(queued.amount);
        if (worker != no_worker && queued.kind == job_kind::batch &&
            run > duration::zero() && now + run <= reservation_->start())
            chosen.push_back({worker, "backfill: ends before a gang starts"});
    }
    if (!chosen.empty())
    {
        start(now, index, port, task, job, chosen.front());
        return try_result::placed;
    }
    if (!index.could_ever_fit(queued.amount))
    {
        port.waits(task, result_code::waits_unrunnable, "");
        return try_result::no_room;
    }
    if (queued.urgency == job_class::urgent)
        return preempt_for(now, index, port, task, job);
    port.waits(task, result_code::waits_for_room, "");
    return try_result::no_room;
}

try_result dispatcher::preempt_for(time_point now, placement_index& index,
                                   dispatch_port& port, const task_id& task,
                                   const dispatch_job& job)
{
    const auto asked = preempting_.find(task);
    if (asked != preempting_.end() && now - asked->second < preempt_patience)
        return try_result::gone; // Inserted again when capacity is free.
    const auto victims = preemptible_.choose(index, job.queued.amount);
    if (victims.empty())
    {
        preempting_.erase(task);
        port.waits(task, result_code::waits_for_room, "");
        return try_result::no_room;
    }
    for (const auto& victim : victims)
    {
        preemptible_.remove(victim);
        port.preempt(victim, running_.at(victim).job.checkpoints);
    }
    preempting_[task] = now;
    port.waits(task, result_code::waits_for_preempted,
               std::to_string(victims.size()) + " tasks");
    return try_result::gone;
}

try_result dispatcher::try_gang(time_point now, placement_index& index,
                                dispatch_port& port, const task_id& task,
                                const dispatch_job& job)
{
    const auto tasks = port.waiting_of(task.job);
    if (tasks.empty())
        return try_result::gone;
    const auto count = static_cast<std::uint32_t>(tasks.size());
    const bool own = reservation_ && reservation_->job() == task.job;
    if (own)
        reservation_->unmask(index);
    if (!port.may_start(job, count))
    {
        if (own)
            reservation_.reset();
        return try_result::team_refused;
    }
    placement_request request;
    request.amount = job.queued.amount;
    request.tasks = count;
    const auto chosen = policy_for(job_kind::gang).choose(index, request);
    if (chosen.empty())
    {
        if (!reservation_ || (own && now >= next_plan_))
        {
            reserve(now, index, task.job, job, count);
            next_plan_ = now + plan_period;
            if (reservation_)
                reservation_->mask(index);
        }
        else if (own)
        {
            reservation_->mask(index);
        }
        const bool reserved = reservation_ && reservation_->job() == task.job;
        port.waits(task, result_code::waits_for_gang_room,
                   reserved ? "start expected in " +
                                  std::to_string(remaining_ms(
                                      now, reservation_->start())) +
                                  " ms"
                            : "");
        return try_result::no_room;
    }
    if (own)
        reservation_.reset();
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        start(now, index, port, tasks[i], job, chosen[i]);
        if (tasks[i] != task)
            queue_.erase(tasks[i]);
    }
    return try_result::placed;
}

void dispatcher::reserve(time_point now, const placement_index& index,
                         const std::string& job, const dispatch_job& of,
                         std::uint32_t tasks)
{
    std::vector<expected_end> ends;
    for (const auto& [task, run] : running_)
    {
        if (run.job.queued.kind == job_kind::service)
            continue;
        const auto length =
            run.estimate > duration::zero() ? run.estimate : unknown_run;
        ends.push_back({index.find(run.worker), run.job.queued.amount,
                        std::max(run.started + length, now + overdue_run)});
    }
    reservation_ = gang_reservation::plan(index, job, of.queued.amount, tasks,
                                          std::move(ends), now);
}

} // namespace carobcourse
