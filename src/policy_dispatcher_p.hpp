/// Decides which waiting tasks of a shard start, where, and what is stopped
/// for them.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fair_share_p.hpp"
#include "gang_p.hpp"
#include "job_queue_p.hpp"
#include "policy_p.hpp"
#include "policy_preemption_p.hpp"
#include "usage_model_p.hpp"

namespace carobcourse
{

/// What the dispatcher knows of a job.
struct dispatch_job
{
    queued_job queued;
    bool checkpoints = false;
    duration declared_run{};
};

/// The dispatcher's view of the shard.
class dispatch_port
{
public:
    virtual ~dispatch_port() = default;
    /// Returns false when the task waits no longer.
    virtual bool find_waiting_job(const task_id& task, dispatch_job& job) = 0;
    /// Tasks of a gang that wait.
    virtual std::vector<task_id> waiting_tasks(const std::string& job) = 0;
    /// True when the team may start `tasks` more tasks of `amount`.
    virtual bool may_start(const dispatch_job& job, std::uint32_t tasks) = 0;
    /// Reserves the capacity and starts the task.
    virtual void start(const task_id& task, const std::string& worker,
                       const char* reason) = 0;
    virtual void preempt(const task_id& task, bool checkpoint) = 0;
    /// The task was tried and waits because of `code`.
    virtual void set_waiting_reason(const task_id& task, result_code code,
                                    const std::string& detail) = 0;
};

/// Aggregate of the queue, the shares, the running tasks and the reservation
/// of a gang. Does no I/O. Not thread safe.
class dispatcher
{
public:
    /// The task waits.
    void insert(const task_id& task)
    {
        queue_.insert(task);
    }
    /// The task waits no longer.
    void erase(const task_id& task);
    void clear();

    /// The task runs on the worker; no effect when that is known.
    void task_started(time_point now, const task_id& task,
                      const dispatch_job& job, const std::string& worker);
    /// The task runs no longer. Its run time is learned when it `succeeded`.
    void task_ended(time_point now, const task_id& task, bool succeeded);

    /// One pass over what waits. Returns the number of tries.
    std::size_t schedule(time_point now, placement_index& index,
                         dispatch_port& port, std::size_t max_tries);

    fair_share& shares()
    {
        return shares_;
    }
    usage_model& usage()
    {
        return usage_;
    }
    /// Team, kind and size of a running task, for reports of its usage.
    void observe_size(const task_id& task, const resources& used);

private:
    struct running_task
    {
        dispatch_job job;
        std::string worker;
        time_point started;
        duration run_estimate{};
    };

    /// Tries what has a reservation, before the queue. Returns the number of
    /// tries. The queue blocks a size class when any task of it is refused,
    /// but a reserved task may use capacity that is hidden from that one. It
    /// also goes first because its reservation holds capacity idle.
    std::size_t try_reservations(time_point now, placement_index& index,
                                 dispatch_port& port, bool capacity_freed);
    try_result try_task(time_point now, placement_index& index,
                        dispatch_port& port, const task_id& task);
    try_result try_gang(time_point now, placement_index& index,
                        dispatch_port& port, const task_id& task,
                        const dispatch_job& job);
    try_result try_preemption(time_point now, placement_index& index,
                              dispatch_port& port, const task_id& task,
                              const dispatch_job& job);
    void start(time_point now, placement_index& index, dispatch_port& port,
               const task_id& task, const dispatch_job& job,
               const placement& chosen);
    /// What a reservation is for: a whole gang or one large task.
    static task_id reservation_key(const task_id& task, job_kind kind);
    /// Plans a reservation, or replaces one whose plan is old. With one, the
    /// tasks leave the queue until capacity is freed.
    bool reserve(time_point now, placement_index& index, const task_id& key,
                 const dispatch_job& job, const std::vector<task_id>& tasks);
    void mask_reservations(placement_index& index);
    void unmask_reservations(placement_index& index);
    worker_handle find_backfill_worker(time_point now,
                                       const dispatch_job& job) const;
    duration expected_run(const dispatch_job& job) const;
    /// True for more than the mean of the running tasks. Others find room
    /// when a task ends; a reservation would only let them pass the order by
    /// share.
    bool is_larger_than_mean(const resources& amount) const;

    job_queue queue_;
    fair_share shares_;
    usage_model usage_;
    preemption_candidates preemptible_;
    std::map<task_id, running_task> running_;
    resources running_total_;
    /// Running tasks of each service job per rack name.
    std::map<std::string, std::map<std::string, std::uint32_t>> tasks_per_rack_;
    std::map<task_id, std::string> rack_by_task_;
    /// Urgent tasks that wait for stopped tasks, and when that was asked.
    std::map<task_id, time_point> preemption_requests_;
    struct reservation_record
    {
        gang_reservation reservation;
        time_point next_plan_at;
        std::vector<task_id> tasks;
        bool is_gang = false;
    };
    std::map<task_id, reservation_record> reservations_;
    time_point next_retry_at_; ///< Of all refused size classes.
};

} // namespace carobcourse
