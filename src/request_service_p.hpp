/// Requests of callers to the services of teams.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "config_service_p.hpp"
#include "core_context_p.hpp"
#include "executor_pool_p.hpp"

namespace carobcourse
{

/// Queues requests, sends them to backend servers and answers the callers.
/// Not thread safe.
class request_service
{
public:
    request_service(core_context& context, const config_service& config);

    void on_tick(time_point now);
    void on_hosts(time_point now, const std::vector<host_entry>& hosts);
    void on_execute_result(time_point now, const execute_result& result);
    /// Returns true when the result was for this part.
    bool on_store_result(time_point now, const store_result& result);
    void on_call_abandoned(const call_abandoned& call);
    /// Handles calls on services and tickets. Returns false for other paths.
    bool on_call(time_point now, const api_call& call);

    /// True when no accepted request waits for its answer.
    bool is_drained() const
    {
        return requests_.empty();
    }

private:
    struct request_record
    {
        std::string id;
        call_id call = 0;
        std::string team; ///< Empty for an open queue.
        std::string service;
        std::string body;
        bool idempotent = false;
        time_point accepted_at;
        time_point deadline;
        std::uint32_t attempt = 0;
        bool in_flight = false;
    };

    void accept(time_point now, const api_call& call,
                const std::string& service);
    void dispatch(time_point now);
    void send(time_point now, request_record& request,
              const executor_choice& executor);
    void expire(time_point now);
    void finish(const std::string& id, int http_status,
                const std::string& content_type, const std::string& body);
    void refuse(const std::string& id, const error& why);

    core_context& context_;
    const config_service& config_;
    executor_pool executors_;
    std::map<std::string, request_record> requests_;
    std::map<std::string, std::deque<std::string>> queues_; ///< By team.
    std::uint64_t sequence_ = 0;
};

} // namespace carobcourse
