/// Runs the jobs of one shard while this host owns it, and takes jobs from
/// callers for every shard.
#pragma once

#include <carobcourse/types.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config_service_p.hpp"
#include "core_context_p.hpp"
#include "job_p.hpp"
#include "ownership_p.hpp"
#include "policy_dispatcher_p.hpp"
#include "worker_book_p.hpp"

namespace carobcourse
{

/// Not thread safe.
class shard_scheduler
{
public:
    shard_scheduler(core_context& context, const config_service& config);

    void on_tick(time_point now);
    void on_hosts(time_point now, const std::vector<host_entry>& hosts);
    void on_worker_result(time_point now, const worker_result& result);
    /// Returns true when the result was for this part.
    bool on_store_result(time_point now, const store_result& result);
    /// Handles calls on jobs. Returns false for other paths.
    bool on_call(time_point now, const api_call& call);

    /// Gives the shard up; no task is started after it.
    void stop(time_point now);
    /// True when no accepted call waits for its answer.
    bool is_drained() const
    {
        return calls_.empty();
    }

private:
    /// A caller's operation that waits for the table.
    struct pending_call
    {
        enum class step : std::uint8_t
        {
            submit,
            submit_read_back,
            find_home,
            read_job,
            cancel
        };
        step at = step::submit;
        call_id call = 0;
        std::string job;
        std::string team;
        std::string shard;
        bool cancels = false;
        std::string write_id;
    };

    // Calls.
    void submit(time_point now, const api_call& call, const std::string& team);
    void find_job(const api_call& call, const std::string& team,
                  const std::string& job, bool cancels);
    void on_submitted(pending_call pending, const store_result& result);
    void on_submit_read_back(const pending_call& pending,
                             const store_result& result);
    void on_home(pending_call pending, const store_result& result);
    void on_job_row(const pending_call& pending, const store_result& result);
    void on_cancel_written(const pending_call& pending,
                           const store_result& result);
    std::string home_for(const job_spec& spec) const;

    // Ownership and recovery.
    void on_acquired(time_point now);
    void on_lost();
    void load_jobs(const std::string& after);
    void on_jobs(time_point now, const store_result& result);
    void poll_inbox(time_point now);
    void on_inbox(time_point now, const store_result& result);
    void adopt(time_point now, const std::string& value);

    // Scheduling.
    void schedule(time_point now);
    class port;
    /// Keeps the shares and the learned run times up to date.
    void track(time_point now, const attempt_news& news);
    void cancel_job(job_record& job);
    void apply(const attempt_news& news);
    void apply_finished(job_record& job, std::uint32_t index,
                        const attempt_news& news);
    void task_changed(const std::string& job);
    void write_jobs(time_point now);
    void on_jobs_written(const store_result& result);

    core_context& context_;
    const config_service& config_;
    ownership ownership_;
    worker_book workers_;
    std::vector<host_entry> hosts_;
    std::set<std::string> data_centres_;

    bool active_ = false; ///< Owner, and jobs loaded.
    bool loading_ = false;
    bool stopping_ = false;
    std::uint64_t active_epoch_ = 0;
    std::map<std::string, job_record> jobs_;
    dispatcher waiting_;
    std::set<std::string> dirty_;
    std::set<std::string> writing_;
    time_point next_inbox_;
    time_point next_write_;
    std::optional<op_id> load_op_;
    std::optional<op_id> inbox_op_;
    std::optional<op_id> write_op_;
    std::map<op_id, pending_call> calls_;
};

} // namespace carobcourse
