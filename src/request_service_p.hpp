/// Accepts requests of callers and dispatches them to backend servers.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config_service_p.hpp"
#include "core_context_p.hpp"
#include "executor_pool_p.hpp"
#include "request_claims_p.hpp"
#include "request_ledger_p.hpp"
#include "request_queue_p.hpp"
#include "request_rows_p.hpp"

namespace carobcourse
{

/// Queues requests, sends them to backend servers and answers the callers. Each
/// accepted request is answered exactly once. A refusal states "not run" only
/// if no attempt can have reached a backend server. A request with a ticket or
/// an idempotency key runs at most once. Not thread safe.
class request_service
{
public:
    request_service(core_context& context, const config_service& config);

    /// Expires deadlines and entries, and dispatches requests that are ready.
    void on_tick(time_point now);
    /// Applies a new list of the cell's hosts.
    void on_hosts(time_point now, const std::vector<host_entry>& hosts);
    /// Completes, retries or refuses the request of an attempt.
    void on_execute_result(time_point now, const execute_result& result);
    void on_store_result(time_point now, const store_result& result);
    /// Drops the request of a caller that disconnected, unless it is in flight
    /// or may have run under a ticket or key.
    void on_call_abandoned(const call_abandoned& call);
    /// Handles the message types `forward_request`, `forward_answer` and
    /// `executors_leaving`. Returns false for other types.
    bool on_peer(time_point now, const peer_received& message);
    /// Handles API calls on services and tickets. Returns false for other
    /// paths.
    bool on_call(time_point now, const api_call& call);

    /// Begins a planned stop. Requests that arrive at or after `refuse_from`
    /// are refused; tickets are refused at once.
    void stop(time_point refuse_from);
    /// Answers all unfinished requests; called at the drain deadline. Returns
    /// the number of requests answered.
    std::size_t answer_remaining();

    /// Returns true if every accepted request has been answered.
    bool is_drained() const
    {
        return requests_.empty() && forwards_.empty();
    }

private:
    /// Destination of an answer: a caller of this host, or the entry host that
    /// forwarded the request.
    struct reply_address
    {
        call_id call = 0;
        std::string peer;   ///< Forwarding host; empty for a local caller.
        std::string origin; ///< Incarnation of the forwarding host.
        std::uint64_t forward = 0; ///< Number of the forward at its origin.
    };

    enum class stage : std::uint8_t
    {
        claiming, ///< The row of its idempotency key is being inserted.
        queued,
        delayed, ///< Waits for the backoff before a retry.
        in_flight,
        ended
    };

    struct request_record
    {
        std::string id;
        reply_address reply_to;
        bool abandoned = false; ///< The caller has disconnected.
        /// Empty if the service is open and no key is needed.
        std::string team;
        std::string service;
        std::string body;
        memory_hold input; ///< For the body of a caller of this host.
        /// Ticket or idempotency key with its prefix `t:` or `k:`, or empty.
        std::string name;
        bool forwarded = false;
        bool idempotent = false;
        std::int64_t priority = 0;
        std::uint64_t sequence = 0;
        time_point accepted_at;
        time_point deadline;
        stage current_stage = stage::queued;
        duration cost{1};
        std::uint32_t attempt = 0;
        std::uint32_t failed_attempts = 0;
        bool may_have_run = false;
        time_point sent_at;
        time_point ready_at;
        std::string last_executor;
    };

    /// A request forwarded by this host that waits for its answer.
    struct forward
    {
        call_id call = 0;
        std::string to;
        bool abandoned = false;
        time_point deadline;
    };

    /// Exponential moving average of the time an attempt takes.
    struct service_time
    {
        double mean_us = 0;
        std::uint32_t samples = 0;
        time_point last;
    };

    void issue_ticket(time_point now, const api_call& call);
    void accept(time_point now, const api_call& call,
                const std::string& service);
    tl::expected<std::string, error>
    authorize(const api_call& call,
              const configuration::service_entry& entry) const;
    std::optional<error> check_call(const api_call& call,
                                    request_record& request) const;
    void admit(time_point now, request_record request);
    bool check_ticket(time_point now, const request_record& request);
    /// Refuses a request that was not accepted. Replaces "not run" by an
    /// unknown outcome if an earlier use of the name may have run.
    void refuse_unaccepted(const request_record& request, const error& why);
    /// Enters the request in the ledger. Returns `nullopt` if it was answered
    /// or refused there as a repeat.
    std::optional<request_ledger::begin_result>
    begin(time_point now, const request_record& request);
    std::optional<error> check_capacity(time_point now,
                                        const request_record& request) const;
    std::int64_t weight_of(const std::string& team) const;

    void set_stage(request_record& request, stage next);
    void enqueue(request_record& request);
    void dispatch(time_point now);
    bool try_dispatch(time_point now, const queued_request& item);
    void send(time_point now, request_record& request,
              const executor_choice& executor);
    void on_failed_attempt(time_point now, request_record& request,
                           bool certainly_not_run);
    bool consume_retry_credit();
    void expire_deadlines(time_point now);
    void record_service_time(time_point now, const request_record& request);
    std::optional<duration> expected_time(time_point now,
                                          const std::string& service) const;

    void on_claim(time_point now, const claim_outcome& outcome);
    void send_forward(time_point now, const request_record& request,
                      const std::string& host);
    void on_forward_request(time_point now, const peer_received& message);
    void on_forward_answer(const peer_received& message);
    void fail_forward(std::uint64_t id);
    void announce_leaving(time_point now);
    void on_executors_leaving(const peer_received& message);

    void finish(request_record& request, const execute_result& result);
    void refuse(request_record& request, error why);
    void remove(const request_record& request);
    queued_request queue_item(const request_record& request) const;

    void answer(const reply_address& to, int http_status,
                const std::string& content_type, const std::string& body);
    void refuse(const reply_address& to, const error& why);

    core_context& context_;
    const config_service& config_;
    executor_pool executors_;
    request_ledger ledger_;
    request_claims claims_;
    request_rows rows_;
    request_queue queue_;
    std::map<std::string, request_record> requests_;
    /// Number of requests not in flight.
    std::map<std::string, std::size_t> waiting_by_team_;
    std::map<call_id, std::string> request_by_call_;
    std::set<std::pair<time_point, std::string>> deadlines_;
    std::set<std::pair<time_point, std::string>> delayed_;
    std::map<std::uint64_t, forward> forwards_;
    std::set<std::pair<time_point, std::uint64_t>> forward_deadlines_;
    /// Forwarded requests in progress, by origin and forward number.
    std::set<std::pair<std::string, std::uint64_t>> active_forwards_;
    std::map<std::string, service_time> service_times_;
    /// Other entry hosts in this data centre.
    std::vector<std::string> local_entry_hosts_;
    time_point next_announcement_;
    std::uint64_t sequence_ = 0;
    std::uint64_t forward_sequence_ = 0;
    std::uint32_t retry_credit_;
    std::optional<time_point> refuse_from_;
};

} // namespace carobcourse
