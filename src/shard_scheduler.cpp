#include "shard_scheduler_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "placement_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char job_table[] = "jobs";        // <shard>/<job>
constexpr char home_table[] = "job_home";   // <job>
constexpr char inbox_table[] = "job_inbox"; // <shard>/<job> or ...!cancel
constexpr std::size_t load_batch = 500;
constexpr std::size_t inbox_batch = 200;
constexpr std::uint32_t max_task_failures = 3;
constexpr char cancel_suffix[] = "!cancel";

std::string shard_of(const std::string& data_centre)
{
    return data_centre + ".0";
}

std::string job_key(const std::string& shard, const std::string& job)
{
    return shard + "/" + job;
}

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
      ownership_(context, shard_of(context.identity.data_centre)),
      workers_(context)
{
}

// --------------------------------------------------------------------- calls

bool shard_scheduler::on_call(time_point now, const api_call& call)
{
    const std::string prefix = "/v1/jobs";
    if (call.path.compare(0, prefix.size(), prefix) != 0)
        return false;
    if (const auto usable = config_.check_usable(now); !usable)
    {
        context_.refuse(call.id, usable.error());
        return true;
    }
    const auto team = config_.current().authenticate(call.key);
    if (!team)
    {
        context_.refuse(call.id, team.error());
        return true;
    }
    if (call.path == prefix)
    {
        if (call.method == "POST")
            submit(now, call, *team);
        else
            context_.refuse(call.id, {result_code::method_not_allowed, ""});
        return true;
    }
    auto job = call.path.substr(prefix.size() + 1);
    const bool cancels = ends_with(job, "/cancel");
    if (cancels)
        job.resize(job.size() - std::string("/cancel").size());
    if (call.method == (cancels ? "POST" : "GET"))
        find_job(call, *team, job, cancels);
    else
        context_.refuse(call.id, {result_code::method_not_allowed, ""});
    return true;
}

std::string shard_scheduler::home_for(const job_spec& spec) const
{
    if (!spec.data_centre.empty())
        return shard_of(spec.data_centre);
    const auto& own = context_.identity.data_centre;
    if (!config_.current().is_data_centre_out(own))
        return shard_of(own);
    for (const auto& other : data_centres_)
    {
        if (!config_.current().is_data_centre_out(other))
            return shard_of(other);
    }
    return shard_of(own);
}

void shard_scheduler::submit(time_point, const api_call& call,
                             const std::string& team)
{
    auto spec = parse_job_spec(call.body, team);
    if (!spec)
    {
        context_.refuse(call.id, spec.error());
        return;
    }
    if (!config_.current().find_team(team))
    {
        context_.refuse(call.id, {result_code::not_found, "team " + team});
        return;
    }
    if (!spec->data_centre.empty() && !data_centres_.empty() &&
        data_centres_.count(spec->data_centre) == 0)
    {
        context_.refuse(call.id, {result_code::not_found,
                                  "data centre " + spec->data_centre});
        return;
    }
    if (spec->id.empty())
        spec->id = "j-" + context_.entropy.hex(8);
    job_record job;
    job.spec = *spec;
    job.tasks.resize(spec->tasks);
    pending_call pending;
    pending.call = call.id;
    pending.job = spec->id;
    pending.team = team;
    pending.shard = home_for(*spec);
    pending.write_id = context_.entropy.hex(16);
    const auto text = to_json_text(job);
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    commit.writes = {
        {home_table, spec->id, 0,
         json{{"shard", pending.shard}, {"write_id", pending.write_id}}.dump()},
        {job_table, job_key(pending.shard, spec->id), 0, text},
        {inbox_table, job_key(pending.shard, spec->id), std::nullopt, text}};
    calls_.emplace(commit.op, std::move(pending));
    context_.out.emplace_back(std::move(commit));
}

void shard_scheduler::on_submitted(pending_call pending,
                                   const store_result& result)
{
    switch (result.status)
    {
    case store_status::ok:
        context_.log(log_code::job_accepted, pending.job);
        context_.reply(pending.call, 202,
                       json{{"job", pending.job},
                            {"home", pending.shard},
                            {"state", "accepted"}}
                           .dump());
        if (pending.shard == ownership_.shard())
            next_inbox_ = time_point{};
        return;
    case store_status::conflict:
        context_.refuse(pending.call, {result_code::job_exists, pending.job});
        return;
    case store_status::not_sent:
    case store_status::unavailable:
        context_.refuse(pending.call, {result_code::store_unavailable, ""});
        return;
    case store_status::unknown:
    {
        pending.at = pending_call::step::submit_read_back;
        const auto op = context_.next_op(component::jobs);
        context_.out.emplace_back(store_read{op, home_table, pending.job});
        calls_.emplace(op, std::move(pending));
        return;
    }
    }
}

