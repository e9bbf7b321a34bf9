/// Writes of the owner to the store: grouped, in order, fenced by its row.
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

/// Tables of the cell.
namespace cell_table
{
constexpr char owner[] = "cell";
constexpr char member[] = "member";
constexpr char job[] = "job";
constexpr char progress[] = "progress";
constexpr char ended[] = "ended";
} // namespace cell_table

/// Row that names the owner, in table `cell`.
constexpr char owner_key[] = "owner";

/// Content of the owner's row. Every commit of the owner rewrites it, so that
/// a commit that arrives late finds another version and writes nothing.
struct owner_row
{
    std::uint64_t epoch = 0;
    std::string host;
    std::string incarnation;
    std::string peer_address;
    std::uint64_t sequence = 0; ///< Of the owner's commits.
    bool released = false;      ///< Free for others at once.

    friend bool operator==(const owner_row& a, const owner_row& b)
    {
        return a.epoch == b.epoch && a.host == b.host &&
               a.incarnation == b.incarnation &&
               a.peer_address == b.peer_address && a.sequence == b.sequence &&
               a.released == b.released;
    }
};

std::string to_text(const owner_row& owner);
std::optional<owner_row> parse_owner_row(const std::string& text);

/// Groups writes into commits, one after the other. A commit whose answer is
/// overdue is sent again as it was: at most one copy takes effect, and the
/// owner's row tells whether one has. Used by the core thread only.
class cell_journal
{
public:
    enum class outcome : std::uint8_t
    {
        committed,
        pending,       ///< Sent again later.
        ownership_lost ///< Another owner has written its row.
    };
    using callback = std::function<void()>;

    /// `version` is that of the owner's row, which holds `owner`; the claim
    /// that wrote it was sent at `claim_sent`.
    cell_journal(owner_row owner, std::uint64_t version, time_point claim_sent);

    /// Queues a write; a queued one of the same row is replaced. `on_durable`
    /// runs when the write is confirmed.
    void write(const std::string& table, const std::string& key,
               std::optional<std::string> value, callback on_durable = {});
    /// Removes a row that is not needed any more, with commits that have space.
    void remove_lazily(const std::string& table, const std::string& key);
    /// Runs `done` when everything queued so far is confirmed.
    void when_durable(callback done);
    /// True when the write of a row is queued and no commit carries it yet.
    bool is_queued(const std::string& table, const std::string& key) const;
    /// Takes a queued write back; it never takes effect.
    void cancel_queued(const std::string& table, const std::string& key);

    /// Returns the next commit when one is due.
    std::optional<store_commit> next_commit(time_point now, op_id op);
    /// Takes the answer to a copy of the commit; runs continuations.
    /// Precondition: `is_in_flight(result.op)`.
    outcome on_result(time_point now, const store_result& result);
    bool is_in_flight(const op_id& op) const
    {
        return find_copy(op) != in_flight_.end();
    }
    /// Gives the row up with the next commit.
    void request_release()
    {
        release_requested_ = true;
    }
    bool is_released() const
    {
        return released_;
    }
    const owner_row& owner() const
    {
        return owner_;
    }
    /// True while the store does not take the owner's commits.
    bool is_store_failing(time_point now) const;
    time_point last_commit_at() const
    {
        return last_commit_at_;
    }
    /// No other host owned the cell at this moment. After it one may.
    time_point ownership_confirmed_at() const
    {
        return ownership_confirmed_at_;
    }

private:
    struct queued_write
    {
        row_write write;
        std::vector<callback> on_durable;
    };
    /// The commit as it was sent once.
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

    void on_committed(time_point now, std::uint64_t version);
    void update_answer_time(duration time);
    /// When a copy that was sent `now` is overdue.
    time_point resend_time(time_point now) const;

    owner_row owner_;
    std::uint64_t version_;
    std::deque<queued_write> queue_;
    std::vector<queued_write> batch_; ///< Of the unsettled commit.
    std::deque<queued_write> lazy_removals_;
    std::vector<commit_copy> in_flight_; ///< Without an answer.
    bool commit_pending_ = false;        ///< Sent, and its effect is not known.
    bool release_requested_ = false;
    time_point resend_at_;
    duration
        smoothed_answer_time_; ///< Smoothed time from a commit to its answer.
    time_point next_commit_at_;
    time_point last_commit_at_;
    time_point first_sent_at_; ///< Of the batch.
    time_point ownership_confirmed_at_;
    unsigned consecutive_failures_ = 0;
    bool released_ = false;
};

} // namespace carobcourse
