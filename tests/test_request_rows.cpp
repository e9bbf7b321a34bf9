// Tests that rows of idempotency keys are removed after their retention time,
// and never so early that a repeat could run twice.
#include "request_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;

namespace
{

constexpr duration age = config::idempotency_row_age;
/// Drift margin of the retention time, plus time for the removal itself.
constexpr duration removal_margin =
    age / config::drift_margin_divisor + config::drift_margin_fixed + 5s;

std::size_t idempotency_row_count(fake_cell& cell)
{
    return cell.table().scan("idempotency", "", "", 10000).body["rows"].size();
}

/// Time in which a scanning host reads all rows of these tests.
constexpr duration full_scan_time = 4 * config::row_scan_period;

} // namespace

TEST_CASE("the accepting host removes its expired rows in batches")
{
    // Guards against a table that grows without bound, and against removals
    // that use up the store writes needed by requests.
    request_cell cell(1, 2);
    constexpr std::size_t keys = 200;
    for (std::size_t i = 0; i < keys; ++i)
        cell.request(i % 2 ? "north-1" : "north-2", fmt::format("slot-{}", i),
                     {fmt::format("k{}", i)});
    cell.run_for(5s);
    REQUIRE(idempotency_row_count(cell) == keys);
    cell.run_for(age - 10s);
    CHECK(idempotency_row_count(cell) == keys);
    const auto repeat =
        cell.wait_for_reply(cell.request("north-2", "slot-1", {"k1"}));
    CHECK(fake_cell::error_code(repeat) == "CC-1302");
    CHECK(cell.run_count("slot-1") == 1);
    const auto writes = cell.store_writes;
    cell.run_for(10s + removal_margin);
    CHECK(idempotency_row_count(cell) == 0);
    // Two commits for each host. The rest are heartbeats and renewals, counted
    // over the same time without rows.
    const auto with_rows = cell.store_writes - writes;
    const auto idle = cell.store_writes;
    cell.run_for(10s + removal_margin);
    constexpr std::uint64_t removals = 2 * 2 + 2;
    CHECK(with_rows <= cell.store_writes - idle + removals);
    CHECK(cell.core("north-1").counters().counter(
              "carobcourse_idempotency_rows_removed_total") +
              cell.core("north-2").counters().counter(
                  "carobcourse_idempotency_rows_removed_total") ==
          keys);
}

TEST_CASE("rows of a host that has left are removed by another host")
{
    // Guards against rows that are never removed, and against a removal based
    // on another host's clock or on part of the retention time.
    request_cell cell(2, 3);
    for (int i = 0; i < 5; ++i)
        CHECK(cell.wait_for_reply(cell.request("north-3",
                                               fmt::format("slot-{}", i),
                                               {fmt::format("k{}", i)}))
                  .http_status == 200);
    cell.kill("north-3");
    cell.unlist("north-3");
    SECTION("observed by the scanning host for the whole retention time")
    {
        cell.run_for(age);
        CHECK(idempotency_row_count(cell) == 5);
        cell.run_for(removal_margin + config::idempotency_row_grace +
                     full_scan_time);
        CHECK(idempotency_row_count(cell) == 0);
    }
    SECTION("observed by a new scanning host for part of the retention time")
    {
        // A host that has also left observed the rows for most of the time.
        cell.run_for(age - 60s);
        cell.kill("north-1");
        cell.unlist("north-1");
        cell.run_for(age);
        CHECK(idempotency_row_count(cell) == 5);
        CHECK(fake_cell::error_code(cell.wait_for_reply(
                  cell.request("north-2", "slot-1", {"k1"}))) == "CC-1302");
        cell.run_for(removal_margin + config::idempotency_row_grace +
                     full_scan_time);
        CHECK(idempotency_row_count(cell) == 0);
    }
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("rows of an earlier incarnation are removed")
{
    // Guards against rows that stay because a host with the same id is listed.
    request_cell cell(3, 2);
    CHECK(cell.wait_for_reply(cell.request("north-2", "slot-1", {"k1"}))
              .http_status == 200);
    cell.kill("north-2");
    cell.add_entry_host("north-2", "north");
    cell.run_for(age + removal_margin + config::idempotency_row_grace +
                 full_scan_time);
    CHECK(idempotency_row_count(cell) == 0);
    CHECK(cell.run_count("slot-1") == 1);
}

TEST_CASE("removals are retried after lost replies and a table outage")
{
    // Guards against rows that are never removed once a removal has failed.
    request_cell cell(4);
    for (int i = 0; i < 5; ++i)
        cell.request("north-1", fmt::format("slot-{}", i),
                     {fmt::format("k{}", i)});
    cell.run_for(5s);
    REQUIRE(idempotency_row_count(cell) == 5);
    cell.run_for(age - 20s);
    cell.store.down = true;
    cell.run_for(20s + removal_margin);
    CHECK(idempotency_row_count(cell) == 5);
    cell.store.down = false;
    cell.store.lose_replies = 3;
    cell.run_for(30s);
    CHECK(idempotency_row_count(cell) == 0);
}

TEST_CASE("the retention time of a reused key starts at its latest use")
{
    // Guards against measuring a row's age from a first use that did not run:
    // the early removal would let a repeat of the second use run twice.
    request_cell cell(5, 2, 1);
    cell.executor_faults["e1"].refuse_connection = true;
    const auto refused =
        cell.wait_for_reply(cell.request("north-1", "slot-1", {"k1"}));
    CHECK(fake_cell::error_code(refused) == "CC-1106");
    CHECK(idempotency_row_count(cell) == 1);
    cell.run_for(config::idempotency_memory - 20s);
    cell.executor_faults["e1"].refuse_connection = false;
    cell.service_time = 280s;
    const auto again = cell.request("north-1", "slot-1", {"k1", 300000});
    cell.run_for(290s);
    REQUIRE(cell.answers.count(again) == 1);
    CHECK(cell.answers.at(again).http_status == 200);
    cell.service_time = 10ms;
    // The retention time has passed since the first use, not since the second.
    cell.run_for(age - config::idempotency_memory - 270s + removal_margin);
    CHECK(idempotency_row_count(cell) == 1);
    const auto repeat =
        cell.wait_for_reply(cell.request("north-2", "slot-1", {"k1"}));
    CHECK(repeat.http_status != 200);
    CHECK(cell.run_count("slot-1") == 1);
    cell.run_for(age + removal_margin);
    CHECK(idempotency_row_count(cell) == 0);
}
