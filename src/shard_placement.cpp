// Order and placement of waiting tasks.
#include "policy_p.hpp"
#include "shard_scheduler_p.hpp"

namespace carobcourse
{

void shard_scheduler::schedule(time_point now)
{
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
    auto& free = workers_.index();
    placement_request request;
    request.amount = job.spec.amount;
    const auto chosen = policy_for(job.spec.kind).choose(free, request);
    if (chosen.empty())
    {
        job.reason = free.could_ever_fit(job.spec.amount)
                         ? "no worker has room"
                         : "no worker could ever hold a task";
        return false;
    }
    const auto worker = free.name(chosen.front().worker);
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
    task.worker = worker;
    task.detail = chosen.front().why;
    job.reason.clear();
    context_.counters.count("carobcourse_task_starts_total");
    context_.counters.observe("carobcourse_task_wait_seconds",
                              now - job.accepted_at);
    workers_.start(worker, std::move(start));
    task_changed(job.spec.id);
    return true;
}

} // namespace carobcourse
