/// Handles the calls that callers make to one entry host: checks their keys,
/// forwards them to the owner of the cell and returns the answers.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cell_config_watcher_p.hpp"
#include "cell_context_p.hpp"

namespace carobcourse
{

/// Checks each call against the configuration and keeps it pending until the
/// owner answers it, its deadline is near or the caller disconnects. Answers
/// are effects of the context. Used by the core thread only.
class cell_frontend
{
public:
    /// Both must outlive this object.
    cell_frontend(cell_context& context, const cell_config_watcher& config)
        : context_(context), config_(config)
    {
    }

    /// Sends an item to the owner of the cell. Returns the host that it was
    /// sent to, or an empty string when no owner is reachable.
    using sender = std::function<std::string(const nlohmann::json&)>;

    /// Refuses the call at once, answers a count of waiting jobs, forwards the
    /// call to the owner, or holds it until a newer configuration that is known
    /// to exist has arrived.
    void on_request(time_point now, const caller_request& request,
                    const sender& send_to_owner);
    /// Passes the answer of an owner on to the caller. Ignores it unless `from`
    /// is the host that the call was last sent to: a later owner may decide
    /// otherwise than an earlier one.
    void on_answer(time_point now, const std::string& from,
                   const nlohmann::json& item);
    /// Drops the call: its caller has disconnected.
    void on_abandoned(call_id id);
    /// Sends all pending calls again, after the owner has changed or has become
    /// reachable. Safe for every call, since the id of the job identifies it.
    void resend(const sender& send_to_owner);
    /// Answers all pending calls and refuses each later one. Called shortly
    /// before the process ends.
    void shut_down(time_point now);
    /// Sends unanswered calls again, and fails those that have waited too long
    /// for an owner or whose deadline is near.
    void tick(time_point now, const sender& send_to_owner);
    /// Stores the counts of an owner. Counts that may be older than the stored
    /// ones are ignored.
    void set_waiting_counts(waiting_counts counts)
    {
        if (counts.as_of >= waiting_counts_.as_of)
            waiting_counts_ = std::move(counts);
    }
    /// Handles the held calls if the configuration is the newest one known.
    void release_held(time_point now, const sender& send_to_owner);
    /// Sets whether the commits of the owner fail. While they do, no host can
    /// accept work, so callers are told to retry later instead of elsewhere.
    void set_store_failing(bool failing)
    {
        store_failing_ = failing;
    }
    /// From now on, every answer asks the caller to use another connection,
    /// because this host stops.
    void set_connections_closing()
    {
        connections_closing_ = true;
    }
    /// Number of calls that are held or wait for an answer of the owner.
    std::size_t pending_count() const
    {
        return calls_.size() + held_calls_.size();
    }

private:
    struct pending_call
    {
        nlohmann::json item; ///< As sent to the owner.
        caller_verb verb = caller_verb::other;
        time_point received_at;
        time_point deadline;
        time_point next_send_at;
        /// Owner that the call was last sent to, which may have acted on it;
        /// empty when the call was never sent.
        std::string sent_to;
        memory_hold input; ///< For the item.
    };

    struct held_call
    {
        caller_request request;
        time_point deadline; ///< Refused then.
    };

    /// Refuses a call because of what the configuration does not hold: for
    /// good with `code` if the configuration is confirmed, otherwise so that
    /// the caller tries another host.
    void refuse_by_config(time_point now, const caller_request& request,
                          result_code code);
    /// Answers `call` with `code` and logs it. The caller of this function
    /// removes the call.
    void fail_call(time_point now, call_id id, const pending_call& call,
                   result_code code);
    /// Leaves `sent_to` as it is when no owner is reachable.
    static void send(pending_call& call, const sender& send_to_owner);
    void answer(caller_answer answer);
    /// `close_connection` asks the caller to use another host. An empty
    /// `retry_after_ms` gives no advice on when to retry.
    void refuse(time_point now, const caller_request& request, result_code code,
                std::optional<std::int64_t> retry_after_ms = {},
                bool close_connection = false);
    /// Refuses a submission that no host would accept.
    void refuse_submission(time_point now, const caller_request& request,
                           const error& why);
    /// Refuses a call for a reason that concerns only this host: another host
    /// may serve it at once, unless the store fails for all.
    void refuse_locally(time_point now, const caller_request& request,
                        result_code code);
    /// Delay advised to a caller that this host refuses: zero, since another
    /// host can serve it, unless the store fails for all.
    std::int64_t retry_after_ms() const;
    /// Answers with the number of waiting jobs of the queue, or refuses when
    /// they may be too old.
    void answer_waiting_count(time_point now, const caller_request& request,
                              const queue_config& queue);

    cell_context& context_;
    const cell_config_watcher& config_;
    std::map<call_id, pending_call> calls_;
    std::vector<held_call> held_calls_; ///< In order of arrival.
    waiting_counts waiting_counts_;
    bool store_failing_ = false;
    bool connections_closing_ = false;
    bool shut_down_ = false;
};

} // namespace carobcourse
