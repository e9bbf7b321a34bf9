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
using std::chrono::milliseconds;

constexpr double millis_per_core = 1000;

/// A round of dispatch follows at this interval even without news.
constexpr auto regular_dispatch_interval = std::chrono::milliseconds(200);
/// A submission does not pass over all workers when another one just did.
constexpr auto usable_cores_validity = std::chrono::milliseconds(50);
constexpr auto cleanup_interval = std::chrono::seconds(5);
constexpr auto load_report_interval = std::chrono::seconds(1);
/// The owner reports its load when a batch of events takes this long, which
/// delays its heartbeats.
constexpr auto min_reported_batch = std::chrono::milliseconds(200);
/// The owner reports its load when an entry of the log waits this long: callers
/// of urgent work notice it.
constexpr auto min_reported_entry_age = std::chrono::milliseconds(250);
/// Limits the ended jobs that one cleanup forgets.
constexpr std::size_t max_jobs_per_cleanup = 300;

/// Estimated memory of a call without the description of a job.
constexpr std::size_t item_overhead_bytes = 512;

/// Size of the description of a job in a call; 0 when it has none.
std::size_t description_bytes(const json& item)
{
    const auto work = item.find("w");
    return work != item.end() && work->is_string()
               ? work->get_ref<const std::string&>().size()
               : 0;
}

/// Reads the description of a job, which entry hosts send as text. Throws
/// json::exception.
job_spec read_work(const json& work)
{
    return work_from_json(work.is_string()
                              ? json::parse(work.get_ref<const std::string&>())
                              : work);
}

} // namespace

cell_owner::cell_owner(cell_context& context, owner_transport& transport,
                       owner_row row, std::uint64_t version,
                       time_point claim_sent, time_point now)
    : context_(context), transport_(transport),
      journal_(std::move(row), version, claim_sent), claimed_at_(now)
{
    for (int i = 0; i < static_cast<int>(state_table::count); ++i)
        request_page({static_cast<state_table>(i), ""});
}

bool cell_owner::on_store(time_point now, const store_result& result)
{
    if (journal_.is_in_flight(result.op))
    {
        if (journal_.on_result(now, result) ==
            cell_journal::outcome::ownership_lost)
            lost_ownership_ = true;
        else
            send_confirmed_replies();
        dispatch_due_ = true;
        return true;
    }
    const auto found = pending_pages_.find(result.op);
    if (found == pending_pages_.end())
        return false;
    const auto page = std::move(found->second);
    pending_pages_.erase(found);
    on_page(now, page, result);
    return true;
}

