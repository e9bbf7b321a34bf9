/// Write queue of the cell's owner. Groups writes into ordered commits that
/// are fenced by the owner's row in the store.
#pragma once

#include <algorithm>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell_event_p.hpp"
#include "cell_log_p.hpp"

namespace carobcourse
{

/// Names of the store tables of the cell.
namespace cell_table
{
constexpr char owner[] = "cell";
constexpr char member[] = "member";
constexpr char log[] = "log";
} // namespace cell_table

/// Key of the row that names the owner, in table `cell`.
constexpr char owner_key[] = "owner";
/// Key of the row with the speeds of workers, in table `cell`.
constexpr char worker_speeds_key[] = "speeds";

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

/// Groups entries of the log into commits and sends one commit at a time, with
/// all entries that wait. A commit whose answer is overdue is sent again with
/// the same rows: at most one copy takes effect, and the owner's row shows
/// whether one has. Used by the core thread only.
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

    /// Takes a row of the log of earlier owners. Precondition: see
    /// `cell_log::add_row`; nothing was appended yet, and no commit is made
    /// until all rows are loaded.
    void load_log_row(std::uint64_t number, std::vector<log_entry> entries)
    {
        log_.add_row(number, std::move(entries));
    }
    /// The log as it is in the store.
    const cell_log& log() const
    {
        return log_;
    }

    /// Queues an entry, which replaces a queued one of the same kind and job.
    /// The end of a job replaces its queued progress too. `on_durable` runs
    /// when the entry is confirmed. Precondition: `entry.kind` is not
    /// `forgotten`.
    void append(time_point now, log_entry entry, callback on_durable = {});
    /// Ends all entries of the job, without urgency: with the next commit that
    /// is sent for another reason.
    void forget(const std::string& job)
    {
        forgotten_jobs_.push_back(job);
    }
    /// Queues a write of a row outside the log, which replaces a queued one.
    void write_row(const std::string& table, const std::string& key,
                   std::string value);
    /// Runs `done` when all entries queued so far are confirmed, or at once
    /// when there are none.
    void when_durable(callback done);
    /// True when the entry is queued and is in no commit yet.
    bool is_queued(log_entry_kind kind, const std::string& job) const
    {
        return queued_.count({kind, job}) > 0;
    }
    /// Drops a queued entry, which then never takes effect, and its callback.
    /// An entry that is already in a commit stays.
    void cancel_queued(log_entry_kind kind, const std::string& job);

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
    /// Time at which a commit was last confirmed.
    time_point last_commit_at() const
    {
        return last_commit_at_;
    }
    /// Number of queued entries that are in no commit yet.
    std::size_t queued_count() const
    {
        return queue_.size();
    }
    /// Time at which the oldest entry that is not confirmed was queued; `now`
    /// when there is none.
    time_point oldest_entry_at(time_point now) const;
    /// Number of entries that have been confirmed.
    std::uint64_t confirmed_entries() const
    {
        return confirmed_entries_;
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
    using entry_key = std::pair<log_entry_kind, std::string>;
    struct queued_entry
    {
        log_entry entry;
        std::vector<callback> on_durable;
        time_point queued_at;
        std::uint64_t sequence = 0; ///< Rises along the queue.
    };
    /// Entries of one row of the current commit.
    struct batch_row
    {
        std::uint64_t number = 0;
        std::vector<log_entry> entries;
    };
    /// Runs when all entries up to `sequence` are confirmed.
    struct barrier
    {
        std::uint64_t sequence = 0;
        callback done;
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

    /// Makes the rows of the next commit from all that waits.
    void build_commit(time_point now);
    /// Adds an entry to the last row of the commit, or to a new one when that
    /// is full.
    void add_to_batch(std::string& row_text, const log_entry& entry);
    void finish_batch_row(std::string& row_text);
    /// Ends the current commit, which wrote the owner's row at `version`.
    void on_committed(time_point now, std::uint64_t version);
    void update_answer_time(duration time);
    /// Time after which the answer to a copy is given up.
    duration answer_timeout() const;
    /// Time from which the answer to a copy sent at `now` is overdue.
    time_point resend_time(time_point now) const;

    owner_row owner_;
    std::uint64_t version_;
    cell_log log_;
    std::list<queued_entry> queue_;
    std::map<entry_key, std::list<queued_entry>::iterator> queued_;
    std::uint64_t last_sequence_ = 0;
    std::deque<barrier> barriers_;
    std::vector<std::string> forgotten_jobs_;
    std::map<std::pair<std::string, std::string>, std::string> queued_rows_;
    std::list<queued_entry> batch_; ///< Queued entries in the current commit.
    std::vector<batch_row> batch_rows_;
    std::vector<std::uint64_t> removed_rows_; ///< By the current commit.
    std::vector<row_write> commit_writes_;    ///< Without the owner's row.
    std::vector<commit_copy> in_flight_;      ///< Copies without an answer.
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
    std::uint64_t confirmed_entries_ = 0;
    bool released_ = false;
};

} // namespace carobcourse
