/// A small simulated cell with two services, for tests of request handling.
#pragma once

#include "core_harness.hpp"

namespace carobcourse::test
{

using namespace std::chrono_literals;

/// Optional parameters of a request.
struct request_options
{
    std::string name; ///< Ticket or idempotency key.
    std::int64_t deadline_ms = 20000;
    bool idempotent = false;
};

/// A cell in which the team `desk` owns a keyed and an open service.
class request_cell : public fake_cell
{
public:
    explicit request_cell(std::uint64_t seed, int entry_hosts = 1,
                          int executors = 2)
        : fake_cell(seed)
    {
        for (int i = 1; i <= entry_hosts; ++i)
            add_entry_host(fmt::format("north-{}", i), "north");
        for (int i = 1; i <= executors; ++i)
            add_executor(fmt::format("e{}", i), "north",
                         {"bookings", "availability"});
        run_for(2s);
        key = add_team("north-1", "desk",
                       "[[service]]\nname = \"bookings\"\n"
                       "[[service]]\nname = \"availability\"\nopen = true\n");
        other_key = add_team("north-1", "others");
    }

    /// Sends a request with the key of the team `desk`.
    call_id request(const std::string& host, const std::string& body,
                    const request_options& options = {},
                    const std::string& service = "bookings")
    {
        return request_as(key, host, body, options, service);
    }

    call_id request_as(const std::string& caller_key, const std::string& host,
                       const std::string& body,
                       const request_options& options = {},
                       const std::string& service = "bookings")
    {
        api_call call;
        call.method = "POST";
        call.path = "/v1/services/" + service + "/requests";
        call.key = caller_key;
        call.idempotency_key = options.name;
        call.query["deadline_ms"] = std::to_string(options.deadline_ms);
        call.query["idempotent"] = options.idempotent ? "true" : "false";
        call.body = body;
        return send(host, std::move(call));
    }

    /// Runs the cell until the call is answered, at most 60 s. Returns status 0
    /// if there is no answer.
    api_reply wait_for_reply(call_id id)
    {
        run_until(60s, [&] { return answers.count(id) > 0; });
        return answers.count(id) ? answers.at(id) : api_reply{id, 0, "", ""};
    }

    /// Requests a ticket for the team `desk`.
    std::string ticket(const std::string& host)
    {
        const auto reply = call(host, "POST", "/v1/tickets", key);
        INFO(reply.body);
        REQUIRE(reply.http_status == 200);
        return json::parse(reply.body)["ticket"].get<std::string>();
    }

    /// Returns how often backend servers ran a request with this body.
    std::size_t run_count(const std::string& body) const
    {
        return static_cast<std::size_t>(
            std::count_if(executions.begin(), executions.end(),
                          [&](const execution& e) { return e.body == body; }));
    }

    std::string key;
    std::string other_key;
};

} // namespace carobcourse::test
