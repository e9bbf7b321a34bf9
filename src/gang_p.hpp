/// Reservation of future capacity for a waiting gang or large task.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement_p.hpp"

namespace carobcourse
{

/// The expected end of a running task and the capacity that it frees.
struct expected_end
{
    worker_handle worker = no_worker;
    resources amount;
    time_point time;
};

/// The workers on which a gang is expected to start, and the expected start
/// time. A single large task is reserved as a gang of one. The dispatcher
/// never reserves a worker twice, so two gangs cannot wait for each other. A
/// reservation allocates nothing: it only keeps tasks that would end after the
/// start time off the capacity that the gang needs then. Not thread safe.
class gang_reservation
{
public:
    /// Plans the earliest start of `tasks` tasks of size `amount` on workers
    /// that are not in `excluded`. Returns no value when the gang does not fit
    /// even after all tasks in `ends` have ended.
    static std::optional<gang_reservation>
    plan(const placement_index& index, const resources& amount,
         std::uint32_t tasks, std::vector<expected_end> ends, time_point now,
         const std::set<worker_handle>& excluded);

    /// Adds the reserved workers to `to`.
    void collect_workers(std::set<worker_handle>& to) const
    {
        for (const auto& item : workers_)
            to.insert(item.first);
    }
    /// Returns the time at which the gang is expected to start.
    time_point start_time() const
    {
        return start_time_;
    }

    /// Reduces the free amounts in the index to what the gang leaves over,
    /// until `unmask`.
    void mask(placement_index& index);
    /// Gives the reserved workers their true free amounts back.
    void unmask(placement_index& index);
    /// Gives one worker its true free amount back, before a task starts on it.
    /// Has no effect when the worker is not reserved.
    void unmask_worker(placement_index& index, worker_handle worker);
    /// Masks one worker whose true free amount is in the index, after a task
    /// has started on it. Has no effect when the worker is not reserved.
    void mask_worker(placement_index& index, worker_handle worker);
    /// Returns a reserved worker with room for `amount` now, for a task that
    /// is expected to end before the start time, or `no_worker`. Precondition:
    /// the reservation is masked.
    worker_handle find_backfill_worker(const resources& amount) const;

private:
    struct reserved_worker
    {
        resources unreserved; ///< Free at the start time beside the gang.
        resources true_free;  ///< Free amount without the mask, while masked.
    };
    time_point start_time_;
    std::map<worker_handle, reserved_worker> workers_;
};

/// Returns how many tasks of size `amount` fit into `free`; 0 when any
/// resource in `free` is negative.
std::int64_t fitting_task_count(const resources& free, const resources& amount);

} // namespace carobcourse
