// Ownership and recovery of a shard, and the life cycle of its tasks.
#include "shard_scheduler_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "job_tables_p.hpp"
#include "text_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_jobs_per_scan = 500;
constexpr std::size_t max_inbox_rows_per_scan = 200;
constexpr std::uint32_t max_task_failures = 3;
/// A job is parked when its tasks failed on this many different workers, as
/// the cause is then the job rather than a worker.
constexpr std::size_t max_failed_workers = 5;
constexpr std::size_t rows_per_move = 5;
/// Longest time that a planned stop or a handover waits for the changed jobs to
/// be written.
constexpr auto stop_flush_timeout = std::chrono::seconds(5);

} // namespace

shard_scheduler::shard_scheduler(core_context& context,
                                 const config_service& config,
                                 const shard_map& map, std::uint32_t index)
    : context_(context), config_(config),
      ownership_(context,
                 job_tables::shard_name(context.identity.data_centre, index)),
      workers_(context),
      allotments_(context, config.current(), ownership_.shard()), map_(map),
      index_(index), journal_(context)
{
}

bool shard_scheduler::on_store_result(time_point now,
                                      const store_result& result)
{
    if (ownership_.on_store_result(now, result) ||
        allotments_.on_store_result(now, result))
        return true;
    if (load_op_ && result.op == *load_op_)
    {
        load_op_.reset();
        on_jobs_read(now, result);
        return true;
    }
    if (inbox_op_ && result.op == *inbox_op_)
    {
        inbox_op_.reset();
        on_inbox_read(now, result);
        return true;
    }
    if (journal_.is_for(result.op))
    {
        if (const auto settled = journal_.on_store_result(now, result))
            on_commit_settled(now, *settled);
        return true;
    }
    if (cancelled_home_reads_.count(result.op))
    {
        on_cancelled_job_home(result);
        return true;
    }
    return false;
}

const job_record* shard_scheduler::find(const std::string& job) const
{
    const auto found = jobs_.find(job);
    return active_ && found != jobs_.end() ? &found->second : nullptr;
}

std::optional<resources>
shard_scheduler::free_capacity_for(time_point now,
                                   const resources& amount) const
{
    const auto& index = workers_.index();
    if (!active_ || !ownership_.is_owner(now) ||
        index.best_fit(amount) == no_worker)
        return std::nullopt;
    return index.free_capacity();
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
    {
        release_when_flushed(now);
        return;
    }
    for (const auto& news : workers_.on_tick(now))
    {
        update_dispatcher(now, news);
        apply_attempt(news);
    }
    allotments_.on_tick(now);
    if (active_)
    {
        journal_.on_tick(now);
        finish_recovery(now);
        drain(now);
        stop_tasks_above_allotment();
        poll_inbox(now);
        schedule(now);
        write_jobs(now);
    }
    else if (!loading_)
    {
        loading_ = true;
        load_jobs("");
    }
    workers_.send_due(now, ownership_.acts_until(), may_start(now));
    release_when_flushed(now);
}

bool shard_scheduler::may_start(time_point now) const
{
    return !stopping_ && !handing_over_ && !is_data_centre_out() &&
           config_.check_usable(now).has_value();
}

void shard_scheduler::reset_state()
{
    active_ = false;
    loading_ = false;
    recovering_ = false;
    drain_started_ = false;
    jobs_.clear();
    dispatcher_.clear();
    dirty_jobs_.clear();
    pending_effects_.clear();
    jobs_in_commit_.clear();
    inbox_only_writes_.clear();
    inbox_only_writing_.clear();
    early_news_.clear();
    deleted_inbox_rows_.clear();
    cancelled_home_reads_.clear();
    allotments_.end();
    // Results of reads from an earlier epoch may be out of date; ignore them.
    load_op_.reset();
    inbox_op_.reset();
}

