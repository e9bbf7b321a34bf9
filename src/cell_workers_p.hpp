/// Workers of the cell: their runs, their free resources, and how long a worker
/// that does not answer may still be running its tasks.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell_event_p.hpp"
#include "cell_run_progress_p.hpp"
#include "cell_types_p.hpp"
#include "cell_worker_fence_p.hpp"

namespace carobcourse
{

/// State of a run at the owner of the cell.
enum class run_state : std::uint8_t
{
    starting, ///< The call that starts the run is in flight.
    /// The start had no answer. The task may be running, may start later, or
    /// may never start.
    unconfirmed,
    running
};

/// Value of `cell_run::start_deadline_ms` when the deadline of the start is
/// unknown, because it was given on the clock of an earlier incarnation.
constexpr auto no_start_deadline = std::numeric_limits<std::int64_t>::max();

/// One run of a task on a worker. It occupies its resources until its end is
/// known.
struct cell_run
{
    resources amount;
    std::string customer;
    bool uses_spare_cpu =
        false; ///< Occupies no processors; see `step_spec::uses_spare_cpu`.
    /// The job is not known any more, so the resources of the run are not
    /// either.
    bool amount_unknown = false;
    run_state state = run_state::starting;
    /// Time on the worker's clock after which the worker refuses the start.
    std::int64_t start_deadline_ms = 0;
    time_point confirmed_at; ///< Time of the answer that confirmed the run.
    /// By its reported progress, or estimated by its job until that is known.
    time_point expected_end;
    run_progress progress;
    bool stop_requested = false;
    time_point next_stop_at;      ///< The stop is not sent again earlier.
    std::uint64_t stop_call = 0;  ///< Id of the stop in flight; 0: none.
    std::string start_checkpoint; ///< Checkpoint that the run started from.
    std::string checkpoint;       ///< Latest checkpoint that it reported.
    std::uint64_t step_key = 0;   ///< Value of `stable_hash` for its step.
};

/// Returns the resources that the run occupies on its worker. Thread safe.
resources allocated_resources(const cell_run& run);

/// Identifies a run by its task and its run number.
using run_key = std::pair<cell_task_id, std::uint32_t>;

/// A worker in its current incarnation. Core thread only.
class cell_worker
{
public:
    explicit cell_worker(worker_report report, worker_number number = 0,
                         worker_fence first_fence = worker_fence())
        : fence(first_fence), report_(std::move(report)), number_(number)
    {
    }

    /// Number of this incarnation, which is not reused.
    worker_number number() const
    {
        return number_;
    }

    const worker_report& report() const
    {
        return report_;
    }
    void update(worker_report report)
    {
        report_ = std::move(report);
    }
    const std::map<run_key, cell_run>& runs() const
    {
        return runs_;
    }
    /// Returns null when the worker has no such run.
    cell_run* find(const run_key& key);
    /// Resources occupied by the runs on the worker.
    const resources& used() const
    {
        return used_;
    }
    /// Resources that are free. A field is negative when the worker is
    /// overcommitted.
    resources room() const
    {
        return report_.capacity - used_;
    }
    /// Returns the number of runs of a step on the worker.
    std::uint32_t runs_of_step(std::uint64_t step_key) const;
    /// Returns true while the worker has a run whose resources are unknown.
    bool has_run_of_unknown_amount() const
    {
        return unknown_amount_runs_ > 0;
    }

    /// Updates the estimate of the worker's clock with the reading from an
    /// answer to a call that was sent at `sent_at` and answered by `now`.
    /// Ignores readings older than the latest one. Precondition: the reading is
    /// one of this incarnation.
    void update_clock(time_point sent_at, time_point now,
                      std::int64_t clock_ms);
    /// Whether the reading can be one of the incarnation whose clock is known.
    /// Only polls tell the start of the incarnation that answers. A reading
    /// that fits by chance does no harm: deadlines mean the same on both
    /// clocks.
    bool is_plausible_clock(time_point sent_at, time_point now,
                            std::int64_t clock_ms) const;
    bool has_clock() const
    {
        return clock_ms_ >= 0;
    }
    /// Returns a lower bound of the worker's clock at `now`, in milliseconds.
    /// Precondition: `has_clock()`.
    std::int64_t clock_lower_bound_ms(time_point now) const;
    /// Records the end of a lease that is sent to the worker, on its clock. The
    /// latest end counts.
    void record_lease(std::int64_t until_ms)
    {
        lease_until_ms_ = std::max(lease_until_ms_, until_ms);
    }
    /// Takes note that an incarnation that no poll has shown may have taken
    /// calls until `now`. It may run them under a lease of `longest_lease`,
    /// because the deadlines are on another clock.
    void doubt_incarnation(time_point now, duration longest_lease);
    /// Takes note of a call with a deadline that is sent at `now`.
    void record_call_in_doubt(time_point now, duration longest_lease);
    /// Takes note that a poll that was sent at `sent_at` has found the known
    /// incarnation.
    void confirm_incarnation(time_point sent_at);
    /// Whether an answer came from another incarnation than the known one. No
    /// start is sent before a poll has shown that.
    bool is_restart_suspected() const
    {
        return restart_suspected_;
    }
    void suspect_restart()
    {
        restart_suspected_ = true;
    }
    /// Returns the time after which no task runs there under the latest
    /// recorded lease, even when the worker's clock is as slow as allowed, nor
    /// under one of an incarnation that no poll has shown. Before a lease is
    /// recorded, assumes that an earlier owner granted the longest possible one
    /// at `first_seen`.
    time_point lease_expires_at() const;

