/// Deterministic core of one entry host, which maps events to effects.
#pragma once

#include <carobcourse/types.hpp>

#include "config_service_p.hpp"
#include "core_context_p.hpp"
#include "event_p.hpp"
#include "membership_p.hpp"
#include "request_service_p.hpp"
#include "shard_set_p.hpp"

namespace carobcourse
{

/// Passes events to the components of the core and collects their effects. The
/// same identity, seed, entropy and events give the same effects. Not thread
/// safe.
class entry_host
{
public:
    entry_host(host_identity identity, std::uint64_t seed,
               entropy_source& entropy);

    /// Handles one event and returns its effects in order. `now` must not be
    /// earlier than in the previous call.
    effects handle(time_point now, const event& input);

    const metrics& counters() const
    {
        return context_.counters;
    }

private:
    void on_event(time_point now, const timer_tick&);
    void on_event(time_point now, const api_call& call);
    void on_event(time_point now, const call_abandoned& call);
    void on_event(time_point now, const store_result& result);
    void on_event(time_point now, const host_list_result& result);
    void on_event(time_point now, const worker_result& result);
    void on_event(time_point now, const execute_result& result);
    void on_event(time_point now, const peer_received& message);
    void on_event(time_point now, const peer_state& state);
    void on_event(time_point now, const peer_refusals& refusals);
    void on_event(time_point now, const input_refusals& refusals);
    void on_event(time_point now, const stop_request&);

    void count_refusals(const std::string& metric, log_code code,
                        const std::map<std::string, std::uint64_t>& counts);
    void answer_health(time_point now, const api_call& call);
    bool is_drained() const;
    void check_drained(time_point now);

    core_context context_;
    config_service config_;
    membership members_;
    request_service requests_;
    shard_set shards_;
    time_point next_host_list_;
    bool host_list_in_flight_ = false;
    bool hosts_known_ = false;
    bool stopping_ = false;
    bool stopped_ = false;
    time_point refuse_from_;
    time_point drain_deadline_;
};

} // namespace carobcourse