void shard_scheduler::on_acquired(time_point now)
{
    reset_state();
    active_epoch_ = ownership_.epoch();
    journal_.begin(ownership_.shard(), active_epoch_,
                   ownership_.fence_version());
    allotments_.begin(now, active_epoch_);
    workers_.begin_epoch(now, active_epoch_);
    on_hosts(now);
}

void shard_scheduler::on_lost()
{
    reset_state();
    active_epoch_ = 0;
    journal_.begin(ownership_.shard(), 0, 0);
}

void shard_scheduler::step_down(time_point now, const std::string& why)
{
    context_.log(log_code::owner_contradicted, why);
    ownership_.step_down(now);
    on_lost();
}

void shard_scheduler::load_jobs(const std::string& after)
{
    load_op_ = context_.next_op(component::jobs);
    context_.out.emplace_back(store_scan{*load_op_, job_tables::jobs,
                                         ownership_.shard() + "/", after,
                                         max_jobs_per_scan});
}

void shard_scheduler::on_jobs_read(time_point now, const store_result& result)
{
    if (!loading_)
        return;
    if (result.status != store_status::ok)
    {
        loading_ = false; // The next tick loads the jobs again.
        return;
    }
    for (const auto& row : result.rows)
    {
        if (auto* job = add_job(now, row.value, job_hold::recovering))
        {
            job->row_version = row.version;
            recovering_ = true;
        }
    }
    if (result.rows.size() >= max_jobs_per_scan)
    {
        load_jobs(result.rows.back().key);
        return;
    }
    loading_ = false;
    active_ = true;
    for (const auto& news : std::exchange(early_news_, {}))
    {
        update_dispatcher(now, news);
        apply_attempt(news);
    }
}

job_record* shard_scheduler::add_job(time_point now, const std::string& value,
                                     job_hold hold)
{
    auto job = job_record_from_json(value);
    if (!job || job->is_finished() || jobs_.count(job->spec.id))
        return nullptr;
    job->accepted_at = now;
    job->hold = hold;
    for (std::uint32_t i = 0; i < job->tasks.size(); ++i)
    {
        auto& task = job->tasks[i];
        if (task.state != task_state::starting &&
            task.state != task_state::stopping &&
            task.state != task_state::running)
            continue;
        task.state = task_state::running;
        // The worker may no longer be in the host list while it still runs the
        // task.
        workers_.expect(now, task.worker);
        allotments_.note_started({{job->spec.id, i}, task.attempt},
                                 job->spec.team, job->spec.amount);
    }
    return &jobs_.emplace(job->spec.id, std::move(*job)).first->second;
}

void shard_scheduler::finish_recovery(time_point now)
{
    if (!recovering_ || !workers_.all_settled(now))
        return;
    recovering_ = false;
    context_.log(log_code::shard_recovered,
                 fmt::format("{} epoch {}", ownership_.shard(), active_epoch_));
    for (auto& [id, job] : jobs_)
    {
        if (job.hold != job_hold::recovering)
            continue;
        job.hold = job_hold::none;
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
        {
            auto& task = job.tasks[i];
            const bool unknown = task.state == task_state::running ||
                                 task.state == task_state::stopping;
            if (!unknown || task.reported)
                continue;
            allotments_.note_ended({{id, i}, task.attempt});
            task.state = job.cancel_requested ? task_state::cancelled
                                              : task_state::waiting;
            context_.counters.count_retry("attempt_lost");
            mark_job_changed(id);
        }
        enqueue_all(job);
    }
}

// --------------------------------------------------------------------- inbox

void shard_scheduler::poll_inbox(time_point now)
{
    if (inbox_op_ || now < next_inbox_poll_at_)
        return;
    next_inbox_poll_at_ = now + config::inbox_poll_period;
    ++inbox_poll_number_;
    inbox_op_ = context_.next_op(component::jobs);
    context_.out.emplace_back(store_scan{*inbox_op_, job_tables::inbox,
                                         ownership_.shard() + "/", "",
                                         max_inbox_rows_per_scan});
}

