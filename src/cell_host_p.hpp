/// One entry host of the cell: events in, effects out.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell_context_p.hpp"
#include "cell_election_p.hpp"
#include "cell_front_p.hpp"
#include "cell_operator_p.hpp"
#include "cell_owner_p.hpp"

namespace carobcourse
{

/// Composes the parts of the cell on one host: callers, calls for the owner,
/// the election, and the owner itself where it is this host. Deterministic:
/// the same identity, seed, entropy and events give the same effects. Not
/// thread safe.
class cell_host : private owner_transport
{
public:
    cell_host(cell_identity identity, std::uint64_t seed,
              entropy_source& entropy, const outside_rows& outside);

    /// Takes events in order and returns the effects of all. `now` must not be
    /// before that of the call before.
    cell_effects handle(time_point now, const std::vector<cell_event>& events);

    const metrics& counters() const
    {
        return context_.counters;
    }
    bool is_owner() const
    {
        return owner_ != nullptr;
    }
    const cell_owner* owner() const
    {
        return owner_.get();
    }

private:
    struct member
    {
        std::string address;
        std::string data_centre;
        time_point heard_at;
        bool connected = false;
        bool leaving = false;
        time_point connected_at;
        time_point redial_at; ///< Left out of the peers until then.
    };
    struct relayed_call
    {
        std::string host;
        std::uint64_t id = 0;
    };

    void on_event(time_point now, const timer_tick&);
    void on_event(time_point now, const wall_clock& clock);
    void on_event(time_point now, const caller_request& request);
    void on_event(time_point now, const call_abandoned& call);
    void on_event(time_point now, const store_result& result);
    void on_event(time_point now, const watch_result& result);
    void on_event(time_point now, const worker_answer& answer);
    void on_event(time_point now, const peer_received& message);
    void on_event(time_point now, const peer_state& state);
    void on_event(time_point now, const peer_refusals& refusals);
    void on_event(time_point now, const stop_request&);

    // owner_transport
    void send_call(const std::string& host, const worker_call& call) override;
    void send_answer(const std::string& host, nlohmann::json item) override;

    void on_item(time_point now, const std::string& from,
                 const nlohmann::json& item);
    void on_heartbeat(time_point now, const std::string& from,
                      const nlohmann::json& item);
    void post(const std::string& host, nlohmann::json item);
    cell_front::sender to_owner(time_point now);
    void run_election(time_point now);
    void become_owner(time_point now, std::uint64_t version);
    void lose_ownership(time_point now, const char* reason);
    void fetch_secret(time_point now);
    void on_secret(time_point now, const store_result& result);
    void register_member(time_point now);
    void on_members(time_point now, const store_result& result);
    void lead(time_point now);
    void follow(time_point now);
    void connect(time_point now);
    void report_ready(time_point now);
    void check_stop(time_point now);

    cell_context context_;
    cell_operator operator_;
    cell_front front_;
    cell_election election_;
    std::unique_ptr<cell_owner> owner_;
    std::map<std::string, std::vector<nlohmann::json>> outbox_;
    std::vector<nlohmann::json> own_answers_;
    std::map<std::uint64_t, relayed_call> relayed_;
    std::map<std::string, member> members_;
    std::set<std::string> connected_;
    std::vector<peer_address> peers_;
    std::optional<op_id> election_op_;
    bool election_claims_ = false;
    time_point claim_sent_;
    std::optional<op_id> secret_op_;
    time_point next_secret_;
    bool has_secret_ = false;
    std::optional<op_id> member_op_;
    bool registered_ = false;
    time_point next_member_op_;
    time_point next_heartbeat_;
    std::string followed_;
    std::uint64_t followed_epoch_ = 0;
    time_point owner_redial_at_;
    time_point owner_connected_at_;
    time_point acks_seen_at_; ///< The owner has seen an answer of this host.
    bool ready_ = false;
    bool ready_told_ = false;
    bool stopping_ = false;
    bool stopped_ = false;
    time_point stop_asked_;
};

} // namespace carobcourse
