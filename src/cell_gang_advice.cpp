#include "cell_gang_advice_p.hpp"

#include <algorithm>

namespace carobcourse
{

namespace
{

/// Weight of the initial assumption that half of the workers are allowed, in
/// workers.
constexpr double prior_asked = 20;
constexpr double prior_share = 0.5;
/// The totals are halved above this many workers, so that a service that
/// changes its policy is followed.
constexpr double max_asked = 2000;
constexpr double min_share = 0.05;
/// Room now that the answers are expected to show, relative to the gang. Some
/// of the room is taken while the call is made.
constexpr double room_factor = 2;
/// Size of the allowed workers relative to the gang from which on more
/// questions are not made: the room that becomes free next is among them.
constexpr double capacity_factor = 9;

} // namespace

void advice_share_estimator::record(const std::string& queue, std::size_t asked,
                                    std::size_t allowed)
{
    if (asked == 0)
        return;
    auto& totals = by_queue_[queue];
    totals.asked += static_cast<double>(asked);
    totals.allowed += static_cast<double>(std::min(asked, allowed));
    if (totals.asked > max_asked)
    {
        totals.asked /= 2;
        totals.allowed /= 2;
    }
}

double advice_share_estimator::share(const std::string& queue) const
{
    const auto found = by_queue_.find(queue);
    if (found == by_queue_.end())
        return prior_share;
    const auto& totals = found->second;
    return std::max(min_share, (totals.allowed + prior_asked * prior_share) /
                                   (totals.asked + prior_asked));
}

std::vector<std::vector<worker_number>>
plan_gang_calls(const gang_room& known, std::vector<advisable_worker> options,
                double allowed_share, const gang_call_limits& limits)
{
    std::sort(options.begin(), options.end(),
              [](const advisable_worker& a, const advisable_worker& b)
              {
                  const bool a_full = a.slots_now == 0;
                  const bool b_full = b.slots_now == 0;
                  return std::tie(a.reserved, a_full, b.speed_class,
                                  b.slots_now, b.free_cpu_millis, a.worker) <
                         std::tie(b.reserved, b_full, a.speed_class,
                                  a.slots_now, a.free_cpu_millis, b.worker);
              });
    const auto tasks = static_cast<double>(known.tasks);
    double slots_now = known.slots_now;
    double slots_when_empty = known.slots_when_empty;
    const auto max_asked_workers =
        std::max<std::size_t>(1, limits.workers_per_call) * limits.calls;
    std::size_t asked = 0;
    const auto is_enough = [&]
    {
        return slots_now >= room_factor * tasks ||
               slots_when_empty >= capacity_factor * tasks;
    };
    if (is_enough())
        return {};
    while (asked < options.size() && asked < max_asked_workers &&
           (asked < limits.min_workers || !is_enough()))
    {
        slots_now += allowed_share * options[asked].slots_now;
        slots_when_empty += allowed_share * options[asked].slots_when_empty;
        ++asked;
    }
    std::vector<std::vector<worker_number>> calls;
    if (asked == 0)
        return calls;
    const auto per_call = std::max<std::size_t>(1, limits.workers_per_call);
    calls.resize((asked + per_call - 1) / per_call);
    // In turns, so that the answer that arrives first has its part of the room.
    for (std::size_t i = 0; i < asked; ++i)
        calls[i % calls.size()].push_back(options[i].worker);
    return calls;
}

bool is_renewal_due(time_point now, duration call_time, time_point expected_at,
                    time_point tickets_valid_until)
{
    const auto answer_at = now + call_time;
    return answer_at >= expected_at &&
           tickets_valid_until <= std::max(answer_at, expected_at);
}

} // namespace carobcourse