void shard_scheduler::on_inbox_read(time_point now, const store_result& result)
{
    if (!active_ || result.status != store_status::ok)
        return;
    for (const auto& row : result.rows)
    {
        const auto deleted = deleted_inbox_rows_.find(row.key);
        if (deleted == deleted_inbox_rows_.end() ||
            deleted->second <= inbox_poll_number_)
            process_inbox_row(now, row);
    }
    for (auto it = deleted_inbox_rows_.begin();
         it != deleted_inbox_rows_.end();)
        it = it->second <= inbox_poll_number_ ? deleted_inbox_rows_.erase(it)
                                              : std::next(it);
    write_jobs(now);
    schedule(now);
}

void shard_scheduler::process_inbox_row(time_point now, const row& inbox_row)
{
    auto id = inbox_row.key.substr(ownership_.shard().size() + 1);
    const bool cancels = ends_with(id, job_tables::cancel_suffix);
    if (cancels)
        id.resize(id.size() - std::string(job_tables::cancel_suffix).size());
    else
        add_job(now, inbox_row.value, job_hold::taking_on);
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        if (cancels)
            find_home_of_cancelled(id);
        else
            inbox_only_writes_.push_back(
                {job_tables::inbox, inbox_row.key, std::nullopt, {}});
        return;
    }
    auto& job = found->second;
    if (cancels && !job.cancel_requested)
        cancel_job(job);
    // The inbox row is deleted in the commit that makes the job or its
    // cancellation durable. If the owner fails before that, the next owner
    // finds the row.
    pending_effects_[id].inbox.insert(inbox_row.key);
    mark_job_changed(id);
    next_write_at_ = now;
}

void shard_scheduler::find_home_of_cancelled(const std::string& job)
{
    // The job has ended, or it has moved after the caller read its old home.
    const bool asked =
        std::any_of(cancelled_home_reads_.begin(), cancelled_home_reads_.end(),
                    [&](const auto& item) { return item.second == job; });
    if (asked)
        return;
    const auto op = context_.next_op(component::jobs);
    cancelled_home_reads_.emplace(op, job);
    context_.out.emplace_back(store_read{op, job_tables::homes, job});
}

void shard_scheduler::on_cancelled_job_home(const store_result& result)
{
    const auto id = cancelled_home_reads_.extract(result.op).mapped();
    if (!active_ || result.status != store_status::ok || jobs_.count(id))
        return;
    const auto key = id + job_tables::cancel_suffix;
    inbox_only_writes_.push_back({job_tables::inbox,
                                  job_tables::job_key(ownership_.shard(), key),
                                  std::nullopt,
                                  {}});
    const auto home =
        result.rows.empty()
            ? json()
            : json::parse(result.rows.front().value, nullptr, false);
    const auto shard =
        home.is_object() ? home.value("shard", std::string()) : std::string();
    if (!shard.empty() && shard != ownership_.shard())
        inbox_only_writes_.push_back(
            {job_tables::inbox, job_tables::job_key(shard, key), std::nullopt,
             json{{"cancel", id}}.dump()});
}

// ---------------------------------------------------------------- scheduling

void shard_scheduler::on_hosts(time_point now)
{
    workers_.update_hosts(now,
                          map_.workers(context_.identity.data_centre, index_),
                          map_.is_known());
}

void shard_scheduler::enqueue(const job_record& job, std::uint32_t index)
{
    if (job.hold == job_hold::none && !job.parked)
        dispatcher_.insert({job.spec.id, index});
}

void shard_scheduler::enqueue_all(const job_record& job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        if (job.tasks[i].state == task_state::waiting)
            enqueue(job, i);
    }
}

void shard_scheduler::dequeue(const task_id& task)
{
    dispatcher_.erase(task);
}

