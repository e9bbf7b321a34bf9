// Upper limits of teams through a takeover of their shard (I4).
#include "recovery_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

constexpr int limit = 4;
constexpr const char* other_job = "job-of-another-team";

resources cores(std::int64_t count)
{
    return {count * 1000, 4000000, 0};
}

/// Room for twice the limit, so that only the limit holds tasks back.
struct limited_cell : recovery_cell
{
    explicit limited_cell(std::uint64_t seed)
        : recovery_cell(seed, {4000, 8000, 0}, cores(limit))
    {
    }

    /// Replaces the document that was put in force first.
    void lower_limit(const std::string& host, int count)
    {
        const auto text =
            fmt::format("team = \"climb-desk\"\nversion = 1\n[limit]\n"
                        "cpu_millis = {}\nmemory_mb = 4000000\n"
                        "accelerators = 0\n",
                        count * 1000);
        const auto reply =
            cell.call(host, "PUT", "/v1/teams/climb-desk", operator_key, text);
        INFO(reply.body);
        REQUIRE(reply.http_status == 200);
    }

    /// The most tasks of the team, each of one core, that ran at once right
    /// after a start.
    int max_running_after_start(time_point since = {})
    {
        const auto since_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                since.time_since_epoch())
                .count();
        int running = 0;
        int max_running = 0;
        for (const auto& item : cell.sorted_task_record())
        {
            if (item["attempt"]["job"] == other_job)
                continue;
            const bool starts = item["what"] == "start";
            running += starts ? 1 : -1;
            if (starts && item["at_ms"].get<long>() >= since_ms)
                max_running = std::max(max_running, running);
        }
        return most;
    }
};

} // namespace

TEST_CASE("a new owner counts tasks on a worker that it can not reach")
{
    // Guards against starts above the limit (I4) by a new owner that counts
    // only what workers report: one worker runs the whole limit and is cut
    // off, and more work of the team is there.
    for (std::uint64_t seed = 401; seed < 406; ++seed)
    {
        limited_cell fixture(seed);
        fixture.submit("north-1", job_body("j1", limit, 100000));
        REQUIRE(fixture.wait_for_starts("j1", limit, 5s));
        fixture.cell.run_for(2s);
        fixture.cell.worker_faults[fixture.worker_of("j1")].cut = true;
        const auto next = fixture.take_over();
        fixture.submit(next, job_body("j2", 8, 5000));
        fixture.cell.run_for(60s);
        INFO("seed " << seed);
        CHECK(fixture.max_running_after_start() <= limit);
        // The lease of the worker has ended, so the limit is free again.
        CHECK(fixture.cell.count_starts("j2") > 0);
    }
}

TEST_CASE("a new owner counts tasks that no row and no worker names")
{
    // Guards against starts above the limit when the table was down between
    // the starts and the owner's death and the worker is cut off: the new
    // owner knows of no task at all.
    for (std::uint64_t seed = 411; seed < 416; ++seed)
    {
        limited_cell fixture(seed);
        const auto dead = fixture.owner();
        const auto next = fixture.other_host(dead);
        const auto other = fixture.cell.add_team(dead, "other");
        // The shard gets its share of the limit.
        fixture.submit(dead, job_body("warm-up", limit, 300));
        REQUIRE(fixture.wait_for_starts("warm-up", limit, 5s));
        fixture.cell.run_for(3s);
        // Another team fills the workers, so that the job is taken on first
        // and starts when the table is down.
        REQUIRE(fixture.cell
                    .call(dead, "POST", "/v1/jobs", other,
                          job_body(other_job, 8, 2000))
                    .http_status == 202);
        REQUIRE(fixture.wait_for_starts(other_job, 8, 5s));
        fixture.submit(dead, job_body("j1", limit, 100000));
        fixture.cell.run_for(1s);
        fixture.cell.store.down = true;
        // The shard may have given a part of its unused share back, and the
        // table has to be up to get it again; half of the limit is left.
        REQUIRE(fixture.wait_for_starts("j1", limit / 2, 8s));
        const auto worker = fixture.worker_of("j1");
        fixture.cell.worker_faults[worker].cut = true;
        fixture.cell.kill(dead);
        fixture.cell.store.down = false;
        CHECK(fixture.state_in_table("j1") == "waiting");
        REQUIRE(fixture.cell.run_until(20s, [&]
                                       { return fixture.owner() == next; }));
        fixture.submit(next, job_body("j2", 8, 5000));
        fixture.cell.run_for(60s);
        INFO("seed " << seed);
        CHECK(fixture.max_running_after_start() <= limit);
        CHECK(fixture.cell.count_starts("j2") > 0);
    }
}

TEST_CASE("a limit lowered during a takeover holds for the new owner")
{
    // Guards against a new owner that inherits the old share and starts up to
    // it, and against one that starts nothing once the tasks above the new
    // limit have ended. The worker that runs them is cut off at first, and
    // then its replies are lost.
    for (std::uint64_t seed = 421; seed < 426; ++seed)
    {
        limited_cell fixture(seed);
        fixture.submit("north-1", job_body("j1", 3, 45000));
        REQUIRE(fixture.wait_for_starts("j1", 3, 5s));
        fixture.cell.run_for(2s);
        auto& fault = fixture.cell.worker_faults[fixture.worker_of("j1")];
        fault.cut = true;
        const auto dead = fixture.owner();
        const auto next = fixture.other_host(dead);
        fixture.cell.kill(dead);
        fixture.cell.unlist(dead);
        fixture.cell.run_for(1s);
        fixture.lower_limit(next, 2);
        const auto lowered = fixture.cell.now();
        REQUIRE(fixture.cell.run_until(30s, [&]
                                       { return fixture.owner() == next; }));
        fixture.submit(next, job_body("j2", 6, 3000));
        fixture.cell.run_for(8s);
        fault.lose_replies = 4;
        fault.cut = false;
        fixture.cell.run_for(200s);
        INFO("seed " << seed);
        CHECK(fixture.max_running_after_start(lowered) <= 2);
        CHECK(fixture.state_in_table("j1") == "succeeded");
        CHECK(fixture.state_in_table("j2") == "succeeded");
    }
}
