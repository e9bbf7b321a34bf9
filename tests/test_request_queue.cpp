#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "request_queue_p.hpp"

using namespace carobcourse;
using namespace std::chrono_literals;

namespace
{

constexpr auto start = time_point(std::chrono::hours(1));

queued_request make_request(std::uint64_t sequence, duration cost = 10ms,
                            const std::string& service = "a",
                            std::int64_t priority = 5, duration deadline = 30s)
{
    return {priority, start + deadline,
            sequence, std::to_string(sequence),
            service,  cost};
}

/// Dispatches up to `max_requests` requests and returns their ids.
std::vector<std::string> dispatch(request_queue& queue,
                                  std::size_t max_requests)
{
    std::vector<std::string> taken;
    queue.drain(
        [&](const queued_request& each)
        {
            if (taken.size() == max_requests)
                return false;
            taken.push_back(each.id);
            return true;
        });
    return taken;
}

} // namespace

TEST_CASE("teams share slot time by weight when slots free up one by one")
{
    // Guards against shares that depend on how many slots are free at once, on
    // the number of requests or on their duration.
    request_queue queue;
    std::map<std::string, std::string> team_of;
    std::map<std::string, duration> used;
    std::map<std::string, duration> cost_of;
    std::uint64_t sequence = 0;
    const auto add =
        [&](const std::string& team, std::int64_t weight, duration cost)
    {
        const auto each = make_request(++sequence, cost);
        team_of[each.id] = team;
        cost_of[each.id] = cost;
        queue.push(team, weight, each);
    };
    for (int i = 0; i < 1000; ++i)
    {
        add("heavy", 3, 10ms);
        add("light", 1, 10ms);
        add("long", 1, 50ms);
    }
    for (int i = 0; i < 500; ++i)
    {
        for (const auto& id : dispatch(queue, 1))
            used[team_of[id]] += cost_of[id];
    }
    const auto light = static_cast<double>(used["light"].count());
    CHECK(static_cast<double>(used["heavy"].count()) / light ==
          Approx(3).epsilon(0.05));
    CHECK(static_cast<double>(used["long"].count()) / light ==
          Approx(1).epsilon(0.05));
}

TEST_CASE("a team accumulates no deficit while idle")
{
    // Guards against a burst after idle time that starves other teams.
    request_queue queue;
    std::uint64_t sequence = 0;
    for (int i = 0; i < 100; ++i)
        queue.push("busy", 1, make_request(++sequence));
    dispatch(queue, 50);
    for (int i = 0; i < 100; ++i)
        queue.push("idle", 1, make_request(1000 + i));
    int idle = 0;
    for (const auto& id : dispatch(queue, 20))
        idle += std::stoi(id) >= 1000 ? 1 : 0;
    CHECK(idle >= 9);
    CHECK(idle <= 11);
}

TEST_CASE("requests of a team are ordered by priority, then by deadline")
{
    // Guards against serving requests in order of arrival.
    request_queue queue;
    queue.push("desk", 1, make_request(1, 10ms, "a", 5, 20s));
    queue.push("desk", 1, make_request(2, 10ms, "b", 5, 10s));
    queue.push("desk", 1, make_request(3, 10ms, "a", 2, 30s));
    queue.push("desk", 1, make_request(4, 10ms, "a", 5, 10s));
    CHECK(dispatch(queue, 9) == std::vector<std::string>{"3", "2", "4", "1"});
}

TEST_CASE("a service without free slots blocks no other service or team")
{
    // Guards against head-of-line blocking.
    request_queue queue;
    queue.push("desk", 1, make_request(1, 10ms, "full", 1));
    queue.push("desk", 1, make_request(2, 10ms, "free", 5));
    queue.push("other", 1, make_request(3, 10ms, "free", 5));
    std::vector<std::string> taken;
    queue.drain(
        [&](const queued_request& each)
        {
            if (each.service == "full")
                return false;
            taken.push_back(each.id);
            return true;
        });
    CHECK(taken.size() == 2);
    CHECK(queue.size("desk") == 1);
    CHECK(queue.size("other") == 0);
}

TEST_CASE("a removed request is not dispatched")
{
    // Guards against dispatching a request that was refused or abandoned.
    request_queue queue;
    queue.push("desk", 1, make_request(1));
    queue.push("desk", 1, make_request(2));
    CHECK(queue.min_requests_ahead("desk", "a", 5, start + 30s) == 2);
    CHECK(queue.min_requests_ahead("desk", "a", 5, start + 10s) == 0);
    queue.remove("desk", make_request(1));
    queue.remove("desk", make_request(1));
    CHECK(dispatch(queue, 9) == std::vector<std::string>{"2"});
    CHECK(queue.size("desk") == 0);
}
