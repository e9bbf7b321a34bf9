/// Membership of the entry hosts: registration in the member table, heartbeats,
/// propagation of configuration changes, and exchange of grants.
#pragma once

#include <carobcourse/types.hpp>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config_service_p.hpp"
#include "core_context_p.hpp"

namespace carobcourse
{

/// Registers this host in the member table, tracks the rows of the other entry
/// hosts and exchanges messages with them. The grants themselves are kept in
/// `core_context::grants`. Not thread safe.
class membership
{
public:
    /// Both references must outlive the object.
    membership(core_context& context, config_service& config);

    /// Reads or scans the table, sends heartbeats and announces changes that
    /// are due.
    void on_tick(time_point now);
    /// Handles the result of a store operation. Ignores operations that this
    /// object did not start or no longer waits for.
    void on_store_result(time_point now, const store_result& result);
    /// Takes a host list of the platform. Called only after a successful read.
    void on_hosts(const std::vector<host_entry>& hosts);
    /// Handles a message of another entry host. Refused messages are counted in
    /// `carobcourse_peer_refusals_total`.
    void on_message(time_point now, const peer_received& message);
    /// Records that the connection to a peer was established or lost.
    void on_peer_state(const peer_state& state);

    /// Starts the deletion of the own row at a planned stop. This host makes no
    /// configuration change afterwards.
    void leave(time_point now);
    /// Returns true when the deletion started by `leave` has finished, failed
    /// or timed out.
    bool has_left(time_point now) const;

private:
    enum class registration : std::uint8_t
    {
        absent,
        reading,
        writing,
        registered,
        superseded, ///< The row belongs to another incarnation of this host.
        leaving
    };

    void read_own_row(time_point now);
    void on_own_row_read(time_point now, const store_result& result);
    void on_own_row_written(time_point now, const store_result& result);
    void scan_members(time_point now);
    void on_members_scanned(time_point now, const store_result& result);
    void remove_unlisted(time_point now);
    bool is_permanently_removed(time_point now, const std::string& host,
                                std::uint64_t version);
    void update_members(time_point now, member_map members);
    void unregister(registration state);

    void send(const std::string& to, const char* type,
              const nlohmann::json& body);
    bool is_full_mesh() const;
    bool is_table_read_overdue(time_point now) const;
    std::uint64_t next_sequence(time_point now);
    std::optional<time_point> request_time(const nlohmann::json& answer) const;
    nlohmann::json heartbeat_body(std::uint64_t sequence) const;
    void send_heartbeats(time_point now);
    void send_heartbeats_to_connected(time_point now);
    void request_summaries(time_point now, std::uint64_t sequence,
                           bool for_all_members);
    bool needs_grants(time_point now, const std::string& data_centre) const;
    void add_config_age(time_point now, nlohmann::json& body) const;
    void apply_config_age(time_point requested_at, const nlohmann::json& body);
    void announce_change(time_point now);
    bool check_incarnation(time_point now, const std::string& host,
                           const nlohmann::json& body);
    void on_heartbeat(time_point now, const std::string& host,
                      const nlohmann::json& body);
    void on_heartbeat_ack(time_point now, const std::string& host,
                          const nlohmann::json& body);
    void on_summary_request(time_point now, const std::string& host,
                            const nlohmann::json& body);
    void on_summary(time_point now, const std::string& host,
                    const nlohmann::json& body);
    void on_peer_version(time_point now, const std::string& host,
                         std::uint64_t version);

    core_context& context_;
    config_service& config_;
    registration state_ = registration::absent;
    std::optional<op_id> row_op_;
    std::optional<op_id> scan_op_;
    time_point next_action_;
    time_point scan_started_;
    time_point next_scan_;
    time_point leave_deadline_;
    /// Version of the own row, which the deletion expects.
    std::uint64_t own_version_ = 0;
    std::string written_value_;
    bool has_scanned_ = false;

    std::map<std::string, std::uint64_t> row_versions_;
    /// State of a row whose host this process has never seen in the host list.
    struct unlisted_row
    {
        std::uint64_t version = 0;
        time_point since;
        std::uint64_t host_lists_read = 0; ///< Number of lists read at `since`.
    };

    std::map<std::string, unlisted_row> unlisted_rows_;
    std::uint64_t host_lists_read_ = 0;
    /// Entry hosts that were in any host list since this process started.
    std::set<std::string> ever_listed_;
    /// Entry hosts in the latest host list.
    std::set<std::string> currently_listed_;
    /// When a member was first learned from its heartbeat. A scan that began
    /// earlier may not contain its row.
    std::map<std::string, time_point> learned_at_;
    /// Incarnations that were replaced by a newer one, by host.
    std::map<std::string, std::set<std::string>> replaced_incarnations_;

    /// State of the summary requests to another data centre.
    struct data_centre_state
    {
        /// Incremented to address the next host of the data centre.
        std::size_t host_offset = 0;
        int failures = 0; ///< Consecutive summaries without grants.
        time_point requested_at;
        time_point answered_at;
    };

    std::map<std::string, time_point> last_message_at_;
    std::map<std::string, data_centre_state> data_centre_states_;
    /// Peers that connected since the last tick.
    std::set<std::string> newly_connected_;
    std::uint64_t sequence_ = 0;
    /// Sequence numbers and times of the latest requests.
    std::deque<std::pair<std::uint64_t, time_point>> sent_requests_;
    time_point next_heartbeat_;
    time_point last_heartbeat_;
    time_point next_announcement_;
    bool was_changing_ = false;
    time_point config_requested_at_;
};

} // namespace carobcourse
