/// Write queue of the cell's owner. Groups writes into ordered commits that
/// are fenced by the owner's row in the store.
#pragma once

#include <algorithm>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell_event_p.hpp"

namespace carobcourse
{

/// Names of the store tables of the cell.
namespace cell_table
{
constexpr char owner[] = "cell";
constexpr char member[] = "member";
constexpr char job[] = "job";
constexpr char progress[] = "progress";
constexpr char ended[] = "ended";
} // namespace cell_table

/// Key of the row that names the owner, in table `cell`.
constexpr char owner_key[] = "owner";

/// Content of the owner's row. Every commit of the owner rewrites it, so a
/// commit that arrives late finds another version and writes nothing.
struct owner_row
{
    std::uint64_t epoch = 0;
    std::string host;
    std::string incarnation;
    std::string peer_address;
    std::uint64_t sequence = 0; ///< Number of commits of this owner.
    bool released = false;      ///< Other hosts may claim the cell at once.

    friend bool operator==(const owner_row& a, const owner_row& b)
    {
        return a.epoch == b.epoch && a.host == b.host &&
               a.incarnation == b.incarnation &&
               a.peer_address == b.peer_address && a.sequence == b.sequence &&
               a.released == b.released;
    }
};

/// Returns the JSON text of the row as it is stored.
std::string to_text(const owner_row& owner);
/// Returns nothing when `text` is not an owner's row.
std::optional<owner_row> parse_owner_row(const std::string& text);

/// Groups writes into commits and sends one commit at a time. A commit whose
/// answer is overdue is sent again with the same rows: at most one copy takes
/// effect, and the owner's row shows whether one has. Used by the core thread
/// only.
class cell_journal
{
public:
    enum class outcome : std::uint8_t
    {
        committed,
        pending,       ///< No effect is known yet; sent again when due.
        ownership_lost ///< Another owner has written the owner's row.
    };
    using callback = std::function<void()>;

    /// `version` is the version of the owner's row, which holds `owner`. The
    /// claim that wrote it was sent at `claim_sent`.
    cell_journal(owner_row owner, std::uint64_t version, time_point claim_sent);

    /// Queues a write, which replaces a queued write of the same row. An empty
    /// `value` removes the row. `on_durable` runs when the write is confirmed.
    void write(time_point now, const std::string& table, const std::string& key,
               std::optional<std::string> value, callback on_durable = {});
    /// Removes a row without urgency: the removal fills space that is left in
    /// a commit, unless a write of the row is queued, which it replaces.
    void remove_lazily(time_point now, const std::string& table,
                       const std::string& key);
    /// Runs `done` when all writes queued so far are confirmed, or at once when
    /// there are none. Lazy removals that no commit carries yet are not waited
    /// for.
    void when_durable(callback done);
    /// True when a write of the row is queued and is in no commit yet.
    bool is_queued(const std::string& table, const std::string& key) const;
    /// Drops a queued write, which then never takes effect. Writes that are
    /// already in a commit stay.
    void cancel_queued(const std::string& table, const std::string& key);

    /// Returns the commit, or the copy of one, that is due now; `op` names it.
    /// Returns nothing when none is due.
    std::optional<store_commit> next_commit(time_point now, op_id op);
    /// Takes the result of a commit or of a copy of it and runs the callbacks
    /// of the writes that it confirms. Precondition:
    /// `is_in_flight(result.op)`.
    outcome on_result(time_point now, const store_result& result);
    /// True when the operation is a copy of the current commit that has no
    /// answer yet.
    bool is_in_flight(const op_id& op) const
    {
        return find_copy(op) != in_flight_.end();
    }
    /// Releases the cell with the next commit.
    void request_release()
    {
        release_requested_ = true;
    }
    /// True when the release is confirmed. No more commits are sent.
    bool is_released() const
    {
        return released_;
    }
    /// The owner's row as the last commit writes it.
    const owner_row& owner() const
    {
        return owner_;
    }
    /// True when the current commit has had no effect for
    /// `cell_store_failure_timeout`.
    bool is_store_failing(time_point now) const;
    /// Number of writes that are in no commit yet, without lazy removals. For
    /// tests and metrics.
    std::size_t queued_writes() const
    {
        return queue_.size();
    }
    /// Time at which a commit was last confirmed.
    time_point last_commit_at() const
    {
        return last_commit_at_;
    }
    /// Number of queued writes that are in no commit yet.
    std::size_t queued_count() const
    {
        return queue_.size();
    }
    /// Time at which the oldest write that is not confirmed was queued; `now`
    /// when there is none.
    time_point oldest_write_at(time_point now) const;
    /// Number of writes that have been confirmed.
    std::uint64_t confirmed_writes() const
    {
        return confirmed_writes_;
    }
    /// Smoothed time from a commit to its answer.
    duration answer_time() const
    {
        return smoothed_answer_time_;
    }
    /// Latest time at which this host is known to have been the owner: when
    /// the last confirmed commit was first sent. Another host may have taken
    /// over since.
    time_point ownership_confirmed_at() const
    {
        return ownership_confirmed_at_;
    }

private:
    struct queued_write
    {
        row_write write;
        std::vector<callback> on_durable;
        time_point queued_at;
    };
    /// One transmission of the current commit.
    struct commit_copy
    {
        op_id op;
        time_point sent_at;
    };

    std::vector<commit_copy>::const_iterator find_copy(const op_id& op) const
    {
        return std::find_if(in_flight_.begin(), in_flight_.end(),
                            [&op](const commit_copy& each)
                            { return each.op == op; });
    }

    /// Ends the current commit, which wrote the owner's row at `version`.
    void on_committed(time_point now, std::uint64_t version);
    void update_answer_time(duration time);
    /// Time from which the answer to a copy sent at `now` is overdue.
    time_point resend_time(time_point now) const;

    owner_row owner_;
    std::uint64_t version_;
    std::deque<queued_write> queue_;
    std::vector<queued_write> batch_; ///< Writes of the current commit.
    std::deque<queued_write> lazy_removals_;
    std::vector<commit_copy> in_flight_; ///< Copies without an answer.
    /// The current commit was sent and is not known to have taken effect.
    bool commit_pending_ = false;
    bool release_requested_ = false;
    time_point resend_at_;
    duration smoothed_answer_time_;
    time_point next_commit_at_;
    time_point last_commit_at_;
    time_point first_sent_at_; ///< Time of the first copy of the commit.
    time_point ownership_confirmed_at_;
    unsigned consecutive_failures_ = 0;
    std::uint64_t confirmed_writes_ = 0;
    bool released_ = false;
};

} // namespace carobcourse
