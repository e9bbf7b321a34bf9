#include "executor_pool_p.hpp"

#include <algorithm>

namespace carobcourse
{

executor_pool::executor_pool(core_context& context) : context_(context) {}

void executor_pool::update_hosts(time_point now,
                                 const std::vector<host_entry>& hosts)
{
    by_service_.clear();
    entry_hosts_ = 0;
    for (auto& [id, record] : executors_)
        record.listed = false;
    for (const auto& host : hosts)
    {
        if (host.data_centre != context_.identity.data_centre)
            continue;
        if (host.kind == host_kind::entry && host.state == host_state::live)
            ++entry_hosts_;
        if (host.kind != host_kind::executor)
            continue;
        auto& record = executors_[host.id];
        record.host = host;
        record.listed = true;
        record.remove_at = now + config::executor_memory;
        record.leaving = record.leaving || host.state == host_state::leaving;
        for (const auto& service : host.services)
            by_service_[service].push_back(host.id);
    }
    entry_hosts_ = std::max<std::size_t>(entry_hosts_, 1);
    for (auto it = executors_.begin(); it != executors_.end();)
    {
        const auto& record = it->second;
        const bool removable = !record.listed && record.outstanding == 0 &&
                               now >= record.remove_at;
        it = removable ? executors_.erase(it) : std::next(it);
    }
}

void executor_pool::mark_leaving(const std::string& executor)
{
    const auto found = executors_.find(executor);
    if (found != executors_.end())
        found->second.leaving = true;
}

std::vector<std::string> executor_pool::announced_leaving() const
{
    std::vector<std::string> announced;
    for (const auto& [id, record] : executors_)
    {
        if (record.announced_by_server && record.listed &&
            record.host.state == host_state::live)
            announced.push_back(id);
    }
    return announced;
}

bool executor_pool::serves(const std::string& service) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [this](const std::string& id)
                       { return !executors_.at(id).leaving; });
}

std::uint32_t executor_pool::own_slot_share() const
{
    return std::max(
        config::executor_slots / static_cast<std::uint32_t>(entry_hosts_), 1U);
}

std::uint32_t executor_pool::slot_limit(time_point now,
                                        const executor_record& record) const
{
    return now < record.borrow_expires_at
               ? std::max(own_slot_share(), record.borrowed_limit)
               : own_slot_share();
}

std::size_t executor_pool::usable_slots(time_point now,
                                        const std::string& service) const
{
    std::size_t slots = 0;
    const auto found = by_service_.find(service);
    if (found != by_service_.end())
    {
        for (const auto& id : found->second)
        {
            const auto& record = executors_.at(id);
            if (record.leaving || is_circuit_open(record))
                continue;
            slots += slot_limit(now, record);
        }
    }
    return std::max<std::size_t>(slots, 1);
}

bool executor_pool::is_circuit_open(const executor_record& record)
{
    return record.failures >= config::breaker_failures;
}

bool executor_pool::is_available(time_point now,
                                 const executor_record& record) const
{
    if (record.leaving || !record.listed || now < record.paused_until)
        return false;
    if (is_circuit_open(record))
        return now >= record.open_until && !record.trial_in_flight;
    return record.outstanding < slot_limit(now, record);
}

executor_pool::executor_record&
executor_pool::choose_less_loaded(const std::vector<executor_record*>& usable)
{
    std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
    auto* first = usable[pick(context_.random)];
    auto* second = usable[pick(context_.random)];
    const auto load = [](const executor_record* record)
    { return record->outstanding + record->reported_busy; };
    return load(second) < load(first) ? *second : *first;
}

