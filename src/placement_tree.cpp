#include "placement_tree_p.hpp"

namespace carobcourse
{

std::size_t placement_tree::find_leaf(const entry& key) const
{
    const auto after =
        std::upper_bound(directory_.begin(), directory_.end(), key,
                         [](const entry& k, const leaf_info& info)
                         { return k < info.first_entry; });
    const auto at = static_cast<std::size_t>(after - directory_.begin());
    return at == 0 ? 0 : at - 1;
}

std::uint32_t placement_tree::allocate_leaf()
{
    if (free_leaves_.empty())
    {
        leaves_.emplace_back();
        return static_cast<std::uint32_t>(leaves_.size() - 1);
    }
    const auto result = free_leaves_.back();
    free_leaves_.pop_back();
    return result;
}

void placement_tree::update_summary(leaf_info& info)
{
    const auto& entries = leaves_[info.leaf];
    info.first_entry = entries[0];
    info.max_memory_mb = entries[0].free.memory_mb;
    info.max_accelerators = entries[0].free.accelerators;
    for (std::uint32_t i = 1; i < info.entry_count; ++i)
    {
        info.max_memory_mb =
            std::max(info.max_memory_mb, entries[i].free.memory_mb);
        info.max_accelerators =
            std::max(info.max_accelerators, entries[i].free.accelerators);
    }
}

void placement_tree::split(std::size_t at)
{
    leaf_info upper;
    upper.leaf = allocate_leaf();
    auto& lower = directory_[at];
    const auto lower_count = lower.entry_count / 2;
    upper.entry_count = lower.entry_count - lower_count;
    auto& from = leaves_[lower.leaf];
    std::copy_n(from.begin() + lower_count, upper.entry_count,
                leaves_[upper.leaf].begin());
    lower.entry_count = lower_count;
    update_summary(lower);
    update_summary(upper);
    directory_.insert(directory_.begin() + static_cast<std::ptrdiff_t>(at) + 1,
                      upper);
}

void placement_tree::merge_with_next(std::size_t at)
{
    auto& lower = directory_[at];
    const auto& upper = directory_[at + 1];
    std::copy_n(leaves_[upper.leaf].begin(), upper.entry_count,
                leaves_[lower.leaf].begin() + lower.entry_count);
    lower.entry_count += upper.entry_count;
    lower.max_memory_mb = std::max(lower.max_memory_mb, upper.max_memory_mb);
    lower.max_accelerators =
        std::max(lower.max_accelerators, upper.max_accelerators);
    free_leaves_.push_back(upper.leaf);
    directory_.erase(directory_.begin() + static_cast<std::ptrdiff_t>(at) + 1);
}

void placement_tree::insert(const resources& free, worker_handle handle)
{
    const entry key{free, handle};
    if (directory_.empty())
    {
        leaf_info new_info;
        new_info.leaf = allocate_leaf();
        new_info.entry_count = 1;
        leaves_[new_info.leaf][0] = key;
        update_summary(new_info);
        directory_.push_back(new_info);
        return;
    }
    auto at = find_leaf(key);
    if (directory_[at].entry_count == leaf_capacity)
    {
        split(at);
        at = find_leaf(key);
    }
    auto& info = directory_[at];
    const auto begin = leaves_[info.leaf].begin();
    const auto end = begin + info.entry_count;
    const auto position = std::lower_bound(begin, end, key);
    std::copy_backward(position, end, end + 1);
    *position = key;
    ++info.entry_count;
    info.first_entry = *begin;
    info.max_memory_mb = std::max(info.max_memory_mb, free.memory_mb);
    info.max_accelerators = std::max(info.max_accelerators, free.accelerators);
}

void placement_tree::erase(const resources& free, worker_handle handle)
{
    const entry key{free, handle};
    const auto at = find_leaf(key);
    auto& info = directory_[at];
    const auto begin = leaves_[info.leaf].begin();
    const auto end = begin + info.entry_count;
    const auto position = std::lower_bound(begin, end, key);
    std::copy(position + 1, end, position);
    if (--info.entry_count == 0)
    {
        free_leaves_.push_back(info.leaf);
        directory_.erase(directory_.begin() + static_cast<std::ptrdiff_t>(at));
        return;
    }
    info.first_entry = *begin;
    // In most trees all workers have the same number of free accelerators, so
    // the first entry usually still has the maximum.
    if (free.memory_mb == info.max_memory_mb ||
        (free.accelerators == info.max_accelerators &&
         begin->free.accelerators != info.max_accelerators))
        update_summary(info);
    if (info.entry_count >= leaf_capacity / 4)
        return;
    // A merged leaf is at most half full, so that the next insertions do not
    // split it again.
    const auto fits = [&](std::size_t i)
    {
        return directory_[i].entry_count + directory_[i + 1].entry_count <=
               leaf_capacity / 2;
    };
    if (at + 1 < directory_.size() && fits(at))
        merge_with_next(at);
    else if (at > 0 && fits(at - 1))
        merge_with_next(at - 1);
}

worker_handle placement_tree::first_fit(const resources& amount) const
{
    auto at = std::partition_point(
        directory_.begin(), directory_.end(),
        [&](const leaf_info& info)
        { return info.first_entry.free.cpu_millis < amount.cpu_millis; });
    if (at != directory_.begin())
        --at;
    for (; at != directory_.end(); ++at)
    {
        if (!may_fit(*at, amount))
            continue;
        const auto& entries = leaves_[at->leaf];
        for (std::uint32_t i = 0; i < at->entry_count; ++i)
        {
            if (amount.fits_in(entries[i].free))
                return entries[i].handle;
        }
    }
    return no_worker;
}

} // namespace carobcourse
