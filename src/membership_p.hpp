/// Membership of the entry hosts: rows in the table, heartbeats, the spread
/// of configuration changes and the exchange of grants.
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

/// Registers this host, follows the rows of the others and talks to them.
/// The state of the promises is in `core_context::grants`. Not thread safe.
class membership
{
public:
    membership(core_context& context, config_service& config);

    void on_tick(time_point now);
    void on_store_result(time_point now, const store_result& result);
    /// Takes the host list, when it could be read.
    void on_hosts(const std::vector<host_entry>& hosts);
    void on_message(time_point now, const peer_received& message);
    void on_peer_state(const peer_state& state);

    /// Deletes the own row at a planned stop; no change is made after it.
    void leave(time_point now);
    /// True when the row is deleted or the deletion has failed.
    bool has_left(time_point now) const;

private:
    enum class registration : std::uint8_t
    {
        absent,
        reading,
        writing,
        registered,
        superseded, ///< Another incarnation has the row.
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
    std::uint64_t own_version_ = 0; ///< Of the own row, for its deletion.
    std::string written_value_;
    bool has_scanned_ = false;

    std::map<std::string, std::uint64_t> row_versions_;
    /// A row of a host that this one has never seen listed.
    struct unlisted_row
    {
        std::uint64_t version = 0;
        time_point since;
        std::uint64_t host_lists_read = 0; ///< By then.
    };

    std::map<std::string, unlisted_row> unlisted_rows_;
    std::uint64_t host_lists_read_ = 0;
    std::set<std::string> ever_listed_;      ///< Entry hosts ever listed.
    std::set<std::string> currently_listed_; ///< In the latest host list.
    /// When a member was learned from its heartbeat. A scan that began before
    /// it may not show the row.
    std::map<std::string, time_point> learned_at_;
    /// Incarnations that a newer one has replaced.
    std::map<std::string, std::set<std::string>> replaced_incarnations_;

    /// Questions to another data centre.
    struct data_centre_state
    {
        std::size_t host_offset = 0; ///< Moves on to the next host of it.
        int failures = 0;            ///< Answers without grants in succession.
        time_point requested_at;
        time_point answered_at;
    };

    std::map<std::string, time_point> last_message_at_;
    std::map<std::string, data_centre_state> data_centre_states_;
    std::set<std::string>
        newly_connected_; ///< Links that are new since the tick.
    std::uint64_t sequence_ = 0;
    std::deque<std::pair<std::uint64_t, time_point>> sent_requests_;
    time_point next_heartbeat_;
    time_point last_heartbeat_;
    time_point next_announcement_;
    bool was_changing_ = false;
    time_point config_requested_at_;
};

} // namespace carobcourse
