/// Choice of the batch tasks that make room for urgent work.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "placement_p.hpp"

namespace carobcourse
{

/// Running tasks that may be stopped, least lost work first. Not thread safe.
class preemption_candidates
{
public:
    void add(const task_id& task, const std::string& worker,
             const resources& amount, bool checkpoints, time_point started);
    void remove(const task_id& task);
    void clear();

    /// Tasks whose end gives one worker room for `amount`; empty when none
    /// of the first tasks in order do.
    std::vector<task_id> choose_victims(const placement_index& index,
                                        const resources& amount) const;

private:
    struct preemptible_task
    {
        std::string worker;
        resources amount;
        bool loses_work = false;
        time_point started;
    };
    /// A task with a checkpoint loses nothing; of others the newest loses
    /// least.
    using order_key = std::tuple<bool, duration, task_id>;
    static order_key order_key_of(const task_id& task,
                                  const preemptible_task& candidate);

    std::map<task_id, preemptible_task> tasks_;
    std::set<order_key> order_;
};

} // namespace carobcourse