void shard_scheduler::stop_task(job_record& job, std::uint32_t index,
                                bool checkpoint)
{
    auto& task = job.tasks[index];
    workers_.stop(task.worker, {{job.spec.id, index}, task.attempt},
                  checkpoint);
    task.state = task_state::stopping;
}

void shard_scheduler::cancel_job(job_record& job)
{
    job.cancel_requested = true;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        auto& task = job.tasks[i];
        if (task.state == task_state::waiting)
        {
            dequeue({job.spec.id, i});
            task.state = task_state::cancelled;
        }
        else if (task.state == task_state::starting ||
                 task.state == task_state::running)
        {
            stop_task(job, i, false);
        }
    }
    mark_job_changed(job.spec.id);
}

bool shard_scheduler::on_worker_result(time_point now,
                                       const worker_result& result)
{
    if (!workers_.awaits(result))
        return false;
    for (const auto& news : workers_.on_result(now, result))
    {
        update_dispatcher(now, news);
        apply_attempt(news);
    }
    for (const auto& usage : result.reply.usage)
        dispatcher_.observe_size(usage.attempt.task, usage.used);
    if (!ownership_.is_owner(now))
        return true;
    if (active_epoch_ != 0 && workers_.highest_epoch_seen() > active_epoch_)
    {
        step_down(now, "worker " + result.worker + " has seen a newer epoch");
        return true;
    }
    schedule(now);
    workers_.send_due(now, ownership_.acts_until(), may_start(now));
    return true;
}

bool shard_scheduler::is_current_attempt(const job_record& job,
                                         const attempt_news& news)
{
    const auto& task = job.tasks[news.attempt.task.index];
    switch (task.state)
    {
    case task_state::succeeded:
    case task_state::failed:
    case task_state::cancelled:
        return false;
    default:
        break;
    }
    const auto attempt = news.attempt.attempt;
    if (attempt == task.attempt && news.worker == task.worker)
        return true;
    // The row may be older than the last start of the previous owner. The
    // attempt number alone does not identify an attempt: two owners may have
    // used the same number on two workers.
    return job.hold == job_hold::recovering &&
           (attempt > task.attempt ||
            (attempt == task.attempt && !task.reported));
}

void shard_scheduler::handle_stale_attempt(const attempt_news& news,
                                           bool known_job)
{
    if (news.what == attempt_news::kind::running)
    {
        context_.counters.count("carobcourse_unknown_attempts_total");
        workers_.stop(news.worker, news.attempt, false);
    }
    else if (news.what == attempt_news::kind::finished && !known_job)
    {
        // An unknown job has ended and its final state is durable, so the
        // worker can drop the result.
        workers_.acknowledge(news.worker, news.attempt);
    }
    else if (news.what == attempt_news::kind::finished)
    {
        const auto& id = news.attempt.task.job;
        pending_effects_[id].acks.push_back({news.worker, news.attempt});
        mark_job_changed(id);
    }
}

void shard_scheduler::stop_tasks_above_allotment()
{
    for (const auto& attempt : allotments_.take_excess())
    {
        const auto found = jobs_.find(attempt.task.job);
        if (found == jobs_.end())
            continue;
        auto& task = found->second.tasks[attempt.task.index];
        workers_.stop(task.worker, attempt, found->second.spec.checkpoints);
        task.state = task_state::stopping;
        mark_job_changed(attempt.task.job);
    }
}

