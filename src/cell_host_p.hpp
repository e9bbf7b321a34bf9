/// One entry host of the cell, as a state machine from events to effects.
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

/// Composes the components of the cell on one host: the frontend for callers,
/// calls to workers on behalf of the owner, the election, and the owner itself
/// while this host owns the cell. Deterministic: the same identity, seed,
/// entropy and events give the same effects. Not thread safe.
///
/// Hosts exchange messages that carry an array of JSON items; the field "k" of
/// an item gives its kind.
class cell_host : private owner_transport
{
public:
    /// `entropy` and `external_rows` must outlive this object.
    cell_host(cell_identity identity, std::uint64_t seed,
              entropy_source& entropy,
              const external_row_reader& external_rows);

    /// Handles `events` in order and returns their effects. `now` must not be
    /// earlier than in the previous call. `continues_batch` tells that the
    /// events had arrived when the previous call was made; see `split_batch`.
    cell_effects handle(time_point now, const std::vector<cell_event>& events,
                        bool continues_batch = false);

    const metrics& counters() const
    {
        return context_.counters;
    }
    bool is_owner() const
    {
        return owner_ != nullptr;
    }
    /// Null unless this host owns the cell.
    const cell_owner* owner() const
    {
        return owner_.get();
    }

private:
    /// Another entry host of the cell.
    struct member
    {
        std::string address;
        std::string data_centre;
        /// Latest answer to a heartbeat of this host; zero when there was none
        /// since the link was made.
        time_point last_ack_at;
        /// Clock of the host when it sent that answer, in microseconds. Empty
        /// when there was none since the link was made, or none with a reading.
        std::optional<std::int64_t> clock_us;
        /// Lower bound of its clock minus that of this host, in microseconds.
        /// Empty when there was no reading since the link was made.
        std::optional<std::int64_t> clock_offset_us;
        /// Has refused a call as late since its latest answer to a heartbeat.
        bool refuses_calls = false;
        /// Highest epoch of the heartbeats that it has answered. Its process
        /// does not own the cell under a lower one.
        std::uint64_t followed_epoch = 0;
        bool connected = false;
        bool leaving = false; ///< The host is stopping.
        time_point connected_at;
        time_point redial_at; ///< Not among the peers before this time.
    };
    /// A call to a worker that this host makes for the owner.
    struct relayed_call
    {
        std::string host;     ///< The owner, which gets the answer.
        std::uint64_t id = 0; ///< Id of the call at the owner.
    };

    /// A call to the owner that waits for a version of the configuration.
    struct held_item
    {
        std::string from;
        nlohmann::json item;
        time_point deadline; ///< Handled by then in any case.
    };
    /// The items of a message that has not been sent yet.
    struct message_items
    {
        std::size_t count = 0;
        std::string encoded; ///< Their CBOR encodings, one after the other.
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

    // Implementation of owner_transport.
    void send_call(const std::string& host, const worker_call& call) override;
    void send_answer(const std::string& host, nlohmann::json item) override;