std::optional<executor_choice>
executor_pool::acquire(time_point now, const attempt_requirements& requirements)
{
    const auto found = by_service_.find(requirements.service);
    if (found == by_service_.end())
        return std::nullopt;
    std::vector<executor_record*> usable;
    std::vector<executor_record*> last_resort;
    for (const auto& id : found->second)
    {
        auto& record = executors_.at(id);
        if (!is_available(now, record))
            continue;
        // A request that is not idempotent tests an open circuit only if no
        // other server is available, because a failed trial would leave its
        // outcome unknown.
        const bool second_choice =
            id == requirements.avoided_executor ||
            (is_circuit_open(record) && !requirements.idempotent);
        (second_choice ? last_resort : usable).push_back(&record);
    }
    if (usable.empty())
        usable = std::move(last_resort);
    if (usable.empty())
        return std::nullopt;
    auto& best = choose_less_loaded(usable);
    if (is_circuit_open(best))
    {
        best.trial_in_flight = true;
        context_.counters.count("carobcourse_breaker_trials_total");
    }
    else if (best.outstanding >= own_slot_share())
    {
        context_.counters.count("carobcourse_borrowed_slots_total");
    }
    ++best.outstanding;
    attempts_[{requirements.request, requirements.attempt}] = {best.host.id,
                                                               now};
    return executor_choice{best.host.id, best.host.address};
}

bool executor_pool::release(time_point now, const execute_result& result,
                            bool timed_out)
{
    const auto attempt = attempts_.find({result.request, result.attempt});
    if (attempt == attempts_.end() ||
        attempt->second.executor != result.executor)
        return false;
    const bool is_server_fault = !timed_out || now - attempt->second.sent_at >=
                                                   config::executor_patience;
    attempts_.erase(attempt);
    const auto found = executors_.find(result.executor);
    if (found == executors_.end())
        return true;
    auto& record = found->second;
    --record.outstanding;
    record.leaving = record.leaving || result.leaving;
    record.announced_by_server = record.announced_by_server || result.leaving;
    if (result.no_slot)
    {
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        record.borrowed_limit = 0;
        record.paused_until = now + std::chrono::duration_cast<duration>(
                                        duration(config::no_slot_pause) *
                                        jitter(context_.random));
        record.trial_in_flight = false;
    }
    else if (result.status == send_status::answered)
    {
        record.failures = 0;
        record.trial_in_flight = false;
        record.open_duration = duration(0);
        apply_slot_report(now, record, result);
    }
    else if (is_server_fault)
    {
        record_failure(now, record);
    }
    else
    {
        record.trial_in_flight = false;
    }
    return true;
}

void executor_pool::apply_slot_report(time_point now, executor_record& record,
                                      const execute_result& result)
{
    const auto free = std::min(result.slots_free, config::executor_slots);
    record.reported_busy = config::executor_slots - free;
    // Borrows half of the free slots beyond this host's own unused share,
    // because the other entry hosts see the same report.
    const auto own = own_slot_share() > record.outstanding
                         ? own_slot_share() - record.outstanding
                         : 0;
    const auto borrowed = free > own ? (free - own + 1) / 2 : 0;
    record.borrowed_limit =
        std::max(own_slot_share(), record.outstanding) + borrowed;
    record.borrow_expires_at = now + config::slot_report_validity;
}

void executor_pool::record_failure(time_point now, executor_record& record)
{
    const bool was_trial = std::exchange(record.trial_in_flight, false);
    if (record.failures < config::breaker_failures)
        ++record.failures;
    if (record.failures < config::breaker_failures)
        return;
    // Failures of attempts sent before the circuit opened do not extend the
    // time it stays open.
    if (record.open_duration != duration(0) && !was_trial)
        return;
    record.open_duration = record.open_duration == duration(0)
                               ? duration(config::breaker_open_first)
                               : std::min(record.open_duration * 2,
                                          duration(config::breaker_open_most));
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    record.open_until =
        now + std::chrono::duration_cast<duration>(record.open_duration *
                                                   jitter(context_.random));
    context_.counters.count("carobcourse_breaker_opened_total");
    context_.log(log_code::circuit_opened, record.host.id);
}

} // namespace carobcourse
