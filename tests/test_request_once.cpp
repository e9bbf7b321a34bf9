// Tests that a request with a ticket or an idempotency key runs at most once.
#include "request_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;

TEST_CASE(
    "a ticket runs its request once and answers repeats without the table "
    "service")
{
    // Guards against a second run when a caller repeats its call, and against
    // tickets that fail during an outage of the table service.
    request_cell cell(1);
    const auto ticket = cell.ticket("north-1");
    cell.store.down = true;
    const auto writes = cell.store_writes;
    const auto first =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}));
    CHECK(first.http_status == 200);
    const auto again =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}));
    CHECK(again.http_status == 200);
    CHECK(again.body == first.body);
    CHECK(cell.run_count("slot-1") == 1);
    CHECK(cell.store_writes == writes);
}

TEST_CASE("a repeat of a running request is refused as in progress")
{
    // Guards against a second dispatch before the first is answered.
    request_cell cell(2);
    cell.service_time = 500ms;
    const auto ticket = cell.ticket("north-1");
    const auto first = cell.request("north-1", "slot-1", {ticket});
    cell.run_for(100ms);
    const auto repeat =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}));
    CHECK(fake_cell::error_code(repeat) == "CC-1301");
    CHECK(cell.wait_for_reply(first).http_status == 200);
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("a ticket is bound to its team and to one request")
{
    // Guards against a team that reads or blocks the request of another team,
    // and against returning the answer of a different request (I6).
    request_cell cell(3);
    CHECK(cell.call("north-1", "POST", "/v1/tickets").http_status == 401);
    CHECK(cell.call("north-1", "POST", "/v1/tickets", "wrong").http_status ==
          403);
    const auto ticket = cell.ticket("north-1");
    const auto other_team_reply = cell.wait_for_reply(cell.request_as(
        cell.other_key, "north-1", "slot-1", {ticket}, "availability"));
    CHECK(fake_cell::error_code(other_team_reply) == "CC-1304");
    CHECK(cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}))
              .http_status == 200);
    const auto other_body_reply =
        cell.wait_for_reply(cell.request("north-1", "slot-2", {ticket}));
    CHECK(fake_cell::error_code(other_body_reply) == "CC-1303");
    const auto forged =
        cell.wait_for_reply(cell.request("north-1", "slot-3", {ticket + "0"}));
    CHECK(fake_cell::error_code(forged) == "CC-1304");
    CHECK(cell.executions.size() == 1);
}

