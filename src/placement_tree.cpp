#include "placement_tree_p.hpp"

namespace carobcourse
{

std::size_t placement_tree::branch_of(const entry& key) const
{
    const auto after = std::upper_bound(branches_.begin(), branches_.end(), key,
                                        [](const entry& k, const branch& of)
                                        { return k < of.first; });
    const auto at = static_cast<std::size_t>(after - branches_.begin());
    return at == 0 ? 0 : at - 1;
}

std::uint32_t placement_tree::new_leaf()
{
    if (unused_leaves_.empty())
    {
        leaves_.emplace_back();
        return static_cast<std::uint32_t>(leaves_.size() - 1);
    }
    const auto result = unused_leaves_.back();
    unused_leaves_.pop_back();
    return result;
}

void placement_tree::refresh(branch& of)
{
    const auto& items = leaves_[of.leaf];
    of.first = items[0];
    of.max_memory = items[0].free.memory_mb;
    of.max_accelerators = items[0].free.accelerators;
    for (std::uint32_t i = 1; i < of.size; ++i)
    {
        of.max_memory = std::max(of.max_memory, items[i].free.memory_mb);
        of.max_accelerators =
            std::max(of.max_accelerators, items[i].free.accelerators);
    }
}

void placement_tree::split(std::size_t at)
{
    branch upper;
    upper.leaf = new_leaf();
    auto& lower = branches_[at];
    const auto kept = lower.size / 2;
    upper.size = lower.size - kept;
    auto& from = leaves_[lower.leaf];
    std::copy_n(from.begin() + kept, upper.size, leaves_[upper.leaf].begin());
    lower.size = kept;
    refresh(lower);
    refresh(upper);
    branches_.insert(branches_.begin() + static_cast<std::ptrdiff_t>(at) + 1,
                     upper);
}

void placement_tree::merge_next(std::size_t at)
{
    auto& lower = branches_[at];
    const auto& upper = branches_[at + 1];
    std::copy_n(leaves_[upper.leaf].begin(), upper.size,
                leaves_[lower.leaf].begin() + lower.size);
    lower.size += upper.size;
    lower.max_memory = std::max(lower.max_memory, upper.max_memory);
    lower.max_accelerators =
        std::max(lower.max_accelerators, upper.max_accelerators);
    unused_leaves_.push_back(upper.leaf);
    branches_.erase(branches_.begin() + static_cast<std::ptrdiff_t>(at) + 1);
}

void placement_tree::insert(const resources& free, worker_handle handle)
{
    const entry key{free, handle};
    if (branches_.empty())
    {
        branch only;
        only.leaf = new_leaf();
        only.size = 1;
        leaves_[only.leaf][0] = key;
        refresh(only);
        branches_.push_back(only);
        return;
    }
    auto at = branch_of(key);
    if (branches_[at].size == leaf_size)
    {
        split(at);
        at = branch_of(key);
    }
    auto& of = branches_[at];
    const auto begin = leaves_[of.leaf].begin();
    const auto end = begin + of.size;
    const auto place = std::lower_bound(begin, end, key);
    std::copy_backward(place, end, end + 1);
    *place = key;
    ++of.size;
    of.first = *begin;
    of.max_memory = std::max(of.max_memory, free.memory_mb);
    of.max_accelerators = std::max(of.max_accelerators, free.accelerators);
}

void placement_tree::erase(const resources& free, worker_handle handle)
{
    const entry key{free, handle};
    const auto at = branch_of(key);
    auto& of = branches_[at];
    const auto begin = leaves_[of.leaf].begin();
    const auto end = begin + of.size;
    const auto place = std::lower_bound(begin, end, key);
    std::copy(place + 1, end, place);
    if (--of.size == 0)
    {
        unused_leaves_.push_back(of.leaf);
        branches_.erase(branches_.begin() + static_cast<std::ptrdiff_t>(at));
        return;
    }
    of.first = *begin;
    // All workers of most trees have the same accelerator count, so the first
    // entry usually keeps the maximum.
    if (free.memory_mb == of.max_memory ||
        (free.accelerators == of.max_accelerators &&
         begin->free.accelerators != of.max_accelerators))
        refresh(of);
    if (of.size >= leaf_size / 4)
        return;
    // Half-full leaves leave room, so that no split follows at once.
    const auto fits = [&](std::size_t i)
    { return branches_[i].size + branches_[i + 1].size <= leaf_size / 2; };
    if (at + 1 < branches_.size() && fits(at))
        merge_next(at);
    else if (at > 0 && fits(at - 1))
        merge_next(at - 1);
}

worker_handle placement_tree::first_fit(const resources& amount) const
{
    auto at = std::partition_point(
        branches_.begin(), branches_.end(),
        [&](const branch& of)
        { return of.first.free.cpu_millis < amount.cpu_millis; });
    if (at != branches_.begin())
        --at;
    for (; at != branches_.end(); ++at)
    {
        if (!may_fit(*at, amount))
            continue;
        const auto& items = leaves_[at->leaf];
        for (std::uint32_t i = 0; i < at->size; ++i)
        {
            if (amount.fits_in(items[i].free))
                return items[i].handle;
        }
    }
    return no_worker;
}

} // namespace carobcourse
