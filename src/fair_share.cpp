#include "fair_share_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <cmath>

namespace carobcourse
{

void fair_share::set_weight(const std::string& team, std::int64_t weight)
{
    teams_[team].weight = std::max(weight, std::int64_t{1});
}

double fair_share::dominant_share(const resources& amount) const
{
    const auto fraction = [](std::int64_t amount, std::int64_t capacity)
    {
        return capacity > 0
                   ? static_cast<double>(amount) / static_cast<double>(capacity)
                   : 0.0;
    };
    return std::max({fraction(amount.cpu_millis, capacity_.cpu_millis),
                     fraction(amount.memory_mb, capacity_.memory_mb),
                     fraction(amount.accelerators, capacity_.accelerators)});
}

double fair_share::decayed_share_at(time_point now,
                                    const team_usage& usage) const
{
    const std::chrono::duration<double> age = now - usage.updated_at;
    const std::chrono::duration<double> half_life = config::usage_half_life;
    const double remaining = std::exp2(-age.count() / half_life.count());
    const double current_share = dominant_share(usage.in_use);
    return current_share + (usage.decayed_share - current_share) * remaining;
}

void fair_share::update_decayed_share(time_point now, team_usage& usage) const
{
    usage.decayed_share = decayed_share_at(now, usage);
    usage.updated_at = now;
}

void fair_share::charge(time_point now, const task_id& task,
                        const std::string& team, const resources& amount)
{
    if (!tasks_.try_emplace(task, charged_task{team, amount}).second)
        return;
    auto& usage = teams_[team];
    update_decayed_share(now, usage);
    usage.in_use += amount;
}

void fair_share::release(time_point now, const task_id& task)
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end())
        return;
    auto& usage = teams_[found->second.team];
    update_decayed_share(now, usage);
    usage.in_use -= found->second.amount;
    tasks_.erase(found);
}

void fair_share::clear()
{
    teams_.clear();
    tasks_.clear();
}

double fair_share::weighted_share(time_point now, const std::string& team) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end())
        return 0;
    const auto& usage = found->second;
    return (dominant_share(usage.in_use) +
            config::past_usage_part * decayed_share_at(now, usage)) /
           static_cast<double>(usage.weight);
}

double fair_share::share_in_use(const std::string& team) const
{
    return dominant_share(in_use(team));
}

resources fair_share::in_use(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? resources() : found->second.in_use;
}

} // namespace carobcourse
