/// Keeps the configuration up to date and carries out operators' changes.
#pragma once

#include <carobcourse/types.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration_p.hpp"
#include "core_context_p.hpp"

namespace carobcourse
{

struct team_limit_row;

/// Reads the configuration from the table service, states whether it is
/// fresh, and writes changes. Not thread safe.
class config_service
{
public:
    explicit config_service(core_context& context);

    const configuration& current() const
    {
        return current_;
    }

    /// True while the configuration is confirmed as current.
    bool is_fresh(time_point now) const;

    /// Checks that keyed work may be accepted now.
    tl::expected<void, error> check_usable(time_point now) const;

    /// Latest time at which the version in force is known to have been that
    /// of the table, by an own read or one relayed by a peer.
    std::optional<time_point> confirmed_at() const
    {
        return confirmed_at_;
    }
    /// True once the table was read by this process.
    bool has_read_table() const
    {
        return own_read_at_.has_value();
    }
    /// When the latest read of the table that succeeded began.
    std::optional<time_point> own_read_at() const
    {
        return own_read_at_;
    }
    /// A peer knows that `version` was the table's at `confirmed_at`.
    void on_peer_confirmation(std::uint64_t version, time_point confirmed_at);
    /// Changes after `after` as JSON texts, oldest first; empty when they are
    /// no longer kept.
    std::vector<std::string> recent_changes(std::uint64_t after) const;
    /// Applies changes from a peer that follow the version in force without
    /// a gap. Returns false when nothing was applied.
    bool apply_from_peer(const std::vector<std::string>& changes);
    /// Reads the table at the next tick.
    void poll_soon()
    {
        next_poll_ = time_point{};
    }

    /// True when no operator's call waits for its answer.
    bool is_drained() const
    {
        return changes_.empty() && limit_reads_.empty();
    }

    void on_tick(time_point now);
    void on_store_result(time_point now, const store_result& result);

    /// Handles calls on teams, keys and data centres. Returns false for
    /// other paths.
    bool on_call(time_point now, const api_call& call);

private:
    enum class load_step : std::uint8_t
    {
        idle,
        reading_head,
        scanning_entries,
        scanning_log
    };

    enum class change_step : std::uint8_t
    {
        waiting,    ///< For a head that is read after the call came.
        committing, ///< Without a reply it is settled by the next steps.
        reading_back,
        excluding, ///< Writes a change of nothing at the same version.
        settling   ///< Until the next try to settle.
    };

    /// An operator's change on its way to the table.
    struct pending_change
    {
        call_id call = 0;
        config_change change;
        /// Version of the entry that the change is based on, when stated.
        std::optional<std::uint64_t> base;
        std::string answer; ///< JSON body once accepted.
        change_step at = change_step::waiting;
        time_point not_before;
        time_point give_up_at;
        std::uint64_t head_row_version = 0;
        int conflicts = 0;
    };

    /// A call that waits for the row of a team's limit.
    struct limit_read
    {
        call_id call = 0;
        std::string team;
        bool removes = false;
    };

    void read_head(time_point now);
    void on_head(time_point now, const store_result& result);
    void on_entries(time_point now, const store_result& result);
    void on_log(time_point now, const store_result& result);
    void scan_log(std::uint64_t after);
    void poll_failed(time_point now);
    void caught_up(time_point now);
    void pass_gate(time_point now);
    bool is_granted(time_point now) const;
    bool may_write(time_point now) const;
    void on_member_checked(const store_result& result);
    bool apply_logged(const std::string& text);

    bool check_operator(const api_call& call);
    void list_entries(const api_call& call, entry_kind kind);
    void read_limit(time_point now, const api_call& call,
                    const std::string& team, bool removes);
    void on_limit_read(time_point now, const limit_read& read,
                       const store_result& result);
    void remove_team(time_point now, const limit_read& read, bool known,
                     const std::optional<team_limit_row>& row);
    void put_team(time_point now, const api_call& call,
                  const std::string& team);
    void give_key(time_point now, const api_call& call);
    void withdraw_key(time_point now, const api_call& call,
                      const std::string& id);
    void put_data_centre(time_point now, const api_call& call,
                         const std::string& name);
    void enqueue(time_point now, const api_call& call, entry_kind kind,
                 const std::string& name, std::optional<std::string> value,
                 std::optional<std::uint64_t> base, std::string answer);
    std::uint64_t entry_version(const config_change& change) const;
    bool is_in_force(const config_change& change) const;
    std::optional<error> check_change(const pending_change& pending) const;
    void answer_change(const pending_change& pending, std::uint64_t version,
                       bool changed);
    void send_next_change(time_point now);
    void commit_change(const config_change& change,
                       std::uint64_t head_row_version);
    /// Returns true when the result was for a change.
    bool on_change_result(time_point now, const store_result& result);
    void on_commit(time_point now, const store_result& result);
    void read_back();
    void on_read_back(time_point now, const store_result& result);
    void settle_at(time_point when);
    void on_change_tick(time_point now);
    void retry_change(time_point now);
    /// The table can not be read: changes that were not sent are refused.
    void refuse_unsent_changes(time_point now);
    void finish_change(time_point now, const error* why);

    core_context& context_;
    configuration current_;
    load_step step_ = load_step::idle;
    op_id poll_op_;
    time_point poll_started_;
    time_point next_poll_;
    std::optional<time_point> confirmed_at_;
    std::optional<time_point> own_read_at_;
    std::deque<std::pair<std::uint64_t, std::string>> recent_;
    std::uint64_t head_version_ = 0;
    std::uint64_t head_row_version_ = 0;
    bool was_fresh_ = false;
    /// A change waits for the gate, or its outcome is not known yet.
    bool change_waits_ = false;
    bool change_unresolved_ = false;
    time_point change_ended_at_;

    std::deque<pending_change> changes_;
    std::optional<op_id> change_op_;
    std::size_t member_check_ = 0; ///< Index of that write in the commit.
    std::map<op_id, limit_read> limit_reads_;
};

} // namespace carobcourse
