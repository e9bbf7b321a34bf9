/// Free capacity of a shard's workers, indexed for placement.
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

/// A worker as placement sees it.
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

using rack_handle = std::uint32_t;

/// Free capacity of the workers that may get work. Workers and racks have
/// small integer handles; the handle of a removed worker is used again. Not
/// thread safe.
class placement_index
{
public:
    /// Adds the worker or replaces what is known of it.
    worker_handle update(const worker_capacity& worker);
    void remove(const std::string& worker);
    /// Changes the free amount only. Precondition: `handle` is in use.
    void set_free(worker_handle handle, const resources& free);
    /// As set_free, but does not count as capacity that became free: undoes
    /// a trial placement.
    void restore_free(worker_handle handle, const resources& free);

    /// Returns `no_worker` for an unknown name.
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
    /// Returns no value for a rack that no worker was ever in.
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
    /// Sum over all workers in the index.
    const resources& total_capacity() const
    {
        return total_capacity_;
    }
    const resources& free_capacity() const
    {
        return free_capacity_;
    }

    /// Worker with room for `amount` that has the fewest free accelerators,
    /// then the least free processor, then the least free memory.
    worker_handle best_fit(const resources& amount) const;
    /// Worker with room in a rack with the lowest count in `racks_used`; of
    /// several, one with the fewest free accelerators, then the freest.
    worker_handle spread_fit(
        const resources& amount,
        const std::map<rack_handle, std::uint32_t>& tasks_per_rack) const;

    /// True when an empty worker could hold `amount`.
    bool fits_empty_worker(const resources& amount) const;

    /// Workers whose free capacity grew since the last call. A worker may be
    /// listed twice or be gone by now.
    std::vector<worker_handle> take_freed_workers();
    /// Calls `visit(handle)` for every worker, in order of handles.
    template <class Visit>
    void for_each(Visit&& visit) const
    {
        for (worker_handle handle = 0; handle < workers_.size(); ++handle)
        {
            if (workers_[handle].present)
                visit(handle);
        }
    }
    bool contains(worker_handle handle) const
    {
        return handle < workers_.size() && workers_[handle].present;
    }

private:
    /// Accelerators free per worker that get a tree of their own; workers
    /// with more share the last tree.
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

    placement_tree& tree_for(const resources& free);
    rack_handle find_or_add_rack(const std::string& name);
    void remove_from_rack(worker_handle handle);
    void add_to_total(const resources& total, int sign);
    worker_handle least_used_rack_fit(
        const resources& amount,
        const std::map<rack_handle, std::uint32_t>& tasks_per_rack) const;

    std::vector<resources> free_by_worker_; ///< By handle.
    std::array<placement_tree, accelerator_tree_count> trees_;
    std::vector<worker_record> workers_;
    std::vector<worker_handle> recycled_handles_;
    std::unordered_map<std::string, worker_handle> handles_by_name_;
    std::vector<rack_record> racks_;
    std::unordered_map<std::string, rack_handle> racks_by_name_;
    /// Workers per shape of total capacity. Fleets have few shapes.
    std::map<std::tuple<std::int64_t, std::int64_t, std::int64_t>, int>
        workers_by_total_;
    resources total_capacity_;
    resources free_capacity_;
    std::vector<worker_handle> freed_workers_;
};

} // namespace carobcourse