void shard_scheduler::apply_attempt(const attempt_news& news)
{
    if (!active_)
    {
        if (active_epoch_ != 0)
            early_news_.push_back(news);
        return;
    }
    if (news.what == attempt_news::kind::running)
        allotments_.note_started(news.attempt, news.team, news.amount);
    else
        allotments_.note_ended(news.attempt);
    const auto found = jobs_.find(news.attempt.task.job);
    const bool known = found != jobs_.end() &&
                       news.attempt.task.index < found->second.tasks.size();
    if (!known)
    {
        handle_stale_attempt(news, false);
        return;
    }
    auto& job = found->second;
    const auto index = news.attempt.task.index;
    auto& task = job.tasks[index];
    if (!is_current_attempt(job, news))
    {
        // A later attempt must not reuse the number on the same worker.
        if (task.state == task_state::waiting)
            task.attempt = std::max(task.attempt, news.attempt.attempt);
        handle_stale_attempt(news, true);
        return;
    }
    task.attempt = news.attempt.attempt;
    task.worker = news.worker;
    task.reported = true;
    switch (news.what)
    {
    case attempt_news::kind::running:
        apply_running(job, index, news);
        break;
    case attempt_news::kind::finished:
        pending_effects_[job.spec.id].acks.push_back(
            {news.worker, news.attempt});
        apply_finished(job, index, news);
        break;
    case attempt_news::kind::refused:
    case attempt_news::kind::lost:
        task.detail = news.detail;
        task.state =
            job.cancel_requested ? task_state::cancelled : task_state::waiting;
        if (!job.cancel_requested)
        {
            enqueue(job, index);
            context_.counters.count_retry(news.what == attempt_news::kind::lost
                                              ? "attempt_lost"
                                              : "start_refused");
        }
        break;
    }
    mark_job_changed(job.spec.id);
}

void shard_scheduler::apply_running(job_record& job, std::uint32_t index,
                                    const attempt_news& news)
{
    auto& task = job.tasks[index];
    dequeue(news.attempt.task);
    if (job.cancel_requested || is_data_centre_out())
        stop_task(job, index, !job.cancel_requested && job.spec.checkpoints);
    else if (task.state != task_state::stopping)
        task.state = task_state::running;
}

void shard_scheduler::apply_finished(job_record& job, std::uint32_t index,
                                     const attempt_news& news)
{
    auto& task = job.tasks[index];
    dequeue(news.attempt.task);
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
    task.state = task_state::waiting;
    if (news.outcome == task_outcome::failed)
    {
        ++task.failures;
        if (task.failures >= max_task_failures)
        {
            task.state = task_state::failed;
            return;
        }
        count_failure(job, news.worker);
        context_.counters.count_retry("task_failed");
    }
    enqueue(job, index);
}

void shard_scheduler::count_failure(job_record& job, const std::string& worker)
{
    job.failed_workers.insert(worker);
    if (job.parked || job.failed_workers.size() < max_failed_workers)
        return;
    job.parked = true;
    job.reason = fmt::format("parked: tasks failed on {} different workers",
                             job.failed_workers.size());
    context_.log(log_code::job_parked, job.spec.id);
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
        dequeue({job.spec.id, i});
}

void shard_scheduler::mark_job_changed(const std::string& job)
{
    dirty_jobs_.insert(job);
}

// ---------------------------------------------------------------- durability

void shard_scheduler::write_jobs(time_point now)
{
    if (journal_.is_busy() || now < next_write_at_ ||
        (dirty_jobs_.empty() && inbox_only_writes_.empty()))
        return;
    next_write_at_ = now + config::job_write_period;
    std::vector<row_write> writes;
    std::size_t bytes = 0;
    while (!dirty_jobs_.empty() && writes.size() < config::job_write_batch)
    {
        const auto id = *dirty_jobs_.begin();
        const auto found = jobs_.find(id);
        if (found == jobs_.end())
        {
            dirty_jobs_.erase(dirty_jobs_.begin());
            continue;
        }
        auto text = to_json_text(found->second);
        bytes += text.size();
        if (!writes.empty() && bytes > config::max_commit_bytes)
            break;
        dirty_jobs_.erase(dirty_jobs_.begin());
        job_write write;
        write.job = id;
        write.index = writes.size();
        if (auto effects = pending_effects_.extract(id))
            write.effects = std::move(effects.mapped());
        writes.push_back({job_tables::jobs,
                          job_tables::job_key(ownership_.shard(), id),
                          found->second.row_version, std::move(text)});
        for (const auto& key : write.effects.inbox)
            writes.push_back({job_tables::inbox, key, std::nullopt, {}});
        jobs_in_commit_.push_back(std::move(write));
    }
    inbox_only_writing_ = std::exchange(inbox_only_writes_, {});
    writes.insert(writes.end(), inbox_only_writing_.begin(),
                  inbox_only_writing_.end());
    if (!writes.empty())
        journal_.commit(std::move(writes));
}

