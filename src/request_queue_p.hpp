/// Queue of waiting requests with weighted fair scheduling between teams.
#pragma once

#include <carobcourse/types.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace carobcourse
{

/// A waiting request; ordered by priority, deadline and order of acceptance.
struct queued_request
{
    std::int64_t priority = 0; ///< Lower values run first.
    time_point deadline;
    std::uint64_t sequence = 0; ///< Unique number in order of acceptance.
    std::string id;
    std::string service;
    duration cost{1}; ///< Expected slot time; must be positive.

    friend bool operator<(const queued_request& a, const queued_request& b)
    {
        return std::tie(a.priority, a.deadline, a.sequence) <
               std::tie(b.priority, b.deadline, b.sequence);
    }
};

/// Shares slot time between teams by weight, using deficit round robin. The
/// requests of a team are ordered by priority, then by earliest deadline. A
/// service without a free slot does not block other services. Not thread safe.
class request_queue
{
public:
    /// Returns true if the request was dispatched or refused and must leave
    /// the queue, false if its service has no free slot. Must not modify the
    /// queue.
    using dispatch_function = std::function<bool(const queued_request&)>;

    /// Adds a request and sets the weight of its team; weights below 1 count
    /// as 1.
    void push(const std::string& team, std::int64_t weight,
              const queued_request& request);
    /// Removes a request; ignored if it is not queued.
    void remove(const std::string& team, const queued_request& request);

    /// Passes requests to `try_dispatch` in fair order until every service
    /// that has waiting requests is out of slots.
    void drain(const dispatch_function& try_dispatch);

    /// Returns a lower bound of the team's requests for `service` that are
    /// ordered before a new one with this priority and deadline. Compares only
    /// with the last request, to avoid a scan.
    std::size_t min_requests_ahead(const std::string& team,
                                   const std::string& service,
                                   std::int64_t priority,
                                   time_point deadline) const;

    /// Returns the number of waiting requests of a team.
    std::size_t size(const std::string& team) const;

private:
    struct team_queue
    {
        std::int64_t weight = 1;
        std::int64_t deficit = 0; ///< Unused slot time in microseconds.
        std::size_t size = 0;
        std::map<std::string, std::set<queued_request>> services;
    };
    using team_map = std::map<std::string, team_queue>;
    using service_set = std::set<std::string>;

    static const queued_request* head(const team_queue& queue,
                                      const service_set& blocked_services);
    team_map::iterator next_team(const service_set& blocked_services);
    void erase(team_map::iterator team, const queued_request& request);

    team_map teams_;
    std::string cursor_; ///< Team at which the next round robin starts.
};

} // namespace carobcourse
