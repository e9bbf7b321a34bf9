/// The part of each team's upper limit that one shard may use.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration_p.hpp"
#include "core_context_p.hpp"

namespace carobcourse
{

namespace allotment_tables
{
/// Rows "<team>/<shard>": the amount that the shard holds.
constexpr char shares[] = "allotment";
/// Rows "<team>": the limit and the sum of all shares.
constexpr char limits[] = "team_limit";
} // namespace allotment_tables

/// A team's row: the limit and what is handed out of it.
struct team_limit_row
{
    std::uint64_t limit_version = 0; ///< Version of the team's document.
    resources limit;
    resources handed_out; ///< Sum of the shares of all shards.
    /// `handed_out` when this limit was written; a lowered limit is divided
    /// in proportion to it.
    resources divided;
    std::set<std::string> holders;          ///< Shards with a share.
    std::map<std::string, resources> wants; ///< Unmet needs by shard.
    /// The part of a want that brings the shard up to an even part.
    std::map<std::string, resources> dues;
};

std::string to_json_text(const team_limit_row& row);
tl::expected<team_limit_row, error>
team_limit_row_from_json(const std::string& text);

/// Aggregate of the owner of one shard. Rules: the shares of a team change
/// only in transactions that also change the team's row, so that their sum
/// never passes the limit in that row; a task starts only within the share;
/// the amount used here is never above the share in the table, also while
/// the outcome of a write is unknown. Not thread safe.
class allotment
{
public:
    allotment(core_context& context, const configuration& config,
              std::string shard);

    /// Takes over the shard's shares with the owner's epoch. Nothing may
    /// start until they are read and claimed.
    void begin(time_point now, std::uint64_t epoch);
    /// Ownership is over; nothing more is written.
    void end();
    /// Only while the host is owner.
    void on_tick(time_point now);
    /// Returns true when the result was for this aggregate.
    bool on_store_result(time_point now, const store_result& result);

    /// Starts counting the unmet needs of a pass over the waiting tasks.
    void begin_pass();
    /// True when a task of this amount may start. A refusal counts as need.
    bool may_start(const std::string& team, const resources& amount);
    /// Counts an attempt that starts, runs or possibly runs. Repeating it
    /// changes nothing; a higher attempt of the task replaces a lower one.
    void note_started(const attempt_id& attempt, const std::string& team,
                      const resources& amount);
    /// The attempt certainly does not run.
    void note_ended(const attempt_id& attempt);
    /// No task of the job runs.
    void note_job_ended(const std::string& job);

    /// Newest attempts over a lowered limit, for teams whose document asks
    /// to stop them. Each is returned once.
    std::vector<attempt_id> take_excess();

    /// Share that may be used, zero when there is none.
    resources share(const std::string& team) const;
    /// Amount of all counted attempts.
    resources used(const std::string& team) const;

private:
    enum class share_step : std::uint8_t
    {
        unread,
        reading,
        claiming,
        ready
    };

    struct team_state
    {
        // The shard's own row.
        share_step step = share_step::unread;
        std::uint64_t share_row_version = 0;
        resources row_amount;
        resources usable;
        std::string write_id; ///< Of the last write sent.
        bool unsettled = false;
        // The team's row as last seen.
        bool limit_known = false;
        std::uint64_t limit_row_version = 0;
        team_limit_row limit;
        bool reread_limit = false;
        std::optional<time_point> limit_due;
        // Write in flight.
        std::optional<op_id> op;
        bool writes_share = false;
        resources next_amount;
        team_limit_row next_limit;
        time_point next_action;
        // Use.
        resources used;
        resources need;
        std::map<std::uint64_t, attempt_id> newest; ///< By order of start.
        std::optional<time_point> spare_since;
        std::uint64_t divided_version = 0;
        resources divided_share;
        time_point want_written;
    };

    struct use
    {
        std::uint32_t attempt = 0;
        std::string team;
        resources amount;
        std::uint64_t order = 0;
        bool stopping = false;
    };

    std::string share_key(const std::string& team) const;
    void scan(time_point now);
    void on_scan(const store_result& result);
    void take_limit_row(team_state& state, const row& row);
    void advance(time_point now, const std::string& team, team_state& state);
    void on_share_read(time_point now, const std::string& team,
                       team_state& state, const store_result& result);
    void claim(const std::string& team, team_state& state);
    void on_written(time_point now, team_state& state,
                    const store_result& result);
    void on_limit_read(time_point now, team_state& state,
                       const store_result& result);
    static void unsettle(team_state& state);
    void plan(time_point now, const std::string& team, team_state& state);
    resources plan_amount(time_point now, team_state& state,
                          team_limit_row& limit);
    resources plan_excess(team_state& state, const team_limit_row& limit) const;
    resources plan_growth(team_state& state, team_limit_row& limit) const;
    void note_divided(team_state& state) const;
    std::optional<resources> ceiling(const team_state& state) const;
    resources fair_part(const team_limit_row& limit) const;
    /// Sum of the other shards' entries beyond what is free.
    resources open_to_others(const team_limit_row& limit,
                             const std::map<std::string, resources>& by) const;
    void forget_wants(team_limit_row& limit) const;
    std::string share_text(const resources& amount, team_state& state);
    void erase(std::map<task_id, use>::iterator found);

    core_context& context_;
    const configuration& config_;
    std::string shard_;
    std::uint64_t epoch_ = 0;
    bool active_ = false;
    std::uint64_t order_ = 0;
    time_point next_scan_;
    std::optional<op_id> scan_op_;
    std::map<op_id, std::string> ops_;
    std::set<op_id> limit_reads_;
    std::map<std::string, team_state> teams_;
    std::map<task_id, use> uses_;
};

} // namespace carobcourse
