/// Workers of the cell: what runs where, what room is left, and how long a
/// worker that does not answer may still be running its tasks.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell_event_p.hpp"
#include "cell_types_p.hpp"

namespace carobcourse
{

enum class run_state : std::uint8_t
{
    starting,    ///< The start is in flight.
    unconfirmed, ///< The start had no answer; it runs, may still run, or never.
    running
};

/// One run of a task on a worker. Holds its room until its end is known.
struct cell_run
{
    resources amount;
    std::string customer;
    bool fills = false; ///< Takes no processor room.
    /// The job is not known any more, and with it what the run takes.
    bool amount_unknown = false;
    run_state state = run_state::starting;
    std::int64_t start_deadline_ms = 0; ///< Worker's clock: refused later.
    time_point confirmed_at;            ///< Confirmed by the worker.
    time_point expected_end;            ///< By the estimate of its job.
    bool stop_requested = false;
    time_point next_stop_at;
    std::uint64_t stop_call = 0;
    std::string start_checkpoint; ///< That it was started from.
    std::string checkpoint;       ///< Its latest one.
    std::uint64_t step_key = 0;   ///< Counts runs of one step on the worker.
};

/// What the run takes of its worker's room.
resources allocated_resources(const cell_run& run);

using run_key = std::pair<cell_task_id, std::uint32_t>;

/// A worker by incarnation.
class cell_worker
{
public:
    explicit cell_worker(worker_report report, worker_number number = 0)
        : report_(std::move(report)), number_(number)
    {
    }

    /// Small handle of this incarnation; not used again.
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
    cell_run* find(const run_key& key);
    const resources& used() const
    {
        return used_;
    }
    resources room() const
    {
        return report_.capacity - used_;
    }
    std::uint32_t runs_of_step(std::uint64_t step_key) const;
    /// True while something runs there that may take any part of the room.
    bool has_run_of_unknown_amount() const
    {
        return unknown_amount_runs_ > 0;
    }

    /// Notes the worker's clock as read from an answer that arrived `now`.
    void update_clock(time_point now, std::int64_t clock_ms);
    bool has_clock() const
    {
        return clock_ms_ >= 0;
    }
    /// At most the worker's clock at `now`.
    std::int64_t clock_lower_bound_ms(time_point now) const;
    /// Largest lease end that was ever sent, on the worker's clock.
    void record_lease(std::int64_t until_ms)
    {
        lease_until_ms_ = std::max(lease_until_ms_, until_ms);
    }
    /// Moment after which nothing granted by this owner runs any more, however
    /// slow the worker's clock.
    time_point lease_expires_at() const;

    // Book-keeping of the owner.
    bool listed = true;
    bool has_reported = false; ///< Has answered a hold of this epoch.
    bool reachable = true;
    time_point first_seen;
    std::int64_t born_ms = 0;
    std::uint64_t last_seen_end = 0;
    std::uint64_t last_durable_end = 0;
    std::uint64_t poll_call = 0;
    time_point poll_sent_at;
    time_point next_poll_at;
    unsigned poll_failures = 0;
    time_point avoid_until;
    unsigned unanswered_starts = 0;    ///< Without an answer, in a row.
    unsigned requested_stops = 0;      ///< Runs that are to be stopped.
    unsigned consecutive_failures = 0; ///< In a row.
    std::set<std::string> failed_jobs;

private:
    friend class cell_workers;

    worker_report report_;
    worker_number number_;
    unsigned unknown_amount_runs_ = 0;
    std::map<run_key, cell_run> runs_;
    std::map<std::uint64_t, std::uint32_t> runs_by_step_;
    resources used_;
    std::int64_t clock_ms_ = -1;
    time_point clock_read_at_;
    std::int64_t lease_until_ms_ = 0;
};

/// All workers and what each customer has running. Core thread only.
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
    cell_worker* find(const std::string& id);
    cell_worker& add(worker_report report);
    void remove(const std::string& id);

    void add_run(cell_worker& worker, const run_key& key, cell_run run);
    /// Frees the room of a run; unknown ones are ignored.
    void remove_run(cell_worker& worker, const run_key& key);

    /// What runs, may run or is being stopped for a customer.
    resources usage_of(const std::string& customer) const;

private:
    std::map<std::string, cell_worker> workers_;
    worker_number next_number_ = 0;
    std::map<std::string, resources> usage_;
};

} // namespace carobcourse
