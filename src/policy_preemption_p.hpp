/// Choice of the batch tasks that are preempted for urgent tasks.
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

/// The running tasks that may be preempted, ordered by the work that a stop
/// loses, least first. Not thread safe.
class preemption_candidates
{
public:
    /// Adds a running task. `checkpoints` says that the task saves its progress
    /// when it is stopped. Has no effect when the task is known.
    void add(const task_id& task, const std::string& worker,
             const resources& amount, bool checkpoints, time_point started);
    /// Removes a task. Has no effect when the task is not known.
    void remove(const task_id& task);
    void clear();

    /// Returns tasks whose end gives one worker room for `amount`. A
    /// bounded number of tasks is examined, in order; the result is empty when
    /// they do not free enough on any worker.
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
    /// Whether the task loses work, its negated start time and its id. A task
    /// with checkpoints loses no work; of the others, the one that started
    /// last loses the least.
    using order_key = std::tuple<bool, duration, task_id>;
    static order_key order_key_of(const task_id& task,
                                  const preemptible_task& candidate);

    std::map<task_id, preemptible_task> tasks_;
    std::set<order_key> order_;
};

} // namespace carobcourse
