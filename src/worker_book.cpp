#include "worker_book_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <set>
#include <utility>

#include "ownership_p.hpp"

namespace carobcourse
{

namespace
{

// Quarantine of a worker that fails what it starts (design, section 5).
// Several jobs must fail, so that one broken job condemns no worker.
constexpr std::uint32_t quarantine_failures = 5;
constexpr std::size_t quarantine_jobs = 3;
constexpr auto quarantine_first = std::chrono::seconds(30);
constexpr auto quarantine_longest = std::chrono::minutes(10);

/// Freshness lasts 4 s and a start must not arrive later than 5 s after a
/// change; the rest is for the way to the worker.
constexpr auto start_bound = std::chrono::milliseconds(800);
constexpr auto sync_retry_pause = std::chrono::milliseconds(200);

/// Longest time for which an owner may have granted a lease, plus drift.
duration lease_bound()
{
    return config::worker_lease + drift_margin(config::worker_lease);
}

attempt_news make_news(attempt_news::kind what, const std::string& worker,
                       const attempt_id& attempt, const attempt_record& record)
{
    attempt_news news;
    news.what = what;
    news.worker = worker;
    news.attempt = attempt;
    news.team = record.team;
    news.amount = record.amount;
    return news;
}

template <class Value>
void move_append(std::vector<Value>& to, std::vector<Value>& from)
{
    to.insert(to.begin(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
    from.clear();
}

} // namespace

worker_book::worker_book(core_context& context) : context_(context) {}

void worker_book::begin_epoch(time_point now, std::uint64_t epoch)
{
    epoch_ = epoch;
    epoch_began_ = now;
    listed_ = false;
    workers_.clear();
    index_ = placement_index();
}

void worker_book::update_hosts(time_point now,
                               const std::vector<host_entry>& hosts, bool known)
{
    std::map<std::string, host_entry> listed;
    listed_ = listed_ || known;
    for (const auto& host : hosts)
    {
        if (host.kind != host_kind::worker ||
            host.data_centre != context_.identity.data_centre)
            continue;
        const auto [entry, first] = listed.try_emplace(host.id, host);
        if (first)
            continue;
        // Listed twice: the address in use stays, and leaving wins.
        const auto known = workers_.find(host.id);
        const bool leaving = host.state == host_state::leaving ||
                             entry->second.state == host_state::leaving;
        if (known != workers_.end() &&
            known->second.host.address == host.address)
            entry->second = host;
        if (leaving)
            entry->second.state = host_state::leaving;
    }
    // A worker that has just left the list may still run tasks of an earlier
    // epoch.
    for (auto it = last_listed_.begin(); it != last_listed_.end();)
    {
        if (now - it->second >= lease_bound())
        {
            it = last_listed_.erase(it);
            continue;
        }
        if (epoch_ != 0)
            expect(now, it->first);
        ++it;
    }
    for (const auto& [id, host] : listed)
    {
        last_listed_[id] = now;
        auto [found, added] = workers_.try_emplace(id);
        auto& worker = found->second;
        if (added || worker.host.address.empty())
            context_.log(log_code::worker_joined, id);
        else if (worker.host.address != host.address)
            worker.reserved_until = worker.lease_over;
        worker.host = host;
        if (added)
        {
            // An older owner may have granted it a lease until now.
            worker.lease_over = now + lease_bound();
            worker.next_sync = now;
        }
        worker.leaving = host.state == host_state::leaving;
        reindex(worker);
    }
    for (auto it = workers_.begin(); it != workers_.end();)
    {
        auto& worker = it->second;
        const bool gone = listed.count(it->first) == 0;
        if (gone)
        {
            worker.leaving = true;
            index_.remove(it->first);
        }
        // A worker that is not listed stays known while it may run tasks.
        if (gone && worker.attempts.empty() && now >= worker.lease_over)
            it = workers_.erase(it);
        else
            ++it;
    }
}

void worker_book::expect(time_point now, const std::string& worker)
{
    const auto [found, added] = workers_.try_emplace(worker);
    if (!added)
        return;
    found->second.host.id = worker;
    found->second.leaving = true;
    found->second.lease_over = now + lease_bound();
    found->second.next_sync = now;
}

resources worker_book::granted(const worker_record& worker) const
{
    resources sum;
    for (const auto& [attempt, record] : worker.attempts)
        sum += record.amount;
    return sum;
}

void worker_book::reindex(const worker_record& worker)
{
    const auto& quarantine = worker.quarantine;
    if (!worker.answered || worker.leaving || quarantine.until ||
        (quarantine.on_trial && !worker.attempts.empty()))
    {
        index_.remove(worker.host.id);
        return;
    }
    worker_capacity capacity;
    capacity.worker = worker.host.id;
    capacity.rack = worker.host.rack;
    capacity.total = worker.capacity;
    capacity.free = worker.capacity - granted(worker);
    index_.update(capacity);
}

bool worker_book::is_recovered(time_point) const
{
    return index_.size() > 0;
}

bool worker_book::all_settled(time_point now) const
{
    if (!listed_ && now < epoch_began_ + lease_bound())
        return false;
    return std::all_of(workers_.begin(), workers_.end(),
                       [now](const auto& item) {
                           return item.second.answered ||
                                  now >= item.second.lease_over;
                       });
}

std::optional<resources> worker_book::unsettled_capacity(time_point now) const
{
    if (!listed_ && now < epoch_began_ + lease_bound())
        return std::nullopt;
    resources sum;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.answered && now < worker.lease_over)
            sum += worker.host.capacity;
    }
    return sum;
}

void worker_book::start(const std::string& worker, start_task start)
{
    auto& record = workers_.at(worker);
    auto& attempt = record.attempts[start.attempt];
    attempt = {};
    attempt.amount = start.amount;
    attempt.team = start.team;
    attempt.declared = std::chrono::milliseconds(start.run_ms);
    record.starts.push_back(std::move(start));
    reindex(record);
}

void worker_book::stop(const std::string& worker, const attempt_id& attempt,
                       bool checkpoint)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    auto& stops = found->second.stops;
    const bool queued = std::any_of(stops.begin(), stops.end(),
                                    [&](const stop_task& each)
                                    { return each.attempt == attempt; });
    if (!queued)
        stops.push_back(stop_task{attempt, checkpoint});
}

