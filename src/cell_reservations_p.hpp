/// Workers that are kept free for gangs that wait for room.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// Reservations of workers by the steps of gangs. A lookup for one worker takes
/// the same time however many gangs wait. Core thread only.
class gang_reservations
{
public:
    /// Reserves `workers` for a step until `expires_at`, in place of those that
    /// were reserved for it before. They are expected to have room at
    /// `expected_at`. `freed` says that runs are stopped there for the step.
    void reserve(std::uint64_t step_key, const std::set<worker_number>& workers,
                 time_point expires_at, time_point expected_at = {},
                 bool freed = false);
    /// Releases the workers of a step. Ignores unknown steps.
    void release(std::uint64_t step_key);
    /// Releases the workers of the steps that are not in `waiting_steps` and of
    /// those whose reservation has expired.
    void release_unneeded(time_point now,
                          const std::set<std::uint64_t>& waiting_steps);

    bool empty() const
    {
        return by_step_.empty();
    }
    bool contains(std::uint64_t step_key) const
    {
        return by_step_.count(step_key) > 0;
    }
    /// Returns the workers reserved for a step; empty when there are none.
    std::set<worker_number> workers_of(std::uint64_t step_key) const;
    /// Returns when the reserved workers are expected to have room. Returns the
    /// epoch of the clock when nothing is reserved for the step.
    time_point expected_at(std::uint64_t step_key) const;
    /// Returns true when the worker is reserved for a step other than
    /// `step_key`.
    bool is_reserved_for_other(worker_number worker,
                               std::uint64_t step_key) const;
    /// Returns true when runs are stopped on the worker for another step. Its
    /// room is for that step, also where others may use reserved workers.
    bool is_freed_for_other(worker_number worker, std::uint64_t step_key) const;
    /// Returns the number of workers that are reserved.
    std::size_t worker_count() const
    {
        return worker_count_;
    }

private:
    struct reservation
    {
        std::set<worker_number> workers;
        time_point expires_at;
        time_point expected_at;
        bool freed = false;
    };

    std::map<std::uint64_t, reservation> by_step_;
    /// Steps that have reserved each worker, by worker number. An urgent gang
    /// may reserve the worker of another one, so there can be several.
    std::vector<std::vector<std::uint64_t>> steps_by_worker_;
    std::size_t worker_count_ = 0;
};

} // namespace carobcourse
