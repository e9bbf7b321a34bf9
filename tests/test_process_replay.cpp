#include "process_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

TEST_CASE("a recording of a real entry host replays to the same answers")
{
    // Guards against a core that depends on anything but its events: the
    // recording states every answer that was given.
    deployment cell;
    cell.add_data_centre("north");
    const auto trace = cell.directory() + "/trace.jsonl";
    const auto url =
        cell.add_entry_host("north-1", "north", 10, {"--record", trace});
    const auto key =
        add_team(url, "climb-desk", "[[service]]\nname = \"bookings\"\n");
    REQUIRE(eventually(5s,
                       [&]
                       {
                           return call(url, "POST",
                                       "/v1/services/bookings/requests", key,
                                       "slot-1")
                                      .status == 200;
                       }));
    const json job{{"id", "j1"},
                   {"resources", {{"cpu_millis", 1000}, {"memory_mb", 1}}}};
    REQUIRE(call(url, "POST", "/v1/jobs", key, job.dump()).status == 202);
    REQUIRE(eventually(
        20s,
        [&] {
            return call(url, "GET", "/v1/jobs/j1", key).body["state"] ==
                   "succeeded";
        }));
    cell.process("north-1").send(SIGTERM);
    REQUIRE(cell.process("north-1").wait() == 0);

    child_process replay(
        {deployment::binary("carobcourse"), "replay", "--json", trace},
        cell.directory() + "/replay.log");
    const auto status = replay.wait();
    INFO(replay.output());
    CHECK(status == 0);
    const auto report = json::parse(replay.output(), nullptr, false);
    REQUIRE(report.is_object());
    CHECK(report["expectations"].get<int>() > 5);
    CHECK(report["unmet"].empty());
}
