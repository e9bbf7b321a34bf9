/// Choice of workers for tasks, one policy per kind of work.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement_p.hpp"

namespace carobcourse
{

/// A chosen worker and why it was chosen.
struct placement
{
    worker_handle worker = no_worker;
    /// Static text, for the status of the task.
    const char* reason = "";
};

/// What a policy needs to know of the job.
struct placement_request
{
    resources amount;             ///< Of each task.
    std::uint32_t task_count = 1; ///< To place now.
    /// Tasks of the same job per rack.
    std::map<rack_handle, std::uint32_t> tasks_per_rack;
};

/// Chooses workers for one kind of work. Implementations keep no state. Not
/// thread safe.
class placement_policy
{
public:
    virtual ~placement_policy() = default;
    /// Returns workers for as many tasks as the policy places now, at most
    /// `request.tasks`; an empty result means that nothing fits. The index
    /// is as before when the call returns.
    virtual std::vector<placement>
    choose(placement_index& index, const placement_request& request) const = 0;
};

/// Returns the policy for a kind of work. It lives as long as the program.
const placement_policy& policy_for(job_kind kind);

} // namespace carobcourse
