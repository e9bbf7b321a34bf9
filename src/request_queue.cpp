#include "request_queue_p.hpp"

#include <algorithm>
#include <vector>

namespace carobcourse
{

namespace
{

/// Slot time that each round adds to a team's deficit per unit of weight.
constexpr std::int64_t quantum_us = 1000;

} // namespace

void request_queue::push(const std::string& team, std::int64_t weight,
                         const queued_request& request)
{
    auto& queue = teams_[team];
    queue.weight = std::max<std::int64_t>(weight, 1);
    if (queue.services[request.service].insert(request).second)
        ++queue.size;
}

void request_queue::remove(const std::string& team,
                           const queued_request& request)
{
    const auto found = teams_.find(team);
    if (found != teams_.end())
        erase(found, request);
}

void request_queue::erase(team_map::iterator team,
                          const queued_request& request)
{
    auto& queue = team->second;
    const auto service = queue.services.find(request.service);
    if (service == queue.services.end() || service->second.erase(request) == 0)
        return;
    --queue.size;
    if (service->second.empty())
        queue.services.erase(service);
    // Drops the deficit of a team without waiting requests, so that idle time
    // earns no share of later rounds.
    if (queue.size == 0)
        teams_.erase(team);
}

std::size_t request_queue::min_requests_ahead(const std::string& team,
                                              const std::string& service,
                                              std::int64_t priority,
                                              time_point deadline) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end())
        return 0;
    const auto waiting = found->second.services.find(service);
    if (waiting == found->second.services.end())
        return 0;
    const auto& last = *waiting->second.rbegin();
    const bool is_last =
        std::tie(last.priority, last.deadline) <= std::tie(priority, deadline);
    return is_last ? waiting->second.size() : 0;
}

std::size_t request_queue::size(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.size;
}

const queued_request* request_queue::head(const team_queue& queue,
                                          const service_set& blocked_services)
{
    const queued_request* best = nullptr;
    for (const auto& [service, waiting] : queue.services)
    {
        if (blocked_services.count(service) == 0 &&
            (!best || *waiting.begin() < *best))
            best = &*waiting.begin();
    }
    return best;
}

request_queue::team_map::iterator
request_queue::next_team(const service_set& blocked_services)
{
    std::vector<std::pair<team_map::iterator, std::int64_t>> candidates;
    const auto add = [&](team_map::iterator begin, team_map::iterator end)
    {
        for (auto it = begin; it != end; ++it)
        {
            if (const auto* request = head(it->second, blocked_services))
                candidates.emplace_back(it, request->cost.count());
        }
    };
    const auto turn = teams_.lower_bound(cursor_);
    add(turn, teams_.end());
    add(teams_.begin(), turn);
    if (candidates.empty())
        return teams_.end();
    const auto has_enough_deficit = [](const auto& each)
    { return each.first->second.deficit >= each.second; };
    auto chosen =
        std::find_if(candidates.begin(), candidates.end(), has_enough_deficit);
    if (chosen == candidates.end())
    {
        // Adds the smallest number of whole rounds after which one team has
        // enough deficit for its next request.
        std::int64_t rounds = 0;
        for (const auto& [team, cost] : candidates)
        {
            const auto earned_per_round = team->second.weight * quantum_us;
            const auto rounds_needed =
                (cost - team->second.deficit + earned_per_round - 1) /
                earned_per_round;
            rounds =
                rounds == 0 ? rounds_needed : std::min(rounds, rounds_needed);
        }
        for (const auto& [team, cost] : candidates)
            team->second.deficit += rounds * team->second.weight * quantum_us;
        chosen = std::find_if(candidates.begin(), candidates.end(),
                              has_enough_deficit);
    }
    cursor_ = chosen->first->first;
    return chosen->first;
}

void request_queue::drain(const dispatch_function& try_dispatch)
{
    service_set blocked_services;
    while (true)
    {
        const auto team = next_team(blocked_services);
        if (team == teams_.end())
            return;
        const auto request = *head(team->second, blocked_services);
        if (!try_dispatch(request))
        {
            blocked_services.insert(request.service);
            continue;
        }
        team->second.deficit -= request.cost.count();
        erase(team, request);
    }
}

} // namespace carobcourse
