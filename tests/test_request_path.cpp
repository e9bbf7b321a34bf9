// Tests of queueing, retries, deadlines and planned stops of requests.
#include "request_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;

namespace
{

std::uint64_t counter(fake_cell& cell, const std::string& name,
                      const std::string& reason = {})
{
    return cell.core("north-1").counters().counter(name, reason);
}

} // namespace

TEST_CASE(
    "at its deadline a request in flight is unknown and a queued one is not "
    "run")
{
    // Guards against a false "not run" (I7) and a call without an answer.
    request_cell cell(1, 1, 1);
    cell.service_time = 5s;
    std::vector<call_id> sent;
    for (std::uint32_t i = 0; i < config::executor_slots; ++i)
        sent.push_back(cell.request("north-1", "sent", {"", 1000}));
    const auto queued = cell.request("north-1", "queued", {"", 1000});
    for (const auto id : sent)
        CHECK(fake_cell::error_code(cell.wait_for_reply(id)) == "CC-1302");
    CHECK(fake_cell::error_code(cell.wait_for_reply(queued)) == "CC-1104");
    cell.run_for(10s);
    CHECK(cell.run_count("queued") == 0);
    CHECK(counter(cell, "carobcourse_answers_dropped_total", "late") ==
          config::executor_slots);
}

TEST_CASE("an answer with another request id completes no request")
{
    // Guards against returning the answer of a different request (I6).
    request_cell cell(2, 1, 1);
    cell.executor_faults["e1"].answer_as = "another";
    const auto reply = cell.wait_for_reply(cell.request("north-1", "slot-1"));
    CHECK(fake_cell::error_code(reply) == "CC-1302");
    CHECK(counter(cell, "carobcourse_answers_dropped_total", "foreign") == 1);
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("a refusal after an attempt that may have run is not \"not run\"")
{
    // Guards against a false "not run" (I7) when the last attempt of an
    // idempotent request certainly failed but an earlier one did not.
    request_cell cell(3, 1, 1);
    cell.executor_faults["e1"].answer_as = "another";
    const auto id = cell.request("north-1", "check", {"", 20000, true});
    cell.run_until(1s, [&] { return cell.run_count("check") == 1; });
    cell.executor_faults["e1"].refuse_connection = true;
    CHECK(fake_cell::error_code(cell.wait_for_reply(id)) == "CC-1302");
    CHECK(cell.run_count("check") == 1);
}

TEST_CASE("a refused connection counts as not run and is retried elsewhere")
{
    // Guards against an error to the caller while another server is healthy,
    // and against a recovered server that gets no work.
    request_cell cell(4, 1, 2);
    cell.executor_faults["e1"].refuse_connection = true;
    for (int i = 0; i < 40; ++i)
    {
        const auto body = std::to_string(i);
        CHECK(cell.wait_for_reply(cell.request("north-1", body)).http_status ==
              200);
        CHECK(cell.run_count(body) == 1);
    }
    CHECK(counter(cell, "carobcourse_breaker_opened_total") >= 1);
    cell.executor_faults["e1"].refuse_connection = false;
    for (int i = 0; i < 100; ++i)
    {
        cell.wait_for_reply(cell.request("north-1", "more", {"", 20000, true}));
        cell.run_for(100ms);
    }
    CHECK(std::any_of(cell.executions.begin(), cell.executions.end(),
                      [](const execution& e) { return e.executor == "e1"; }));
}

TEST_CASE("retries are limited to a tenth of the requests")
{
    // Guards against retries that multiply the load of a failing cell.
    request_cell cell(5, 1, 4);
    for (int e = 1; e <= 4; ++e)
        cell.executor_faults[fmt::format("e{}", e)].answer_as = "another";
    const int requests = 1000;
    std::vector<call_id> calls;
    calls.reserve(requests);
    for (int i = 0; i < requests; ++i)
    {
        calls.push_back(cell.request("north-1", "check", {"", 20000, true}));
        cell.run_for(5ms);
    }
    for (const auto id : calls)
        CHECK(fake_cell::error_code(cell.wait_for_reply(id)) == "CC-1302");
    const auto retries =
        counter(cell, "carobcourse_retries_total", "no_answer");
    CHECK(retries > 0);
    CHECK(retries <=
          requests / config::requests_per_retry + config::max_saved_retries);
}

TEST_CASE("a server without a free slot fails no request")
{
    // Guards against an error or a second run after a server refuses an attempt
    // for lack of a slot, which happens when two entry hosts borrow the same
    // slots.
    request_cell cell(6, 2, 2);
    cell.service_time = 30ms;
    std::vector<call_id> calls;
    calls.reserve(300);
    for (int i = 0; i < 300; ++i)
        calls.push_back(
            cell.request(i % 2 ? "north-1" : "north-2", std::to_string(i)));
    for (const auto id : calls)
        CHECK(cell.wait_for_reply(id).http_status == 200);
    CHECK(cell.executions.size() == 300);
}

TEST_CASE("a request that cannot meet its deadline is refused at once")
{
    // Guards against slots spent on late answers, and against a slow period
    // after which short deadlines are refused for ever.
    request_cell cell(7, 1, 1);
    cell.service_time = 400ms;
    for (std::uint32_t i = 0; i < config::service_time_samples; ++i)
        cell.wait_for_reply(cell.request("north-1", "measured"));
    const auto before = cell.now();
    const auto refused_call =
        cell.wait_for_reply(cell.request("north-1", "hopeless", {"", 200}));
    CHECK(fake_cell::error_code(refused_call) == "CC-1104");
    CHECK(cell.now() - before <= 20ms);
    CHECK(cell.run_count("hopeless") == 0);
    cell.service_time = 20ms;
    cell.run_for(config::service_time_validity + 1s);
    CHECK(cell.wait_for_reply(cell.request("north-1", "short", {"", 200}))
              .http_status == 200);
}

TEST_CASE("queues are bounded per team, and anonymous callers share one queue")
{
    // Guards against unbounded memory, and against anonymous callers or one
    // team that fill the queues of others.
    request_cell cell(8, 1, 1);
    cell.service_time = 1s;
    const auto refused = [&](const std::string& key, const std::string& service)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < config::team_queue_capacity + 100; ++i)
        {
            const auto id = cell.request_as(key, "north-1", "x", {}, service);
            cell.run_for(0ms);
            count += cell.answers.count(id) &&
                     fake_cell::error_code(cell.answers.at(id)) == "CC-1102";
        }
        return count;
    };
    CHECK(refused("", "availability") == 100 - config::executor_slots);
    CHECK(refused("any text", "availability") ==
          config::team_queue_capacity + 100);
    CHECK(refused(cell.key, "bookings") == 100);
    cell.run_for(60s);
}