void worker_book::acknowledge(const std::string& worker,
                              const attempt_id& attempt)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && found->second.results.count(attempt))
        found->second.acks.push_back(attempt);
}

std::vector<attempt_news> worker_book::withdraw_starts()
{
    std::vector<attempt_news> news;
    for (auto& [name, worker] : workers_)
    {
        for (const auto& start : worker.starts)
        {
            const auto found = worker.attempts.find(start.attempt);
            if (found == worker.attempts.end())
                continue;
            if (found->second.sent)
            {
                stop(name, start.attempt, false);
                continue;
            }
            news.push_back(make_news(attempt_news::kind::refused, name,
                                     start.attempt, found->second));
            worker.attempts.erase(found);
        }
        worker.starts.clear();
        reindex(worker);
    }
    return news;
}

void worker_book::send_due(time_point now, time_point acts_until,
                           bool may_start)
{
    for (auto& [name, worker] : workers_)
    {
        const bool has_work = (may_start && !worker.starts.empty()) ||
                              !worker.stops.empty() || !worker.acks.empty();
        const bool due =
            now >= worker.next_sync || (has_work && now >= worker.retry_at);
        if (worker.in_flight || worker.host.address.empty() || !due)
            continue;
        sync(now, acts_until, may_start, worker);
    }
}

void worker_book::sync(time_point now, time_point acts_until, bool may_start,
                       worker_record& worker)
{
    // A start that is to be stopped is not sent again: the worker would take
    // the stop first and then start the task.
    worker.starts.erase(
        std::remove_if(worker.starts.begin(), worker.starts.end(),
                       [&](const start_task& start)
                       {
                           return std::any_of(
                               worker.stops.begin(), worker.stops.end(),
                               [&](const stop_task& each)
                               { return each.attempt == start.attempt; });
                       }),
        worker.starts.end());
    worker_sync message;
    message.worker = worker.host.id;
    message.address = worker.host.address;
    message.sequence = context_.next_sync();
    message.epoch = epoch_;
    message.owner = context_.identity.host;
    message.token = worker.token;
    message.lease_ms = std::chrono::milliseconds(config::worker_lease).count();
    message.send_before =
        std::min(acts_until, now + duration(config::worker_sync_timeout));
    if (may_start && !worker.starts.empty())
    {
        // The configuration was fresh when the start was decided; this bound
        // keeps a start that is held back, in the process or on the way, from
        // being taken more than 5 s after a change (I5). The worker counts
        // from the issue of the token, which was before its receipt here.
        const auto start_before = now + duration(start_bound);
        message.send_before = std::min(message.send_before, start_before);
        message.start_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                start_before - worker.token_at)
                .count();
        worker.sent_starts = std::exchange(worker.starts, {});
        for (const auto& start : worker.sent_starts)
            worker.attempts[start.attempt].sent = true;
    }
    worker.sent_stops = std::exchange(worker.stops, {});
    worker.sent_acks = std::exchange(worker.acks, {});
    message.starts = worker.sent_starts;
    message.stops = worker.sent_stops;
    message.acks = worker.sent_acks;
    worker.in_flight = message.sequence;
    worker.next_sync = now + config::worker_sync_period;
    if (worker.token != 0)
        worker.lease_over =
            std::max(worker.lease_over, worker.token_at + lease_bound());
    context_.out.emplace_back(std::move(message));
}

