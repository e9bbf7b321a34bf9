// Tasks that earlier owners may have started on workers that do not answer.
#include "cell_owner_p.hpp"

#include <fmt/format.h>

#include "cell_limits_p.hpp"
#include "cell_takeover_p.hpp"

namespace carobcourse
{

void cell_owner::on_all_hosts_follow(time_point now)
{
    if (all_hosts_follow_)
        return;
    all_hosts_follow_ = true;
    context_.log(log_code::cell_hosts_follow,
                 fmt::format("epoch={} after_us={} unresolved_workers={}",
                             row().epoch, (now - claimed_at_).count(),
                             unresolved_workers_.size()));
}

/// Makes unresolved tasks wait for a new start once each worker of earlier
/// owners has either reported all its runs and ends or can have no valid lease.
void cell_owner::release_unresolved_tasks(time_point now)
{
    if (!has_unresolved_tasks_)
        return;
    if (!unresolved_workers_.empty() && !resolve_silent_workers(now))
        return;
    has_unresolved_tasks_ = false;
    for (auto& [id, job] : jobs_)
        release_unresolved_tasks(now, *job, {});
}

bool cell_owner::resolve_silent_workers(time_point now)
{
    if (!has_owned_at(claimed_at_ + config::cell_max_worker_lease_with_drift))
        return false;
    std::vector<std::string> silent_ids;
    std::vector<const cell_worker*> silent;
    for (const auto& id : unresolved_workers_)
    {
        const auto* worker = workers_.find(id);
        if (worker && worker->has_reported)
            continue;
        silent_ids.push_back(id);
        silent.push_back(worker);
    }
    // The others answer, and their leases go on. They still list ends.
    const bool others_answer = silent.size() < unresolved_workers_.size();
    const bool may_hold_lease =
        !silent.empty() &&
        !has_owned_at(takeover_lease_end(claimed_at_, all_hosts_follow_,
                                         longest_unknown_lease()));
    if (may_hold_lease)
    {
        if (!others_answer && !are_silent_workers_held_)
        {
            are_silent_workers_held_ = true;
            hold_tasks_of_silent_workers(now, silent);
        }
        return false;
    }
    if (!silent.empty())
        context_.log(log_code::cell_workers_unresolved,
                     fmt::format("count={} first={}", silent_ids.size(),
                                 silent_ids.front()));
    for (const auto& id : silent_ids)
        unresolved_workers_.erase(id);
    write_leased_workers();
    return !others_answer;
}

void cell_owner::hold_tasks_of_silent_workers(
    time_point now, const std::vector<const cell_worker*>& silent)
{
    std::size_t held = 0;
    for (auto& [id, job] : jobs_)
        held += release_unresolved_tasks(now, *job, silent);
    context_.counters.count("carobcourse_takeover_tasks_held_total", {}, held);
    context_.log(log_code::cell_takeover_held,
                 fmt::format("epoch={} workers={} tasks={} until_ms={}",
                             row().epoch, silent.size(), held,
                             (takeover_lease_end(claimed_at_, false,
                                                 longest_unknown_lease()) -
                              now) /
                                 std::chrono::milliseconds(1)));
}

std::size_t cell_owner::release_unresolved_tasks(
    time_point now, cell_job& job,
    const std::vector<const cell_worker*>& silent)
{
    const auto* queue = find_queue(job);
    std::size_t held = 0;
    for (auto& [number, occurrence] : job.occurrences())
    {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
        {
            const auto& spec = job.spec().steps[s];
            const bool is_held =
                !silent.empty() &&
                (!queue || may_run_on_silent(silent, queue->service, spec));
            auto& step = occurrence.steps[s];
            bool is_incomplete = false;
            for (auto& task : step.tasks)
            {
                if (task.state != cell_task_state::unresolved)
                    continue;
                if (is_held)
                {
                    ++held;
                    continue;
                }
                task.state = cell_task_state::waiting;
                --step.active;
                is_incomplete = true;
                dispatch_due_ = true;
            }
            // The earlier owner has started only some members.
            if (is_incomplete && spec.gang)
                stop_gang(now, job, {job.id(), number, s, 0});
        }
    }
    return held;
}

} // namespace carobcourse
