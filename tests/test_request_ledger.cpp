#include <catch2/catch.hpp>

#include "core_harness.hpp"
#include "request_ledger_p.hpp"

using namespace carobcourse;
using namespace std::chrono_literals;

namespace
{

struct ledger_fixture
{
    test::seeded_entropy entropy{1};
    core_context context{
        {"north-1", "north", "inc-1", "", "operator", 30s}, 1, entropy};
    request_ledger ledger{context};
    time_point now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(ledger_fixture,
                 "the number of ledger entries per team is bounded")
{
    // Guards against one team that fills the ledger, and against keeping the
    // bound by removing entries of requests that may have run.
    for (std::size_t i = 0; i < config::ledger_team_capacity; ++i)
    {
        const auto name = std::to_string(i);
        ledger.begin("greedy", name, 1, now + 60s);
        ledger.mark_unknown("greedy", name);
    }
    CHECK(ledger.begin("greedy", "more", 1, now + 60s).verdict ==
          ledger_verdict::full);
    CHECK(ledger.begin("other", "first", 1, now + 60s).verdict ==
          ledger_verdict::fresh);
    CHECK(ledger.begin("greedy", "0", 1, now + 60s).verdict ==
          ledger_verdict::unknown);
    ledger.expire(now + 61s);
    CHECK(ledger.size() == 1); // A running entry outlives its expiry.
    CHECK(ledger.begin("greedy", "more", 1, now + 60s).verdict ==
          ledger_verdict::fresh);
}

TEST_CASE_METHOD(ledger_fixture, "recorded answers over the byte limit become "
                                 "unknown")
{
    // Guards against unbounded memory for answers, and against treating a
    // request as new after its answer was dropped.
    const std::string large(config::max_body_bytes, 'x');
    const auto fits = config::ledger_answer_bytes / large.size();
    for (std::size_t i = 0; i <= fits; ++i)
    {
        const auto name = std::to_string(i);
        ledger.begin("desk", name, 1, now + 60s);
        ledger.record("desk", name, {200, "", large});
    }
    CHECK(ledger.begin("desk", "0", 1, now).verdict == ledger_verdict::unknown);
    CHECK(ledger.begin("desk", "1", 1, now).verdict ==
          ledger_verdict::recorded);
}

TEST_CASE_METHOD(ledger_fixture, "a modified or forged ticket is rejected")
{
    // Guards against accepting a ticket whose fields, team or MAC were changed.
    const auto text = ledger.issue_ticket(now, "desk");
    const auto ticket = parse_ticket(text);
    REQUIRE(ticket);
    CHECK(ticket->data_centre == "north");
    CHECK(ledger.is_own_ticket(*ticket, "desk"));
    CHECK_FALSE(ledger.is_own_ticket(*ticket, "others"));
    auto later = *ticket;
    later.issued_ms += 1;
    CHECK_FALSE(ledger.is_own_ticket(later, "desk"));
    for (const auto* bad : {"", "tk1", "tk1.a.b.c.x.1.m", "tk1.a.b.c.1.1",
                            "tk1.a.b.c.1.1.m.n", "tk2.a.b.c.1.1.m"})
        CHECK_FALSE(parse_ticket(bad));
}
