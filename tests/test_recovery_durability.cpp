// Durability of job states, and acknowledgement of results only after writes.
#include "recovery_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

const resources two_cores{2000, 8000, 0};

} // namespace

TEST_CASE("a delayed write of a former owner does not replace a newer state")
{
    // Guards against a task that runs twice because a delayed commit of a
    // dead owner changed its row back from "succeeded" to "running".
    recovery_cell fixture(21, two_cores);
    fixture.submit("north-1", job_body("j1", 1, 8000));
    REQUIRE(fixture.wait_for_starts("j1", 1, 5s));
    fixture.cell.store.extra_delay = 25s;
    fixture.cell.run_for(300ms);
    fixture.cell.store.extra_delay = 0s;
    const auto dead = fixture.owner();
    fixture.cell.kill(dead);
    fixture.cell.run_for(24s);
    CHECK(fixture.state_in_table("j1") == "succeeded");
    fixture.cell.run_for(4s); // The delayed commit arrives.
    CHECK(fixture.state_in_table("j1") == "succeeded");
    fixture.cell.kill(fixture.other_host(dead));
    fixture.cell.add_entry_host(dead, "north");
    fixture.cell.run_for(40s);
    CHECK(fixture.cell.count_starts("j1") == 1);
}

TEST_CASE("a cancellation survives the death of the owner that read it")
{
    // Guards against an inbox row that is deleted before the job's row records
    // the cancellation: the owner is killed as soon as the inbox row is absent.
    for (std::uint64_t seed = 31; seed < 36; ++seed)
    {
        recovery_cell fixture(seed, two_cores);
        fixture.submit("north-1", job_body("j1", 1, 60000));
        REQUIRE(fixture.wait_for_starts("j1", 1, 5s));
        fixture.cell.run_for(2s);
        REQUIRE(fixture.cell
                    .call("north-1", "POST", "/v1/jobs/j1/cancel", fixture.key)
                    .http_status == 202);
        REQUIRE(fixture.cell.run_until(5s,
                                       [&]
                                       {
                                           return fixture.cell.table()
                                                      .read("job_inbox",
                                                            "north.0/j1!cancel")
                                                      .status != 200;
                                       }));
        const auto dead = fixture.owner();
        fixture.cell.kill(dead);
        INFO("seed " << seed);
        CHECK(fixture.cell.run_until(
            20s, [&] { return fixture.state_in_table("j1") == "cancelled"; }));
    }
}

TEST_CASE("a result is acknowledged only when its row is durable")
{
    // Guards against a succeeded task that runs again after a takeover: the
    // table was down when the result arrived, and the owner died before it
    // could write the result.
    recovery_cell fixture(41, two_cores);
    fixture.submit("north-1", job_body("j1", 1, 2000));
    REQUIRE(fixture.wait_for_starts("j1", 1, 5s));
    fixture.cell.run_for(1s);
    fixture.cell.store.down = true;
    fixture.cell.run_for(6s);
    const auto dead = fixture.owner();
    fixture.cell.kill(dead);
    fixture.cell.store.down = false;
    fixture.cell.run_for(50s);
    CHECK(fixture.state_in_table("j1") == "succeeded");
    CHECK(fixture.cell.count_starts("j1") == 1);
}

TEST_CASE(
    "lost replies of the table cause neither lost jobs nor repeated tasks")
{
    // Guards against a successful commit that is treated as failed, and against
    // a commit that is sent again with an outdated fence version.
    for (std::uint64_t seed = 51; seed < 54; ++seed)
    {
        recovery_cell fixture(seed, two_cores);
        fixture.cell.store.lose_probability = 0.3;
        int accepted = 0;
        for (int i = 0; i < 10; ++i)
        {
            const auto id = "j" + std::to_string(i);
            const auto reply =
                fixture.cell.call("north-1", "POST", "/v1/jobs", fixture.key,
                                  job_body(id, 2, 500));
            accepted += reply.http_status == 202 ? 1 : 0;
        }
        fixture.cell.run_for(60s);
        fixture.cell.store.lose_probability = 0;
        fixture.cell.run_for(30s);
        INFO("seed " << seed);
        CHECK(accepted > 0);
        int succeeded = 0;
        for (int i = 0; i < 10; ++i)
        {
            const auto id = "j" + std::to_string(i);
            succeeded += fixture.state_in_table(id) == "succeeded" ? 1 : 0;
            CHECK(fixture.cell.count_starts(id) <= 2);
        }
        CHECK(succeeded >= accepted);
        CHECK(fixture.cell.overlapping_tasks().empty());
    }
}

TEST_CASE("a burst of cancellations is written in few commits")
{
    // Guards against a separate commit for each cancelled task.
    recovery_cell fixture(61, two_cores);
    for (int i = 0; i < 100; ++i)
        fixture.submit("north-1", job_body("j" + std::to_string(i), 1, 60000));
    fixture.cell.run_for(3s);
    for (int i = 0; i < 100; ++i)
        fixture.cell.send("north-1", "POST",
                          "/v1/jobs/j" + std::to_string(i) + "/cancel",
                          fixture.key);
    fixture.cell.run_for(100ms);
    const auto before = fixture.cell.store_writes;
    fixture.cell.run_for(3s);
    for (int i = 0; i < 100; ++i)
        CHECK(fixture.state_in_table("j" + std::to_string(i)) == "cancelled");
    // This run makes 5 writes, with the renewals of the shard.
    CHECK(fixture.cell.store_writes - before <= 8);
}
