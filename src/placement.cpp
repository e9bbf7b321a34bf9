#include "placement_p.hpp"

#include <algorithm>

namespace carobcourse
{

void placement_index::update(const worker_capacity& worker)
{
    workers_[worker.worker] = worker;
}

void placement_index::remove(const std::string& worker)
{
    workers_.erase(worker);
}

bool placement_index::could_ever_fit(const resources& amount) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](const auto& item)
                       { return amount.fits_in(item.second.total); });
}

namespace
{

using rack_counts = std::map<std::string, std::uint32_t>;

/// Packs tightly: least processor capacity left over.
class best_fit_policy final : public placement_policy
{
public:
    std::optional<std::string> choose(const placement_index& index,
                                      const resources& amount,
                                      const rack_counts&) const override
    {
        const worker_capacity* best = nullptr;
        for (const auto& [name, worker] : index.workers())
        {
            if (!amount.fits_in(worker.free))
                continue;
            if (!best || worker.free.cpu_millis < best->free.cpu_millis)
                best = &worker;
        }
        if (!best)
            return std::nullopt;
        return best->worker;
    }
};

/// Spreads over racks, then takes the least loaded worker.
class spread_policy final : public placement_policy
{
public:
    std::optional<std::string> choose(const placement_index& index,
                                      const resources& amount,
                                      const rack_counts& used) const override
    {
        const auto count = [&](const worker_capacity& worker)
        {
            const auto found = used.find(worker.rack);
            return found == used.end() ? 0U : found->second;
        };
        const worker_capacity* best = nullptr;
        for (const auto& [name, worker] : index.workers())
        {
            if (!amount.fits_in(worker.free))
                continue;
            if (!best || count(worker) < count(*best) ||
                (count(worker) == count(*best) &&
                 worker.free.cpu_millis > best->free.cpu_millis))
                best = &worker;
        }
        if (!best)
            return std::nullopt;
        return best->worker;
    }
};

} // namespace

const placement_policy& policy_for(job_kind kind)
{
    static const best_fit_policy best_fit;
    static const spread_policy spread;
    if (kind == job_kind::service)
        return spread;
    return best_fit;
}

} // namespace carobcourse