void shard_scheduler::on_commit_settled(
    time_point now, const job_journal::settlement& settlement)
{
    const auto written = std::exchange(jobs_in_commit_, {});
    const auto loose = std::exchange(inbox_only_writing_, {});
    switch (settlement.what)
    {
    case job_journal::outcome::written:
        for (const auto& write : written)
            on_job_written(write, settlement.versions);
        for (const auto& write : loose)
            deleted_inbox_rows_[write.key] = inbox_poll_number_ + 1;
        schedule(now);
        return;
    case job_journal::outcome::not_written:
        for (const auto& write : written)
        {
            auto& open = pending_effects_[write.job];
            open.inbox.insert(write.effects.inbox.begin(),
                              write.effects.inbox.end());
            open.acks.insert(open.acks.end(), write.effects.acks.begin(),
                             write.effects.acks.end());
            dirty_jobs_.insert(write.job);
            const auto found = jobs_.find(write.job);
            if (found != jobs_.end() && !write.moved_to.empty())
            {
                found->second.hold = job_hold::none;
                enqueue_all(found->second);
            }
        }
        inbox_only_writes_.insert(inbox_only_writes_.end(), loose.begin(),
                                  loose.end());
        next_write_at_ = now + config::job_write_period;
        return;
    case job_journal::outcome::contradicted:
        step_down(now, "the fence row of the shard has changed");
        return;
    }
}

void shard_scheduler::on_job_written(const job_write& write,
                                     const std::vector<std::uint64_t>& versions)
{
    const auto found = jobs_.find(write.job);
    if (found == jobs_.end())
        return;
    auto& job = found->second;
    for (const auto& ack : write.effects.acks)
        workers_.acknowledge(ack.worker, ack.attempt);
    for (const auto& key : write.effects.inbox)
        deleted_inbox_rows_[key] = inbox_poll_number_ + 1;
    if (!write.moved_to.empty())
    {
        context_.log(log_code::job_moved,
                     fmt::format("{} to {}", write.job, write.moved_to));
        dirty_jobs_.erase(write.job);
        // Inbox rows that arrived during the move stay in the inbox; a
        // cancellation among them is forwarded to the new home.
        pending_effects_.erase(write.job);
        deleted_inbox_rows_[job_tables::job_key(
            ownership_.shard(), write.job)] = inbox_poll_number_ + 1;
        allotments_.note_job_ended(write.job);
        jobs_.erase(found);
        return;
    }
    // The row version is unknown when the commit was confirmed by a read. The
    // next write is then protected by the fence row alone.
    job.row_version.reset();
    if (write.index < versions.size())
        job.row_version = versions[write.index];
    // The inbox row still existed, which proves that no earlier owner has
    // started a task of the job.
    const auto key = job_tables::job_key(ownership_.shard(), write.job);
    if (write.effects.inbox.count(key) && job.hold != job_hold::none)
    {
        job.hold = job_hold::none;
        enqueue_all(job);
    }
    if (job.is_finished() && dirty_jobs_.count(write.job) == 0)
    {
        context_.log(log_code::job_ended,
                     fmt::format("{} {}", write.job, job.state()));
        allotments_.note_job_ended(write.job);
        jobs_.erase(found);
    }
}

// ----------------------------------------------------- data centre evacuation

bool shard_scheduler::is_data_centre_out() const
{
    return config_.current().is_data_centre_out(context_.identity.data_centre);
}

