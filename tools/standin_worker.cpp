#include <algorithm>
#include <random>
#include <utility>

#include "standin_p.hpp"

namespace carobcourse::standin
{

namespace
{

constexpr std::int64_t default_run_ms = 100;

} // namespace

std::int64_t clock_ms(steady::time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               now.time_since_epoch())
        .count();
}

worker::worker(std::string id, resources capacity)
    : id_(std::move(id)), capacity_(capacity), token_(std::random_device{}())
{
}

response worker::sync(steady::time_point now, const worker_sync& message)
{
    advance(now);
    sync_reply reply;
    reply.accepted =
        message.epoch >= epoch_ && token_ != 0 && message.token == token_;
    epoch_ = std::max(epoch_, message.epoch);
    if (reply.accepted)
        take(now, message, reply);
    if (message.epoch == epoch_)
    {
        ++token_;
        token_issued_ = now;
    }
    reply.epoch = epoch_;
    reply.token = token_;
    reply.capacity = capacity_;
    for (const auto& [attempt, task] : running_)
    {
        reply.running.push_back(
            running_task{attempt, task.start.team, task.start.amount});
        reply.usage.push_back(task_usage{attempt, task.start.amount});
    }
    for (const auto& [attempt, finished] : finished_)
        reply.finished.push_back(finished);
    return {200, to_json(reply)};
}

void worker::take(steady::time_point now, const worker_sync& message,
                  sync_reply& reply)
{
    lease_until_ =
        std::max(lease_until_,
                 token_issued_ + std::chrono::milliseconds(message.lease_ms));
    for (const auto& ack : message.acks)
        finished_.erase(ack);
    for (const auto& each : message.stops)
        stop(now, each);
    const auto start_until =
        token_issued_ + std::chrono::milliseconds(message.start_ms);
    for (const auto& each : message.starts)
        start(now, start_until, each, reply);
}

void worker::start(steady::time_point now, steady::time_point start_until,
                   const start_task& start, sync_reply& reply)
{
    if (running_.count(start.attempt) || finished_.count(start.attempt))
        return; // Taken before; the reply was lost.
    const auto refuse = [&](const char* reason) {
        reply.refused.push_back(refused_start{start.attempt, reason});
    };
    const bool runs_already =
        std::any_of(running_.begin(), running_.end(),
                    [&](const auto& item)
                    { return item.first.task == start.attempt.task; });
    if (runs_already)
        return refuse("another attempt of the task runs here");
    if (now >= lease_until_)
        return refuse("the lease is over");
    if (now >= start_until)
        return refuse("the start is late");
    if (checks_capacity_ && !start.amount.fits_in(capacity_ - used()))
        return refuse("no room");
    task started;
    started.start = start;
    started.started = now;
    const auto payload = json::parse(start.payload, nullptr, false);
    auto run_ms = start.run_ms;
    if (payload.is_object())
        run_ms = payload.value("run_ms", run_ms);
    if (progress_ms_ && progress_ms_->count(start.checkpoint) > 0)
    {
        started.resumed_ms = progress_ms_->at(start.checkpoint);
        run_ms = std::max<std::int64_t>(1, run_ms - started.resumed_ms);
    }
    if (run_ms > 0 || start.kind != job_kind::service)
        started.ends = now + std::chrono::milliseconds(
                                 run_ms > 0 ? run_ms : default_run_ms);
    running_.emplace(start.attempt, started);
    note(now, "start", start.attempt, start.team);
}

void worker::stop(steady::time_point now, const stop_task& stop)
{
    if (running_.count(stop.attempt) == 0)
        return;
    end(now, stop.attempt,
        stop.checkpoint ? task_outcome::checkpointed : task_outcome::stopped,
        "on request");
}

void worker::advance(steady::time_point now)
{
    std::vector<std::pair<attempt_id, steady::time_point>> due;
    for (const auto& [attempt, task] : running_)
    {
        const auto ends =
            task.ends ? std::min(*task.ends, lease_until_) : lease_until_;
        if (now >= ends)
            due.emplace_back(attempt, ends);
    }
    for (const auto& [attempt, at] : due)
    {
        const auto& task = running_.at(attempt);
        const auto payload = json::parse(task.start.payload, nullptr, false);
        const bool fails =
            failing_ || (payload.is_object() && payload.value("fail", false));
        if (task.ends && *task.ends <= at)
            end(at, attempt,
                fails ? task_outcome::failed : task_outcome::succeeded,
                fails ? "exit status 1" : "");
        else
            end(at, attempt, task_outcome::lease_expired, "lease over");
    }
}

void worker::end(steady::time_point now, const attempt_id& attempt,
                 task_outcome outcome, const std::string& detail)
{
    finished_task finished;
    finished.attempt = attempt;
    finished.outcome = outcome;
    finished.detail = detail;
    if (outcome == task_outcome::checkpointed)
        finished.checkpoint = "checkpoint/" + attempt.task.job + "/" +
                              std::to_string(attempt.task.index);
    if (progress_ms_ && outcome == task_outcome::checkpointed)
    {
        const auto& task = running_.at(attempt);
        (*progress_ms_)[finished.checkpoint] =
            task.resumed_ms + clock_ms(now) - clock_ms(task.started);
    }
    finished_[attempt] = finished;
    running_.erase(attempt);
    note(now, "end", attempt, to_string(outcome));
}

resources worker::used() const
{
    resources sum;
    for (const auto& [attempt, task] : running_)
        sum += task.start.amount;
    return sum;
}

void worker::note(steady::time_point now, const char* what,
                  const attempt_id& attempt, const std::string& detail)
{
    record_.push_back({{"at_ms", clock_ms(now)},
                       {"what", what},
                       {"worker", id_},
                       {"attempt", to_json(attempt)},
                       {"detail", detail}});
}

} // namespace carobcourse::standin