cell_job* cell_owner::find_job(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

const queue_config* cell_owner::find_queue(const cell_job& job) const
{
    return context_.config ? context_.config->find_queue_by_name(job.queue())
                           : nullptr;
}

// ------------------------------------------------------------------- callers

void cell_owner::on_caller_request(time_point now, const std::string& host,
                                   const json& item)
{
    if (!loaded_)
    {
        const auto bytes = item_overhead_bytes + description_bytes(item);
        if (deferred_bytes_ + bytes > config::cell_max_deferred_bytes)
        {
            context_.counters.count("carobcourse_deferred_calls_dropped_total");
            return;
        }
        deferred_bytes_ += bytes;
        deferred_requests_.emplace_back(host, item);
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
        reply_phase(now, from, id);
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
    transport_.send_answer(to.host, std::move(item));
}

void cell_owner::refuse(time_point now, const reply_address& to,
                        const std::string& job, result_code code,
                        std::int64_t retry_after_ms)
{
    refused_submissions_[to] = {job, code,
                                now + config::cell_refusal_retention};
    reply(to, code, {}, retry_after_ms);
}

void cell_owner::submit(time_point now, const reply_address& from,
                        const json& item)
{
    const auto id = item.value("id", std::string());
    const auto refused = refused_submissions_.find(from);
    if (refused != refused_submissions_.end() && refused->second.job == id)
    {
        reply(from, refused->second.code, {}, config::cell_retry_after.count());
        return;
    }
    if (ended_jobs_.count(id))
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
    const auto* queue = context_.config
                            ? context_.config->find_queue_by_name(queue_name)
                            : nullptr;
    if (!queue)
    {
        refuse(now, from, id, result_code::no_configuration,
               config::cell_retry_after.count());
        return;
    }
    const auto* customer_settings =
        context_.config->find_customer_by_name(customer);
    const bool excess = customer_settings &&
                        !rate_limiter_.try_take(
                            now, customer, customer_settings->jobs_per_second);
    const auto unread = admit_unread(excess, lag_, context_.random());
    if (unread.code != result_code::ok)
    {
        context_.counters.count_refusal(unread.code);
        context_.counters.count("carobcourse_excess_jobs_refused_unread_total");
        refuse(now, from, id, unread.code, unread.retry_after_ms);
        return;
    }
    std::unique_ptr<cell_job> job;
    try
    {
        job = std::make_unique<cell_job>(id, customer, queue_name,
                                         read_work(item.at("w")),
                                         context_.wall_clock_ms, row().epoch);
    }
    catch (const json::exception&)
    {
        reply(from, result_code::bad_request);
        return;
    }
    job->excess = excess;
    set_objective(now, *job);
    admission_input input;
    input.now = now;
    input.objective = job->objective;
    input.hard_deadline = job->hard_deadline;
    input.critical_path_ms = job->critical_path_ms();
    input.excess = job->excess;
    input.store_failing = store_failing_;
    input.lag = lag_;
    input.jobs = jobs_.size();
    const auto bytes = estimate_job_bytes(job->spec());
    input.has_memory =
        job_memory_.has_room(customer, bytes, ended_jobs_.size());
    input.wait_ms = expected_wait_ms(backlogs_before(now, *job), customer,
                                     usable_cores(now));
    const auto admitted = admit(input);
    if (admitted.code != result_code::ok)
    {
        context_.counters.count_refusal(admitted.code);
        if (!input.has_memory && !input.store_failing)
        {
            context_.counters.count(
                "carobcourse_jobs_refused_for_memory_total");
            context_.log_limited(
                now, log_code::cell_job_memory_full,
                fmt::format("job={} queue={} customer={} bytes={} total={} "
                            "ended={}",
                            id, queue_name, customer, bytes,
                            job_memory_.total(), ended_jobs_.size()));
        }
        else
            context_.log(
                log_code::cell_job_refused,
                fmt::format("job={} queue={} customer={} code={} excess={} "
                            "jobs={} wait_ms={:.0f} chain_ms={} lag_ms={}",
                            id, queue_name, customer, to_string(admitted.code),
                            input.excess, input.jobs, input.wait_ms,
                            input.critical_path_ms, lag_ / milliseconds(1)));
        refuse(now, from, id, admitted.code, admitted.retry_after_ms);
        return;
    }
    job->memory = {job_memory_, customer, bytes};
    job->add_due_occurrences(context_.wall_clock_ms);
    auto text = job->spec_text();
    jobs_.emplace(id, std::move(job));
    submitters_[id].push_back(from);
    journal_.append(now, {log_entry_kind::job, id, std::move(text)},
                    [this, id] { on_submission_durable(id); });
    dispatch_due_ = true;
}

std::vector<cell_owner::reply_address>
cell_owner::take_submitters(const std::string& id)
{
    auto submitters = submitters_.extract(id);
    return submitters.empty() ? std::vector<reply_address>()
                              : std::move(submitters.mapped());
}

void cell_owner::on_submission_durable(const std::string& id)
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

/// Refuses the jobs whose write has not been sent to the store. They never run,
/// so their callers may safely submit them again.
void cell_owner::refuse_unsent_jobs(time_point now)
{
    for (auto it = jobs_.begin(); it != jobs_.end();)
    {
        const auto& id = it->first;
        if (it->second->durable || !journal_.is_queued(log_entry_kind::job, id))
        {
            ++it;
            continue;
        }
        journal_.cancel_queued(log_entry_kind::job, id);
        for (const auto& each : take_submitters(id))
            refuse(now, each, id, result_code::store_unavailable,
                   config::cell_retry_after.count());
        context_.counters.count_refusal(result_code::store_unavailable);
        context_.log(log_code::cell_job_refused,
                     fmt::format("job={} code={} reason=commit_not_sent", id,
                                 to_string(result_code::store_unavailable)));
        it = jobs_.erase(it);
    }
}

void cell_owner::cancel(time_point now, const reply_address& from,
                        const std::string& id)
{
    if (ended_jobs_.count(id))
    {
        reply(from, result_code::ok);
        return;
    }
    auto* job = find_job(id);
    if (!job)
    {
        deny_job(now, from);
        return;
    }
    if (!is_final(job->phase()))
    {
        job->cancel();
        write_final_phase(now, *job);
    }
    journal_.when_durable([this, from] { reply(from, result_code::ok); });
}

/// A host that was paused may have been replaced, and its successor may have
/// accepted the job. No other host claims the cell within `cell_owner_timeout`
/// of a commit, so a confirmed commit that was sent less than that ago, or
/// after the call, rules this out.
void cell_owner::deny_job(time_point now, const reply_address& from)
{
    if (has_owned_at(now - config::cell_owner_timeout))
        reply(from, result_code::job_unknown);
    else
        unconfirmed_denials_.emplace(from, now);
}

void cell_owner::send_confirmed_replies()
{
    for (auto it = unconfirmed_denials_.begin();
         it != unconfirmed_denials_.end();)
    {
        if (!has_owned_at(it->second))
        {
            ++it;
            continue;
        }
        reply(it->first, result_code::job_unknown);
        it = unconfirmed_denials_.erase(it);
    }
}

void cell_owner::reply_phase(time_point now, const reply_address& from,
                             const std::string& id)
{
    const auto ended = ended_jobs_.find(id);
    if (ended != ended_jobs_.end())
    {
        reply(from, result_code::ok, ended->second.phase);
        return;
    }
    const auto* job = find_job(id);
    if (!job)
    {
        deny_job(now, from);
        return;
    }
    // A final phase is reported only after it is durable; until then the job
    // counts as running.
    const auto phase = job->phase();
    reply(from, result_code::ok, is_final(phase) ? job_phase::running : phase);
}

std::vector<customer_backlog>
cell_owner::backlogs_before(time_point now, const cell_job& job) const
{
    std::map<std::string, double> core_ms_by_customer;
    for (const auto& [id, other] : jobs_)
    {
        // A job that has missed its objective is ordered after those that can
        // still meet theirs.
        const bool goes_first = other->objective <= job.objective &&
                                now <= other->objective &&
                                (!other->excess || job.excess);
        if (!is_final(other->phase()) && goes_first)
            core_ms_by_customer[other->customer()] +=
                other->remaining_core_ms();
    }
    std::vector<customer_backlog> result;
    for (const auto& [customer, core_ms] : core_ms_by_customer)
    {
        const auto* config = context_.config->find_customer_by_name(customer);
        const auto limit = config ? config->limit.cpu_millis : 0;
        result.push_back(
            {customer, core_ms, static_cast<double>(limit) / millis_per_core});
    }
    return result;
}

double cell_owner::usable_cores(time_point now)
{
    if (now < usable_cores_expire_at_)
        return usable_cores_;
    usable_cores_expire_at_ = now + usable_cores_validity;
    std::int64_t millis = 0;
    for (const auto& [id, worker] : workers_.all())
    {
        const auto& report = worker.report();
        if (worker.has_reported && worker.reachable && !report.draining &&
            context_.evacuated_data_centres.count(report.data_centre) == 0)
            millis += report.capacity.cpu_millis;
    }
    usable_cores_ = static_cast<double>(millis) / millis_per_core;
    return usable_cores_;
}

// ---------------------------------------------------------------- durability

void cell_owner::write_final_phase(time_point now, cell_job& job)
{
    const auto& id = job.id();
    const auto phase = job.phase();
    dirty_jobs_.erase(id);
    journal_.append(
        now,
        {log_entry_kind::ended, id,
         json{{"p", to_string(phase)}, {"t", context_.wall_clock_ms}}.dump()},
        [this, now, id, phase] { on_final_phase_durable(now, id, phase); });
}

void cell_owner::on_final_phase_durable(time_point now, const std::string& id,
                                        job_phase phase)
{
    ended_jobs_[id] = {phase, context_.wall_clock_ms};
    const auto found = jobs_.find(id);
    if (found != jobs_.end())
    {
        context_.counters.count("carobcourse_jobs_ended_total",
                                to_string(phase));
        context_.log(log_code::job_ended,
                     fmt::format("job={} queue={} customer={} phase={} "
                                 "age_ms={} epoch={}",
                                 id, found->second->queue(),
                                 found->second->customer(), to_string(phase),
                                 context_.wall_clock_ms -
                                     found->second->accepted_unix_ms(),
                                 row().epoch));
        stop_job_runs(now, *found->second);
        jobs_.erase(found);
    }
    for (const auto& each : take_submitters(id))
        reply(each, result_code::ok);
    dispatch_due_ = true;
}

std::string cell_owner::write_progress(const cell_job& job)
{
    auto text = job.progress_text();
    if (text.size() <= config::cell_max_entry_bytes)
        return text;
    // A later owner may start a task that failed more often than it may. With
    // a row that the store does not take, no commit would succeed any more.
    context_.counters.count("carobcourse_progress_shortened_total");
    return job.progress_text(false);
}

void cell_owner::write_dirty_jobs(time_point now)
{
    const auto dirty = std::exchange(dirty_jobs_, {});
    for (const auto& id : dirty)
    {
        auto* job = find_job(id);
        if (!job)
            continue;
        if (is_final(job->phase()))
            write_final_phase(now, *job);
        else
            journal_.append(
                now, {log_entry_kind::progress, id, write_progress(*job)});
    }
    const auto ids = std::exchange(workers_to_acknowledge_, {});
    for (const auto& id : ids)
    {
        const auto* worker = workers_.find(id);
        if (!worker)
            continue;
        journal_.when_durable(
            [this, id, seen = worker->last_seen_end,
             start_ms = worker->incarnation_start_ms]
            {
                auto* current = workers_.find(id);
                if (!current || current->incarnation_start_ms != start_ms)
                    return;
                current->last_durable_end =
                    std::max(current->last_durable_end, seen);
                current->next_poll_at = {};
                workers_to_update_.insert(id);
            });
    }
}

std::optional<waiting_counts>
cell_owner::count_waiting_jobs(time_point now) const
{
    // A later owner may have accepted jobs since this host was last known to be
    // the owner.
    const auto as_of = std::min(now, journal_.ownership_confirmed_at());
    if (!loaded_ || now > as_of + config::cell_max_waiting_count_age)
        return std::nullopt;
    waiting_counts counts;
    counts.as_of = as_of;
    counts.epoch = row().epoch;
    for (const auto& [id, job] : jobs_)
    {
        if (job->durable && !job->has_started() && !is_final(job->phase()))
            ++counts.by_queue[job->queue()];
    }
    return counts;
}

void cell_owner::report_load(time_point now)
{
    auto figures = std::exchange(load_, {});
    figures.commits = row().sequence - reported_commits_;
    figures.entries = journal_.confirmed_entries() - reported_entries_;
    reported_commits_ = row().sequence;
    reported_entries_ = journal_.confirmed_entries();
    const auto oldest_entry_age = now - journal_.oldest_entry_at(now);
    if (figures.longest_batch < min_reported_batch &&
        oldest_entry_age < min_reported_entry_age)
        return;
    context_.log(
        log_code::cell_owner_behind,
        fmt::format("batches={} longest_ms={} commits={} entries={} "
                    "entries_queued={} oldest_entry_ms={} store_answer_ms={} "
                    "polls={} new_ends={} repeated_ends={} jobs={} calls={} "
                    "rounds={} examined={} longest_round={} epoch={}",
                    figures.batches, figures.longest_batch / milliseconds(1),
                    figures.commits, figures.entries, journal_.queued_count(),
                    oldest_entry_age / milliseconds(1),
                    journal_.answer_time() / milliseconds(1), figures.polls,
                    figures.new_ends, figures.repeated_ends, jobs_.size(),
                    pending_calls_.size(), figures.rounds, figures.examined,
                    figures.longest_round, row().epoch));
}

// -------------------------------------------------------------------- rounds

void cell_owner::tick(time_point now, time_point heard_until)
{
    repeat_failed_pages(now);
    if (!loaded_)
        return;
    for (auto& [id, job] : jobs_)
    {
        const auto due_ms = job->next_due_ms();
        if (due_ms && *due_ms <= context_.wall_clock_ms &&
            !is_final(job->phase()))
        {
            const auto first = job->next_occurrence();
            job->add_due_occurrences(context_.wall_clock_ms);
            hold_back_unresolved(*job, first);
            dispatch_due_ = true;
        }
    }
    fail_overdue_calls(now, heard_until);
    if (now >= next_regular_dispatch_)
    {
        next_regular_dispatch_ = now + regular_dispatch_interval;
        dispatch_due_ = true;
    }
    if (now >= next_load_report_)
    {
        next_load_report_ = now + load_report_interval;
        report_load(now);
    }
    if (now >= next_cleanup_)
    {
        next_cleanup_ = now + cleanup_interval;
        for (auto it = refused_submissions_.begin();
             it != refused_submissions_.end();)
            it = now >= it->second.expires_at ? refused_submissions_.erase(it)
                                              : std::next(it);
        const auto retention_ms =
            std::chrono::milliseconds(config::cell_ended_job_retention).count();
        std::size_t removed = 0;
        for (auto it = ended_jobs_.begin();
             it != ended_jobs_.end() && removed < max_jobs_per_cleanup;)
        {
            if (context_.wall_clock_ms - it->second.unix_ms <= retention_ms)
            {
                ++it;
                continue;
            }
            journal_.forget(it->first);
            it = ended_jobs_.erase(it);
            ++removed;
        }
    }
}

/// Updates whether the store confirms commits. When it starts to fail, refuses
/// the submissions that wait for a commit.
void cell_owner::update_store_state(time_point now, time_point heard_until)
{
    const bool failing = journal_.is_store_failing(heard_until);
    if (failing == store_failing_)
        return;
    store_failing_ = failing;
    context_.log(failing ? log_code::store_down : log_code::store_up,
                 "commits of the owner");
    if (failing)
        refuse_unsent_jobs(now);
}

void cell_owner::finish_batch(time_point now, time_point heard_until)
{
    if (lost_ownership_ || journal_.is_released())
        return;
    update_store_state(now, heard_until);
    if (loaded_)
    {
        watch_workers(now);
        release_unresolved_tasks(now);
        if (dispatch_due_ && context_.config && now >= next_dispatch_)
        {
            dispatch_due_ = false;
            dispatch(now);
        }
        write_dirty_jobs(now);
        update_workers(now);
    }
    if (auto commit = journal_.next_commit(now, context_.next_op_id()))
        context_.effects.emplace_back(std::move(*commit));
}

void cell_owner::set_relays(time_point now, std::vector<call_relay> relays)
{
    if (relays == relays_)
        return;
    relays_ = std::move(relays);
    std::set<std::string> hosts;
    std::vector<std::string> advice_hosts;
    relay_groups_.clear();
    all_relays_.clear();
    for (const auto& relay : relays_)
    {
        hosts.insert(relay.host);
        if (relay.leaving)
            continue;
        advice_hosts.push_back(relay.host);
        if (relay.host == context_.identity.host)
            continue;
        all_relays_.push_back(relay.host);
        relay_groups_[relay.data_centre].inside.push_back(relay.host);
    }
    for (auto& [data_centre, group] : relay_groups_)
        for (const auto& relay : relays_)
            if (relay.host != context_.identity.host && !relay.leaving &&
                relay.data_centre != data_centre)
                group.outside.push_back(relay.host);
    advice_hosts_.set_hosts(std::move(advice_hosts));
    fail_calls(now, [&hosts](const pending_call& call)
               { return hosts.count(call.relay) == 0; });
}

} // namespace carobcourse
