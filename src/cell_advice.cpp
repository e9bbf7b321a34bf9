#include "cell_advice_p.hpp"

#include <algorithm>

namespace carobcourse
{

namespace
{

/// A call longer than this goes to a lane for long calls.
constexpr double long_call_ms = 150;
/// Of all lanes, those that take long calls: the larger part of the service's
/// time goes to gangs.
constexpr std::size_t long_lanes_of_ten = 5;
/// Longest wait in a lane before a call; more is left to later, when it may
/// name better workers.
constexpr auto short_queue = std::chrono::milliseconds(80);
constexpr auto long_queue = std::chrono::milliseconds(50);

} // namespace

void advice_lanes::set_hosts(std::vector<std::string> hosts)
{
    std::vector<lane> next;
    for (auto& host : hosts)
    {
        const auto found = std::find_if(lanes_.begin(), lanes_.end(),
                                        [&host](const lane& each)
                                        { return each.host == host; });
        if (found != lanes_.end())
            next.push_back(*found);
        else
            next.push_back({std::move(host), {}, 0});
    }
    lanes_ = std::move(next);
}

std::vector<advice_lanes::lane>::const_iterator
advice_lanes::best_for(double call_ms) const
{
    const auto long_lanes =
        std::max<std::size_t>(1, lanes_.size() * long_lanes_of_ten / 10);
    const auto border = lanes_.begin() + static_cast<long>(long_lanes);
    const bool is_long = call_ms > long_call_ms;
    return std::min_element(is_long || lanes_.size() == 1 ? lanes_.begin()
                                                          : border,
                            is_long ? border : lanes_.end(),
                            [](const lane& a, const lane& b)
                            { return a.busy_until < b.busy_until; });
}

bool advice_lanes::is_free(time_point now, double call_ms) const
{
    return !lanes_.empty() &&
           best_for(call_ms)->busy_until <=
               now + (call_ms > long_call_ms ? long_queue : short_queue);
}

std::optional<std::string> advice_lanes::begin(time_point now, double call_ms)
{
    if (!is_free(now, call_ms))
        return std::nullopt;
    auto& best =
        lanes_[static_cast<std::size_t>(best_for(call_ms) - lanes_.cbegin())];
    best.busy_until =
        std::max(best.busy_until, now) +
        std::chrono::microseconds(static_cast<std::int64_t>(call_ms * 1000));
    ++best.calls;
    return best.host;
}

void advice_lanes::end(time_point now, const std::string& host)
{
    const auto found =
        std::find_if(lanes_.begin(), lanes_.end(),
                     [&host](const lane& each) { return each.host == host; });
    if (found == lanes_.end() || found->calls == 0)
        return;
    if (--found->calls == 0)
        found->busy_until = std::min(found->busy_until, now);
}

double advice_ms(const advice_cost& cost, std::size_t workers)
{
    return cost.call_ms + cost.worker_ms * static_cast<double>(workers);
}

} // namespace carobcourse
