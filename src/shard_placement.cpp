// Placement of waiting tasks: connects the dispatcher to a shard.
#include <fmt/format.h>

#include "policy_dispatcher_p.hpp"
#include "shard_scheduler_p.hpp"

namespace carobcourse
{

namespace
{

dispatch_job describe_job(const job_record& job)
{
    dispatch_job result;
    result.queued.team = job.spec.team;
    result.queued.kind = job.spec.kind;
    result.queued.urgency = job.spec.urgency;
    result.queued.tasks = job.spec.tasks;
    result.queued.amount = job.spec.amount;
    result.queued.accepted_at = job.accepted_at;
    result.checkpoints = job.spec.checkpoints;
    result.declared_run = std::chrono::milliseconds(job.spec.run_ms);
    return result;
}

} // namespace

/// Gives the dispatcher access to the jobs and workers of a shard.
class shard_scheduler::dispatch_adapter final : public dispatch_port
{
public:
    dispatch_adapter(shard_scheduler& shard, time_point now)
        : shard_(shard), now_(now)
    {
    }

    bool find_waiting_job(const task_id& task, dispatch_job& job) override
    {
        const auto found = shard_.jobs_.find(task.job);
        if (found == shard_.jobs_.end() ||
            found->second.tasks[task.index].state != task_state::waiting)
            return false;
        job = describe_job(found->second);
        const auto* team = shard_.config_.current().find_team(job.queued.team);
        if (team)
            shard_.dispatcher_.shares().set_weight(team->team, team->weight);
        return true;
    }

    std::vector<task_id> waiting_tasks(const std::string& job) override
    {
        std::vector<task_id> result;
        const auto& tasks = shard_.jobs_.at(job).tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i)
        {
            if (tasks[i].state == task_state::waiting)
                result.push_back({job, i});
        }
        return result;
    }

    bool may_start(const dispatch_job& job, std::uint32_t tasks) override
    {
        // Until a worker has answered or its lease has expired, assume that its
        // whole capacity runs tasks of this team that the previous owner
        // started.
        const auto unsettled = shard_.workers_.unsettled_capacity(now_);
        const auto& queued = job.queued;
        return unsettled &&
               shard_.allotments_.may_start(queued.team,
                                            queued.amount * tasks + *unsettled);
    }

    void start(const task_id& id, const std::string& worker,
               const char* reason) override
    {
        auto& job = shard_.jobs_.at(id.job);
        auto& task = job.tasks[id.index];
        start_task start;
        start.attempt = {id, task.attempt + 1};
        start.team = job.spec.team;
        start.kind = job.spec.kind;
        start.amount = job.spec.amount;
        start.payload = job.spec.payload;
        start.checkpoint = task.checkpoint;
        start.run_ms = job.spec.run_ms;
        task.attempt = start.attempt.attempt;
        task.state = task_state::starting;
        task.worker = worker;
        task.detail = reason;
        job.reason.clear();
        auto& counters = shard_.context_.counters;
        counters.count("carobcourse_task_starts_total");
        counters.observe("carobcourse_task_wait_seconds",
                         now_ - job.accepted_at);
        shard_.allotments_.note_started(start.attempt, start.team,
                                        start.amount);
        shard_.workers_.start(worker, std::move(start));
        shard_.mark_job_changed(id.job);
    }

    void preempt(const task_id& id, bool checkpoint) override
    {
        const auto found = shard_.jobs_.find(id.job);
        if (found == shard_.jobs_.end())
            return;
        auto& task = found->second.tasks[id.index];
        if (task.state != task_state::starting &&
            task.state != task_state::running)
            return;
        shard_.workers_.stop(task.worker, {id, task.attempt}, checkpoint);
        task.state = task_state::stopping;
        shard_.context_.counters.count("carobcourse_task_preemptions_total");
        shard_.mark_job_changed(id.job);
    }

    void set_waiting_reason(const task_id& id, result_code code,
                            const std::string& detail) override
    {
        auto reason = to_string(code) + " " + info(code).text;
        if (!detail.empty())
            reason += ": " + detail;
        shard_.jobs_.at(id.job).reason = std::move(reason);
    }

private:
    shard_scheduler& shard_;
    time_point now_;
};

void shard_scheduler::schedule(time_point now)
{
    allotments_.begin_pass();
    if (stopping_ || !active_ || !ownership_.is_owner(now) ||
        !config_.check_usable(now) || !workers_.is_recovered(now) ||
        config_.current().is_data_centre_out(context_.identity.data_centre))
        return;
    dispatch_adapter adapter(*this, now);
    dispatcher_.schedule(now, workers_.index(), adapter,
                         config::max_starts_per_pass);
}

void shard_scheduler::update_dispatcher(time_point now,
                                        const attempt_news& news)
{
    const auto& id = news.attempt.task;
    const auto found = jobs_.find(id.job);
    if (found == jobs_.end() || id.index >= found->second.tasks.size() ||
        news.attempt.attempt < found->second.tasks[id.index].attempt)
        return;
    if (news.what == attempt_news::kind::running)
        dispatcher_.task_started(now, id, describe_job(found->second),
                                 news.worker);
    else
        dispatcher_.task_ended(now, id,
                               news.what == attempt_news::kind::finished &&
                                   news.outcome == task_outcome::succeeded);
}

} // namespace carobcourse
