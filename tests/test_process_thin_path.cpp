#include "process_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

TEST_CASE("a request and a job go from a caller to a back end and back")
{
    // Guards against a break anywhere on the whole path, as processes.
    deployment cell;
    cell.add_data_centre("north");
    const auto url = cell.add_entry_host("north-1", "north");
    const auto key =
        add_team(url, "climb-desk", "[[service]]\nname = \"bookings\"\n");

    http_answer booked;
    REQUIRE(eventually(5s,
                       [&]
                       {
                           booked = call(url, "POST",
                                         "/v1/services/bookings/requests", key,
                                         "slot-10");
                           return booked.status == 200;
                       }));
    CHECK(booked.body["echo"] == "slot-10");

    const auto refused =
        call(url, "POST", "/v1/services/bookings/requests", "wrong", "slot-11");
    CHECK(refused.status == 403);
    CHECK(refused.body["error"]["code"] == "CC-1011");

    const auto job =
        json{{"id", "j1"},
             {"tasks", 3},
             {"resources", {{"cpu_millis", 1000}, {"memory_mb", 100}}},
             {"run_ms", 100}};
    REQUIRE(call(url, "POST", "/v1/jobs", key, job.dump()).status == 202);
    CHECK(
        call(url, "POST", "/v1/jobs", key, job.dump()).body["error"]["code"] ==
        "CC-1401");
    REQUIRE(eventually(
        20s,
        [&] {
            return call(url, "GET", "/v1/jobs/j1", key).body["state"] ==
                   "succeeded";
        }));

    const auto record = cell.record("north");
    CHECK(record["requests"].size() == 1);
    int starts = 0;
    for (const auto& item : record["tasks"])
        starts += item["what"] == "start" ? 1 : 0;
    CHECK(starts == 3);

    cell.process("north-1").send(SIGTERM);
    CHECK(cell.process("north-1").wait() == 0);
}
