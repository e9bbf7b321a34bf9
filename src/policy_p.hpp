/// Placement policies: the choice of workers for tasks, by kind of job.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement_p.hpp"

namespace carobcourse
{

/// A chosen worker and the reason for the choice.
struct placement
{
    worker_handle worker = no_worker;
    /// Shown in the status of the task. Points to a string literal.
    const char* reason = "";
};

/// The tasks of one job that a policy places.
struct placement_request
{
    resources amount;             ///< Size of each task.
    std::uint32_t task_count = 1; ///< Number of tasks to place.
    /// Number of running tasks of the same job in each rack.
    std::map<rack_handle, std::uint32_t> tasks_per_rack;
};

/// Chooses workers for the tasks of one kind of job. Implementations keep no
/// state, but `choose` changes the index during a call: not thread safe on a
/// shared index.
class placement_policy
{
public:
    virtual ~placement_policy() = default;
    /// Returns one worker for each task that the policy places now, at most
    /// `request.task_count`; the result is empty when nothing fits. The index
    /// is unchanged when the call returns.
    virtual std::vector<placement>
    choose(placement_index& index, const placement_request& request) const = 0;
};

/// Returns the policy for a kind of job. The object is never destroyed before
/// the program exits.
const placement_policy& policy_for(job_kind kind);

} // namespace carobcourse
