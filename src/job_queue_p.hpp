/// Waiting tasks of a shard in the order in which they are tried.
#pragma once

#include <carobcourse/types.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fair_share_p.hpp"

namespace carobcourse
{

/// What the queue needs to know of a job.
struct queued_job
{
    std::string team;
    job_kind kind = job_kind::batch;
    job_class urgency = job_class::normal;
    std::uint32_t tasks = 1; ///< Of the whole job.
    resources amount;        ///< Of each task.
    time_point accepted_at;
    duration estimate{}; ///< Expected run time, zero when unknown.
};

/// Result of a try to place a task.
enum class try_result : std::uint8_t
{
    placed,
    no_room,      ///< Not tried again before capacity of its size is free.
    team_refused, ///< No task of the team is tried again in this pass.
    gone          ///< The task waits no longer.
};

/// Aggregate. Rules: a pass looks at one task per team and size class at a
/// time, never at all that wait; a task whose size class was refused is tried
/// again only after a worker with room for it has been freed. Between teams
/// the lowest weighted share goes first, within a team the task that came
/// first, its expected run time counting as a later arrival. Urgent tasks go
/// before all others, as does the oldest task of a team that has started no
/// normal task for `config::ageing_bound`. Age alone would not do: when all
/// teams have a backlog, everything is old and shares would not count. Not
/// thread safe.
class job_queue
{
public:
    /// Notes that the task waits. The job is looked up in the next pass.
    void insert(const task_id& task);
    void erase(const task_id& task);
    void clear();
    std::size_t size() const
    {
        return jobs_.size() + fresh_.size();
    }

    /// A normal task of the team started without a try of a pass.
    void started(time_point now, const std::string& team)
    {
        teams_[team].last_normal_start = now;
    }

    /// A worker now has `free` left: size classes that fit are tried again.
    void freed(const resources& free);

    /// Returns false when the job is unknown.
    using lookup = std::function<bool(const task_id&, queued_job&)>;
    /// Tries one task; a gang is tried by any one of its tasks, and the
    /// others are erased by the callee when it is placed.
    using attempt = std::function<try_result(const task_id&)>;

    /// Tries tasks in order until nothing is left to try or `max_tries` is
    /// reached. Returns the number of tries.
    std::size_t pass(time_point now, const fair_share& shares,
                     const lookup& find, const attempt& place,
                     std::size_t max_tries);

private:
    /// Sizes within an eighth of an octave of each other, of one kind.
    struct size_class
    {
        job_kind kind = job_kind::batch;
        std::int64_t cpu = 0;
        std::int64_t memory = 0;
        std::int64_t accelerators = 0;
        std::uint32_t gang_tasks = 0; ///< Zero unless a gang.

        friend bool operator<(const size_class& a, const size_class& b)
        {
            return std::tie(a.kind, a.cpu, a.memory, a.accelerators,
                            a.gang_tasks) < std::tie(b.kind, b.cpu, b.memory,
                                                     b.accelerators,
                                                     b.gang_tasks);
        }
    };
    struct class_state
    {
        bool blocked = false;
        resources refused; ///< Size of the task that was refused last.
        /// A freed worker with room for this unblocks the class.
        resources smallest;
        std::set<std::string> teams;
    };
    /// Order within a team and class.
    using position = std::tuple<time_point, task_id>;
    struct waiting_set
    {
        /// Tasks per class, and the heads of the classes that are not
        /// blocked.
        std::map<size_class, std::set<position>> classes;
        std::set<std::pair<position, size_class>> ready;
    };
    struct team_state
    {
        waiting_set urgent;
        waiting_set normal;
        time_point last_normal_start;
    };
    struct queued_task
    {
        std::string team;
        bool urgent = false;
        size_class of;
        position at;
        resources amount;
        time_point accepted_at;
    };
    /// Before all others, then by share, then by name.
    using team_position = std::tuple<bool, double, std::string>;

    static size_class class_of(const queued_job& job);
    waiting_set& set_of(const queued_task& task);
    void add(const task_id& task, const queued_job& job);
    void take(const task_id& task);
    void set_blocked(const size_class& of, bool blocked);
    /// Head of the team, null when nothing of it may be tried.
    const task_id* head(time_point now, const team_state& team,
                        bool& first) const;
    bool is_aged(time_point now, const team_state& team,
                 const task_id& task) const;

    std::map<std::string, team_state> teams_;
    std::map<size_class, class_state> classes_;
    std::map<task_id, queued_task> jobs_;
    std::set<task_id> fresh_;
};

} // namespace carobcourse