void shard_scheduler::on_submit_read_back(const pending_call& pending,
                                          const store_result& result)
{
    if (result.status == store_status::ok && !result.rows.empty())
    {
        const auto home =
            json::parse(result.rows.front().value, nullptr, false);
        store_result settled;
        settled.status =
            home.is_object() && home.value("write_id", "") == pending.write_id
                ? store_status::ok
                : store_status::conflict;
        on_submitted(pending, settled);
        return;
    }
    // An absent row may still be written by a commit that is on its way.
    context_.refuse(pending.call,
                    {result_code::store_write_unknown, "job " + pending.job});
}

void shard_scheduler::find_job(const api_call& call, const std::string& team,
                               const std::string& job, bool cancels)
{
    const auto found = jobs_.find(job);
    if (active_ && found != jobs_.end())
    {
        if (found->second.spec.team != team)
        {
            context_.refuse(call.id, {result_code::not_found, "job " + job});
            return;
        }
        if (!cancels)
        {
            context_.reply(call.id, 200,
                           status_json(found->second, ownership_.shard()));
            return;
        }
    }
    pending_call pending;
    pending.at = pending_call::step::find_home;
    pending.call = call.id;
    pending.job = job;
    pending.team = team;
    pending.cancels = cancels;
    const auto op = context_.next_op(component::jobs);
    context_.out.emplace_back(store_read{op, home_table, job});
    calls_.emplace(op, std::move(pending));
}

void shard_scheduler::on_home(pending_call pending, const store_result& result)
{
    if (result.status != store_status::ok)
    {
        context_.refuse(pending.call, {result_code::store_unavailable, ""});
        return;
    }
    const auto home =
        result.rows.empty()
            ? json()
            : json::parse(result.rows.front().value, nullptr, false);
    if (!home.is_object() || !home.contains("shard"))
    {
        context_.refuse(pending.call,
                        {result_code::not_found, "job " + pending.job});
        return;
    }
    pending.shard = home["shard"].get<std::string>();
    pending.at = pending_call::step::read_job;
    const auto op = context_.next_op(component::jobs);
    context_.out.emplace_back(
        store_read{op, job_table, job_key(pending.shard, pending.job)});
    calls_.emplace(op, std::move(pending));
}

void shard_scheduler::on_job_row(const pending_call& pending,
                                 const store_result& result)
{
    if (result.status != store_status::ok)
    {
        context_.refuse(pending.call, {result_code::store_unavailable, ""});
        return;
    }
    const auto job =
        result.rows.empty()
            ? tl::make_unexpected(error{result_code::not_found, ""})
            : job_record_from_json(result.rows.front().value);
    if (!job || job->spec.team != pending.team)
    {
        context_.refuse(pending.call,
                        {result_code::not_found, "job " + pending.job});
        return;
    }
    if (!pending.cancels)
    {
        context_.reply(pending.call, 200, status_json(*job, pending.shard));
        return;
    }
    if (job->is_finished())
    {
        context_.refuse(pending.call,
                        {result_code::job_finished, job->state()});
        return;
    }
    auto next = pending;
    next.at = pending_call::step::cancel;
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    commit.writes = {{inbox_table,
                      job_key(pending.shard, pending.job + cancel_suffix),
                      std::nullopt, json{{"cancel", pending.job}}.dump()}};
    calls_.emplace(commit.op, std::move(next));
    context_.out.emplace_back(std::move(commit));
}

void shard_scheduler::on_cancel_written(const pending_call& pending,
                                        const store_result& result)
{
    if (result.status == store_status::ok)
    {
        context_.reply(
            pending.call, 202,
            json{{"job", pending.job}, {"state", "cancelling"}}.dump());
        if (pending.shard == ownership_.shard())
            next_inbox_ = time_point{};
        return;
    }
    const bool unknown = result.status == store_status::unknown;
    context_.refuse(pending.call, {unknown ? result_code::store_write_unknown
                                           : result_code::store_unavailable,
                                   "cancel is idempotent; send it again"});
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
        apply(news);
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
    context_.out.emplace_back(store_scan{
        *load_op_, job_table, ownership_.shard() + "/", after, load_batch});
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
    context_.out.emplace_back(store_scan{
        *inbox_op_, inbox_table, ownership_.shard() + "/", "", inbox_batch});
}

void shard_scheduler::on_inbox(time_point now, const store_result& result)
{
    if (!active_ || result.status != store_status::ok || result.rows.empty())
        return;
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    for (const auto& row : result.rows)
    {
        commit.writes.push_back({inbox_table, row.key, row.version, {}});
        if (!ends_with(row.key, cancel_suffix))
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
    job.reason.clear();
    context_.counters.count("carobcourse_task_starts_total");
    context_.counters.observe("carobcourse_task_wait_seconds",
                              now - job.accepted_at);
    workers_.start(*worker, std::move(start));
    task_changed(job.spec.id);
    return true;
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
        apply(news);
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
        commit.writes.push_back({job_table, job_key(ownership_.shard(), id),
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