bool worker_book::awaits(const worker_result& result) const
{
    const auto found = workers_.find(result.worker);
    return found != workers_.end() &&
           found->second.in_flight == result.sequence;
}

std::vector<attempt_news> worker_book::on_result(time_point now,
                                                 const worker_result& result)
{
    std::vector<attempt_news> news;
    const auto found = workers_.find(result.worker);
    if (found == workers_.end())
        return news;
    auto& worker = found->second;
    if (worker.in_flight != result.sequence)
        return news;
    worker.in_flight.reset();
    if (result.status == send_status::answered)
        on_answer(now, worker, result.reply, news);
    else
        on_no_answer(now, worker, result.status);
    reindex(worker);
    return news;
}

void worker_book::on_no_answer(time_point now, worker_record& worker,
                               send_status status)
{
    // A refused connection fails at once; without a pause it would be tried
    // again at once too.
    worker.retry_at = now + sync_retry_pause;
    context_.counters.count("carobcourse_worker_sync_failures_total",
                            status == send_status::not_sent ? "not_sent"
                                                            : "unknown");
    requeue(worker);
}

void worker_book::requeue(worker_record& worker)
{
    // Starts, stops and acknowledgements are idempotent by attempt, so they
    // are sent again until the worker takes them or its lease is over. This
    // depends on the worker taking only the latest token: an older message
    // that arrives late is not taken.
    move_append(worker.starts, worker.sent_starts);
    move_append(worker.stops, worker.sent_stops);
    move_append(worker.acks, worker.sent_acks);
}

void worker_book::on_answer(time_point now, worker_record& worker,
                            const sync_reply& reply,
                            std::vector<attempt_news>& news)
{
    highest_epoch_seen_ = std::max(highest_epoch_seen_, reply.epoch);
    if (reply.epoch > epoch_)
    {
        requeue(worker);
        return;
    }
    worker.answered = true;
    worker.capacity = reply.capacity;
    worker.token = reply.token;
    worker.token_at = now;
    if (!reply.accepted)
    {
        // The token was not the latest, so nothing of the sync was taken;
        // the report is good and the next sync has the right token.
        requeue(worker);
        worker.next_sync = now;
    }
    take_finished(now, worker, reply, news);
    take_refused(worker, reply, news);
    take_running(now, worker, reply, news);
    worker.sent_starts.clear();
    worker.sent_stops.clear();
    worker.sent_acks.clear();
    worker.next_sync = std::min(worker.next_sync, next_probe(now, worker));
}

time_point worker_book::next_probe(time_point now, const worker_record& worker)
{
    constexpr duration gap = config::worker_probe_gap;
    constexpr duration period = config::worker_sync_period;
    auto probe = now + period;
    for (const auto& [attempt, record] : worker.attempts)
    {
        if (!record.running_since)
            continue;
        // At the declared end; past it, the wait doubles the time since, so
        // that a wrong or unknown run time costs a few syncs only.
        const auto end = *record.running_since + record.declared;
        const auto next =
            now < end ? end : now + std::clamp(now - end, gap, period);
        probe = std::min(probe, next);
    }
    return std::max(probe, now + gap);
}

void worker_book::take_finished(time_point now, worker_record& worker,
                                const sync_reply& reply,
                                std::vector<attempt_news>& news)
{
    const auto passed_on = std::exchange(worker.results, {});
    for (const auto& finished : reply.finished)
    {
        worker.results.insert(finished.attempt);
        const auto known = worker.attempts.find(finished.attempt);
        const auto record =
            known == worker.attempts.end() ? attempt_record{} : known->second;
        if (known != worker.attempts.end())
            worker.attempts.erase(known);
        // The worker repeats a result until it is acknowledged.
        if (passed_on.count(finished.attempt))
            continue;
        count_outcome(now, worker, finished);
        auto item = make_news(attempt_news::kind::finished, worker.host.id,
                              finished.attempt, record);
        item.outcome = finished.outcome;
        item.detail = finished.detail;
        item.checkpoint = finished.checkpoint;
        news.push_back(std::move(item));
    }
}