TEST_CASE("the request of a disconnected caller is dropped unless it may be "
          "repeated")
{
    // Guards against running a request whose answer nobody awaits, and against
    // losing the answer for a caller that repeats its call.
    request_cell cell(9, 1, 1);
    cell.service_time = 200ms;
    const auto ticket = cell.ticket("north-1");
    for (std::uint32_t i = 0; i < config::executor_slots; ++i)
        cell.request("north-1", "sent");
    const auto abandoned = cell.request("north-1", "gone");
    const auto with_ticket = cell.request("north-1", "named", {ticket});
    cell.run_for(10ms);
    cell.core("north-1").handle(cell.now(), call_abandoned{abandoned});
    cell.core("north-1").handle(cell.now(), call_abandoned{with_ticket});
    cell.run_for(1s);
    CHECK(cell.answers.count(abandoned) == 0);
    CHECK(cell.run_count("gone") == 0);
    CHECK(cell.wait_for_reply(cell.request("north-1", "named", {ticket}))
              .http_status == 200);
    CHECK(cell.run_count("named") == 1);
    CHECK(cell.core("north-1").counters().counter(
              "carobcourse_calls_abandoned_total") == 2);
}

TEST_CASE("an idle entry host learns that a backend server is leaving")
{
    // Guards against a request sent, after the bound of 5 s (I9), to a server
    // that announced only to another entry host that it is leaving.
    request_cell cell(31, 2, 2);
    cell.executor_faults["e1"].leaving = true;
    for (int i = 0; i < 20; ++i)
        cell.wait_for_reply(cell.request("north-1", "first"));
    REQUIRE(cell.executions.size() == 20);
    cell.run_for(5s);
    const auto before = cell.executions.size();
    for (int i = 0; i < 20; ++i)
        CHECK(cell.wait_for_reply(cell.request("north-2", "second"))
                  .http_status == 200);
    for (auto i = before; i < cell.executions.size(); ++i)
        CHECK(cell.executions[i].executor == "e2");
}

TEST_CASE("a planned stop completes every accepted request")
{
    // Guards against a stop that loses queued or in-flight requests (I10).
    request_cell cell(10, 1, 1);
    cell.service_time = 200ms;
    std::vector<call_id> calls;
    calls.reserve(51);
    for (int i = 0; i < 50; ++i)
        calls.push_back(cell.request("north-1", std::to_string(i)));
    cell.request_stop("north-1");
    cell.run_for(500ms);
    calls.push_back(cell.request("north-1", "in the grace"));
    cell.run_for(600ms);
    const auto refused_call = cell.request("north-1", "after the grace");
    CHECK(fake_cell::error_code(cell.wait_for_reply(refused_call)) ==
          "CC-1103");
    for (const auto id : calls)
        CHECK(cell.wait_for_reply(id).http_status == 200);
    CHECK(cell.run_until(5s, [&] { return cell.is_stopped("north-1"); }));
    CHECK(cell.executions.size() == calls.size());
}

TEST_CASE("at the drain deadline unfinished requests get a correct outcome")
{
    // Guards against connections that are closed without an answer.
    request_cell cell(11, 1, 1);
    cell.service_time = 200s;
    std::vector<call_id> sent;
    for (std::uint32_t i = 0; i < config::executor_slots; ++i)
        sent.push_back(cell.request("north-1", "sent", {"", 200000}));
    const auto queued = cell.request("north-1", "queued", {"", 200000});
    cell.run_for(1s);
    cell.request_stop("north-1");
    CHECK(cell.run_until(32s, [&] { return cell.is_stopped("north-1"); }));
    for (const auto id : sent)
        CHECK(fake_cell::error_code(cell.wait_for_reply(id)) == "CC-1302");
    CHECK(fake_cell::error_code(cell.wait_for_reply(queued)) == "CC-1103");
}
