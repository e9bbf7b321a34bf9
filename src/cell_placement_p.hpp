/// Choice of workers for tasks and gangs. The functions depend on their
/// arguments only and are thread safe while the workers are not changed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cell_workers_p.hpp"

namespace carobcourse
{

/// A worker that is allowed to run tasks of a step.
struct placement_candidate
{
    const cell_worker* worker = nullptr;
    /// Ticket of the advice service; may be empty. Valid until the advice
    /// about the step changes.
    std::string_view ticket;
    bool reserved = false; ///< Reserved for a gang; used only as a last resort.
    bool permitted = true; ///< The ticket is valid, or none is needed.
    int speed_class = 0;   ///< See `speed_class::number`.
    int speed_rank = 0;    ///< See `speed_rank`; smaller ones are preferred.
};

/// Number of tasks of a gang that are assigned to one worker.
struct gang_assignment
{
    const cell_worker* worker = nullptr;
    std::string_view ticket; ///< See `placement_candidate`.
    std::uint32_t tasks = 0;
    int speed_class = 0; ///< See `placement_candidate`.
};

/// Returns true when the worker belongs to the service and has the label that
/// the step needs.
bool meets_requirements(const cell_worker& worker, const std::string& service,
                        const step_spec& step);

/// Returns how many tasks of the step fit into `room` on a worker that already
/// runs `placed_on_worker` of them, within the step's limit for each worker.
std::uint32_t tasks_that_fit(const resources& room, const step_spec& step,
                             std::uint32_t placed_on_worker);

/// Chooses a worker for one task: best fit, with a preference first for the
/// rack of the data, then for workers that are not reserved and then for
/// their speed rank. Returns null when the task fits on no worker.
///
/// Best fit lets small tasks fill gaps, so that on an almost full cell, also in
/// a burst, whole workers stay free for gangs.
const placement_candidate*
choose_worker(const std::vector<placement_candidate>& candidates,
              const step_spec& step, std::uint64_t step_key);

/// Assigns all `count` tasks of a gang to workers. Returns an empty plan when
/// they do not fit at the same time. Prefers workers that are not reserved, a
/// single rack where the step asks for it, then the fastest set, as a gang is
/// as slow as its slowest member, and then few workers.
std::vector<gang_assignment>
plan_gang(const std::vector<placement_candidate>& candidates,
          const step_spec& step, std::uint32_t count);

/// Returns when a run is expected to end. A run that is overdue is expected to
/// go on for as long as it is overdue: some tasks take many times as long as
/// their step's others.
time_point expected_end_after(const cell_run& run, time_point now);

/// Room for one task of a step on a worker, and when it is expected.
struct room_slot
{
    time_point at;
    const cell_worker* worker = nullptr;
};

/// Returns the room for tasks of a step on the candidates that is expected by
/// the expected ends of the runs there, the earliest first.
/// `count_step_runs` says whether present runs of `step_key` count against
/// `step_spec::max_per_worker`.
std::vector<room_slot>
find_room_slots(const std::vector<placement_candidate>& candidates,
                const step_spec& step, std::uint64_t step_key,
                bool count_step_runs, time_point now);

/// Workers on which a gang is expected to fit at a time.
struct earliest_room
{
    std::vector<const cell_worker*> workers;
    time_point at;

    friend bool operator==(const earliest_room& a, const earliest_room& b)
    {
        return a.workers == b.workers && a.at == b.at;
    }
};

/// Returns the workers on which `count` tasks of a gang are expected to fit
/// earliest, by the expected ends of the runs there. Returns no workers when
/// the candidates together can not hold the gang.
///
/// When all allowed workers are partly used, reserving a few of them until they
/// are empty would take as long as the longest task on them.
earliest_room
find_earliest_workers(const std::vector<placement_candidate>& candidates,
                      const step_spec& step, std::uint32_t count,
                      time_point now);

} // namespace carobcourse
