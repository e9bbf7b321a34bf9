/// Search tree of workers ordered by free capacity.
#pragma once

#include <algorithm>
#include <array>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <vector>

namespace carobcourse
{

/// Small integer that identifies a worker inside one placement_index.
using worker_handle = std::uint32_t;
/// Value that no worker has.
constexpr worker_handle no_worker = 0xffffffffU;

/// Two-level B+ tree over the key (free CPU, free memory, handle).
/// The directory stores the largest free memory and accelerator count of each
/// leaf, so a search reads only leaves that may contain a fit. An update
/// touches the directory and usually one leaf, and both are contiguous: with a
/// binary tree of 19,000 workers, most of the cost was cache misses on the path
/// to the root. The order, and thus each placement decision, depends on the
/// keys only. Not thread safe.
class placement_tree
{
public:
    /// Adds a worker. Precondition: `handle` is not in the tree.
    void insert(const resources& free, worker_handle handle);
    /// Removes a worker. Precondition: `handle` is in the tree with exactly
    /// this free amount.
    void erase(const resources& free, worker_handle handle);

    /// Returns the first worker in key order with room for `amount`,
    /// `no_worker` when there is none.
    worker_handle first_fit(const resources& amount) const;

    /// Calls `visit(handle)` for the workers with room for `amount`, in
    /// descending key order, until it returns false.
    template <class Visit>
    void for_each_descending(const resources& amount, Visit&& visit) const
    {
        for (auto at = directory_.rbegin(); at != directory_.rend(); ++at)
        {
            if (may_fit(*at, amount))
            {
                const auto& entries = leaves_[at->leaf];
                for (auto i = at->entry_count; i > 0; --i)
                {
                    const auto& item = entries[i - 1];
                    if (amount.fits_in(item.free) && !visit(item.handle))
                        return;
                }
            }
            if (at->first_entry.free.cpu_millis < amount.cpu_millis)
                return;
        }
    }

private:
    /// Maximum number of entries in a leaf. A larger leaf moves more entries
    /// per update, a smaller one makes the directory longer.
    static constexpr std::uint32_t leaf_capacity = 48;

    struct entry
    {
        resources free;
        worker_handle handle = no_worker;

        friend bool operator<(const entry& a, const entry& b)
        {
            if (a.free.cpu_millis != b.free.cpu_millis)
                return a.free.cpu_millis < b.free.cpu_millis;
            if (a.free.memory_mb != b.free.memory_mb)
                return a.free.memory_mb < b.free.memory_mb;
            return a.handle < b.handle;
        }
    };
    using leaf = std::array<entry, leaf_capacity>;
    /// Directory entry: position, size and summary of one leaf.
    struct leaf_info
    {
        entry first_entry;
        std::int64_t max_memory_mb = 0;
        std::int64_t max_accelerators = 0;
        std::uint32_t leaf = 0; ///< Index into `leaves_`.
        std::uint32_t entry_count = 0;
    };

    /// Returns false when no entry of the leaf has room for `amount`.
    static bool may_fit(const leaf_info& info, const resources& amount)
    {
        return info.max_memory_mb >= amount.memory_mb &&
               info.max_accelerators >= amount.accelerators;
    }

    /// Returns the directory index of the leaf that contains the key or would
    /// receive it. Precondition: the tree is not empty.
    std::size_t find_leaf(const entry& key) const;
    /// Returns the index of an unused leaf in `leaves_`.
    std::uint32_t allocate_leaf();
    /// Recomputes the first entry and the maxima of a leaf.
    void update_summary(leaf_info& info);
    /// Moves the upper half of the leaf at directory index `at` to a new leaf.
    void split(std::size_t at);
    /// Appends the entries of the leaf after `at` to the leaf at `at`.
    void merge_with_next(std::size_t at);

    std::vector<leaf_info> directory_;
    std::vector<leaf> leaves_;
    std::vector<std::uint32_t> free_leaves_;
};

} // namespace carobcourse
