/// A cell of workers on a virtual clock: drives the dispatcher, or plain
/// first-come-first-served with best fit, over the same work.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "policy_dispatcher_p.hpp"

namespace carobcourse::bench
{

enum class order_method : std::uint8_t
{
    dispatcher,
    first_come
};

struct cell_job
{
    dispatch_job job;
    std::uint32_t tasks = 1;
    duration run{}; ///< Real run time of each task.
};

/// Not thread safe.
class cell final : private dispatch_port
{
public:
    struct wait_record
    {
        std::string job;
        std::string team;
        job_kind kind;
        job_class urgency;
        duration waited;
    };

    cell(order_method how, int workers, const resources& each) : how_(how)
    {
        for (int i = 0; i < workers; ++i)
            index_.update({"w" + std::to_string(i), "r" + std::to_string(i / 6),
                           each, each});
    }

    void submit(const std::string& name, cell_job job)
    {
        job.job.queued.accepted_at = now_;
        job.job.queued.tasks = job.tasks;
        const auto& added = jobs_.emplace(name, std::move(job)).first->second;
        for (std::uint32_t i = 0; i < added.tasks; ++i)
        {
            waiting_[{name, i}] = now_;
            if (how_ == order_method::dispatcher)
                dispatcher_.insert({name, i});
            else
                line_.push_back({name, i});
        }
    }

    /// Ends what is due until `until` and starts what can start.
    void run_until(time_point until)
    {
        schedule();
        while (!ends_.empty() && std::get<0>(ends_.top()) <= until)
        {
            now_ = std::get<0>(ends_.top());
            while (!ends_.empty() && std::get<0>(ends_.top()) == now_)
            {
                const auto [at, task, attempt] = ends_.top();
                ends_.pop();
                end(task, attempt);
            }
            schedule();
        }
        now_ = until;
        schedule();
    }

    time_point now() const
    {
        return now_;
    }
    const std::vector<wait_record>& waits() const
    {
        return waits_;
    }
    std::size_t waiting() const
    {
        return waiting_.size();
    }
    std::size_t preemptions() const
    {
        return preemptions_;
    }
    /// Core-seconds of the team's tasks that ran to their end so far.
    double work_done(const std::string& team) const
    {
        const auto found = done_.find(team);
        return found == done_.end() ? 0.0 : found->second;
    }
    /// Core-seconds of stopped tasks, which run again from the beginning.
    double work_lost() const
    {
        return lost_;
    }
    /// Tries of the dispatcher so far.
    std::size_t tries() const
    {
        return tries_;
    }
    placement_index& index()
    {
        return index_;
    }
    dispatcher& decisions()
    {
        return dispatcher_;
    }
    bool is_running(const task_id& task) const
    {
        return running_.count(task) != 0;
    }
    resources in_use(const std::string& team) const
    {
        const auto found = used_.find(team);
        return found == used_.end() ? resources() : found->second;
    }
    /// "CC-..." and detail of the last reason of the job.
    std::string reason(const std::string& job) const
    {
        const auto found = reasons_.find(job);
        return found == reasons_.end() ? std::string() : found->second;
    }

private:
    struct running_record
    {
        worker_handle worker = no_worker;
        std::uint32_t attempt = 0;
        time_point started;
    };

    bool find_waiting_job(const task_id& task, dispatch_job& job) override
    {
        if (waiting_.count(task) == 0)
            return false;
        job = jobs_.at(task.job).job;
        dispatcher_.shares().set_weight(job.queued.team,
                                        weight_of(job.queued.team));
        return true;
    }
    std::vector<task_id> waiting_tasks(const std::string& job) override
    {
        std::vector<task_id> result;
        for (auto it = waiting_.lower_bound({job, 0});
             it != waiting_.end() && it->first.job == job; ++it)
            result.push_back(it->first);
        return result;
    }
    bool may_start(const dispatch_job&, std::uint32_t) override
    {
        return true;
    }
    void start(const task_id& task, const std::string& worker,
               const char*) override
    {
        const auto& of = jobs_.at(task.job);
        const auto handle = index_.find(worker);
        index_.set_free(handle, index_.free(handle) - of.job.queued.amount);
        used_[of.job.queued.team] += of.job.queued.amount;
        const auto attempt = ++attempts_[task];
        running_[task] = {handle, attempt, now_};
        ends_.emplace(now_ + of.run, task, attempt);
        waits_.push_back({task.job, of.job.queued.team, of.job.queued.kind,
                          of.job.queued.urgency, now_ - waiting_.at(task)});
        waiting_.erase(task);
    }
    void preempt(const task_id& task, bool) override
    {
        // A stop travels with the next sync and its news comes back with the
        // reply.
        ++preemptions_;
        ends_.emplace(now_ + std::chrono::milliseconds(100), task,
                      running_.at(task).attempt);
        stopped_[task] = running_.at(task).attempt;
    }
    void set_waiting_reason(const task_id& task, result_code code,
                            const std::string& detail) override
    {
        reasons_[task.job] = to_string(code) + " " + detail;
    }

