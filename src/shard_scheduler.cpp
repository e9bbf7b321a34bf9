// Ownership, recovery and the progress of tasks.
#include "shard_scheduler_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "job_tables_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t load_batch = 500;
constexpr std::size_t inbox_batch = 200;
constexpr std::uint32_t max_task_failures = 3;

bool ends_with(const std::string& text, const std::string& suffix)
{
    return text.size() >= suffix.size() &&
           text.compare(text.size() - suffix.size(), suffix.size(), suffix) ==
               0;
}

} // namespace

shard_scheduler::shard_scheduler(core_context& context,
                                 const config_service& config)
    : context_(context), config_(config),
      ownership_(context, job_tables::shard_of(context.identity.data_centre)),
      workers_(context)
{
}

bool shard_scheduler::on_store_result(time_point now,
                                      const store_result& result)
{
    if (ownership_.on_store_result(now, result))
        return true;
    if (load_op_ && result.op == *load_op_)
    {
        load_op_.reset();
        on_jobs(now, result);
        return true;
    }
    if (inbox_op_ && result.op == *inbox_op_)
    {
        inbox_op_.reset();
        on_inbox(now, result);
        return true;
    }
    if (write_op_ && result.op == *write_op_)
    {
        write_op_.reset();
        on_jobs_written(result);
        return true;
    }
    const auto found = calls_.find(result.op);
    if (found == calls_.end())
        return false;
    auto pending = std::move(found->second);
    calls_.erase(found);
    switch (pending.at)
    {
    case pending_call::step::submit:
        on_submitted(std::move(pending), result);
        break;
    case pending_call::step::submit_read_back:
        on_submit_read_back(pending, result);
        break;
    case pending_call::step::find_home:
        on_home(std::move(pending), result);
        break;
    case pending_call::step::read_job:
        on_job_row(pending, result);
        break;
    case pending_call::step::cancel:
        on_cancel_written(pending, result);
        break;
    }
    return true;
}

// ---------------------------------------------------- ownership and recovery

void shard_scheduler::on_tick(time_point now)
{
    ownership_.on_tick(now);
    const bool owner = ownership_.is_owner(now);
    if (owner && ownership_.epoch() != active_epoch_)
        on_acquired(now);
    else if (!owner && active_epoch_ != 0)
        on_lost();
    if (!owner)
        return;
    for (const auto& news : workers_.on_tick(now))
    {
        track(now, news);
        apply(news);
    }
    if (active_)
    {
        poll_inbox(now);
        schedule(now);
        write_jobs(now);
    }
    else if (!loading_)
    {
        loading_ = true;
        load_jobs("");
    }
    workers_.send_due(now, ownership_.acts_until());
}

void shard_scheduler::on_acquired(time_point now)
{
    active_epoch_ = ownership_.epoch();
    active_ = false;
    loading_ = false;
    jobs_.clear();
    waiting_.clear();
    dirty_.clear();
    workers_.begin_epoch(active_epoch_);
    workers_.update_hosts(now, hosts_);
}

void shard_scheduler::on_lost()
{
    active_epoch_ = 0;
    active_ = false;
    loading_ = false;
    jobs_.clear();
    waiting_.clear();
    dirty_.clear();
}

void shard_scheduler::load_jobs(const std::string& after)
{
    load_op_ = context_.next_op(component::jobs);
    context_.out.emplace_back(store_scan{*load_op_, job_tables::jobs,
                                         ownership_.shard() + "/", after,
                                         load_batch});
}

void shard_scheduler::on_jobs(time_point now, const store_result& result)
{
    if (!loading_)
        return;
    if (result.status != store_status::ok)
    {
        loading_ = false; // Tried again at the next tick.
        return;
    }
    for (const auto& row : result.rows)
        adopt(now, row.value);
    if (result.rows.size() >= load_batch)
    {
        load_jobs(result.rows.back().key);
        return;
    }
    loading_ = false;
    active_ = true;
}

void shard_scheduler::adopt(time_point now, const std::string& value)
{
    auto job = job_record_from_json(value);
    if (!job || job->is_finished() || jobs_.count(job->spec.id))
        return;
    job->accepted_at = now;
    const auto id = job->spec.id;
    for (std::uint32_t i = 0; i < job->tasks.size(); ++i)
    {
        auto& task = job->tasks[i];
        if (task.state == task_state::waiting)
            waiting_.insert({id, i});
        else if (task.state == task_state::starting ||
                 task.state == task_state::stopping)
            task.state = task_state::running;
    }
    jobs_.emplace(id, std::move(*job));
}

void shard_scheduler::poll_inbox(time_point now)
{
    if (inbox_op_ || now < next_inbox_)
        return;
    next_inbox_ = now + config::inbox_poll_period;
    inbox_op_ = context_.next_op(component::jobs);
    context_.out.emplace_back(store_scan{*inbox_op_, job_tables::inbox,
                                         ownership_.shard() + "/", "",
                                         inbox_batch});
}

void shard_scheduler::on_inbox(time_point now, const store_result& result)
{
    if (!active_ || result.status != store_status::ok || result.rows.empty())
        return;
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    for (const auto& row : result.rows)
    {
        commit.writes.push_back({job_tables::inbox, row.key, row.version, {}});
        if (!ends_with(row.key, job_tables::cancel_suffix))
        {
            adopt(now, row.value);
            continue;
        }
        const auto value = json::parse(row.value, nullptr, false);
        const auto found =
            value.is_object() ? jobs_.find(value.value("cancel", std::string()))
                              : jobs_.end();
        if (found != jobs_.end())
            cancel_job(found->second);
    }
    context_.out.emplace_back(std::move(commit));
    schedule(now);
}