    // State kept by the owner.
    worker_fence fence;
    bool listed = true;        ///< The table of workers has a row for it.
    bool has_reported = false; ///< Has answered a poll of this owner.
    bool reachable = true;     ///< False after two polls without success.
    time_point first_seen;     ///< When the owner first read its row.
    /// Start of the incarnation as the worker reports it; 0: not known.
    std::int64_t incarnation_start_ms = 0;
    /// Number of the latest end report that was processed.
    std::uint64_t last_seen_end = 0;
    /// Number of the latest end report whose effect is stored.
    std::uint64_t last_durable_end = 0;
    /// Number of the latest end report that the worker has forgotten.
    std::uint64_t last_acknowledged_end = 0;
    /// The next new end of this incarnation has the number after
    /// `last_seen_end`.
    bool ends_are_contiguous = false;
    /// Gets no starts, which would put off an acknowledgement further.
    bool waits_to_acknowledge = false;
    std::uint64_t poll_call = 0; ///< Id of the poll in flight; 0: none.
    time_point poll_sent_at;
    time_point poll_answered_at; ///< Latest list of runs.
    time_point next_poll_at;
    unsigned poll_failures = 0; ///< Consecutive polls that failed.
    time_point avoid_until;     ///< No task is started here before this time.
    unsigned unanswered_starts = 0; ///< Consecutive starts without an answer.
    unsigned requested_stops = 0;   ///< Runs that are to be stopped.
    unsigned consecutive_failures = 0; ///< Failures since the last success.
    std::set<std::string> failed_jobs; ///< Jobs of these failures.

private:
    friend class cell_workers;

    worker_report report_;
    worker_number number_;
    unsigned unknown_amount_runs_ = 0;
    std::map<run_key, cell_run> runs_;
    std::map<std::uint64_t, std::uint32_t> runs_by_step_;
    resources used_;
    std::int64_t clock_ms_ = -1; ///< Latest clock reading; -1: none.
    /// The reading was made between these two.
    time_point clock_asked_at_;
    time_point clock_read_at_;
    std::int64_t lease_until_ms_ = 0; ///< 0: no lease was sent.
    /// Since then calls may have reached an incarnation that no poll has shown.
    std::optional<time_point> doubted_at_;
    time_point unknown_lease_expires_at_; ///< Latest lease of such calls.
    bool restart_suspected_ = false;
};

/// All workers of the cell, and the resources that each customer uses. Core
/// thread only.
class cell_workers
{
public:
    std::map<std::string, cell_worker>& all()
    {
        return workers_;
    }
    const std::map<std::string, cell_worker>& all() const
    {
        return workers_;
    }
    /// Returns null when there is no worker with this id.
    cell_worker* find(const std::string& id);
    /// Adds a worker with the next number. Returns the existing one when the id
    /// is present.
    cell_worker& add(worker_report report);
    /// Removes a worker. Precondition: its runs have been removed.
    void remove(const std::string& id);
    /// Resets the worker to the state of one that was just added, with a new
    /// number, because it has restarted under its id. Keeps its runs: the new
    /// incarnation may have accepted some of them.
    void restart(cell_worker& worker);

    /// Returns a fence above those of all calls to workers that were removed.
    std::uint32_t first_fence() const
    {
        return first_fence_;
    }

    /// Adds a run and occupies its resources. Precondition: the worker does not
    /// have a run with this key.
    void add_run(cell_worker& worker, const run_key& key, cell_run run);
    /// Removes a run and frees its resources. Ignores unknown runs.
    void remove_run(cell_worker& worker, const run_key& key);

    /// Returns the resources of all runs of a customer, including those that
    /// may be running or are being stopped.
    resources usage_of(const std::string& customer) const;

private:
    std::map<std::string, cell_worker> workers_;
    worker_number next_number_ = 0;
    std::uint32_t first_fence_ = 0; ///< Removed workers may be back.
    std::map<std::string, resources> usage_;
};

} // namespace carobcourse
