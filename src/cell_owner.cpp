#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_codec_p.hpp"
#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr double millis_per_core = 1000;

constexpr auto count_period = std::chrono::milliseconds(200);
constexpr auto cleanup_period = std::chrono::seconds(5);
/// Ended jobs that one cleanup removes.
constexpr std::size_t cleanup_rows = 300;

} // namespace

cell_owner::cell_owner(cell_context& context, owner_links& links, owner_row row,
                       std::uint64_t version, time_point claim_sent,
                       time_point now)
    : context_(context), links_(links),
      journal_(std::move(row), version, claim_sent), claimed_at_(now)
{
    for (int i = 0; i < static_cast<int>(load_part::count); ++i)
        scan(static_cast<load_part>(i), "");
}

bool cell_owner::on_store(time_point now, const store_result& result)
{
    if (journal_.is_in_flight(result.op))
    {
        if (journal_.on_result(now, result) ==
            cell_journal::outcome::ownership_lost)
            deposed_ = true;
        dispatch_due_ = true;
        return true;
    }
    const auto load = loads_.find(result.op);
    if (load == loads_.end())
        return false;
    const auto part = load->second;
    loads_.erase(load);
    on_loaded(now, part, result);
    return true;
}

cell_job* cell_owner::find_job(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

// ------------------------------------------------------------------- callers

void cell_owner::on_front_call(time_point now, const std::string& host,
                               const json& item)
{
    if (!loaded_)
    {
        held_back_.emplace_back(host, item);
        return;
    }
    const reply_address from{host, item.value("c", std::uint64_t{0})};
    const auto kind = item.value("k", std::string());
    const auto id = item.value("id", std::string());
    if (kind == "submit")
        submit(now, from, item);
    else if (kind == "cancel")
        cancel(now, from, id);
    else
        show(from, id);
}

void cell_owner::reply(const reply_address& to, result_code code,
                       std::optional<job_phase> phase,
                       std::int64_t retry_after_ms)
{
    json item{
        {"k", "answer"}, {"c", to.call}, {"code", static_cast<unsigned>(code)}};
    if (phase)
        item["p"] = to_string(*phase);
    if (retry_after_ms > 0)
        item["retry"] = retry_after_ms;
    links_.answer(to.host, std::move(item));
}

void cell_owner::refuse(time_point now, const reply_address& to,
                        const std::string& job, result_code code,
                        std::int64_t retry_after_ms)
{
    refused_[to] = {job, code, now + config::cell_refusal_memory};
    reply(to, code, {}, retry_after_ms);
}

void cell_owner::submit(time_point now, const reply_address& from,
                        const json& item)
{
    const auto id = item.value("id", std::string());
    const auto refused = refused_.find(from);
    if (refused != refused_.end() && refused->second.job == id)
    {
        reply(from, refused->second.code, {}, config::cell_retry_after.count());
        return;
    }
    if (ended_.count(id))
    {
        reply(from, result_code::ok);
        return;
    }
    if (const auto* known = find_job(id))
    {
        if (known->durable)
            reply(from, result_code::ok);
        else
            submitters_[id].push_back(from);
        return;
    }
    const auto customer = item.value("cu", std::string());
    const auto queue_name = item.value("q", std::string());
    const auto* queue =
        context_.config ? context_.config->queue_named(queue_name) : nullptr;
    if (!queue)
    {
        refuse(now, from, id, result_code::no_configuration,
               config::cell_retry_after.count());
        return;
    }
    std::unique_ptr<cell_job> job;
    try
    {
        job = std::make_unique<cell_job>(id, customer, queue_name,
                                         work_from_json(item.at("w")),
                                         context_.unix_ms, row().epoch);
    }
    catch (const json::exception&)
    {
        reply(from, result_code::bad_request);
        return;
    }
    const auto* owner = context_.config->customer_named(customer);
    job->excess = owner && !rates_.take(now, customer, owner->weight);
    set_objective(now, *job);
    admission_input input;
    input.now = now;
    input.objective = job->objective;
    input.late_end = job->late_end;
    input.chain_ms = job->chain_ms();
    input.excess = job->excess;
    input.store_failing = store_failing_;
    input.jobs = jobs_.size();
    input.wait_ms =
        expected_wait_ms(backlogs_before(now, *job), customer, usable_cores());
    const auto admitted = admit(input);
    if (admitted.code != result_code::ok)
    {
        context_.counters.count_refusal(admitted.code);
        context_.log(
            log_code::cell_job_refused,
            fmt::format("job={} queue={} customer={} code={} excess={} "
                        "jobs={} wait_ms={:.0f} chain_ms={}",
                        id, queue_name, customer, to_string(admitted.code),
                        input.excess, input.jobs, input.wait_ms,
                        input.chain_ms));
        refuse(now, from, id, admitted.code, admitted.retry_after_ms);
        return;
    }
    job->add_due(context_.unix_ms);
    auto text = job->spec_text();
    jobs_.emplace(id, std::move(job));
    submitters_[id].push_back(from);
    journal_.write(cell_table::job, id, std::move(text),
                   [this, id] { accept(id); });
    dispatch_due_ = true;
}

std::vector<cell_owner::reply_address>
cell_owner::take_submitters(const std::string& id)
{
    auto waiting = submitters_.extract(id);
    return waiting.empty() ? std::vector<reply_address>()
                           : std::move(waiting.mapped());
}

void cell_owner::accept(const std::string& id)
{
    auto* job = find_job(id);
    if (!job)
        return;
    job->durable = true;
    context_.counters.count("carobcourse_jobs_accepted_total", job->queue());
    context_.log(log_code::job_accepted,
                 fmt::format("job={} queue={} customer={} excess={} epoch={}",
                             id, job->queue(), job->customer(), job->excess,
                             row().epoch));
    for (const auto& each : take_submitters(id))
        reply(each, result_code::ok);
    dispatch_due_ = true;
}

/// Jobs whose write was not sent to the store yet never run: their callers
/// may come back.
void cell_owner::refuse_queued(time_point now)
{
    for (auto at = jobs_.begin(); at != jobs_.end();)
    {
        const auto& id = at->first;
        if (at->second->durable || !journal_.is_queued(cell_table::job, id))
        {
            ++at;
            continue;
        }
        journal_.cancel_queued(cell_table::job, id);
        for (const auto& each : take_submitters(id))
            refuse(now, each, id, result_code::store_unavailable,
                   config::cell_retry_after.count());
        context_.counters.count_refusal(result_code::store_unavailable);
        context_.log(log_code::cell_job_refused,
                     fmt::format("job={} code={} reason=commit_not_sent", id,
                                 to_string(result_code::store_unavailable)));
        at = jobs_.erase(at);
    }
}

void cell_owner::cancel(time_point now, const reply_address& from,
                        const std::string& id)
{
    auto* job = find_job(id);
    if (!job)
    {
        reply(from,
              ended_.count(id) ? result_code::ok : result_code::job_unknown);
        return;
    }
    if (!is_final(job->phase()))
    {
        job->cancel();
        finalize(now, *job);
    }
    journal_.when_durable([this, from] { reply(from, result_code::ok); });
}

void cell_owner::show(const reply_address& from, const std::string& id)
{
    const auto ended = ended_.find(id);
    if (ended != ended_.end())
    {
        reply(from, result_code::ok, ended->second.phase);
        return;
    }
    const auto* job = find_job(id);
    if (!job)
    {
        reply(from, result_code::job_unknown);
        return;
    }
    // A final phase is shown once it is durable.
    const auto phase = job->phase();
    reply(from, result_code::ok, is_final(phase) ? job_phase::running : phase);
}

std::vector<customer_backlog>
cell_owner::backlogs_before(time_point now, const cell_job& job) const
{
    std::map<std::string, double> work;
    for (const auto& [id, other] : jobs_)
    {
        // A job that has missed its objective waits behind those that can
        // still meet theirs.
        const bool goes_first = other->objective <= job.objective &&
                                now <= other->objective &&
                                (!other->excess || job.excess);
        if (!is_final(other->phase()) && goes_first)
            work[other->customer()] += other->work_left();
    }
    std::vector<customer_backlog> result;
    for (const auto& [customer, core_ms] : work)
    {
        const auto* config = context_.config->customer_named(customer);
        const auto cap = config ? config->cap.cpu_millis : 0;
        result.push_back(
            {customer, core_ms, static_cast<double>(cap) / millis_per_core});
    }
    return result;
}

double cell_owner::usable_cores() const
{
    std::int64_t millis = 0;
    for (const auto& [id, worker] : workers_.all())
    {
        const auto& report = worker.report();
        if (worker.held && worker.reachable && !report.draining &&
            context_.data_centres_out.count(report.data_centre) == 0)
            millis += report.capacity.cpu_millis;
    }
    return static_cast<double>(millis) / millis_per_core;
}

// ---------------------------------------------------------------- durability

void cell_owner::finalize(time_point now, cell_job& job)
{
    const auto& id = job.id();
    const auto phase = job.phase();
    dirty_.erase(id);
    journal_.write(
        cell_table::ended, id,
        json{{"p", to_string(phase)}, {"t", context_.unix_ms}}.dump(),
        [this, now, id, phase] { on_final(now, id, phase); });
}

/// Of a job whose final state is durable. Not together with that: a removal
/// takes the place of an earlier write of its row, which may go into an earlier
/// commit.
void cell_owner::discard_rows(const std::string& id)
{
    journal_.remove_lazily(cell_table::job, id);
    journal_.remove_lazily(cell_table::progress, id);
}

void cell_owner::on_final(time_point now, const std::string& id,
                          job_phase phase)
{
    ended_[id] = {phase, context_.unix_ms};
    discard_rows(id);
    const auto found = jobs_.find(id);
    if (found != jobs_.end())
    {
        context_.counters.count("carobcourse_jobs_ended_total",
                                to_string(phase));
        context_.log(
            log_code::job_ended,
            fmt::format("job={} queue={} customer={} phase={} "
                        "age_ms={} epoch={}",
                        id, found->second->queue(), found->second->customer(),
                        to_string(phase),
                        context_.unix_ms - found->second->accepted_unix_ms(),
                        row().epoch));
        jobs_.erase(found);
    }
    for (const auto& each : take_submitters(id))
        reply(each, result_code::ok);
    stop_job_runs(now, id);
    dispatch_due_ = true;
}

void cell_owner::write_dirty(time_point now)
{
    const auto dirty = std::exchange(dirty_, {});
    for (const auto& id : dirty)
    {
        auto* job = find_job(id);
        if (!job)
            continue;
        if (is_final(job->phase()))
            finalize(now, *job);
        else
            journal_.write(cell_table::progress, id, job->progress_text());
    }
    const auto due = std::exchange(acks_due_, {});
    for (const auto& id : due)
    {
        const auto* worker = workers_.find(id);
        if (!worker)
            continue;
        journal_.when_durable(
            [this, id, seen = worker->ends_seen, born = worker->born_ms]
            {
                auto* at = workers_.find(id);
                if (!at || at->born_ms != born)
                    return;
                at->ends_durable = std::max(at->ends_durable, seen);
                at->next_hold = {};
                attention_.insert(id);
            });
    }
}

void cell_owner::count_waiting()
{
    waiting_.clear();
    counted_ = true;
    for (const auto& [id, job] : jobs_)
    {
        if (job->durable && !job->has_started() && !is_final(job->phase()))
            ++waiting_[job->queue()];
    }
}

// -------------------------------------------------------------------- rounds

void cell_owner::tick(time_point now)
{
    if (!loaded_)
        return;
    for (auto& [id, job] : jobs_)
    {
        const auto due = job->next_due_ms();
        if (due && *due <= context_.unix_ms && !is_final(job->phase()))
        {
            job->add_due(context_.unix_ms);
            dispatch_due_ = true;
        }
    }
    give_up_calls(now, [now](const pending_call& call)
                  { return now >= call.deadline; });
    if (now >= next_count_)
    {
        next_count_ = now + count_period;
        count_waiting();
        dispatch_due_ = true;
    }
    if (now >= next_cleanup_)
    {
        next_cleanup_ = now + cleanup_period;
        for (auto at = refused_.begin(); at != refused_.end();)
            at = now >= at->second.forget_at ? refused_.erase(at)
                                             : std::next(at);
        const auto memory =
            std::chrono::milliseconds(config::cell_ended_memory).count();
        std::size_t removed = 0;
        for (auto at = ended_.begin();
             at != ended_.end() && removed < cleanup_rows;)
        {
            if (context_.unix_ms - at->second.unix_ms <= memory)
            {
                ++at;
                continue;
            }
            journal_.remove_lazily(cell_table::ended, at->first);
            at = ended_.erase(at);
            ++removed;
        }
    }
}

/// Learns whether the store takes commits; refuses what waits for one in vain.
void cell_owner::follow_store(time_point now)
{
    const bool failing = journal_.is_store_failing(now);
    if (failing == store_failing_)
        return;
    store_failing_ = failing;
    context_.log(failing ? log_code::store_down : log_code::store_up,
                 "commits of the owner");
    if (failing)
        refuse_queued(now);
}

void cell_owner::finish_batch(time_point now)
{
    if (deposed_ || journal_.is_released())
        return;
    follow_store(now);
    if (loaded_)
    {
        watch_workers(now);
        resolve_unclear(now);
        if (dispatch_due_ && context_.config && now >= next_dispatch_)
        {
            dispatch_due_ = false;
            dispatch(now);
        }
        write_dirty(now);
        hold_due(now);
    }
    if (auto commit = journal_.next_commit(now, context_.next_op()))
        context_.out.emplace_back(std::move(*commit));
}

void cell_owner::set_agents(time_point now, std::vector<cell_agent> agents)
{
    if (agents == agents_)
        return;
    agents_ = std::move(agents);
    std::set<std::string> hosts;
    std::vector<std::string> lanes;
    for (const auto& agent : agents_)
    {
        hosts.insert(agent.host);
        if (!agent.leaving)
            lanes.push_back(agent.host);
    }
    lanes_.set_hosts(std::move(lanes));
    give_up_calls(now, [&hosts](const pending_call& call)
                  { return hosts.count(call.agent) == 0; });
}

} // namespace carobcourse
