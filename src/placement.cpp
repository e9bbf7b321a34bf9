#include "placement_p.hpp"

#include <algorithm>
#include <utility>

namespace carobcourse
{

namespace
{

/// Returns true when any resource is larger in `after`.
bool has_grown(const resources& before, const resources& after)
{
    return !after.fits_in(before);
}

} // namespace

placement_tree& placement_index::tree_for(const resources& free)
{
    const auto last = static_cast<std::int64_t>(accelerator_tree_count) - 1;
    const auto tree_index =
        std::clamp(free.accelerators, std::int64_t{0}, std::int64_t{last});
    return trees_[static_cast<std::size_t>(tree_index)];
}

rack_handle placement_index::find_or_add_rack(const std::string& name)
{
    const auto [found, added] = racks_by_name_.try_emplace(
        name, static_cast<rack_handle>(racks_.size()));
    if (added)
        racks_.push_back({name, {}});
    return found->second;
}

std::optional<rack_handle>
placement_index::find_rack(const std::string& name) const
{
    const auto found = racks_by_name_.find(name);
    if (found == racks_by_name_.end())
        return std::nullopt;
    return found->second;
}

void placement_index::remove_from_rack(worker_handle handle)
{
    auto& members = racks_[workers_[handle].rack].workers;
    members.erase(std::find(members.begin(), members.end(), handle));
}

void placement_index::add_to_total(const resources& total, int sign)
{
    const auto key =
        std::make_tuple(total.cpu_millis, total.memory_mb, total.accelerators);
    if ((workers_by_total_[key] += sign) == 0)
        workers_by_total_.erase(key);
    total_capacity_ += total * sign;
}

worker_handle placement_index::update(const worker_capacity& worker)
{
    const auto found = handles_by_name_.find(worker.worker);
    if (found != handles_by_name_.end())
    {
        const auto handle = found->second;
        auto& record = workers_[handle];
        if (record.total != worker.total)
        {
            add_to_total(record.total, -1);
            record.total = worker.total;
            add_to_total(record.total, 1);
        }
        if (racks_[record.rack].name != worker.rack)
        {
            remove_from_rack(handle);
            record.rack = find_or_add_rack(worker.rack);
            racks_[record.rack].workers.push_back(handle);
        }
        set_free(handle, worker.free);
        return handle;
    }
    worker_handle handle = static_cast<worker_handle>(workers_.size());
    if (recycled_handles_.empty())
    {
        workers_.emplace_back();
        free_by_worker_.emplace_back();
    }
    else
    {
        handle = recycled_handles_.back();
        recycled_handles_.pop_back();
    }
    const auto rack = find_or_add_rack(worker.rack);
    workers_[handle] = {worker.worker, rack, worker.total, true};
    handles_by_name_.emplace(worker.worker, handle);
    racks_[rack].workers.push_back(handle);
    add_to_total(worker.total, 1);
    free_by_worker_[handle] = worker.free;
    free_capacity_ += worker.free;
    tree_for(worker.free).insert(worker.free, handle);
    freed_workers_.push_back(handle);
    return handle;
}

void placement_index::remove(const std::string& worker)
{
    const auto found = handles_by_name_.find(worker);
    if (found == handles_by_name_.end())
        return;
    const auto handle = found->second;
    handles_by_name_.erase(found);
    tree_for(free_by_worker_[handle]).erase(free_by_worker_[handle], handle);
    free_capacity_ -= free_by_worker_[handle];
    add_to_total(workers_[handle].total, -1);
    remove_from_rack(handle);
    workers_[handle].present = false;
    recycled_handles_.push_back(handle);
}

void placement_index::set_free(worker_handle handle, const resources& free)
{
    if (has_grown(free_by_worker_[handle], free))
        freed_workers_.push_back(handle);
    restore_free(handle, free);
}

void placement_index::restore_free(worker_handle handle, const resources& free)
{
    const auto before = free_by_worker_[handle];
    if (before == free)
        return;
    tree_for(before).erase(before, handle);
    free_by_worker_[handle] = free;
    tree_for(free).insert(free, handle);
    free_capacity_ += free - before;
}

worker_handle placement_index::find(const std::string& worker) const
{
    const auto found = handles_by_name_.find(worker);
    return found == handles_by_name_.end() ? no_worker : found->second;
}

worker_handle placement_index::best_fit(const resources& amount) const
{
    const auto last = accelerator_tree_count - 1;
    auto tree_index =
        std::min(static_cast<std::size_t>(amount.accelerators), last);
    for (; tree_index <= last; ++tree_index)
    {
        const auto found = trees_[tree_index].first_fit(amount);
        if (found != no_worker)
            return found;
    }
    return no_worker;
}

worker_handle placement_index::spread_fit(
    const resources& amount,
    const std::map<rack_handle, std::uint32_t>& tasks_per_rack) const
{
    const auto last = accelerator_tree_count - 1;
    auto tree_index =
        std::min(static_cast<std::size_t>(amount.accelerators), last);
    // The iteration stops at the first fitting worker in a rack without a task
    // of the job. It skips fitting workers in used racks only, so it is short
    // unless the job already runs in most racks.
    for (; tasks_per_rack.size() < racks_.size() && tree_index <= last;
         ++tree_index)
    {
        worker_handle found = no_worker;
        const auto visit = [&](worker_handle handle)
        {
            if (tasks_per_rack.count(workers_[handle].rack) == 0)
                found = handle;
            return found == no_worker;
        };
        trees_[tree_index].for_each_descending(amount, visit);
        if (found != no_worker)
            return found;
    }
    return best_fit(amount) == no_worker
               ? no_worker
               : least_used_rack_fit(amount, tasks_per_rack);
}

worker_handle placement_index::least_used_rack_fit(
    const resources& amount,
    const std::map<rack_handle, std::uint32_t>& tasks_per_rack) const
{
    worker_handle best = no_worker;
    std::uint32_t best_count = 0;
    auto used = tasks_per_rack.begin();
    for (rack_handle rack = 0; rack < racks_.size(); ++rack)
    {
        while (used != tasks_per_rack.end() && used->first < rack)
            ++used;
        const auto count = used != tasks_per_rack.end() && used->first == rack
                               ? used->second
                               : 0;
        if (best != no_worker && count > best_count)
            continue;
        for (const auto handle : racks_[rack].workers)
        {
            const auto& free = free_by_worker_[handle];
            if (!amount.fits_in(free))
                continue;
            const auto sort_key = [this](worker_handle h)
            {
                return std::make_pair(free_by_worker_[h].accelerators,
                                      -free_by_worker_[h].cpu_millis);
            };
            if (best == no_worker || count < best_count ||
                sort_key(handle) < sort_key(best))
            {
                best = handle;
                best_count = count;
            }
        }
    }
    return best;
}

bool placement_index::fits_empty_worker(const resources& amount) const
{
    return std::any_of(workers_by_total_.begin(), workers_by_total_.end(),
                       [&](const auto& item)
                       {
                           const auto& [cpu, memory, accelerators] = item.first;
                           return amount.fits_in({cpu, memory, accelerators});
                       });
}

std::vector<worker_handle> placement_index::take_freed_workers()
{
    return std::exchange(freed_workers_, {});
}

} // namespace carobcourse
