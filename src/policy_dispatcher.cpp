#include "policy_dispatcher_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <utility>

namespace carobcourse
{

namespace
{

/// Mean time between two plans, over all reservations together. Planning scans
/// all running tasks and takes 2.5 to 7.5 ms for 27,700 of them, which is at
/// most 2.5% of a core at this interval. Tasks end earlier or later than
/// expected, so an outdated plan keeps workers idle although the gang could
/// start earlier on others.
constexpr auto replan_interval = std::chrono::milliseconds(300);
/// Limits on simultaneous reservations. A reservation keeps capacity idle when
/// run times are overestimated: at 95% load the p99 wait of batch tasks was
/// 21 s with 8 reservations of any kind and 3 s with these limits. Large tasks
/// have a separate limit because under overload they would otherwise take all
/// reservations and gangs would starve.
constexpr std::size_t max_gang_reservations = 3;
constexpr std::size_t max_task_reservations = 1;
/// A large task that has waited this long gets a reservation, because smaller
/// tasks would otherwise fill each free block before it is large enough. Also
/// the interval between retries of all blocked size classes.
constexpr auto reservation_delay = std::chrono::seconds(5);
/// Run time assumed for a task with neither a declared nor a learned one.
constexpr auto default_run_estimate = std::chrono::seconds(60);
/// Remaining run time assumed for a task that is past its expected end: until
/// about the next plan. With 1 s, plans ignored workers that were about to
/// become free.
constexpr auto overdue_run_estimate = std::chrono::milliseconds(250);
/// Time after which an urgent task stops waiting for the tasks preempted for
/// it and is tried again.
constexpr auto preemption_timeout = std::chrono::seconds(1);

} // namespace

void dispatcher::erase(const task_id& task)
{
    queue_.erase(task);
    preemption_requests_.erase(task);
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

void dispatcher::mask_reservations(placement_index& index)
{
    for (auto& [key, record] : reservations_)
        record.reservation.mask(index);
}

void dispatcher::unmask_reservations(placement_index& index)
{
    for (auto& [key, record] : reservations_)
        record.reservation.unmask(index);
}

void dispatcher::clear()
{
    queue_.clear();
    shares_.clear();
    preemptible_.clear();
    running_.clear();
    running_total_ = {};
    tasks_per_rack_.clear();
    rack_by_task_.clear();
    preemption_requests_.clear();
    reservations_.clear();
    next_retry_at_ = time_point();
}

duration dispatcher::expected_run(const dispatch_job& job) const
{
    return usage_.expected_run(job.queued.team, job.queued.kind,
                               job.declared_run);
}

void dispatcher::task_started(time_point now, const task_id& task,
                              const dispatch_job& job,
                              const std::string& worker)
{
    const auto& queued = job.queued;
    if (!running_
             .try_emplace(task,
                          running_task{job, worker, now, expected_run(job)})
             .second)
        return;
    shares_.charge(now, task, queued.team, queued.amount);
    running_total_ += queued.amount;
    if (queued.kind == job_kind::batch && queued.urgency == job_class::normal)
        preemptible_.add(task, worker, queued.amount, job.checkpoints, now);
}

void dispatcher::task_ended(time_point now, const task_id& task, bool succeeded)
{
    const auto found = running_.find(task);
    if (found == running_.end())
        return;
    const auto& record = found->second;
    if (succeeded)
        usage_.observe_run(record.job.queued.team, record.job.queued.kind,
                           record.job.declared_run, now - record.started);
    running_total_ -= record.job.queued.amount;
    running_.erase(found);
    preemptible_.remove(task);
    shares_.release(now, task);
    if (const auto rack = rack_by_task_.find(task); rack != rack_by_task_.end())
    {
        auto& counts = tasks_per_rack_[task.job];
        if (--counts[rack->second] == 0)
            counts.erase(rack->second);
        if (counts.empty())
            tasks_per_rack_.erase(task.job);
        rack_by_task_.erase(rack);
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
    const auto freed = index.take_freed_workers();
    for (const auto worker : freed)
    {
        if (index.contains(worker))
            queue_.freed(index.free(worker));
    }
    if (now >= next_retry_at_)
    {
        // No single worker may ever free enough for a blocked size class. A
        // periodic retry lets the first task of the class get a reservation.
        next_retry_at_ = now + reservation_delay;
        queue_.freed(index.total_capacity());
    }
    for (const auto& [task, since] : preemption_requests_)
    {
        if (!freed.empty() || now - since >= preemption_timeout)
            queue_.insert(task);
    }
    mask_reservations(index);
    const auto reserved_tries =
        try_reservations(now, index, port, !freed.empty());
    const auto tries = queue_.pass(
        now, shares_,
        [&](const task_id& task, queued_job& queued)
        {
            dispatch_job job;
            if (!port.find_waiting_job(task, job))
                return false;
            queued = job.queued;
            queued.estimate = expected_run(job);
            port.set_waiting_reason(task, result_code::waits_for_turn, "");
            return true;
        },
        [&](const task_id& task) { return try_task(now, index, port, task); },
        max_tries);
    unmask_reservations(index);
    return reserved_tries + tries;
}

std::size_t dispatcher::try_reservations(time_point now, placement_index& index,
                                         dispatch_port& port,
                                         bool capacity_freed)
{
    std::vector<std::pair<time_point, task_id>> due;
    for (const auto& [key, record] : reservations_)
    {
        if (capacity_freed || now >= record.next_plan_at)
            due.emplace_back(record.reservation.start_time(), key);
    }
    std::sort(due.begin(), due.end());
    for (const auto& item : due)
    {
        auto& reserved = reservations_.at(item.second);
        const auto tasks = reserved.tasks;
        dispatch_job job;
        if (!port.find_waiting_job(tasks.front(), job))
        {
            reserved.reservation.unmask(index);
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
                       const dispatch_job& job, const placement& chosen)
{
    const auto worker = index.name(chosen.worker);
    for (auto& [key, record] : reservations_)
        record.reservation.unmask_worker(index, chosen.worker);
    port.start(task, worker, chosen.reason);
    for (auto& [key, record] : reservations_)
        record.reservation.mask_worker(index, chosen.worker);
    preemption_requests_.erase(task);
    task_started(now, task, job, worker);
    if (job.queued.kind == job_kind::service)
    {
        const auto& rack = index.rack_name(index.rack(chosen.worker));
        if (rack_by_task_.emplace(task, rack).second)
            ++tasks_per_rack_[task.job][rack];
    }
}

try_result dispatcher::try_task(time_point now, placement_index& index,
                                dispatch_port& port, const task_id& task)
{
    dispatch_job job;
    if (!port.find_waiting_job(task, job))
        return try_result::gone;
    const auto& queued = job.queued;
    if (queued.kind == job_kind::gang)
        return try_gang(now, index, port, task, job);
    if (!port.may_start(job, 1))
        return try_result::team_refused;
    placement_request request;
    request.amount = queued.amount;
    if (const auto used = tasks_per_rack_.find(task.job);
        used != tasks_per_rack_.end())
    {
        for (const auto& [name, count] : used->second)
        {
            if (const auto rack = index.find_rack(name))
                request.tasks_per_rack[*rack] = count;
        }
    }
    const auto reserved = reservations_.find(task);
    if (reserved != reservations_.end())
        reserved->second.reservation.unmask(index);
    auto chosen = policy_for(queued.kind).choose(index, request);
    if (reserved != reservations_.end())
    {
        if (chosen.empty())
            reserved->second.reservation.mask(index);
        else
            reservations_.erase(reserved);
    }
    if (chosen.empty())
    {
        const auto worker = find_backfill_worker(now, job);
        if (worker != no_worker)
        {
            chosen.push_back({worker, "backfill: ends before a reservation"});
            if (reserved != reservations_.end())
            {
                reserved->second.reservation.unmask(index);
                reservations_.erase(reserved);
            }
        }
    }
    if (!chosen.empty())
    {
        start(now, index, port, task, job, chosen.front());
        return try_result::placed;
    }
    if (!index.fits_empty_worker(queued.amount))
    {
        port.set_waiting_reason(task, result_code::waits_unrunnable, "");
        return try_result::no_room;
    }
    if (queued.urgency == job_class::urgent)
        return try_preemption(now, index, port, task, job);
    port.set_waiting_reason(task, result_code::waits_for_room, "");
    if (now - queued.accepted_at >= reservation_delay &&
        is_larger_than_mean(queued.amount) &&
        reserve(now, index, task, job, {task}))
        return try_result::gone;
    return try_result::no_room;
}

bool dispatcher::is_larger_than_mean(const resources& amount) const
{
    return !(amount * static_cast<std::int64_t>(running_.size()))
                .fits_in(running_total_);
}

worker_handle dispatcher::find_backfill_worker(time_point now,
                                               const dispatch_job& job) const
{
    const auto run = expected_run(job);
    if (job.queued.kind != job_kind::batch || run <= duration::zero())
        return no_worker;
    for (const auto& [key, record] : reservations_)
    {
        if (now + run > record.reservation.start_time())
            continue;
        const auto worker =
            record.reservation.find_backfill_worker(job.queued.amount);
        if (worker != no_worker)
            return worker;
    }
    return no_worker;
}

try_result dispatcher::try_preemption(time_point now, placement_index& index,
                                      dispatch_port& port, const task_id& task,
                                      const dispatch_job& job)
{
    const auto request = preemption_requests_.find(task);
    if (request != preemption_requests_.end() &&
        now - request->second < preemption_timeout)
        return try_result::gone; // `schedule` inserts the task again.
    const auto victims = preemptible_.choose_victims(index, job.queued.amount);
    if (victims.empty())
    {
        preemption_requests_.erase(task);
        port.set_waiting_reason(task, result_code::waits_for_room, "");
        return try_result::no_room;
    }
    for (const auto& victim : victims)
    {
        preemptible_.remove(victim);
        port.preempt(victim, running_.at(victim).job.checkpoints);
    }
    preemption_requests_[task] = now;
    port.set_waiting_reason(task, result_code::waits_for_preempted,
                            std::to_string(victims.size()) + " tasks");
    return try_result::gone;
}

try_result dispatcher::try_gang(time_point now, placement_index& index,
                                dispatch_port& port, const task_id& task,
                                const dispatch_job& job)
{
    const auto tasks = port.waiting_tasks(task.job);
    if (tasks.empty())
        return try_result::gone;
    const auto count = static_cast<std::uint32_t>(tasks.size());
    const auto key = reservation_key(task, job_kind::gang);
    const auto reserved = reservations_.find(key);
    if (reserved != reservations_.end())
        reserved->second.reservation.unmask(index);
    if (!port.may_start(job, count))
    {
        if (reserved != reservations_.end())
            reservations_.erase(reserved);
        return try_result::team_refused;
    }
    placement_request request;
    request.amount = job.queued.amount;
    request.task_count = count;
    const auto chosen = policy_for(job_kind::gang).choose(index, request);
    if (chosen.empty())
    {
        if (reserved != reservations_.end())
            reserved->second.reservation.mask(index);
        if (!reserve(now, index, key, job, tasks))
        {
            port.set_waiting_reason(task, result_code::waits_for_gang_room, "");
            return try_result::no_room;
        }
        port.set_waiting_reason(
            task, result_code::waits_for_gang_room,
            "start expected in " +
                std::to_string(remaining_ms(
                    now, reservations_.at(key).reservation.start_time())) +
                " ms");
        return try_result::gone;
    }
    if (reserved != reservations_.end())
        reservations_.erase(reserved);
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
    const auto same_kind_count = std::count_if(
        reservations_.begin(), reservations_.end(),
        [is_gang](const auto& item) { return item.second.is_gang == is_gang; });
    const auto max_reservations =
        is_gang ? max_gang_reservations : max_task_reservations;
    if (old == reservations_.end() &&
        static_cast<std::size_t>(same_kind_count) >= max_reservations)
        return false;
    if (old == reservations_.end() || now >= old->second.next_plan_at)
    {
        if (old != reservations_.end())
        {
            old->second.reservation.unmask(index);
            reservations_.erase(old);
        }
        std::set<worker_handle> excluded;
        for (const auto& [other, record] : reservations_)
            record.reservation.collect_workers(excluded);
        std::vector<expected_end> ends;
        for (const auto& [task, run] : running_)
        {
            if (run.job.queued.kind == job_kind::service)
                continue;
            const auto run_time = run.run_estimate > duration::zero()
                                      ? run.run_estimate
                                      : default_run_estimate;
            ends.push_back(
                {index.find(run.worker), run.job.queued.amount,
                 std::max(run.started + run_time, now + overdue_run_estimate)});
        }
        auto plan = gang_reservation::plan(
            index, job.queued.amount, static_cast<std::uint32_t>(tasks.size()),
            std::move(ends), now, excluded);
        if (!plan)
            return false;
        plan->mask(index);
        const auto count = static_cast<int>(reservations_.size()) + 1;
        const auto next = now + replan_interval * count;
        reservations_.emplace(
            key, reservation_record{std::move(*plan), next, tasks, is_gang});
    }
    for (const auto& task : tasks)
        queue_.erase(task);
    return true;
}

} // namespace carobcourse
