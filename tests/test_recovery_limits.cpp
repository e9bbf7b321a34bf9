// Team limits hold when another host takes over the shard (I4).
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

/// Cell whose workers have room for twice the limit of the team, so that only
/// the limit restricts the number of running tasks.
struct limited_cell : recovery_cell
{
    explicit limited_cell(std::uint64_t seed)
        : recovery_cell(seed, {4000, 8000, 0}, cores(limit))
    {
    }

    /// Replaces the team document by one with a limit of `count` cores.
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

    /// Returns the largest number of tasks of the team, each of one core, that
    /// ran at once right after a start at or after `since`.
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
        return max_running;
    }
};

} // namespace

TEST_CASE("a new owner counts tasks on an unreachable worker towards the limit")
{
    // Guards against starts above the limit (I4) by a new owner that counts
    // only the tasks that workers report: one worker runs tasks up to the limit
    // and is disconnected while more tasks of the team wait.
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
        // The lease of the worker has expired, so tasks may start again.
        CHECK(fixture.cell.count_starts("j2") > 0);
    }
}

TEST_CASE(
    "a new owner allows for tasks that neither a row nor a worker reports")
{
    // Guards against starts above the limit when the table was down between
    // the starts and the owner's death and the worker is disconnected, so that
    // the new owner has no record of any of the tasks.
    for (std::uint64_t seed = 411; seed < 416; ++seed)
    {
        limited_cell fixture(seed);
        const auto dead = fixture.owner();
        const auto next = fixture.other_host(dead);
        const auto other = fixture.cell.add_team(dead, "other");
        // Let the shard obtain its share of the limit.
        fixture.submit(dead, job_body("warm-up", limit, 300));
        REQUIRE(fixture.wait_for_starts("warm-up", limit, 5s));
        fixture.cell.run_for(3s);
        // Another team occupies the workers, so that the job is added to the
        // shard first and starts only after the table is down.
        REQUIRE(fixture.cell
                    .call(dead, "POST", "/v1/jobs", other,
                          job_body(other_job, 8, 2000))
                    .http_status == 202);
        REQUIRE(fixture.wait_for_starts(other_job, 8, 5s));
        fixture.submit(dead, job_body("j1", limit, 100000));
        fixture.cell.run_for(1s);
        fixture.cell.store.down = true;
        // The shard may have returned a part of its unused share and can not
        // regain it while the table is down; half of the limit remains.
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

TEST_CASE("a new owner enforces a limit that was lowered during the takeover")
{
    // Guards against a new owner that starts tasks up to the old share of the
    // limit, and against one that starts nothing once the tasks above the new
    // limit have ended. The worker that runs them is disconnected at first,
    // and then its replies are lost.
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