TEST_CASE("the outcome of a request whose answer was lost stays unknown")
{
    // Guards against a second run of a request whose answer was lost.
    request_cell cell(4);
    for (const auto* e : {"e1", "e2"})
        cell.executor_faults[e].lose_replies = 1;
    const auto name = GENERATE(std::string("ticket"), std::string("own-key"));
    const auto used = name == "ticket" ? cell.ticket("north-1") : name;
    const auto first =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {used, 500}));
    CHECK(fake_cell::error_code(first) == "CC-1302");
    for (int i = 0; i < 3; ++i)
    {
        const auto repeat =
            cell.wait_for_reply(cell.request("north-1", "slot-1", {used}));
        CHECK(fake_cell::error_code(repeat) == "CC-1302");
    }
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("a request with an expired ticket does not run again")
{
    // Guards against a second run after the ledger has removed the entry.
    request_cell cell(5);
    const auto ticket = cell.ticket("north-1");
    CHECK(cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}))
              .http_status == 200);
    cell.run_for(config::ticket_validity + 30s);
    const auto repeat =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}));
    CHECK(fake_cell::error_code(repeat) == "CC-1302");
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("a request whose ledger entry has expired does not run again")
{
    // Guards against a second run after the ledger has removed the entry; the
    // row of the key in the stored table prevents it.
    request_cell cell(6);
    CHECK(cell.wait_for_reply(cell.request("north-1", "slot-1", {"k1"}))
              .http_status == 200);
    cell.run_for(config::idempotency_memory + 30s);
    const auto repeat =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {"k1"}));
    CHECK(fake_cell::error_code(repeat) == "CC-1302");
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("a lost reply to the insert of a key is settled by reading it back")
{
    // Guards against refusing a request whose key was inserted, and against
    // running it twice.
    request_cell cell(7);
    cell.store.lose_replies = 1;
    CHECK(cell.wait_for_reply(cell.request("north-1", "slot-1", {"k1"}))
              .http_status == 200);
    CHECK(cell.wait_for_reply(cell.request("north-1", "slot-1", {"k1"}))
              .http_status == 200);
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE(
    "a request with a key is refused as not run while the store is down and "
    "can run afterwards")
{
    // Guards against running a request whose key is not stored, and against a
    // key that stays blocked by its own unused row.
    request_cell cell(8);
    const bool lost_after_write = GENERATE(false, true);
    if (lost_after_write)
        cell.store.lose_replies = 1;
    else
        cell.store.refuses = true;
    const auto id = cell.request("north-1", "slot-1", {"k1"});
    if (lost_after_write)
    {
        cell.run_for(50ms);
        cell.store.down = true;
    }
    const auto refused = cell.wait_for_reply(id);
    CHECK(fake_cell::error_code(refused) == "CC-1203");
    CHECK(cell.executions.empty());
    cell.store = {};
    cell.run_for(10s);
    CHECK(cell.wait_for_reply(cell.request("north-1", "slot-1", {"k1"}))
              .http_status == 200);
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("keys are inserted in batches, and a conflicting key delays no other")
{
    // Guards against one store write for each request.
    request_cell cell(9, 1, 8);
    CHECK(cell.wait_for_reply(cell.request("north-1", "r0", {"k0"}))
              .http_status == 200);
    cell.run_for(config::idempotency_memory + 30s);
    const auto before = cell.core("north-1").counters().counter(
        "carobcourse_claim_commits_total");
    std::vector<call_id> calls;
    calls.reserve(200);
    for (int i = 0; i < 200; ++i)
        calls.push_back(cell.request("north-1", fmt::format("r{}", i),
                                     {fmt::format("k{}", i)}));
    int answered = 0;
    for (const auto id : calls)
        answered += cell.wait_for_reply(id).http_status == 200 ? 1 : 0;
    CHECK(answered == 199); // All but k0, whose ledger entry has expired.
    CHECK(cell.executions.size() == 200);
    const auto commits = cell.core("north-1").counters().counter(
                             "carobcourse_claim_commits_total") -
                         before;
    CHECK(commits <= 6);
}

TEST_CASE("concurrent requests with one key at two hosts run once")
{
    // Guards against both hosts claiming the key.
    for (std::uint64_t seed = 20; seed < 30; ++seed)
    {
        request_cell cell(seed, 2);
        cell.connect("north-1", "north-2");
        cell.store.lose_probability = 0.2;
        std::vector<call_id> calls;
        for (int i = 0; i < 20; ++i)
        {
            const auto text = std::to_string(i);
            calls.push_back(cell.request("north-1", text, {"k" + text}));
            calls.push_back(cell.request("north-2", text, {"k" + text}));
        }
        for (const auto id : calls)
            CHECK(cell.wait_for_reply(id).http_status != 0);
        for (int i = 0; i < 20; ++i)
            CHECK(cell.run_count(std::to_string(i)) <= 1);
    }
}

TEST_CASE(
    "the outcome of a key claimed by a failed host is unknown at other hosts")
{
    // Guards against a second run after the host that accepted it has failed.
    request_cell cell(31, 2);
    cell.connect("north-1", "north-2");
    cell.service_time = 300ms;
    cell.request("north-1", "slot-1", {"k1"});
    cell.run_for(100ms);
    REQUIRE(cell.run_count("slot-1") == 1);
    cell.kill("north-1");
    const auto repeat =
        cell.wait_for_reply(cell.request("north-2", "slot-1", {"k1", 2000}));
    CHECK(fake_cell::error_code(repeat) == "CC-1302");
    cell.add_entry_host("north-1", "north");
    cell.run_for(3s);
    const auto restarted =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {"k1"}));
    CHECK(fake_cell::error_code(restarted) == "CC-1302");
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE(
    "a ticket used at another host is forwarded to its issuer and runs once")
{
    // Guards against two hosts that each run the request of one ticket.
    request_cell cell(32, 2);
    cell.connect("north-1", "north-2");
    cell.duplicate_peer_message = 1;
    const auto ticket = cell.ticket("north-1");
    const std::string body("slot\0\xff one", 10); // Not valid UTF-8.
    const auto first =
        cell.wait_for_reply(cell.request("north-2", body, {ticket}));
    CHECK(first.http_status == 200);
    CHECK(first.body == body);
    CHECK(cell.wait_for_reply(cell.request("north-2", body, {ticket})).body ==
          body);
    CHECK(cell.wait_for_reply(cell.request("north-1", body, {ticket})).body ==
          body);
    CHECK(cell.run_count(body) == 1);
}

TEST_CASE("the outcome of a ticket is unknown if its issuer is unreachable or "
          "restarted")
{
    // Guards against running a request without the ledger of the ticket's
    // issuer.
    request_cell cell(33, 2);
    cell.connect("north-1", "north-2");
    const auto ticket = cell.ticket("north-1");
    CHECK(cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}))
              .http_status == 200);
    cell.kill("north-1");
    const auto asked = cell.now();
    const auto silent =
        cell.wait_for_reply(cell.request("north-2", "slot-1", {ticket, 1000}));
    CHECK(fake_cell::error_code(silent) == "CC-1302");
    CHECK(cell.now() - asked >= 1000ms);
    CHECK(cell.now() - asked <= 1100ms);
    cell.add_entry_host("north-1", "north");
    cell.connect("north-1", "north-2");
    cell.run_for(3s);
    for (const auto* host : {"north-1", "north-2"})
    {
        const auto unknown_reply =
            cell.wait_for_reply(cell.request(host, "slot-1", {ticket}));
        CHECK(fake_cell::error_code(unknown_reply) == "CC-1302");
    }
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("a repeat of a request that may have run is never refused as not run")
{
    // Guards against a false "not run" (I7) from a host that is stopping.
    request_cell cell(34);
    for (const auto* e : {"e1", "e2"})
        cell.executor_faults[e].lose_replies = 1;
    const auto ticket = cell.ticket("north-1");
    const auto fresh = cell.ticket("north-1");
    const auto slow = cell.request("north-1", "slow", {"", 25000});
    const auto used = cell.request("north-1", "slot-1", {ticket, 500});
    cell.run_for(1s);
    CHECK(fake_cell::error_code(cell.wait_for_reply(used)) == "CC-1302");
    cell.request_stop("north-1");
    cell.run_for(1100ms);
    const auto repeat =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {ticket}));
    CHECK(fake_cell::error_code(repeat) == "CC-1302");
    const auto unused =
        cell.wait_for_reply(cell.request("north-1", "slot-2", {fresh}));
    CHECK(fake_cell::error_code(unused) == "CC-1103");
    CHECK(cell.wait_for_reply(slow).http_status != 0);
}

TEST_CASE("a forwarded answer over the frame limit is reported as unknown")
{
    // Guards against sending a frame over the limit: it would close the link,
    // and the caller would wait until its deadline.
    request_cell cell(21, 2);
    const auto ticket = cell.ticket("north-1");
    const std::string body(config::max_forwarded_answer_bytes + 1, 'x');
    const auto asked_at = cell.now();
    const auto forwarded =
        cell.wait_for_reply(cell.request("north-2", body, {ticket, 20000}));
    CHECK(fake_cell::error_code(forwarded) == "CC-1302");
    CHECK(cell.now() - asked_at < 5s);
    const auto own =
        cell.wait_for_reply(cell.request("north-1", body, {ticket}));
    CHECK(own.http_status == 200);
    CHECK(cell.run_count(body) == 1);
}