// ---------------------------------------------------------------- scheduling

void shard_scheduler::on_hosts(time_point now,
                               const std::vector<host_entry>& hosts)
{
    hosts_ = hosts;
    data_centres_.clear();
    for (const auto& host : hosts)
    {
        if (host.kind == host_kind::worker)
            data_centres_.insert(host.data_centre);
    }
    workers_.update_hosts(now, hosts);
}

void shard_scheduler::cancel_job(job_record& job)
{
    job.cancel_requested = true;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        auto& task = job.tasks[i];
        if (task.state == task_state::waiting)
        {
            waiting_.erase({job.spec.id, i});
            task.state = task_state::cancelled;
        }
        else if (task.state == task_state::starting ||
                 task.state == task_state::running)
        {
            workers_.stop(task.worker, {{job.spec.id, i}, task.attempt}, false);
            task.state = task_state::stopping;
        }
    }
    task_changed(job.spec.id);
}

void shard_scheduler::on_worker_result(time_point now,
                                       const worker_result& result)
{
    for (const auto& news : workers_.on_result(now, result))
    {
        track(now, news);
        apply(news);
    }
    for (const auto& usage : result.reply.usage)
        waiting_.observe_size(usage.attempt.task, usage.used);
    if (!ownership_.is_owner(now))
        return;
    schedule(now);
    workers_.send_due(now, ownership_.acts_until());
}

void shard_scheduler::apply(const attempt_news& news)
{
    const auto found = jobs_.find(news.attempt.task.job);
    if (found == jobs_.end() ||
        news.attempt.task.index >= found->second.tasks.size())
        return;
    auto& job = found->second;
    const auto index = news.attempt.task.index;
    auto& task = job.tasks[index];
    if (news.attempt.attempt < task.attempt)
        return;
    task.attempt = news.attempt.attempt;
    switch (news.what)
    {
    case attempt_news::kind::running:
        task.worker = news.worker;
        if (task.state == task_state::starting ||
            task.state == task_state::waiting)
        {
            task.state = task_state::running;
            waiting_.erase(news.attempt.task);
        }
        break;
    case attempt_news::kind::finished:
        apply_finished(job, index, news);
        break;
    case attempt_news::kind::refused:
    case attempt_news::kind::lost:
        task.detail = news.detail;
        task.state =
            job.cancel_requested ? task_state::cancelled : task_state::waiting;
        if (!job.cancel_requested)
        {
            waiting_.insert(news.attempt.task);
            context_.counters.count_retry(news.what == attempt_news::kind::lost
                                              ? "attempt_lost"
                                              : "start_refused");
        }
        break;
    }
    task_changed(job.spec.id);
}

void shard_scheduler::apply_finished(job_record& job, std::uint32_t index,
                                     const attempt_news& news)
{
    auto& task = job.tasks[index];
    task.detail = news.detail;
    if (!news.checkpoint.empty())
        task.checkpoint = news.checkpoint;
    if (news.outcome == task_outcome::succeeded)
    {
        task.state = task_state::succeeded;
        return;
    }
    if (job.cancel_requested)
    {
        task.state = task_state::cancelled;
        return;
    }
    if (news.outcome == task_outcome::failed)
    {
        ++task.failures;
        if (task.failures >= max_task_failures)
        {
            task.state = task_state::failed;
            return;
        }
        context_.counters.count_retry("task_failed");
    }
    task.state = task_state::waiting;
    waiting_.insert({job.spec.id, index});
}

void shard_scheduler::task_changed(const std::string& job)
{
    dirty_.insert(job);
}

void shard_scheduler::write_jobs(time_point now)
{
    if (write_op_ || dirty_.empty() || now < next_write_)
        return;
    next_write_ = now + config::job_write_period;
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    while (!dirty_.empty() && commit.writes.size() < config::job_write_batch)
    {
        const auto id = *dirty_.begin();
        dirty_.erase(dirty_.begin());
        const auto found = jobs_.find(id);
        if (found == jobs_.end())
            continue;
        commit.writes.push_back({job_tables::jobs,
                                 job_tables::job_key(ownership_.shard(), id),
                                 std::nullopt, to_json_text(found->second)});
        writing_.insert(id);
    }
    write_op_ = commit.op;
    context_.out.emplace_back(std::move(commit));
}

void shard_scheduler::on_jobs_written(const store_result& result)
{
    const auto written = std::exchange(writing_, {});
    for (const auto& id : written)
    {
        const auto found = jobs_.find(id);
        if (found == jobs_.end())
            continue;
        if (result.status != store_status::ok)
        {
            dirty_.insert(id);
        }
        else if (found->second.is_finished() && dirty_.count(id) == 0)
        {
            context_.log(log_code::job_ended,
                         fmt::format("{} {}", id, found->second.state()));
            jobs_.erase(found);
        }
    }
}

void shard_scheduler::stop(time_point now)
{
    stopping_ = true;
    ownership_.release(now);
}

} // namespace carobcourse
