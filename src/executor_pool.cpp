#include "executor_pool_p.hpp"

#include <algorithm>

namespace carobcourse
{

executor_pool::executor_pool(core_context& context) : context_(context) {}

void executor_pool::update_hosts(const std::vector<host_entry>& hosts)
{
    std::map<std::string, executor_record> next;
    by_service_.clear();
    entry_hosts_ = 0;
    for (const auto& host : hosts)
    {
        if (host.data_centre != context_.identity.data_centre)
            continue;
        if (host.kind == host_kind::entry && host.state == host_state::live)
            ++entry_hosts_;
        if (host.kind != host_kind::executor)
            continue;
        auto& record = next[host.id];
        const auto known = executors_.find(host.id);
        if (known != executors_.end())
            record = known->second;
        record.host = host;
        record.leaving = record.leaving || host.state == host_state::leaving;
        for (const auto& service : host.services)
            by_service_[service].push_back(host.id);
    }
    entry_hosts_ = std::max<std::size_t>(entry_hosts_, 1);
    executors_ = std::move(next);
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

bool executor_pool::may_take(const executor_record& record) const
{
    const auto share =
        std::max<std::size_t>(config::executor_slots / entry_hosts_, 1);
    return !record.leaving && record.outstanding < share;
}

std::optional<executor_choice>
executor_pool::acquire(const std::string& service)
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return std::nullopt;
    std::vector<executor_record*> usable;
    for (const auto& id : found->second)
    {
        auto& record = executors_.at(id);
        if (may_take(record))
            usable.push_back(&record);
    }
    if (usable.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
    auto* first = usable[pick(context_.random)];
    auto* second = usable[pick(context_.random)];
    auto* best = second->outstanding < first->outstanding ? second : first;
    ++best->outstanding;
    return executor_choice{best->host.id, best->host.address};
}

void executor_pool::release(const execute_result& result)
{
    const auto found = executors_.find(result.executor);
    if (found == executors_.end())
        return;
    auto& record = found->second;
    if (record.outstanding > 0)
        --record.outstanding;
    record.leaving = record.leaving || result.leaving;
}

} // namespace carobcourse
