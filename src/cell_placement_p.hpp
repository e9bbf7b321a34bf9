/// Choice of workers for tasks and gangs. Pure decisions over the book of
/// workers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cell_workers_p.hpp"

namespace carobcourse
{

/// A worker that may take tasks of a step.
struct placement_candidate
{
    const cell_worker* worker = nullptr;
    std::string ticket;
    bool reserved = false; ///< Kept for a gang; the last choice.
};

/// Tasks of a gang for one worker.
struct gang_assignment
{
    const cell_worker* worker = nullptr;
    std::string ticket;
    std::uint32_t tasks = 0;
};

/// Tasks of the step that fit into `room`, at most its limit on a worker.
std::uint32_t tasks_that_fit(const resources& room, const step_spec& step,
                             std::uint32_t placed_on_worker);

/// Tightest fit, preferring the rack of the data and workers that are not
/// reserved; null when none fits.
///
/// Answers a cell that is almost full with gangs among its work: small tasks
/// fill gaps and leave whole workers to the gangs, also in a burst.
const placement_candidate*
choose_worker(const std::vector<placement_candidate>& candidates,
              const step_spec& step, std::uint64_t step_key);

/// Workers for all `count` tasks of a gang, empty when they do not fit at
/// once. Prefers workers that are not reserved, one rack where the step asks
/// for it, and few workers.
std::vector<gang_assignment>
plan_gang(const std::vector<placement_candidate>& candidates,
          const step_spec& step, std::uint32_t count);

/// Workers on which `count` tasks of a gang have room soonest, by the expected
/// ends of what runs there; empty when they do not fit on all candidates.
///
/// Answers a cell whose allowed workers are all partly used: waiting for few
/// workers to be empty takes as long as the longest task on them.
std::vector<const cell_worker*>
find_earliest_workers(const std::vector<placement_candidate>& candidates,
                      const step_spec& step, std::uint32_t count,
                      time_point now);

} // namespace carobcourse
