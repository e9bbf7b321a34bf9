/// Decides which waiting tasks of a shard start, on which workers, and which
/// running tasks are preempted for them.
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

/// The properties of a job that dispatch decisions depend on.
struct dispatch_job
{
    queued_job queued;
    bool checkpoints = false; ///< Tasks save their progress when stopped.
    duration declared_run{};  ///< Declared run time, zero when there is none.
};

/// Interface through which the dispatcher reads and changes the shard.
class dispatch_port
{
public:
    virtual ~dispatch_port() = default;
    /// Fills `job` for a waiting task. Returns false when the task no longer
    /// waits.
    virtual bool find_waiting_job(const task_id& task, dispatch_job& job) = 0;
    /// Returns the waiting tasks of a gang.
    virtual std::vector<task_id> waiting_tasks(const std::string& job) = 0;
    /// Returns true when the limits of the job's team allow `tasks` more tasks
    /// of this job to start.
    virtual bool may_start(const dispatch_job& job, std::uint32_t tasks) = 0;
    /// Allocates the capacity in the index and starts the task. `reason` says
    /// why this worker was chosen.
    virtual void start(const task_id& task, const std::string& worker,
                       const char* reason) = 0;
    /// Stops a running task so that an urgent one can start. `checkpoint` asks
    /// the task to save its progress first.
    virtual void preempt(const task_id& task, bool checkpoint) = 0;
    /// Records why the task waits, for the status of its job.
    virtual void set_waiting_reason(const task_id& task, result_code code,
                                    const std::string& detail) = 0;
};

/// Dispatcher of one shard. Owns the queue of waiting tasks, the shares of the
/// teams, the running tasks and the reservations. Does no I/O. Not thread safe.
class dispatcher
{
public:
    /// Adds a waiting task.
    void insert(const task_id& task)
    {
        queue_.insert(task);
    }
    /// Removes a task that no longer waits. Other tasks of its reservation
    /// return to the queue.
    void erase(const task_id& task);
    /// Forgets all tasks, shares and reservations. Keeps learned run times.
    void clear();

    /// Records that the task runs on the worker. Has no effect when the task is
    /// known to run.
    void task_started(time_point now, const task_id& task,
                      const dispatch_job& job, const std::string& worker);
    /// Records that the task no longer runs. Its run time improves later
    /// estimates only when it `succeeded`. Has no effect for an unknown task.
    void task_ended(time_point now, const task_id& task, bool succeeded);

    /// Runs one pass over the reservations and the queue: starts what fits and
    /// preempts for urgent tasks. The queue makes at most `max_tries` attempts;
    /// attempts for reservations are not limited. Returns the number of both.
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
    /// Records the measured usage of a running task, to learn how much of the
    /// declared size tasks of its team and kind use. Has no effect for an
    /// unknown task.
    void observe_size(const task_id& task, const resources& used);

private:
    struct running_task
    {
        dispatch_job job;
        std::string worker;
        time_point started;
        duration run_estimate{};
    };

    /// Tries the tasks with a reservation, before the queue. Returns the number
    /// of attempts. The queue blocks a whole size class when one task of it
    /// does not fit, although a reserved task of that class may use capacity
    /// that is masked for the others. Reserved tasks also go first because
    /// their reservations keep capacity idle.
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
    /// Returns the key of a reservation. All tasks of a gang share one key; a
    /// large task is its own key.
    static task_id reservation_key(const task_id& task, job_kind kind);
    /// Plans a reservation, or replaces one whose plan is out of date. Returns
    /// false when no reservation is possible. On success the tasks leave the
    /// queue until capacity is freed.
    bool reserve(time_point now, placement_index& index, const task_id& key,
                 const dispatch_job& job, const std::vector<task_id>& tasks);
    void mask_reservations(placement_index& index);
    void unmask_reservations(placement_index& index);
    /// Returns a worker on which the job's tasks can use reserved capacity and
    /// are expected to end before the reservation starts, or `no_worker`.
    worker_handle find_backfill_worker(time_point now,
                                       const dispatch_job& job) const;
    duration expected_run(const dispatch_job& job) const;
    /// Returns true when any resource of `amount` is above the mean of the
    /// running tasks. Smaller tasks find room whenever a task ends; with a
    /// reservation they would bypass the fair-share order.
    bool is_larger_than_mean(const resources& amount) const;

    job_queue queue_;
    fair_share shares_;
    usage_model usage_;
    preemption_candidates preemptible_;
    std::map<task_id, running_task> running_;
    resources running_total_;
    /// Number of running tasks by service job and rack name.
    std::map<std::string, std::map<std::string, std::uint32_t>> tasks_per_rack_;
    std::map<task_id, std::string> rack_by_task_;
    /// Urgent tasks that wait for preempted tasks to end, with the time of the
    /// preemption.
    std::map<task_id, time_point> preemption_requests_;
    struct reservation_record
    {
        gang_reservation reservation;
        time_point next_plan_at;
        std::vector<task_id> tasks;
        bool is_gang = false;
    };
    std::map<task_id, reservation_record> reservations_;
    time_point next_retry_at_; ///< Next retry of all blocked size classes.
};

} // namespace carobcourse
