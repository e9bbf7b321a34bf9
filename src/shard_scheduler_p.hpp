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

/// Not thread safe.
class shard_scheduler
{
public:
    /// For the shard `index` of the own data centre. `map` must outlive it.
    shard_scheduler(core_context& context, const config_service& config,
                    const shard_map& map, std::uint32_t index);

    void on_tick(time_point now);
    /// Takes the workers that the map has now.
    void on_hosts(time_point now);
    /// Returns true when the result was for this shard.
    bool on_worker_result(time_point now, const worker_result& result);
    /// Returns true when the result was for this part.
    bool on_store_result(time_point now, const store_result& result);

    const std::string& shard() const
    {
        return ownership_.shard();
    }
    /// Job of this shard, null while this host does not run it.
    const job_record* find(const std::string& job) const;
    /// Free capacity for new work, empty when this host does not run the
    /// shard or no worker has room for a task of this amount now.
    std::optional<resources> free_capacity_for(time_point now,
                                               const resources& amount) const;
    /// Reads the inbox at the next tick.
    void request_inbox_poll()
    {
        next_inbox_poll_at_ = time_point{};
    }

    /// Tasks and jobs may be handed over: this host runs the shard and every
    /// worker of it has answered.
    bool can_hand_over() const
    {
        return active_ && !recovering_ && !handing_over_ && !stopping_;
    }
    std::size_t job_count() const
    {
        return jobs_.size();
    }
    /// Gives the shard up as at a planned stop, for another host to take.
    void hand_over(time_point now);
    bool is_owner(time_point now) const
    {
        return ownership_.is_owner(now);
    }

    /// Gives the shard up; no task is started after it.
    void stop(time_point now);
    /// True when the shard is given up.
    bool is_released() const
    {
        return ownership_.is_released();
    }

private:
    /// A result that the worker keeps until the job's row is durable.
    struct result_ack
    {
        std::string worker;
        attempt_id attempt;
    };
    /// What the next durable row of a job effects.
    struct pending_effects
    {
        std::set<std::string> inbox; ///< Keys of inbox rows to delete.
        std::vector<result_ack> acks;
    };
    struct job_write
    {
        std::string job;
        std::size_t index = 0; ///< Of the job's row in the commit.
        pending_effects effects;
        std::string moved_to; ///< Shard, empty when the job stays.
    };

    // Ownership and recovery.
    void on_acquired(time_point now);
    void on_lost();
    void reset_state();
    void step_down(time_point now, const std::string& why);
    void finish_recovery(time_point now);
    void release_when_flushed(time_point now);
    bool may_start(time_point now) const;
    void load_jobs(const std::string& after);
    void on_jobs_read(time_point now, const store_result& result);
    void poll_inbox(time_point now);
    void on_inbox_read(time_point now, const store_result& result);
    job_record* add_job(time_point now, const std::string& value,
                        job_hold hold);
    void process_inbox_row(time_point now, const row& inbox_row);
    void find_home_of_cancelled(const std::string& job);
    void on_cancelled_job_home(const store_result& result);

    // A data centre taken out.
    bool is_data_centre_out() const;
    void drain(time_point now);
    void stop_task(job_record& job, std::uint32_t index, bool checkpoint);
    void move_jobs(time_point now);
    std::string pick_new_home(const job_record& job);

    // Scheduling.
    void schedule(time_point now);
    /// Makes a waiting task eligible for placement, unless its job is held.
    void enqueue(const job_record& job, std::uint32_t index);
    void dequeue(const task_id& task);
    void enqueue_all(const job_record& job);
    class dispatch_adapter;
    /// Keeps the shares and the learned run times up to date.
    void update_dispatcher(time_point now, const attempt_news& news);
    void cancel_job(job_record& job);
    void stop_tasks_above_allotment();
    void apply_attempt(const attempt_news& news);
    /// News of an attempt that is not the present one of its task.
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

    bool active_ = false; ///< Owner, and jobs loaded.
    bool loading_ = false;
    bool stopping_ = false;
    bool handing_over_ = false;
    std::uint64_t active_epoch_ = 0;
    std::map<std::string, job_record> jobs_;
    dispatcher dispatcher_;
    std::set<std::string> dirty_jobs_;
    job_journal journal_;
    std::map<std::string, pending_effects> pending_effects_; ///< By job.
    std::vector<job_write> jobs_in_commit_;    ///< In the commit in flight.
    std::vector<row_write> inbox_only_writes_; ///< Inbox rows of no known job.
    std::vector<row_write> inbox_only_writing_;
    /// News that came before the jobs were loaded.
    std::vector<attempt_news> early_news_;
    bool recovering_ = false; ///< Some job is on hold for recovery.
    bool drain_started_ = false;
    std::size_t move_count_ = 0;
    time_point next_move_at_;
    time_point flush_deadline_;
    /// Inbox rows that were deleted, by the poll from which on they can no
    /// longer be seen. A scan that was on its way would bring them back.
    std::map<std::string, std::uint64_t> deleted_inbox_rows_;
    std::uint64_t inbox_poll_number_ = 0;
    time_point next_inbox_poll_at_;
    time_point next_write_at_;
    std::optional<op_id> load_op_;
    std::optional<op_id> inbox_op_;
    std::map<op_id, std::string> cancelled_home_reads_; ///< Reads, by job.
};

} // namespace carobcourse
