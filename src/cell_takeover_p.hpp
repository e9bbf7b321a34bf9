/// Leases of workers that an earlier owner of the cell may still extend.
#pragma once

#include <carobcourse/types.hpp>
#include <string>
#include <vector>

#include "cell_workers_p.hpp"

namespace carobcourse
{

/// Returns the time until which tasks may run on a worker that has never
/// answered the present owner, because of calls of an earlier owner.
///
/// Load pattern: an owner is cut off together with a worker. It makes calls
/// for as long as a lease lasts from its last commit, which is before the claim
/// of the next owner. The worker restarts meanwhile, so the deadlines of these
/// calls are on another clock, and a call that the new incarnation takes last
/// has a lease of `longest_unknown_lease`.
///
/// `claimed_at` is the time of the claim. `all_hosts_follow` tells that every
/// other host has answered a heartbeat of the present owner, so that no earlier
/// owner makes calls any more. Thread safe.
time_point takeover_lease_end(time_point claimed_at, bool all_hosts_follow,
                              duration longest_unknown_lease);

/// Returns whether an earlier owner that reaches the workers `silent` only may
/// have a task of the step run there.
///
/// An owner that reaches a worker that has answered its successor is fenced at
/// once. So it has room on the silent workers only, and a gang needs room for
/// all its members: members without the others have ended before the longest
/// lease of known incarnations is over. A null pointer stands for a worker
/// without a row, about which nothing is known. Thread safe while the workers
/// are not changed.
bool may_run_on_silent(const std::vector<const cell_worker*>& silent,
                       const std::string& service, const step_spec& step);

} // namespace carobcourse