void shard_scheduler::drain(time_point now)
{
    if (!is_data_centre_out())
    {
        drain_started_ = false;
        return;
    }
    for (const auto& news : workers_.withdraw_starts())
        apply_attempt(news);
    if (!drain_started_)
    {
        drain_started_ = true;
        for (auto& [id, job] : jobs_)
        {
            for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
            {
                if (job.tasks[i].state != task_state::running &&
                    job.tasks[i].state != task_state::starting)
                    continue;
                stop_task(job, i, job.spec.checkpoints);
                mark_job_changed(id);
            }
        }
    }
    move_jobs(now);
}

void shard_scheduler::move_jobs(time_point now)
{
    if (journal_.is_busy() || now < next_move_at_)
        return;
    std::vector<row_write> writes;
    std::size_t bytes = 0;
    for (auto& [id, job] : jobs_)
    {
        if (writes.size() + rows_per_move > config::job_write_batch)
            break;
        if (job.hold != job_hold::none || !job.is_idle() || job.is_finished() ||
            pending_effects_.count(id))
            continue;
        const auto target = pick_new_home(job);
        if (target.empty())
            continue;
        auto moved = job;
        moved.spec.data_centre.clear();
        moved.reason.clear();
        const auto text = to_json_text(moved);
        bytes += 2 * text.size();
        if (!writes.empty() && bytes > config::max_commit_bytes)
            break;
        job_write write;
        write.job = id;
        write.moved_to = target;
        writes.push_back({job_tables::jobs,
                          job_tables::job_key(ownership_.shard(), id),
                          job.row_version,
                          {}});
        writes.push_back(
            {job_tables::jobs, job_tables::job_key(target, id), 0, text});
        writes.push_back({job_tables::inbox, job_tables::job_key(target, id),
                          std::nullopt, text});
        // The inbox row that submitted the job may not have been polled yet. If
        // it remained, this shard would add the job again.
        writes.push_back({job_tables::inbox,
                          job_tables::job_key(ownership_.shard(), id),
                          std::nullopt,
                          {}});
        // The write needs no expected version: only the owner of the home shard
        // moves a job, and the fence row proves that this host still owns it.
        writes.push_back({job_tables::homes, id, std::nullopt,
                          json{{"shard", target}, {"write_id", ""}}.dump()});
        jobs_in_commit_.push_back(std::move(write));
        job.hold = job_hold::moving;
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
            dequeue({id, i});
    }
    if (writes.empty())
    {
        next_move_at_ = now + config::job_write_period;
        return;
    }
    journal_.commit(std::move(writes));
}

std::string shard_scheduler::pick_new_home(const job_record& job)
{
    std::vector<std::string> targets;
    for (const auto& each : map_.data_centres())
    {
        if (each == context_.identity.data_centre ||
            config_.current().is_data_centre_out(each))
            continue;
        const auto shards = map_.feasible_shards(each, job.spec);
        targets.insert(targets.end(), shards.begin(), shards.end());
    }
    if (targets.empty())
        return {};
    return targets[move_count_++ % targets.size()];
}

// --------------------------------------------------------------- planned stop

void shard_scheduler::stop(time_point now)
{
    stopping_ = true;
    flush_deadline_ = now + stop_flush_timeout;
    release_when_flushed(now);
}

void shard_scheduler::hand_over(time_point now)
{
    handing_over_ = true;
    flush_deadline_ = now + stop_flush_timeout;
    release_when_flushed(now);
}

void shard_scheduler::release_when_flushed(time_point now)
{
    if (!stopping_ && !handing_over_)
        return;
    const bool flushed = !journal_.is_busy() && dirty_jobs_.empty();
    if (flushed || now >= flush_deadline_ || !ownership_.is_owner(now))
        ownership_.release(now);
    if (handing_over_ && !stopping_ && !ownership_.is_owner(now) &&
        ownership_.is_released())
    {
        handing_over_ = false;
        ownership_.resume(now);
    }
}

} // namespace carobcourse
