#include "cell_advice_p.hpp"

#include <algorithm>

namespace carobcourse
{

namespace
{

/// Calls that take longer than this are long calls.
constexpr double min_long_call_ms = 150;
/// Number of hosts out of ten that make long calls. Calls of gangs take the
/// larger part of the service's time.
constexpr std::size_t long_call_hosts_of_ten = 5;
/// Longest time that a call may queue at its host. A call that would wait
/// longer is made later, when it can name better workers.
constexpr auto max_short_call_delay = std::chrono::milliseconds(80);
constexpr auto max_long_call_delay = std::chrono::milliseconds(50);

duration max_call_delay(double call_ms)
{
    return call_ms > min_long_call_ms ? max_long_call_delay
                                      : max_short_call_delay;
}

} // namespace

void advice_host_pool::set_hosts(std::vector<std::string> hosts)
{
    std::vector<host_state> updated;
    for (auto& host : hosts)
    {
        const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                        [&host](const host_state& each)
                                        { return each.host == host; });
        if (found != hosts_.end())
            updated.push_back(*found);
        else
            updated.push_back({std::move(host), {}, 0});
    }
    hosts_ = std::move(updated);
}

std::pair<advice_host_pool::host_iterator, advice_host_pool::host_iterator>
advice_host_pool::hosts_for(double call_ms) const
{
    const auto long_call_hosts =
        std::max<std::size_t>(1, hosts_.size() * long_call_hosts_of_ten / 10);
    const auto first_short_call_host =
        hosts_.begin() + static_cast<long>(long_call_hosts);
    const bool is_long = call_ms > min_long_call_ms;
    return {is_long || hosts_.size() == 1 ? hosts_.begin()
                                          : first_short_call_host,
            is_long ? first_short_call_host : hosts_.end()};
}

advice_host_pool::host_iterator
advice_host_pool::least_busy_host(double call_ms) const
{
    const auto [first, last] = hosts_for(call_ms);
    return std::min_element(first, last,
                            [](const host_state& a, const host_state& b)
                            { return a.busy_until < b.busy_until; });
}

bool advice_host_pool::has_free_host(time_point now, double call_ms) const
{
    return !hosts_.empty() && least_busy_host(call_ms)->busy_until <=
                                  now + max_call_delay(call_ms);
}

std::size_t advice_host_pool::free_host_count(time_point now,
                                              double call_ms) const
{
    if (hosts_.empty())
        return 0;
    const auto [first, last] = hosts_for(call_ms);
    const auto free_at = now + max_call_delay(call_ms);
    return static_cast<std::size_t>(
        std::count_if(first, last,
                      [free_at](const host_state& each)
                      { return each.busy_until <= free_at; }));
}

std::optional<std::string> advice_host_pool::acquire(time_point now,
                                                     double call_ms)
{
    if (!has_free_host(now, call_ms))
        return std::nullopt;
    auto& best = hosts_[static_cast<std::size_t>(least_busy_host(call_ms) -
                                                 hosts_.cbegin())];
    best.busy_until =
        std::max(best.busy_until, now) +
        std::chrono::microseconds(static_cast<std::int64_t>(call_ms * 1000));
    ++best.pending_calls;
    return best.host;
}

void advice_host_pool::release(time_point now, const std::string& host)
{
    const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                    [&host](const host_state& each)
                                    { return each.host == host; });
    if (found == hosts_.end() || found->pending_calls == 0)
        return;
    if (--found->pending_calls == 0)
        found->busy_until = std::min(found->busy_until, now);
}

double advice_call_ms(const advice_cost& cost, std::size_t workers)
{
    return cost.call_ms + cost.worker_ms * static_cast<double>(workers);
}

} // namespace carobcourse
