#include "placement_p.hpp"

#include <algorithm>
#include <utility>

namespace carobcourse
{

namespace
{

bool grew(const resources& before, const resources& after)
{
    return !after.fits_in(before);
}

} // namespace

placement_tree& placement_index::tree_of(const resources& free)
{
    const auto last = static_cast<std::int64_t>(accelerator_classes) - 1;
    const auto at =
        std::clamp(free.accelerators, std::int64_t{0}, std::int64_t{last});
    return trees_[static_cast<std::size_t>(at)];
}

rack_handle placement_index::rack_for(const std::string& name)
{
    const auto [found, added] =
        rack_names_.try_emplace(name, static_cast<rack_handle>(racks_.size()));
    if (added)
        racks_.push_back({name, {}});
    return found->second;
}

std::optional<rack_handle>
placement_index::find_rack(const std::string& name) const
{
    const auto found = rack_names_.find(name);
    if (found == rack_names_.end())
        return std::nullopt;
    return found->second;
}

void placement_index::leave_rack(worker_handle handle)
{
    auto& members = racks_[workers_[handle].rack].workers;
    members.erase(std::find(members.begin(), members.end(), handle));
}

void placement_index::count_total(const resources& total, int change)
{
    const auto key =
        std::make_tuple(total.cpu_millis, total.memory_mb, total.accelerators);
    if ((shapes_[key] += change) == 0)
        shapes_.erase(key);
    total_ += total * change;
}

worker_handle placement_index::update(const worker_capacity& worker)
{
    const auto found = names_.find(worker.worker);
    if (found != names_.end())
    {
        const auto handle = found->second;
        auto& record = workers_[handle];
        if (record.total != worker.total)
        {
            count_total(record.total, -1);
            record.total = worker.total;
            count_total(record.total, 1);
        }
        if (racks_[record.rack].name != worker.rack)
        {
            leave_rack(handle);
            record.rack = rack_for(worker.rack);
            racks_[record.rack].workers.push_back(handle);
        }
        set_free(handle, worker.free);
        return handle;
    }
    worker_handle handle = static_cast<worker_handle>(workers_.size());
    if (unused_.empty())
    {
        workers_.emplace_back();
        free_of_.emplace_back();
    }
    else
    {
        handle = unused_.back();
        unused_.pop_back();
    }
    const auto rack = rack_for(worker.rack);
    workers_[handle] = {worker.worker, rack, worker.total, true};
    names_.emplace(worker.worker, handle);
    racks_[rack].workers.push_back(handle);
    count_total(worker.total, 1);
    free_of_[handle] = worker.free;
    free_ += worker.free;
    tree_of(worker.free).insert(worker.free, handle);
    grown_.push_back(handle);
    return handle;
}

void placement_index::remove(const std::string& worker)
{
    const auto found = names_.find(worker);
    if (found == names_.end())
        return;
    const auto handle = found->second;
    names_.erase(found);
    tree_of(free_of_[handle]).erase(free_of_[handle], handle);
    free_ -= free_of_[handle];
    count_total(workers_[handle].total, -1);
    leave_rack(handle);
    workers_[handle].used = false;
    unused_.push_back(handle);
}

void placement_index::set_free(worker_handle handle, const resources& free)
{
    if (grew(free_of_[handle], free))
        grown_.push_back(handle);
    restore_free(handle, free);
}

void placement_index::restore_free(worker_handle handle, const resources& free)
{
    const auto before = free_of_[handle];
    if (before == free)
        return;
    tree_of(before).erase(before, handle);
    free_of_[handle] = free;
    tree_of(free).insert(free, handle);
    free_ += free - before;
}

worker_handle placement_index::find(const std::string& worker) const
{
    const auto found = names_.find(worker);
    return found == names_.end() ? no_worker : found->second;
}

worker_handle placement_index::best_fit(const resources& amount) const
{
    const auto last = accelerator_classes - 1;
    auto at = std::min(static_cast<std::size_t>(amount.accelerators), last);
    for (; at <= last; ++at)
    {
        const auto found = trees_[at].first_fit(amount);
        if (found != no_worker)
            return found;
    }
    return no_worker;
}

worker_handle placement_index::spread_fit(
    const resources& amount,
    const std::map<rack_handle, std::uint32_t>& racks_used) const
{
    const auto last = accelerator_classes - 1;
    auto at = std::min(static_cast<std::size_t>(amount.accelerators), last);
    // The walk passes over the fitting workers of used racks only, so it is
    // short unless the job is in most racks already.
    for (; racks_used.size() < racks_.size() && at <= last; ++at)
    {
        worker_handle found = no_worker;
        const auto visit = [&](worker_handle handle)
        {
            if (racks_used.count(workers_[handle].rack) == 0)
                found = handle;
            return found == no_worker;
        };
        trees_[at].for_each_descending(amount, visit);
        if (found != no_worker)
            return found;
    }
    return best_fit(amount) == no_worker ? no_worker
                                         : scan_racks(amount, racks_used);
}

worker_handle placement_index::scan_racks(
    const resources& amount,
    const std::map<rack_handle, std::uint32_t>& racks_used) const
{
    worker_handle best = no_worker;
    std::uint32_t best_count = 0;
    auto used = racks_used.begin();
    for (rack_handle rack = 0; rack < racks_.size(); ++rack)
    {
        while (used != racks_used.end() && used->first < rack)
            ++used;
        const auto count =
            used != racks_used.end() && used->first == rack ? used->second : 0;
        if (best != no_worker && count > best_count)
            continue;
        for (const auto handle : racks_[rack].workers)
        {
            const auto& free = free_of_[handle];
            if (!amount.fits_in(free))
                continue;
            const auto rank = [this](worker_handle h) {
                return std::make_pair(free_of_[h].accelerators,
                                      -free_of_[h].cpu_millis);
            };
            if (best == no_worker || count < best_count ||
                rank(handle) < rank(best))
            {
                best = handle;
                best_count = count;
            }
        }
    }
    return best;
}

bool placement_index::could_ever_fit(const resources& amount) const
{
    return std::any_of(shapes_.begin(), shapes_.end(),
                       [&](const auto& item)
                       {
                           const auto& [cpu, memory, accelerators] = item.first;
                           return amount.fits_in({cpu, memory, accelerators});
                       });
}

std::vector<worker_handle> placement_index::take_grown()
{
    return std::exchange(grown_, {});
}

} // namespace carobcourse
