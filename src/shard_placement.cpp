// Order and placement of waiting tasks.
#include "placement_p.hpp"
#include "shard_scheduler_p.hpp"

namespace carobcourse
{

void shard_scheduler::schedule(time_point now)
{
    allotments_.begin_pass();
    if (stopping_ || !active_ || !ownership_.is_owner(now) ||
        !config_.check_usable(now) || !workers_.is_recovered(now) ||
        config_.current().is_data_centre_out(context_.identity.data_centre))
        return;
    std::size_t passes = 0;
    for (auto it = waiting_.begin();
         it != waiting_.end() && passes < config::max_starts_per_pass; ++passes)
    {
        const auto found = jobs_.find(it->job);
        if (found == jobs_.end() || place_task(now, found->second, it->index))
            it = waiting_.erase(it);
        else
            ++it;
    }
}

bool shard_scheduler::place_task(time_point now, job_record& job,
                                 std::uint32_t index)
{
    std::map<std::string, std::uint32_t> racks_used;
    const auto worker =
        policy_for(job.spec.kind)
            .choose(workers_.index(), job.spec.amount, racks_used);
    if (!worker)
    {
        job.reason = workers_.index().could_ever_fit(job.spec.amount)
                         ? "no worker has room"
                         : "no worker could ever hold a task";
        return false;
    }
    if (!allotments_.may_start(job.spec.team, job.spec.amount))
    {
        job.reason = "the team is at its upper limit";
        return false;
    }
    auto& task = job.tasks[index];
    start_task start;
    start.attempt = {{job.spec.id, index}, task.attempt + 1};
    start.team = job.spec.team;
    start.kind = job.spec.kind;
    start.amount = job.spec.amount;
    start.payload = job.spec.payload;
    start.checkpoint = task.checkpoint;
    start.run_ms = job.spec.run_ms;
    task.attempt = start.attempt.attempt;
    task.state = task_state::starting;
    task.worker = *worker;
    allotments_.note_started(start.attempt, start.team, start.amount);
    job.reason.clear();
    context_.counters.count("carobcourse_task_starts_total");
    context_.counters.observe("carobcourse_task_wait_seconds",
                              now - job.accepted_at);
    workers_.start(*worker, std::move(start));
    task_changed(job.spec.id);
    return true;
}

} // namespace carobcourse
