/// Choice of the runs that are stopped so that a step gets room, and the bounds
/// of such stops.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cell_types_p.hpp"
#include "cell_workers_p.hpp"

namespace carobcourse
{

/// A worker that may run the step, with the room that is free now.
struct preemption_room
{
    worker_number worker = 0;
    resources room;
    std::uint32_t runs_of_step = 0; ///< Tasks of the step that run there.

    friend bool operator==(const preemption_room& a, const preemption_room& b)
    {
        return std::tie(a.worker, a.room, a.runs_of_step) ==
               std::tie(b.worker, b.room, b.runs_of_step);
    }
};

/// A step that does not fit, and what a stop may cost for it.
struct preemption_request
{
    time_point now;
    int priority = 0;        ///< Of the queue of the step; 0 is the highest.
    step_spec step;          ///< Requirements of each task.
    std::uint32_t tasks = 0; ///< Tasks that wait.
    /// All tasks get room, or no run is stopped.
    bool all_or_nothing = true;
    duration stop_time{}; ///< Expected time from a stop to its end.
    double max_lost = 0;  ///< Core seconds of work that may be lost.
    double max_cores = 0; ///< Cores of the runs that may be stopped.
    std::vector<preemption_room> rooms;
    /// Stops that are left for each customer; one that is missing has none.
    std::map<std::string, std::uint32_t> stops_left;
};

/// A run that may be stopped.
struct preemption_candidate
{
    run_key key;
    worker_number worker = 0;
    std::string customer;
    resources amount; ///< What the run occupies on its worker.
    /// Of the queue of its job; empty when the queue is not configured.
    std::optional<int> priority;
    bool checkpoints = false;
    bool gang = false;
    time_point expected_end;
    /// Start of the work that is in no checkpoint.
    time_point saved_at;
    unsigned stops = 0;         ///< Earlier stops of its task.
    time_point stopped_at;      ///< Latest of them.
    bool endangers_job = false; ///< The stop makes its job miss its deadline.
};

/// Returns the core seconds that a stop of the run costs: the work that is in
/// no checkpoint, the stop and the restore. Thread safe.
double lost_work(const preemption_candidate& run, time_point now,
                 duration stop_time);

/// Returns the runs to stop, least lost work first; none when they do not make
/// room for the step within its bounds. Thread safe.
///
/// Load: gangs on a cell that is 89% full, of which advice allows a quarter of
/// the workers. These have short tasks with checkpoints in all gaps, so that
/// the wait for the natural ends takes longer than the objective allows.
std::vector<run_key>
choose_preemptions(const preemption_request& request,
                   const std::vector<preemption_candidate>& candidates);

/// What a step gains by stops.
struct preemption_gain
{
    time_point now;
    time_point start_at;  ///< Start when runs are stopped now.
    time_point wait_at;   ///< Start when the step waits for ends.
    duration remaining{}; ///< Estimated duration of the step.
    time_point objective;
    time_point hard_deadline;
    double cores = 0;    ///< Of all its waiting tasks.
    bool urgent = false; ///< The queue has priority 0.
};

/// Returns the core seconds of work that stops may lose; 0 when they do not
/// pay. Thread safe.
double acceptable_loss(const preemption_gain& gain);

/// Time from a stop to its listed end, learned from the ends. Core thread only.
class stop_time_estimator
{
public:
    /// Records a stop that took `time`. Limits times below 0, above 2 s, or far
    /// above the expected one.
    void record(duration time);
    /// Returns a time that most stops do not exceed.
    duration expected() const
    {
        return expected_;
    }

private:
    duration expected_ = std::chrono::milliseconds(900);
};

/// Bounds of the stops of all steps. Core thread only.
class preemption_ledger
{
public:
    /// Returns how many runs of the customer may be stopped now.
    std::uint32_t stops_left(time_point now, const std::string& customer);
    /// Returns how many cores may be stopped now, in a cell with `cores` cores.
    double cores_left(double cores) const;
    /// Records a stop of a run of `cores` cores.
    void record(time_point now, const run_key& key, const std::string& customer,
                double cores);
    /// Records the end of a run. Ignores runs that were not stopped.
    void forget(const run_key& key);

private:
    std::map<std::string, std::deque<time_point>> stops_by_customer_;
    std::map<run_key, double> cores_by_run_;
    double cores_ = 0;
};

} // namespace carobcourse
