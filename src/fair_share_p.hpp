/// Shares of the teams in a shard's capacity.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <string>

namespace carobcourse
{

/// Weighted dominant-resource share per team. Aggregate. Rule: a task is
/// counted once, from its charge to its release. Not thread safe.
class fair_share
{
public:
    /// The base of the shares.
    void set_capacity(const resources& capacity)
    {
        capacity_ = capacity;
    }
    /// Weight of 1 applies to teams without one. Precondition: at least 1.
    void set_weight(const std::string& team, std::int64_t weight);

    /// Counts a task from now on; no effect when it is counted already.
    void charge(time_point now, const task_id& task, const std::string& team,
                const resources& amount);
    /// No effect when the task is not counted.
    void release(time_point now, const task_id& task);
    void clear();

    /// What the order between teams goes by: the dominant share in use, plus
    /// a small part of the decayed past one, divided by the weight.
    double weighted_share(time_point now, const std::string& team) const;
    /// Dominant share in use, without weight.
    double share_in_use(const std::string& team) const;
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
        double decayed_share = 0; ///< Decayed mean of the share, as of `as_of`.
        time_point updated_at;
    };

    double dominant_share(const resources& amount) const;
    double decayed_share_at(time_point now, const team_usage& usage) const;
    void update_decayed_share(time_point now, team_usage& usage) const;

    resources capacity_;
    std::map<std::string, team_usage> teams_;
    std::map<task_id, charged_task> tasks_;
};

} // namespace carobcourse
