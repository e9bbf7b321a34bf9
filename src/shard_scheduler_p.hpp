/// Runs the jobs of one shard while this host owns it.
#pragma once

#include <carobcourse/types.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "allotment_p.hpp"
#include "config_service_p.hpp"
#include "core_context_p.hpp"
#include "job_journal_p.hpp"
#include "job_p.hpp"
#include "ownership_p.hpp"
#include "policy_dispatcher_p.hpp"
#include "shard_map_p.hpp"
#include "worker_book_p.hpp"

namespace carobcourse
{

/// Schedules the tasks of one shard and makes their state durable. Owns the
/// shard's lease, its records of workers and its jobs; all of them are dropped
/// when the lease is lost and recovered in the next epoch. Not thread safe.
class shard_scheduler
{
public:
    /// Schedules shard `index` of the data centre of this host. `context`,
    /// `config` and `map` must outlive this object.
    shard_scheduler(core_context& context, const config_service& config,
                    const shard_map& map, std::uint32_t index);

    /// Renews or acquires the shard and, while this host owns it, runs all due
    /// work: recovery, inbox, scheduling, writes and messages to workers.
    void on_tick(time_point now);
    /// Updates the workers of the shard from the map.
    void on_hosts(time_point now);
    /// Handles the result of a sync of a worker of this shard. Returns false,
    /// without effect, for any other result.
    bool on_worker_result(time_point now, const worker_result& result);
    /// Handles the result of a store operation of this shard. Returns false,
    /// without effect, for any other result.
    bool on_store_result(time_point now, const store_result& result);

    const std::string& shard() const
    {
        return ownership_.shard();
    }
    /// Returns a job of this shard. Null when the job is unknown, and while
    /// this host does not own the shard or has not loaded its jobs. The pointer
    /// is valid until the next non-const call.
    const job_record* find(const std::string& job) const;
    /// Returns the total free capacity of the shard's workers. Empty when this
    /// host does not own the shard or has not loaded its jobs, or when no
    /// worker has enough free capacity for a task of this amount.
    std::optional<resources> free_capacity_for(time_point now,
                                               const resources& amount) const;
    /// Makes the next tick read the inbox.
    void request_inbox_poll()
    {
        next_inbox_poll_at_ = time_point{};
    }

    /// Returns whether the shard may be handed over: its jobs are loaded and
    /// recovered, and no stop or handover is in progress.
    bool can_hand_over() const
    {
        return active_ && !recovering_ && !handing_over_ && !stopping_;
    }
    std::size_t job_count() const
    {
        return jobs_.size();
    }
    /// Releases the shard, after the changed jobs are written or a timeout, so
    /// that another host can acquire it.
    void hand_over(time_point now);
    bool is_owner(time_point now) const
    {
        return ownership_.is_owner(now);
    }

    /// Starts the planned stop: no task is started from now on, and the shard
    /// is released after the changed jobs are written or a timeout.
    void stop(time_point now);
    /// Returns whether the shard has been released.
    bool is_released() const
    {
        return ownership_.is_released();
    }

private:
    /// Acknowledgement of a task result. The worker keeps the result until the
    /// job's row is durable.
    struct result_ack
    {
        std::string worker;
        attempt_id attempt;
    };
    /// Actions that have to wait for the next commit of a job's row: inbox rows
    /// are deleted in the same commit, results are acknowledged after it.
    struct pending_effects
    {
        std::set<std::string> inbox; ///< Keys of inbox rows to delete.
        std::vector<result_ack> acks;
    };
    /// Row of a job in the commit in progress.
    struct job_write
    {
        std::string job;
        std::size_t index = 0; ///< Position of the job's row in the commit.
        pending_effects effects;
        std::string moved_to; ///< New home shard; empty if it stays.
    };