    void end(const task_id& task, std::uint32_t attempt)
    {
        const auto found = running_.find(task);
        if (found == running_.end() || found->second.attempt != attempt)
            return;
        const auto& of = jobs_.at(task.job);
        const auto worker = found->second.worker;
        const std::chrono::duration<double> ran = now_ - found->second.started;
        const auto work = ran.count() *
                          static_cast<double>(of.job.queued.amount.cpu_millis) /
                          1000;
        running_.erase(found);
        index_.set_free(worker, index_.free(worker) + of.job.queued.amount);
        used_[of.job.queued.team] -= of.job.queued.amount;
        const auto stop = stopped_.find(task);
        const bool stopped = stop != stopped_.end() && stop->second == attempt;
        dispatcher_.task_ended(now_, task, !stopped);
        if (!stopped)
        {
            done_[of.job.queued.team] += work;
            return;
        }
        lost_ += work;
        stopped_.erase(stop);
        waiting_[task] = now_;
        dispatcher_.insert(task);
    }

    void schedule()
    {
        if (how_ == order_method::dispatcher)
        {
            tries_ += dispatcher_.schedule(now_, index_, *this, 2000);
            return;
        }
        index_.take_freed_workers();
        while (!line_.empty() && start_first())
        {
        }
    }

    bool start_first()
    {
        const auto task = line_.front();
        const auto& of = jobs_.at(task.job);
        placement_request request;
        request.amount = of.job.queued.amount;
        request.task_count = of.tasks;
        const auto chosen =
            policy_for(of.job.queued.kind == job_kind::gang ? job_kind::gang
                                                            : job_kind::batch)
                .choose(index_, request);
        for (const auto& one : chosen)
        {
            start(line_.front(), index_.name(one.worker), one.reason);
            line_.pop_front();
        }
        return !chosen.empty();
    }

    static std::int64_t weight_of(const std::string& team)
    {
        // A team's name ends in its weight: "t3:2".
        const auto at = team.find(':');
        return at == std::string::npos ? 1 : std::stoll(team.substr(at + 1));
    }

    using end_event = std::tuple<time_point, task_id, std::uint32_t>;

    order_method how_;
    time_point now_;
    placement_index index_;
    dispatcher dispatcher_;
    std::map<std::string, cell_job> jobs_;
    std::map<task_id, time_point> waiting_;
    std::map<task_id, running_record> running_;
    std::map<task_id, std::uint32_t> attempts_;
    std::map<task_id, std::uint32_t> stopped_;
    std::map<std::string, resources> used_;
    std::map<std::string, std::string> reasons_;
    std::deque<task_id> line_;
    std::vector<wait_record> waits_;
    std::priority_queue<end_event, std::vector<end_event>, std::greater<>>
        ends_;
    std::map<std::string, double> done_; ///< Core-seconds per team.
    double lost_ = 0;
    std::size_t preemptions_ = 0;
    std::size_t tries_ = 0;
};

inline cell_job make_job(const std::string& team, job_kind kind,
                         const resources& amount, std::uint32_t tasks,
                         duration run)
{
    cell_job result;
    result.job.queued.team = team;
    result.job.queued.kind = kind;
    result.job.queued.amount = amount;
    result.job.declared_run = run;
    result.tasks = tasks;
    result.run = run;
    return result;
}

} // namespace carobcourse::bench
