/// Waiting requests: one queue for each team, served in weighted fair order.
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

struct queued_request
{
    std::int64_t priority = 0; ///< Lower runs first.
    time_point deadline;
    std::uint64_t sequence = 0; ///< Unique; order of acceptance.
    std::string id;
    std::string service;
    duration cost{1}; ///< Expected slot time, more than zero.

    friend bool operator<(const queued_request& a, const queued_request& b)
    {
        return std::tie(a.priority, a.deadline, a.sequence) <
               std::tie(b.priority, b.deadline, b.sequence);
    }
};

/// Aggregate. Rules: teams share slot time by their weights (deficit round
/// robin); a team's requests go by priority, then earliest deadline; a
/// service without a free slot does not hold up others. Not thread safe.
class request_queue
{
public:
    /// Returns true when the request was taken out of the queue, false when
    /// its service has no free slot. Must not change the queue.
    using dispatch_function = std::function<bool(const queued_request&)>;

    void push(const std::string& team, std::int64_t weight,
              const queued_request& request);
    void remove(const std::string& team, const queued_request& request);

    /// Offers requests in order until no service takes any.
    void drain(const dispatch_function& try_dispatch);

    /// Number of the team's requests for `service` that are certain to go
    /// before a new one with this priority and deadline; a lower bound that
    /// costs no scan.
    std::size_t min_requests_ahead(const std::string& team,
                                   const std::string& service,
                                   std::int64_t priority,
                                   time_point deadline) const;

    std::size_t size(const std::string& team) const;

private:
    struct team_queue
    {
        std::int64_t weight = 1;
        std::int64_t deficit = 0; ///< Microseconds of slot time.
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
    std::string cursor_; ///< Team whose turn it is.
};

} // namespace carobcourse