    // Ownership and recovery.
    void on_acquired(time_point now);
    void on_lost();
    /// Drops the jobs and all other state of the epoch.
    void reset_state();
    /// Gives up ownership after evidence of a newer owner.
    void step_down(time_point now, const std::string& why);
    /// Ends the recovery once the state of every worker is known: tasks that
    /// no worker reported are queued again.
    void finish_recovery(time_point now);
    /// During a stop or handover, releases the shard once all changed jobs are
    /// written or the timeout has passed.
    void release_when_flushed(time_point now);
    bool may_start(time_point now) const;
    void load_jobs(const std::string& after);
    void on_jobs_read(time_point now, const store_result& result);
    void poll_inbox(time_point now);
    void on_inbox_read(time_point now, const store_result& result);
    /// Adds an unfinished job from its stored text. Returns null when the text
    /// is invalid or the job is finished or already known.
    job_record* add_job(time_point now, const std::string& value,
                        job_hold hold);
    void process_inbox_row(time_point now, const row& inbox_row);
    /// Reads the home of an unknown job, to forward its cancellation there.
    void find_home_of_cancelled(const std::string& job);
    void on_cancelled_job_home(const store_result& result);

    // Evacuation of a data centre that was taken out.
    bool is_data_centre_out() const;
    void drain(time_point now);
    void stop_task(job_record& job, std::uint32_t index, bool checkpoint);
    void move_jobs(time_point now);
    std::string pick_new_home(const job_record& job);

    // Scheduling.
    void schedule(time_point now);
    /// Queues a waiting task for placement, unless its job is on hold or
    /// parked.
    void enqueue(const job_record& job, std::uint32_t index);
    void dequeue(const task_id& task);
    void enqueue_all(const job_record& job);
    class dispatch_adapter;
    /// Updates the fair shares and the learned run times in the dispatcher.
    void update_dispatcher(time_point now, const attempt_news& news);
    void cancel_job(job_record& job);
    void stop_tasks_above_allotment();
    void apply_attempt(const attempt_news& news);
    /// Handles a report on an attempt that is not the current one of its task:
    /// stops it if it runs, and acknowledges its result if it has finished.
    void handle_stale_attempt(const attempt_news& news, bool known_job);
    static bool is_current_attempt(const job_record& job,
                                   const attempt_news& news);
    void apply_running(job_record& job, std::uint32_t index,
                       const attempt_news& news);
    void apply_finished(job_record& job, std::uint32_t index,
                        const attempt_news& news);
    void count_failure(job_record& job, const std::string& worker);
    void mark_job_changed(const std::string& job);
    void write_jobs(time_point now);
    void on_commit_settled(time_point now,
                           const job_journal::settlement& settlement);
    void on_job_written(const job_write& write,
                        const std::vector<std::uint64_t>& versions);

    core_context& context_;
    const config_service& config_;
    ownership ownership_;
    worker_book workers_;
    allotment allotments_;
    const shard_map& map_;
    const std::uint32_t index_;

    bool active_ = false; ///< This host is the owner and has loaded the jobs.
    bool loading_ = false;
    bool stopping_ = false;
    bool handing_over_ = false;
    std::uint64_t active_epoch_ = 0;
    std::map<std::string, job_record> jobs_;
    dispatcher dispatcher_;
    std::set<std::string> dirty_jobs_;
    job_journal journal_;
    std::map<std::string, pending_effects> pending_effects_; ///< Keyed by job.
    std::vector<job_write> jobs_in_commit_; ///< Jobs of the commit in progress.
    std::vector<row_write>
        inbox_only_writes_; ///< Inbox writes of unknown jobs.
    std::vector<row_write> inbox_only_writing_;
    /// Reports of workers that arrived before the jobs were loaded.
    std::vector<attempt_news> early_news_;
    bool recovering_ = false; ///< Some jobs are on hold for recovery.
    bool drain_started_ = false;
    std::size_t move_count_ = 0;
    time_point next_move_at_;
    time_point flush_deadline_;
    /// Deleted inbox rows, each with the number of the first poll that can not
    /// return it. Rows in the result of an earlier scan are ignored, as they
    /// would add the job again.
    std::map<std::string, std::uint64_t> deleted_inbox_rows_;
    std::uint64_t inbox_poll_number_ = 0;
    time_point next_inbox_poll_at_;
    time_point next_write_at_;
    std::optional<op_id> load_op_;
    std::optional<op_id> inbox_op_;
    std::map<op_id, std::string> cancelled_home_reads_; ///< Job of each read.
};

} // namespace carobcourse
