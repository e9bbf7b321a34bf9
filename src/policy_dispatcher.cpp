#include "policy_dispatcher_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <utility>

namespace carobcourse
{

namespace
{

/// Time between two new plans of all reservations together. A plan goes over
/// all running tasks: with 27,700 of them it took 2.5 to 7.5 ms, so this is at
/// most 2.5% of a core. Real ends differ from the expected ones, so an old plan
/// keeps workers idle for a start that another set of workers allows earlier.
constexpr auto plan_period = std::chrono::milliseconds(300);
/// Reservations at one time. Each keeps capacity idle when run times were
/// estimated too long: with 8 of any kind the p99 wait of batch tasks at 95%
/// load was 21 s, with these 3 s. Large tasks have their own, because at
/// overload they otherwise take all and gangs starve.
constexpr std::size_t max_gang_reservations = 3;
constexpr std::size_t max_task_reservations = 1;
/// A task that finds no room for this long gets a reservation, so that
/// smaller tasks do not take each hole before it is large enough.
constexpr auto large_task_patience = std::chrono::seconds(5);
/// Run time assumed for a task without a declared or learned one.
constexpr auto unknown_run = std::chrono::seconds(60);
/// A task past its expected end is expected to run this much longer: until
/// about the next plan. With 1 s, plans passed over workers that were nearly
/// free.
constexpr auto overdue_run = std::chrono::milliseconds(250);
/// Stopped tasks that have not ended by then are not waited for any longer.
constexpr auto preempt_patience = std::chrono::seconds(1);

} // namespace

void dispatcher::erase(const task_id& task)
{
    queue_.erase(task);
    preempting_.erase(task);
    for (const auto kind : {job_kind::gang, job_kind::batch})
    {
        const auto found = reservations_.find(reservation_key(task, kind));
        if (found == reservations_.end())
            continue;
        for (const auto& other : found->second.tasks)
        {
            if (other != task)
                queue_.insert(other);
        }
        reservations_.erase(found);
    }
}

task_id dispatcher::reservation_key(const task_id& task, job_kind kind)
{
    return kind == job_kind::gang ? task_id{task.job + "*", 0} : task;
}

void dispatcher::mask(placement_index& index)
{
    for (auto& [key, of] : reservations_)
        of.where.mask(index);
}

void dispatcher::unmask(placement_index& index)
{
    for (auto& [key, of] : reservations_)
        of.where.unmask(index);
}

void dispatcher::clear()
{
    queue_.clear();
    shares_.clear();
    preemptible_.clear();
    running_.clear();
    running_sum_ = {};
    racks_.clear();
    rack_of_.clear();
    preempting_.clear();
    reservations_.clear();
    next_retry_ = time_point();
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
    running_sum_ += queued.amount;
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
    running_sum_ -= of.job.queued.amount;
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
    if (now >= next_retry_)
    {
        // A size class whose room never becomes free in one piece gets a try
        // from time to time, so that its head can get a reservation.
        next_retry_ = now + large_task_patience;
        queue_.freed(index.total_capacity());
    }
    for (const auto& [task, since] : preempting_)
    {
        if (!grown.empty() || now - since >= preempt_patience)
            queue_.insert(task);
    }
    mask(index);
    const auto reserved_tries = try_reserved(now, index, port, !grown.empty());
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
    unmask(index);
    return reserved_tries + tries;
}

std::size_t dispatcher::try_reserved(time_point now, placement_index& index,
                                     dispatch_port& port, bool grown)
{
    std::vector<std::pair<time_point, task_id>> due;
    for (const auto& [key, of] : reservations_)
    {
        if (grown || now >= of.next_plan)
            due.emplace_back(of.where.start(), key);
    }
    std::sort(due.begin(), due.end());
    for (const auto& item : due)
    {
        auto& own = reservations_.at(item.second);
        const auto tasks = own.tasks;
        dispatch_job job;
        if (!port.describe(tasks.front(), job))
        {
            own.where.unmask(index);
            erase(tasks.front());
            continue;
        }
        const auto result = try_task(now, index, port, tasks.front());
        if (result == try_result::placed)
        {
            if (job.queued.urgency == job_class::normal)
                queue_.started(now, job.queued.team);
        }
        else if (reservations_.count(item.second) == 0)
        {
            for (const auto& task : tasks)
                queue_.insert(task);
        }
    }
    return due.size();
}

void dispatcher::start(time_point now, placement_index& index,
                       dispatch_port& port, const task_id& task,
                       const dispatch_job& job, const placement& where)
{
    const auto worker = index.name(where.worker);
    for (auto& [key, of] : reservations_)
        of.where.restore(index, where.worker);
    port.start(task, worker, where.why);
    for (auto& [key, of] : reservations_)
        of.where.refresh(index, where.worker);
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
    const auto own = reservations_.find(task);
    if (own != reservations_.end())
        own->second.where.unmask(index);
    auto chosen = policy_for(queued.kind).choose(index, request);
    if (own != reservations_.end())
    {
        if (chosen.empty())
            own->second.where.mask(index);
        else
            reservations_.erase(own);
    }
    if (chosen.empty())
    {
        const auto worker = backfill(now, job);
        if (worker != no_worker)
        {
            chosen.push_back({worker, "backfill: ends before a reservation"});
            if (own != reservations_.end())
            {
                own->second.where.unmask(index);
                reservations_.erase(own);
            }
        }
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
    if (now - queued.accepted_at >= large_task_patience &&
        is_large(queued.amount) && reserve(now, index, task, job, {task}))
        return try_result::gone;
    return try_result::no_room;
}

bool dispatcher::is_large(const resources& amount) const
{
    return !(amount * static_cast<std::int64_t>(running_.size()))
                .fits_in(running_sum_);
}

worker_handle dispatcher::backfill(time_point now,
                                   const dispatch_job& job) const
{
    const auto run = expected_run(job);
    if (job.queued.kind != job_kind::batch || run <= duration::zero())
        return no_worker;
    for (const auto& [key, of] : reservations_)
    {
        if (now + run > of.where.start())
            continue;
        const auto worker = of.where.backfill(job.queued.amount);
        if (worker != no_worker)
            return worker;
    }
    return no_worker;
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
    const auto key = reservation_key(task, job_kind::gang);
    const auto own = reservations_.find(key);
    if (own != reservations_.end())
        own->second.where.unmask(index);
    if (!port.may_start(job, count))
    {
        if (own != reservations_.end())
            reservations_.erase(own);
        return try_result::team_refused;
    }
    placement_request request;
    request.amount = job.queued.amount;
    request.tasks = count;
    const auto chosen = policy_for(job_kind::gang).choose(index, request);
    if (chosen.empty())
    {
        if (own != reservations_.end())
            own->second.where.mask(index);
        if (!reserve(now, index, key, job, tasks))
        {
            port.waits(task, result_code::waits_for_gang_room, "");
            return try_result::no_room;
        }
        port.waits(task, result_code::waits_for_gang_room,
                   "start expected in " +
                       std::to_string(remaining_ms(
                           now, reservations_.at(key).where.start())) +
                       " ms");
        return try_result::gone;
    }
    if (own != reservations_.end())
        reservations_.erase(own);
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        start(now, index, port, tasks[i], job, chosen[i]);
        if (tasks[i] != task)
            queue_.erase(tasks[i]);
    }
    return try_result::placed;
}

bool dispatcher::reserve(time_point now, placement_index& index,
                         const task_id& key, const dispatch_job& job,
                         const std::vector<task_id>& tasks)
{
    const auto old = reservations_.find(key);
    const bool is_gang = job.queued.kind == job_kind::gang;
    const auto same = std::count_if(reservations_.begin(), reservations_.end(),
                                    [is_gang](const auto& item)
                                    { return item.second.is_gang == is_gang; });
    const auto most = is_gang ? max_gang_reservations : max_task_reservations;
    if (old == reservations_.end() && static_cast<std::size_t>(same) >= most)
        return false;
    if (old == reservations_.end() || now >= old->second.next_plan)
    {
        if (old != reservations_.end())
        {
            old->second.where.unmask(index);
            reservations_.erase(old);
        }
        std::set<worker_handle> taken;
        for (const auto& [other, of] : reservations_)
            of.where.add_workers(taken);
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
        auto plan = gang_reservation::plan(
            index, job.queued.amount, static_cast<std::uint32_t>(tasks.size()),
            std::move(ends), now, taken);
        if (!plan)
            return false;
        plan->mask(index);
        const auto count = static_cast<int>(reservations_.size()) + 1;
        const auto next = now + plan_period * count;
        reservations_.emplace(key,
                              reserved{std::move(*plan), next, tasks, is_gang});
    }
    for (const auto& task : tasks)
        queue_.erase(task);
    return true;
}

} // namespace carobcourse
