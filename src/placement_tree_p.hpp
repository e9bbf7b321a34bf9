/// Workers ordered by free capacity.
#pragma once

#include <algorithm>
#include <array>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <vector>

namespace carobcourse
{

/// Small integer name of a worker inside one placement_index.
using worker_handle = std::uint32_t;
constexpr worker_handle no_worker = 0xffffffffU;

/// Two-level B+ tree over the key (free processor, free memory, handle). The
/// directory knows the largest memory and accelerator count of each leaf, so
/// a search reads the leaves that may hold a fit only. A change touches the
/// directory and one leaf, which are contiguous: with a binary tree most of
/// the cost at 19,000 workers was nodes out of the cache on the way to the
/// root. The order, and with it each decision, depends on the keys only. Not
/// thread safe.
class placement_tree
{
public:
    /// Precondition: `handle` is not in the tree.
    void insert(const resources& free, worker_handle handle);
    /// Precondition: `handle` is in the tree with this free amount.
    void erase(const resources& free, worker_handle handle);

    /// First worker in key order with room for `amount`.
    worker_handle first_fit(const resources& amount) const;

    /// Calls `visit(handle)` for workers with room, the freest first, until
    /// it returns false.
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
    /// Entries of a leaf. A larger leaf makes a change move more entries, a
    /// smaller one makes the directory longer.
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
    struct leaf_info
    {
        entry first_entry;
        std::int64_t max_memory_mb = 0;
        std::int64_t max_accelerators = 0;
        std::uint32_t leaf = 0; ///< Position in `leaves_`.
        std::uint32_t entry_count = 0;
    };

    static bool may_fit(const leaf_info& info, const resources& amount)
    {
        return info.max_memory_mb >= amount.memory_mb &&
               info.max_accelerators >= amount.accelerators;
    }

    /// Branch whose leaf has or would get the key. Precondition: not empty.
    std::size_t find_leaf(const entry& key) const;
    std::uint32_t allocate_leaf();
    /// Computes what the branch knows of its leaf.
    void update_summary(leaf_info& info);
    void split(std::size_t at);
    /// Moves the entries of the branch after `at` into the one at `at`.
    void merge_with_next(std::size_t at);

    std::vector<leaf_info> directory_;
    std::vector<leaf> leaves_;
    std::vector<std::uint32_t> free_leaves_;
};

} // namespace carobcourse
