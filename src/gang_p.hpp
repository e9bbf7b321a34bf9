/// Reservation of capacity for one gang that waits.
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

/// A running task that will end.
struct expected_end
{
    worker_handle worker = no_worker;
    resources amount;
    time_point time;
};

/// Where and when a gang is expected to start. Reservations are on different
/// workers, so two gangs never wait for each other. A reservation holds no
/// capacity: it only keeps tasks that would end after `start` from the
/// capacity that the gang needs at that time. Not thread safe.
class gang_reservation
{
public:
    /// Plans the earliest start for `tasks` tasks on workers not in `taken`.
    /// No value when even the end of all of `ends` leaves too little room.
    static std::optional<gang_reservation>
    plan(const placement_index& index, const resources& amount,
         std::uint32_t tasks, std::vector<expected_end> ends, time_point now,
         const std::set<worker_handle>& excluded);

    void collect_workers(std::set<worker_handle>& to) const
    {
        for (const auto& item : workers_)
            to.insert(item.first);
    }
    time_point start_time() const
    {
        return start_time_;
    }

    /// Hides the reserved capacity from the index until `unmask`.
    void mask(placement_index& index);
    void unmask(placement_index& index);
    /// Gives one worker its true free amount back, before a start on it.
    void unmask_worker(placement_index& index, worker_handle worker);
    /// To be called when a masked index got the true free amount of a worker
    /// again, after a start.
    void mask_worker(placement_index& index, worker_handle worker);
    /// Reserved worker whose free amount has room now for a task that ends
    /// before the start.
    worker_handle find_backfill_worker(const resources& amount) const;

private:
    struct reserved_worker
    {
        resources unreserved; ///< Left at the start, beside the gang.
        resources true_free;  ///< True free amount while masked.
    };
    time_point start_time_;
    std::map<worker_handle, reserved_worker> workers_;
};

/// Number of tasks of `amount` that `free` holds.
std::int64_t fitting_task_count(const resources& free, const resources& amount);

} // namespace carobcourse
