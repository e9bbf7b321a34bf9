/// The shards of the own data centre on this host, and the callers' operations
/// on jobs of every shard.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config_service_p.hpp"
#include "core_context_p.hpp"
#include "shard_agreement_p.hpp"
#include "shard_map_p.hpp"
#include "shard_scheduler_p.hpp"

namespace carobcourse
{

/// Passes each event to the shard that it is for. Not thread safe.
class shard_set
{
public:
    shard_set(core_context& context, const config_service& config);

    void on_tick(time_point now);
    void on_hosts(time_point now, const std::vector<host_entry>& hosts);
    void on_worker_result(time_point now, const worker_result& result);
    void on_store_result(time_point now, const store_result& result);
    /// Handles calls on jobs. Returns false for other paths.
    bool on_call(time_point now, const api_call& call);

    /// True when the cluster has another number of shards than this host,
    /// which then owns none.
    bool shard_count_differs() const
    {
        return agreement_.current() == shard_agreement::state::differs;
    }

    /// Gives all shards up; no task is started after it.
    void stop(time_point now);
    /// True when no accepted call waits for its answer and every shard is
    /// given up.
    bool is_drained() const;

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
        step current_step = step::submit;
        call_id call = 0;
        std::string job;
        std::string team;
        std::string shard;
        bool is_cancellation = false;
        std::string write_id;
    };

    // Calls.
    void submit(time_point now, const api_call& call, const std::string& team);
    void find_job(const api_call& call, const std::string& team,
                  const std::string& job, bool is_cancellation);
    void on_submitted(pending_call pending, const store_result& result);
    void on_submit_read_back(const pending_call& pending,
                             const store_result& result);
    void on_home_read(pending_call pending, const store_result& result);
    void on_job_read(const pending_call& pending, const store_result& result);
    void on_cancel_written(const pending_call& pending,
                           const store_result& result);
    /// Returns a shard for the job, empty when no host could hold a task.
    std::string pick_home(time_point now, const job_spec& spec);
    /// Picks the job's shard of a data centre; empty when none could hold it.
    std::string pick_shard(time_point now, const std::string& data_centre,
                           const job_spec& spec);
    void request_inbox_poll(const std::string& shard);

    /// Hands one shard over when this host has more than its fair part.
    void rebalance(time_point now);

    core_context& context_;
    const config_service& config_;
    bool stopping_ = false;
    shard_agreement agreement_;
    shard_map map_;
    std::vector<std::unique_ptr<shard_scheduler>> shards_;
    std::size_t home_assignments_ = 0; ///< To shards in turn.
    std::map<op_id, pending_call> pending_calls_;
};

} // namespace carobcourse