void worker_book::take_refused(worker_record& worker, const sync_reply& reply,
                               std::vector<attempt_news>& news)
{
    for (const auto& refused : reply.refused)
    {
        const auto found = worker.attempts.find(refused.attempt);
        if (found == worker.attempts.end())
            continue;
        auto item = make_news(attempt_news::kind::refused, worker.host.id,
                              refused.attempt, found->second);
        item.detail = refused.reason;
        worker.attempts.erase(found);
        news.push_back(std::move(item));
    }
}

void worker_book::count_outcome(time_point now, worker_record& worker,
                                const finished_task& finished)
{
    auto& quarantine = worker.quarantine;
    if (finished.outcome == task_outcome::succeeded)
    {
        quarantine = {};
        return;
    }
    // Stops and expired leases say nothing about the health of the worker.
    if (finished.outcome != task_outcome::failed)
        return;
    ++quarantine.failures;
    quarantine.jobs.insert(finished.attempt.task.job);
    const bool over_limit = quarantine.failures >= quarantine_failures &&
                            quarantine.jobs.size() >= quarantine_jobs;
    if (quarantine.until || (!over_limit && !quarantine.on_trial))
        return;
    quarantine.length =
        quarantine.length == duration{0}
            ? duration(quarantine_first)
            : std::min(quarantine.length * 2, duration(quarantine_longest));
    quarantine.until = now + quarantine.length;
    quarantine.on_trial = true;
    context_.counters.count("carobcourse_worker_quarantines_total");
    context_.log(log_code::worker_quarantined,
                 fmt::format("{} for {} s after {} failures", worker.host.id,
                             std::chrono::duration_cast<std::chrono::seconds>(
                                 quarantine.length)
                                 .count(),
                             quarantine.failures));
}

void worker_book::take_running(time_point now, worker_record& worker,
                               const sync_reply& reply,
                               std::vector<attempt_news>& news)
{
    std::set<attempt_id> running;
    for (const auto& task : reply.running)
    {
        running.insert(task.attempt);
        auto& record = worker.attempts[task.attempt];
        if (record.confirmed)
            continue;
        record.amount = task.amount;
        record.team = task.team;
        record.confirmed = true;
        if (record.sent)
            record.running_since = now;
        news.push_back(make_news(attempt_news::kind::running, worker.host.id,
                                 task.attempt, record));
    }
    // An attempt that the worker neither runs nor keeps a result for, and
    // that is not waiting to be sent, is not there any more.
    std::set<attempt_id> unsent;
    for (const auto& start : worker.starts)
        unsent.insert(start.attempt);
    for (auto it = worker.attempts.begin(); it != worker.attempts.end();)
    {
        // Another process at a new address can not speak for the old one,
        // which may still run until its lease is over.
        const bool reserved = now < worker.reserved_until;
        if (running.count(it->first) || unsent.count(it->first) || reserved)
        {
            ++it;
            continue;
        }
        news.push_back(make_news(attempt_news::kind::lost, worker.host.id,
                                 it->first, it->second));
        it = worker.attempts.erase(it);
    }
}

std::vector<attempt_news> worker_book::on_tick(time_point now)
{
    std::vector<attempt_news> news;
    for (auto& [name, worker] : workers_)
    {
        auto& quarantine = worker.quarantine;
        if (quarantine.until && now >= *quarantine.until)
        {
            quarantine.until.reset();
            reindex(worker);
        }
        // While a sync is in flight its result will arrive; until then the
        // worker may be renewed.
        if (worker.in_flight || now < worker.lease_over ||
            (worker.attempts.empty() && !worker.answered))
            continue;
        expire(name, worker, news);
    }
    return news;
}

void worker_book::expire(const std::string& name, worker_record& worker,
                         std::vector<attempt_news>& news)
{
    context_.log(log_code::worker_lost, name);
    for (const auto& [attempt, record] : worker.attempts)
        news.push_back(
            make_news(attempt_news::kind::lost, name, attempt, record));
    worker.attempts.clear();
    worker.starts.clear();
    worker.stops.clear();
    worker.answered = false;
    reindex(worker);
}

} // namespace carobcourse
