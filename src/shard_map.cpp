#include "shard_map_p.hpp"

#include <algorithm>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "job_tables_p.hpp"

namespace carobcourse
{

namespace
{

/// Returns how many tasks of this amount fit on an idle worker.
std::uint64_t max_tasks_on(const resources& capacity, const resources& amount)
{
    auto slots = std::numeric_limits<std::int64_t>::max();
    const auto limit_by = [&](std::int64_t has, std::int64_t needs)
    {
        if (needs > 0)
            slots = std::min(slots, has / needs);
    };
    limit_by(capacity.cpu_millis, amount.cpu_millis);
    limit_by(capacity.memory_mb, amount.memory_mb);
    limit_by(capacity.accelerators, amount.accelerators);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(slots, 0));
}

} // namespace

void shard_map::set_hosts(const std::vector<host_entry>& hosts)
{
    is_known_ = is_known_ || !hosts.empty();
    data_centres_.clear();
    workers_.clear();
    for (const auto& host : hosts)
    {
        if (host.kind != host_kind::worker)
            continue;
        data_centres_.insert(host.data_centre);
        auto& shards = workers_[host.data_centre];
        shards.resize(shard_count_);
        shards[shard_index_of(host)].push_back(host);
    }
}

std::uint32_t shard_map::shard_index_of(const host_entry& worker) const
{
    const auto& name = worker.rack.empty() ? worker.id : worker.rack;
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) %
                                      shard_count_);
}

const std::vector<host_entry>&
shard_map::workers(const std::string& data_centre, std::uint32_t index) const
{
    static const std::vector<host_entry> no_workers;
    const auto found = workers_.find(data_centre);
    return found == workers_.end() ? no_workers : found->second.at(index);
}

std::vector<std::string>
shard_map::feasible_shards(const std::string& data_centre,
                           const job_spec& spec) const
{
    std::vector<std::string> feasible;
    std::vector<std::string> whole_gang;
    for (std::uint32_t index = 0; index < shard_count_; ++index)
    {
        std::uint64_t slots = 0;
        for (const auto& host : workers(data_centre, index))
        {
            // Bounded to avoid an overflow: a task that requests no resources
            // fits any number of times.
            if (host.state == host_state::live &&
                spec.amount.fits_in(host.capacity))
                slots += std::min<std::uint64_t>(
                    max_tasks_on(host.capacity, spec.amount), spec.tasks);
        }
        if (slots == 0)
            continue;
        feasible.push_back(job_tables::shard_name(data_centre, index));
        if (slots >= spec.tasks)
            whole_gang.push_back(feasible.back());
    }
    return spec.kind == job_kind::gang && !whole_gang.empty() ? whole_gang
                                                              : feasible;
}

} // namespace carobcourse
