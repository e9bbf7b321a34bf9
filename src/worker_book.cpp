#include "worker_book_p.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "ownership_p.hpp"

namespace carobcourse
{

namespace
{

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

void worker_book::begin_epoch(std::uint64_t epoch)
{
    epoch_ = epoch;
    workers_.clear();
    index_ = placement_index();
}

void worker_book::update_hosts(time_point now,
                               const std::vector<host_entry>& hosts)
{
    std::set<std::string> listed;
    for (const auto& host : hosts)
    {
        if (host.kind != host_kind::worker ||
            host.data_centre != context_.identity.data_centre)
            continue;
        listed.insert(host.id);
        auto [found, added] = workers_.try_emplace(host.id);
        auto& worker = found->second;
        worker.host = host;
        if (added)
        {
            // An older owner may have granted it a lease until now.
            worker.lease_over = now + lease_bound();
            worker.next_sync = now;
            context_.log(log_code::worker_joined, host.id);
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

resources worker_book::granted(const worker_record& worker) const
{
    resources sum;
    for (const auto& [attempt, record] : worker.attempts)
        sum += record.amount;
    return sum;
}

void worker_book::reindex(const worker_record& worker)
{
    if (!worker.answered || worker.leaving)
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

bool worker_book::is_recovered(time_point now) const
{
    return std::all_of(workers_.begin(), workers_.end(),
                       [now](const auto& item) {
                           return item.second.answered ||
                                  now >= item.second.lease_over;
                       });
}

void worker_book::start(const std::string& worker, start_task start)
{
    auto& record = workers_.at(worker);
    record.attempts[start.attempt] =
        attempt_record{start.amount, start.team, false};
    record.starts.push_back(std::move(start));
    reindex(record);
}

void worker_book::stop(const std::string& worker, const attempt_id& attempt,
                       bool checkpoint)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end())
        found->second.stops.push_back(stop_task{attempt, checkpoint});
}

void worker_book::send_due(time_point now, time_point acts_until)
{
    for (auto& [name, worker] : workers_)
    {
        const bool has_work = !worker.starts.empty() || !worker.stops.empty();
        if (worker.in_flight || (now < worker.next_sync && !has_work))
            continue;
        sync(now, acts_until, worker);
    }
}

void worker_book::sync(time_point now, time_point acts_until,
                       worker_record& worker)
{
    worker_sync message;
    message.worker = worker.host.id;
    message.address = worker.host.address;
    message.sequence = ++sequence_;
    message.epoch = epoch_;
    message.owner = context_.identity.host;
    message.token = worker.token;
    message.lease_ms = std::chrono::milliseconds(config::worker_lease).count();
    message.send_before =
        std::min(acts_until, now + duration(config::worker_sync_timeout));
    message.starts = worker.starts;
    message.stops = worker.stops;
    message.acks = worker.acks;
    worker.sent_starts = std::move(worker.starts);
    worker.sent_stops = std::move(worker.stops);
    worker.sent_acks = std::move(worker.acks);
    worker.starts.clear();
    worker.stops.clear();
    worker.acks.clear();
    worker.in_flight = message.sequence;
    worker.next_sync = now + config::worker_sync_period;
    if (worker.token != 0)
        worker.lease_over =
            std::max(worker.lease_over, worker.token_at + lease_bound());
    context_.out.emplace_back(std::move(message));
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
        on_no_answer(worker, result.status);
    reindex(worker);
    return news;
}

void worker_book::on_no_answer(worker_record& worker, send_status status)
{
    context_.counters.count("carobcourse_worker_sync_failures_total",
                            status == send_status::not_sent ? "not_sent"
                                                            : "unknown");
    requeue(worker);
}

void worker_book::requeue(worker_record& worker)
{
    // Starts, stops and acknowledgements are idempotent by attempt, so they
    // are sent again until the worker takes them or its lease is over.
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
    take_finished(worker, reply, news);
    take_refused(worker, reply, news);
    take_running(worker, reply, news);
    worker.sent_starts.clear();
    worker.sent_stops.clear();
    worker.sent_acks.clear();
}

void worker_book::take_finished(worker_record& worker, const sync_reply& reply,
                                std::vector<attempt_news>& news)
{
    for (const auto& finished : reply.finished)
    {
        worker.acks.push_back(finished.attempt);
        auto item =
            make_news(attempt_news::kind::finished, worker.host.id,
                      finished.attempt, worker.attempts[finished.attempt]);
        worker.attempts.erase(finished.attempt);
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

void worker_book::take_running(worker_record& worker, const sync_reply& reply,
                               std::vector<attempt_news>& news)
{
    std::set<attempt_id> running;
    for (const auto& task : reply.running)
    {
        running.insert(task.attempt);
        auto& record = worker.attempts[task.attempt];
        if (record.confirmed)
            continue;
        record = attempt_record{task.amount, task.team, true};
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
        if (running.count(it->first) || unsent.count(it->first))
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
        // While a sync is in flight its result will arrive; until then the
        // worker may be renewed.
        if (worker.in_flight || now < worker.lease_over ||
            (worker.attempts.empty() && !worker.answered))
            continue;
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
    return news;
}

} // namespace carobcourse
