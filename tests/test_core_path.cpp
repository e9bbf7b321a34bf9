#include "core_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

const char* const small_job =
    R"({"id":"j1","tasks":2,"run_ms":300,)"
    R"("resources":{"cpu_millis":1000,"memory_mb":100}})";

} // namespace

TEST_CASE("a job runs once, and runs with the same seed are identical")
{
    // Guards against time or randomness that does not come from the caller: two
    // runs with the same seed must record the same events.
    std::vector<std::vector<json>> records;
    for (int i = 0; i < 2; ++i)
    {
        fake_cell cell(7);
        cell.add_entry_host("north-1", "north");
        cell.add_worker("w1", "north", "r1", {32000, 128000, 0});
        cell.run_for(3s);
        const auto key = cell.add_team("north-1", "climb-desk");
        REQUIRE(cell.call("north-1", "POST", "/v1/jobs", key, small_job)
                    .http_status == 202);
        cell.run_for(10s);
        CHECK(cell.count_starts("j1") == 2);
        CHECK(cell.overlapping_tasks().empty());
        records.push_back(cell.task_record());
    }
    CHECK(records[0] == records[1]);
}

TEST_CASE("a withdrawn key is refused at every entry host within 5 s")
{
    // Guards against a host that accepts the key from its cached configuration
    // (I3).
    fake_cell cell(11);
    cell.add_entry_host("north-1", "north");
    cell.add_entry_host("south-1", "south");
    cell.run_for(3s);
    const auto key = cell.add_team("north-1", "climb-desk");
    const auto id = key_id_of(key);
    CHECK(cell.call("south-1", "GET", "/v1/jobs/x", key).http_status == 404);
    REQUIRE(cell.call("north-1", "DELETE", "/v1/keys/" + id, operator_key)
                .http_status == 200);
    cell.run_for(5s);
    for (const auto* host : {"north-1", "south-1"})
        CHECK(fake_cell::error_code(
                  cell.call(host, "GET", "/v1/jobs/x", key)) == "CC-1011");
}

TEST_CASE("a host disconnected from the platform refuses keyed calls after 4 s")
{
    // Guards against accepting a key that was withdrawn while the host was
    // disconnected (I3).
    fake_cell cell(12);
    cell.add_entry_host("north-1", "north");
    cell.add_entry_host("south-1", "south");
    cell.run_for(3s);
    const auto key = cell.add_team("north-1", "climb-desk");
    cell.set_platform_cut("south-1", true);
    cell.set_cut("north-1", "south-1", true);
    REQUIRE(cell.call("north-1", "DELETE", "/v1/keys/" + key_id_of(key),
                      operator_key)
                .http_status == 200);
    cell.run_for(5s);
    const auto reply = cell.call("south-1", "GET", "/v1/jobs/x", key);
    CHECK(fake_cell::error_code(reply) == "CC-1202");
    CHECK(json::parse(reply.body)["error"]["ran"] == "not run");
}
