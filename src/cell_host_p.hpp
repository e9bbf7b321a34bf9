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

#include "cell_config_watcher_p.hpp"
#include "cell_context_p.hpp"
#include "cell_election_p.hpp"
#include "cell_frontend_p.hpp"
#include "cell_owner_p.hpp"

namespace carobcourse
{

/// Composes the parts of the cell on one host: callers, calls for the owner,
/// the election, and the owner itself where it is this host. Deterministic:
/// the same identity, seed, entropy and events give the same effects. Not
/// thread safe.
class cell_host : private owner_links
{
public:
    cell_host(cell_identity identity, std::uint64_t seed,
              entropy_source& entropy, const external_row_reader& outside);

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
        time_point last_ack_at;
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

    // owner_links
    void call(const std::string& host, const worker_call& call) override;
    void answer(const std::string& host, nlohmann::json item) override;

    void on_item(time_point now, const std::string& from,
                 const nlohmann::json& item);
    void on_heartbeat(time_point now, const std::string& from,
                      const nlohmann::json& item);
    void post(const std::string& host, nlohmann::json item);
    cell_frontend::sender make_owner_sender(time_point now);
    void run_election(time_point now);
    void become_owner(time_point now, std::uint64_t version);
    void lose_ownership(time_point now, const char* reason);
    void fetch_secret(time_point now);
    void on_secret_result(time_point now, const store_result& result);
    void update_membership(time_point now);
    void on_member_result(time_point now, const store_result& result);
    void run_owner_duties(time_point now);
    void check_owner_silence(time_point now);
    void update_peers(time_point now);
    void report_readiness(time_point now);
    void check_stop(time_point now);

    cell_context context_;
    cell_config_watcher config_watcher_;
    cell_frontend frontend_;
    cell_election election_;
    std::unique_ptr<cell_owner> owner_;
    std::map<std::string, std::vector<nlohmann::json>> outbox_;
    std::vector<nlohmann::json> local_answers_;
    std::map<std::uint64_t, relayed_call> relayed_calls_;
    std::map<std::string, member> members_;
    std::set<std::string> connected_hosts_;
    std::vector<peer_address> peers_;
    std::optional<op_id> election_op_;
    bool election_op_is_claim_ = false;
    time_point claim_sent_at_;
    std::optional<op_id> secret_op_;
    time_point next_secret_read_at_;
    bool has_secret_ = false;
    std::optional<op_id> member_op_;
    bool registered_ = false;
    time_point next_member_op_at_;
    time_point next_heartbeat_at_;
    std::string followed_owner_;
    std::uint64_t followed_epoch_ = 0;
    time_point owner_redial_at_;
    time_point owner_connected_at_;
    time_point
        last_ack_confirmed_at_; ///< The owner has seen an answer of this host.
    bool ready_ = false;
    bool readiness_reported_ = false;
    bool stopping_ = false;
    bool stopped_ = false;
    time_point stop_requested_at_;
};

} // namespace carobcourse
