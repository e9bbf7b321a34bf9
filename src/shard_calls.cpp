// API calls on jobs: submit, query and cancel.
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "job_tables_p.hpp"
#include "shard_set_p.hpp"
#include "text_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Sort key of free capacity: accelerators are the scarcest, then processors.
auto to_capacity_order(const resources& free)
{
    return std::make_tuple(free.accelerators, free.cpu_millis, free.memory_mb);
}

} // namespace

bool shard_set::on_call(time_point now, const api_call& call)
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
    const bool is_cancellation = ends_with(job, "/cancel");
    if (is_cancellation)
        job.resize(job.size() - std::string("/cancel").size());
    if (call.method == (is_cancellation ? "POST" : "GET"))
        find_job(call, *team, job, is_cancellation);
    else
        context_.refuse(call.id, {result_code::method_not_allowed, ""});
    return true;
}

std::string shard_set::pick_shard(time_point now,
                                  const std::string& data_centre,
                                  const job_spec& spec)
{
    const auto feasible = map_.feasible_shards(data_centre, spec);
    if (feasible.empty())
        return {};
    // Prefer a shard of this host with free capacity: it adds the job without
    // waiting for another host to poll its inbox.
    std::string best;
    resources best_capacity;
    for (const auto& shard : shards_)
    {
        if (std::find(feasible.begin(), feasible.end(), shard->shard()) ==
            feasible.end())
            continue;
        const auto room = shard->free_capacity_for(now, spec.amount);
        if (!room || (!best.empty() && to_capacity_order(*room) <=
                                           to_capacity_order(best_capacity)))
            continue;
        best = shard->shard();
        best_capacity = *room;
    }
    return best.empty() ? feasible[home_assignments_++ % feasible.size()]
                        : best;
}

std::string shard_set::pick_home(time_point now, const job_spec& spec)
{
    const auto& own = context_.identity.data_centre;
    if (map_.data_centres().empty())
        return job_tables::shard_name(
            spec.data_centre.empty() ? own : spec.data_centre, 0);
    // A job that names a data centre is placed in no other one. Any other job
    // goes to the data centre of this host if possible. A data centre that is
    // taken out is used only if there is no alternative.
    auto candidates = std::vector<std::string>{spec.data_centre};
    if (spec.data_centre.empty())
    {
        candidates = {own};
        candidates.insert(candidates.end(), map_.data_centres().begin(),
                          map_.data_centres().end());
    }
    std::string best;
    for (const auto& each : candidates)
    {
        auto shard = pick_shard(now, each, spec);
        if (shard.empty())
            continue;
        if (!config_.current().is_data_centre_out(each))
            return shard;
        if (best.empty())
            best = shard;
    }
    return best;
}

void shard_set::submit(time_point now, const api_call& call,
                       const std::string& team)
{
    // The name of the home shard depends on the number of shards and, if there
    // are several, on the workers in each of them.
    if (agreement_.current() != shard_agreement::state::agreed ||
        (map_.shard_count() > 1 && !map_.is_known()))
    {
        context_.refuse(call.id, {result_code::shards_unconfirmed, ""});
        return;
    }
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
    if (!spec->data_centre.empty() && !map_.data_centres().empty() &&
        map_.data_centres().count(spec->data_centre) == 0)
    {
        context_.refuse(call.id, {result_code::not_found,
                                  "data centre " + spec->data_centre});
        return;
    }
    pending_call pending;
    pending.shard = pick_home(now, *spec);
    if (!map_.data_centres().empty() && pending.shard.empty())
    {
        context_.refuse(call.id, {result_code::job_unrunnable,
                                  spec->data_centre.empty()
                                      ? std::string("no data centre")
                                      : "data centre " + spec->data_centre});
        return;
    }
    if (spec->id.empty())
        spec->id = "j-" + context_.entropy.hex(8);
    job_record job;
    job.spec = *spec;
    job.tasks.resize(spec->tasks);
    pending.call = call.id;
    pending.job = spec->id;
    pending.team = team;
    pending.write_id = context_.entropy.hex(16);
    const auto text = to_json_text(job);
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    commit.writes = {
        {job_tables::homes, spec->id, 0,
         json{{"shard", pending.shard}, {"write_id", pending.write_id}}.dump()},
        {job_tables::jobs, job_tables::job_key(pending.shard, spec->id), 0,
         text},
        {job_tables::inbox, job_tables::job_key(pending.shard, spec->id),
         std::nullopt, text}};
    pending_calls_.emplace(commit.op, std::move(pending));
    context_.out.emplace_back(std::move(commit));
}

void shard_set::on_submitted(pending_call pending, const store_result& result)
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
        request_inbox_poll(pending.shard);
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
        pending.current_step = pending_call::step::submit_read_back;
        const auto op = context_.next_op(component::jobs);
        context_.out.emplace_back(
            store_read{op, job_tables::homes, pending.job});
        pending_calls_.emplace(op, std::move(pending));
        return;
    }
    }
}

void shard_set::on_submit_read_back(const pending_call& pending,
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
    // The commit may still be in transit and write the absent row later.
    context_.refuse(pending.call,
                    {result_code::store_write_unknown, "job " + pending.job});
}

void shard_set::find_job(const api_call& call, const std::string& team,
                         const std::string& job, bool is_cancellation)
{
    for (const auto& shard : shards_)
    {
        const auto* found = shard->find(job);
        if (!found)
            continue;
        if (found->spec.team != team)
        {
            context_.refuse(call.id, {result_code::not_found, "job " + job});
            return;
        }
        if (is_cancellation)
            break;
        context_.reply(call.id, 200, status_json(*found, shard->shard()));
        return;
    }
    pending_call pending;
    pending.current_step = pending_call::step::find_home;
    pending.call = call.id;
    pending.job = job;
    pending.team = team;
    pending.is_cancellation = is_cancellation;
    const auto op = context_.next_op(component::jobs);
    context_.out.emplace_back(store_read{op, job_tables::homes, job});
    pending_calls_.emplace(op, std::move(pending));
}

void shard_set::on_home_read(pending_call pending, const store_result& result)
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
    pending.current_step = pending_call::step::read_job;
    const auto op = context_.next_op(component::jobs);
    context_.out.emplace_back(store_read{
        op, job_tables::jobs, job_tables::job_key(pending.shard, pending.job)});
    pending_calls_.emplace(op, std::move(pending));
}

void shard_set::on_job_read(const pending_call& pending,
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
    if (!pending.is_cancellation)
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
    next.current_step = pending_call::step::cancel;
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    commit.writes = {
        {job_tables::inbox,
         job_tables::job_key(pending.shard,
                             pending.job + job_tables::cancel_suffix),
         std::nullopt, json{{"cancel", pending.job}}.dump()}};
    pending_calls_.emplace(commit.op, std::move(next));
    context_.out.emplace_back(std::move(commit));
}

void shard_set::on_cancel_written(const pending_call& pending,
                                  const store_result& result)
{
    if (result.status == store_status::ok)
    {
        context_.reply(
            pending.call, 202,
            json{{"job", pending.job}, {"state", "cancelling"}}.dump());
        request_inbox_poll(pending.shard);
        return;
    }
    const bool unknown = result.status == store_status::unknown;
    context_.refuse(pending.call,
                    {unknown ? result_code::store_write_unknown
                             : result_code::store_unavailable,
                     "the cancellation is idempotent; send it again"});
}

} // namespace carobcourse