    /// Takes the reading of the host's clock in its answer to a heartbeat.
    static void read_member_clock(time_point now, member& member,
                                  const nlohmann::json& item);
    /// Makes a call to a worker for the owner `from`, or refuses it when its
    /// time is over or the owner has been replaced.
    void relay_call(time_point now, const std::string& from,
                    const nlohmann::json& item);
    /// Handles one item of a message of the host `from`. Throws
    /// nlohmann::json::exception when the item is malformed.
    void on_item(time_point now, const std::string& from,
                 const nlohmann::json& item);
    void on_heartbeat(time_point now, const std::string& from,
                      const nlohmann::json& item);
    /// Returns the counts in a heartbeat, or nothing when it does not show how
    /// old they are.
    std::optional<waiting_counts>
    read_waiting_counts(time_point now, const nlohmann::json& item) const;
    /// Takes what the heartbeat of the owner tells of the configuration.
    void read_config_evidence(time_point now, const std::string& from,
                              const nlohmann::json& item);
    /// Returns the reading of this host's clock that the owner had received
    /// before it sent the heartbeat, or nothing when there is no valid one.
    std::optional<time_point> read_echo(time_point now,
                                        const nlohmann::json& item) const;
    /// Handles a call to the owner, or holds it until this host has the version
    /// of the configuration that the sender has applied.
    void on_owner_item(time_point now, const std::string& from,
                       const nlohmann::json& item);
    void release_held_items(time_point now);
    /// Follows a change of the configuration or of its evidence: announces it
    /// to the hosts that make calls for this owner, and handles what was held.
    void after_config_event(time_point now);
    /// Sends the items for `host` and leaves none.
    void send_items(const std::string& host, message_items& items);
    /// Adds an item to the message that is sent to `host` at the end of the
    /// batch of events, or earlier when it is large.
    void post(const std::string& host, const nlohmann::json& item);
    /// The returned function holds a reference to this object.
    cell_frontend::sender make_owner_sender(time_point now);
    /// Sends the read or claim that the election asks for, one at a time.
    void run_election(time_point now);
    /// `version` is that of the owner row that the claim has written.
    void become_owner(time_point now, std::uint64_t version);
    void announce_release();
    void lose_ownership(time_point now, const char* reason);
    /// Reads the secret that the hosts share from the store.
    void fetch_secret(time_point now);
    /// Creates the secret when the store has none.
    void on_secret_result(time_point now, const store_result& result);
    /// Registers this host once; the owner then reads the list of hosts
    /// periodically.
    void update_membership(time_point now);
    void on_member_result(time_point now, const store_result& result);
    /// Tells the owner which hosts can make calls for it, and sends heartbeats
    /// to them when they are due. Precondition: this host owns the cell.
    void run_owner_duties(time_point now);
    void send_heartbeats(time_point now);
    /// Stops following an owner whose heartbeats have been missing for too
    /// long.
    void check_owner_silence(time_point now);
    /// Sets the hosts to connect to: the owner connects to all hosts, every
    /// other host to the owner. Breaks links that have been silent for too
    /// long.
    void update_peers(time_point now);
    /// Reports the readiness of this host when it has changed.
    void report_readiness(time_point now);
    /// Completes a requested stop when nothing is pending or its time is over.
    void check_stop(time_point now);

    cell_context context_;
    cell_config_watcher config_watcher_;
    cell_frontend frontend_;
    cell_election election_;
    std::unique_ptr<cell_owner>
        owner_; ///< Null unless this host owns the cell.
    /// Items to send at the end of the batch of events, by host.
    std::map<std::string, message_items> outbox_;
    /// Answers of the owner on this host to callers of this host.
    std::vector<nlohmann::json> local_answers_;
    std::vector<held_item> held_items_; ///< In order of arrival.
    /// Version that this owner has announced last.
    std::uint64_t announced_version_ = 0;
    /// Calls to workers in progress, by their id on this host.
    std::map<std::uint64_t, relayed_call> relayed_calls_;
    std::map<std::string, member> members_;
    std::set<std::string> connected_hosts_;
    std::vector<peer_address> peers_; ///< As last set by `update_peers`.
    std::optional<op_id> election_op_;
    bool election_op_is_claim_ = false;
    time_point claim_sent_at_;
    /// Epoch of this host when it last asked for the list of hosts.
    std::uint64_t member_scan_epoch_ = 0;
    /// The list of hosts has been read since the claim.
    bool has_read_members_ = false;
    std::optional<op_id> secret_op_;
    time_point next_secret_read_at_;
    bool has_secret_ = false;
    std::optional<op_id> member_op_;
    bool registered_ = false;
    time_point next_member_op_at_;
    /// Start of the batch. Only events that had arrived by then have been
    /// handled, so silence is judged as of this time.
    time_point last_handled_at_;
    std::optional<time_point> first_handled_at_;
    time_point handling_at_; ///< Start of the part of the batch.
    time_point next_heartbeat_at_;
    /// Owner whose heartbeats this host answers; empty when there is none.
    std::string followed_owner_;
    std::uint64_t followed_epoch_ = 0;
    time_point owner_redial_at_;
    time_point owner_connected_at_;
    /// Latest time at which the owner is known to receive the answers of this
    /// host to its heartbeats.
    time_point last_ack_confirmed_at_;
    bool ready_ = false;
    bool readiness_reported_ = false;
    bool stopping_ = false;
    bool stopped_ = false;
    time_point stop_requested_at_;
};

} // namespace carobcourse
