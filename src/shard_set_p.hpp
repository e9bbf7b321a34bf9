/// Schedulers of the shards of this host's data centre, and the API calls on
/// jobs of every shard.
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

/// Dispatches each event to the shard that it belongs to, and handles the API
/// calls on jobs. Not thread safe.
class shard_set
{
public:
    /// `context` and `config` must outlive this object.
    shard_set(core_context& context, const config_service& config);

    /// Runs the due work of all shards. Does nothing until the number of shards
    /// is known to agree with that of the cluster.
    void on_tick(time_point now);
    /// Replaces the host list.
    void on_hosts(time_point now, const std::vector<host_entry>& hosts);
    /// Passes the result to the shard that it belongs to.
    void on_worker_result(time_point now, const worker_result& result);
    /// Passes the result to the shard or API call that it belongs to.
    void on_store_result(time_point now, const store_result& result);
    /// Handles an API call on jobs. Returns false, without effect, for other
    /// paths.
    bool on_call(time_point now, const api_call& call);

    /// Returns whether the cluster uses another number of shards than this
    /// host. The host owns no shard then.
    bool shard_count_differs() const
    {
        return agreement_.current() == shard_agreement::state::differs;
    }

    /// Starts the planned stop of all shards: no task is started from now on,
    /// and each shard is released.
    void stop(time_point now);
    /// Returns whether every accepted call is answered and every shard is
    /// released.
    bool is_drained() const;

private:
    /// API call that waits for the result of a store operation.
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

    // API calls.
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
    /// Picks the home shard of a new job; empty when no worker is large enough
    /// for a task of it.
    std::string pick_home(time_point now, const job_spec& spec);
    /// Picks a shard of one data centre for the job; empty when none of them
    /// has a worker that is large enough.
    std::string pick_shard(time_point now, const std::string& data_centre,
                           const job_spec& spec);
    /// Makes the shard, if this host has it, read its inbox at the next tick.
    void request_inbox_poll(const std::string& shard);

    /// Hands over the shard with the fewest jobs when this host has more than
    /// its fair share.
    void rebalance(time_point now);

    core_context& context_;
    const config_service& config_;
    bool stopping_ = false;
    shard_agreement agreement_;
    shard_map map_;
    std::vector<std::unique_ptr<shard_scheduler>> shards_;
    std::size_t home_assignments_ = 0; ///< For round-robin.
    std::map<op_id, pending_call> pending_calls_;
};

} // namespace carobcourse
