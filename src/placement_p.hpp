/// Index over the free capacity of a shard's workers.
#pragma once

#include <array>
#include <carobcourse/types.hpp>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "placement_tree_p.hpp"

namespace carobcourse
{

/// Name, rack, and total and free capacity of a worker.
struct worker_capacity
{
    std::string worker;
    std::string rack;
    resources total;
    resources free;

    friend bool operator==(const worker_capacity& a, const worker_capacity& b)
    {
        return a.worker == b.worker && a.rack == b.rack && a.total == b.total &&
               a.free == b.free;
    }
};

/// Small integer that identifies a rack inside one placement_index.
using rack_handle = std::uint32_t;

/// Index over the free capacity of the workers that accept tasks. Workers and
/// racks have small integer handles; the handle of a removed worker is reused
/// for a later one. Functions that take a handle require one that is in the
/// index, unless stated otherwise. Not thread safe.
class placement_index
{
public:
    /// Adds the worker, or replaces its rack and capacity when it is known.
    /// Returns its handle.
    worker_handle update(const worker_capacity& worker);
    /// Removes the worker. Has no effect for an unknown name.
    void remove(const std::string& worker);
    /// Changes the free capacity of a worker.
    void set_free(worker_handle handle, const resources& free);
    /// Like set_free, but never adds the worker to the list of
    /// `take_freed_workers`. Undoes a trial placement.
    void restore_free(worker_handle handle, const resources& free);

    /// Returns the handle of a worker, `no_worker` for an unknown name.
    worker_handle find(const std::string& worker) const;
    const std::string& name(worker_handle handle) const
    {
        return workers_[handle].name;
    }
    rack_handle rack(worker_handle handle) const
    {
        return workers_[handle].rack;
    }
    const std::string& rack_name(rack_handle rack) const
    {
        return racks_[rack].name;
    }
    /// Returns the handle of a rack, or no value for a rack that never had a
    /// worker.
    std::optional<rack_handle> find_rack(const std::string& name) const;
    const resources& free(worker_handle handle) const
    {
        return free_by_worker_[handle];
    }
    const resources& total(worker_handle handle) const
    {
        return workers_[handle].total;
    }
    std::size_t size() const
    {
        return handles_by_name_.size();
    }
    /// Returns the sum of the total capacity of all workers.
    const resources& total_capacity() const
    {
        return total_capacity_;
    }
    /// Returns the sum of the free capacity of all workers.
    const resources& free_capacity() const
    {
        return free_capacity_;
    }

    /// Returns the worker with room for `amount` that has the fewest free
    /// accelerators, then the least free CPU, then the least free memory.
    /// Returns `no_worker` when none has room.
    worker_handle best_fit(const resources& amount) const;
    /// Returns a worker with room for `amount` in a rack with the lowest count
    /// in `tasks_per_rack`; among those, one with the fewest free accelerators,
    /// then the most free CPU. Returns `no_worker` when none has room.
    worker_handle spread_fit(
        const resources& amount,
        const std::map<rack_handle, std::uint32_t>& tasks_per_rack) const;

    /// Returns true when some worker could hold `amount` if it were empty.
    bool fits_empty_worker(const resources& amount) const;

    /// Returns the workers that were added, or of which a free resource grew,
    /// since the last call. A worker may be listed twice or be removed since.
    std::vector<worker_handle> take_freed_workers();
    /// Calls `visit(handle)` for every worker, in the order of handles.
    template <class Visit>
    void for_each(Visit&& visit) const
    {
        for (worker_handle handle = 0; handle < workers_.size(); ++handle)
        {
            if (workers_[handle].present)
                visit(handle);
        }
    }
    /// Returns true when the handle belongs to a worker. Accepts any value.
    bool contains(worker_handle handle) const
    {
        return handle < workers_.size() && workers_[handle].present;
    }

private:
    /// Number of trees. Workers with 0 to 15 free accelerators have one tree
    /// per count; workers with 16 or more share the last tree.
    static constexpr std::size_t accelerator_tree_count = 17;

    struct worker_record
    {
        std::string name;
        rack_handle rack = 0;
        resources total;
        bool present = false;
    };
    struct rack_record
    {
        std::string name;
        std::vector<worker_handle> workers;
    };

    /// Returns the tree that a worker with this free capacity belongs to.
    placement_tree& tree_for(const resources& free);
    rack_handle find_or_add_rack(const std::string& name);
    void remove_from_rack(worker_handle handle);
    /// Adds (`sign` 1) or subtracts (`sign` -1) a worker's total capacity.
    void add_to_total(const resources& total, int sign);
    /// Implements `spread_fit` by a scan over the workers of all racks.
    worker_handle least_used_rack_fit(
        const resources& amount,
        const std::map<rack_handle, std::uint32_t>& tasks_per_rack) const;

    std::vector<resources> free_by_worker_; ///< Indexed by handle.
    std::array<placement_tree, accelerator_tree_count> trees_;
    std::vector<worker_record> workers_;
    std::vector<worker_handle> recycled_handles_;
    std::unordered_map<std::string, worker_handle> handles_by_name_;
    std::vector<rack_record> racks_;
    std::unordered_map<std::string, rack_handle> racks_by_name_;
    /// Number of workers by total capacity. Fleets have few distinct values.
    std::map<std::tuple<std::int64_t, std::int64_t, std::int64_t>, int>
        workers_by_total_;
    resources total_capacity_;
    resources free_capacity_;
    std::vector<worker_handle> freed_workers_;
};

} // namespace carobcourse
