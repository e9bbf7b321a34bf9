/// Callers of one entry host: keys, queues, and the way to the owner.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cell_context_p.hpp"

namespace carobcourse
{

/// Core thread only.
class cell_frontend
{
public:
    explicit cell_frontend(cell_context& context) : context_(context) {}

    /// Sends an item to the owner. Returns the host that it went to, empty
    /// when there is no way to the owner.
    using sender = std::function<std::string(const nlohmann::json&)>;

    void on_request(time_point now, const caller_request& request,
                    const sender& send_to_owner);
    /// Answer of an owner. One of an earlier owner than the call was sent to
    /// last does not count: the later one may decide otherwise.
    void on_answer(time_point now, const std::string& from,
                   const nlohmann::json& item);
    void on_abandoned(call_id id);
    /// The owner has changed or is reached again: its calls go out once more.
    /// All of them may be repeated: a job is known by its id.
    void resend(const sender& send_to_owner);
    /// The process is about to end: answers all calls, and refuses each one
    /// that comes from now on.
    void shut_down(time_point now);
    void tick(time_point now, const sender& send_to_owner);
    /// Counts of waiting jobs as told by the owner.
    void set_waiting_counts(time_point now,
                            std::map<std::string, std::uint64_t> counts)
    {
        waiting_counts_ = std::move(counts);
        waiting_counts_at_ = now;
    }
    void set_config_confirmed_at(time_point at)
    {
        config_confirmed_at_ = std::max(config_confirmed_at_, at);
    }
    bool is_config_fresh(time_point now) const;
    /// The owner says whether its commits fail. While they do, no host can
    /// take work.
    void set_store_failing(bool failing)
    {
        store_failing_ = failing;
    }
    void set_connections_closing()
    {
        connections_closing_ = true;
    }
    std::size_t pending_count() const
    {
        return calls_.size();
    }

private:
    struct pending_call
    {
        nlohmann::json item;
        caller_verb verb = caller_verb::other;
        time_point received_at;
        time_point deadline;
        time_point next_send_at;
        std::string sent_to; ///< Latest owner; it may have acted on it.
    };

    void fail_call(time_point now, call_id id, const pending_call& call,
                   result_code code);
    static void send(pending_call& call, const sender& send_to_owner);
    void answer(caller_answer answer);
    void refuse(time_point now, const caller_request& request, result_code code,
                std::optional<std::int64_t> retry_after_ms = {},
                bool close_connection = false);
    /// Refuses for a trouble of this host: another one may serve the call at
    /// once, unless the store fails for all.
    void refuse_locally(time_point now, const caller_request& request,
                        result_code code);
    std::int64_t retry_after_ms() const;
    void answer_waiting_count(time_point now, const caller_request& request,
                              const queue_config& queue);

    cell_context& context_;
    std::map<call_id, pending_call> calls_;
    std::map<std::string, std::uint64_t> waiting_counts_;
    time_point waiting_counts_at_;
    time_point config_confirmed_at_;
    bool store_failing_ = false;
    bool connections_closing_ = false;
    bool shut_down_ = false;
};

} // namespace carobcourse
