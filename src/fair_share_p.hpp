/// Fair-share accounting: how much of a shard's capacity each team uses.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <string>

namespace carobcourse
{

/// Keeps the weighted dominant-resource share of each team. A task counts
/// exactly once, from `charge` to `release`. Not thread safe.
class fair_share
{
public:
    /// Sets the total capacity of the shard, which shares are fractions of.
    void set_capacity(const resources& capacity)
    {
        capacity_ = capacity;
    }
    /// Sets the weight of a team; a team without one has weight 1.
    /// Precondition: `weight` is at least 1.
    void set_weight(const std::string& team, std::int64_t weight);

    /// Adds a task to the usage of its team. Has no effect when the task is
    /// counted already.
    void charge(time_point now, const task_id& task, const std::string& team,
                const resources& amount);
    /// Removes a task from the usage of its team. Has no effect when the task
    /// is not counted.
    void release(time_point now, const task_id& task);
    /// Forgets all tasks, usage and weights.
    void clear();

    /// Returns the value that orders teams, lowest first: the dominant share
    /// in use plus a small fraction of the decayed share, divided by the
    /// weight. Returns 0 for an unknown team.
    double weighted_share(time_point now, const std::string& team) const;
    /// Returns the dominant share of the tasks that run now, as a fraction
    /// of the capacity and not divided by the weight.
    double share_in_use(const std::string& team) const;
    /// Returns the sum of the resources of the team's running tasks.
    resources in_use(const std::string& team) const;

private:
    struct charged_task
    {
        std::string team;
        resources amount;
    };
    struct team_usage
    {
        std::int64_t weight = 1;
        resources in_use;
        /// Exponentially decayed mean of the share in use, at `updated_at`.
        double decayed_share = 0;
        time_point updated_at;
    };

    /// Largest fraction of the capacity that `amount` takes of any resource.
    double dominant_share(const resources& amount) const;
    /// Decayed share at `now`: approaches the share in use with
    /// `config::usage_half_life`.
    double decayed_share_at(time_point now, const team_usage& usage) const;
    /// Stores the decayed share at `now`. Must run before `in_use` changes.
    void update_decayed_share(time_point now, team_usage& usage) const;

    resources capacity_;
    std::map<std::string, team_usage> teams_;
    std::map<task_id, charged_task> tasks_;
};

} // namespace carobcourse
