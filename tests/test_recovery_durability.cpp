// Durability of jobs: what an owner writes, and what it acknowledges.
#include "recovery_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

const resources two_cores{2000, 8000, 0};

} // namespace

TEST_CASE("a late write of a former owner does not replace a newer state")
{
    // Guards against a task that runs twice because a delayed commit of a
    // dead owner turned its row back from "succeeded" to "running".
    recovery_cell it(21, two_cores);
    it.submit("north-1", job_body("j1", 1, 8000));
    REQUIRE(it.wait_for_starts("j1", 1, 5s));
    it.cell.store.extra_delay = 25s;
    it.cell.run_for(300ms);
    it.cell.store.extra_delay = 0s;
    const auto dead = it.owner();
    it.cell.kill(dead);
    it.cell.run_for(24s);
    CHECK(it.state_in_table("j1") == "succeeded");
    it.cell.run_for(4s); // The delayed commit arrives.
    CHECK(it.state_in_table("j1") == "succeeded");
    it.cell.kill(it.other_than(dead));
    it.cell.add_entry_host(dead, "north");
    it.cell.run_for(40s);
    CHECK(it.cell.count_starts("j1") == 1);
}

TEST_CASE("a cancellation survives the death of the owner that read it")
{
    // Guards against an inbox row that is deleted before the job's row holds
    // the cancellation: the owner dies as soon as the row is gone.
    for (std::uint64_t seed = 31; seed < 36; ++seed)
    {
        recovery_cell it(seed, two_cores);
        it.submit("north-1", job_body("j1", 1, 60000));
        REQUIRE(it.wait_for_starts("j1", 1, 5s));
        it.cell.run_for(2s);
        REQUIRE(it.cell.call("north-1", "POST", "/v1/jobs/j1/cancel", it.key)
                    .http_status == 202);
        REQUIRE(it.cell.run_until(5s,
                                  [&]
                                  {
                                      return it.cell.table()
                                                 .read("job_inbox",
                                                       "north.0/j1!cancel")
                                                 .status != 200;
                                  }));
        const auto dead = it.owner();
        it.cell.kill(dead);
        INFO("seed " << seed);
        CHECK(it.cell.run_until(
            20s, [&] { return it.state_in_table("j1") == "cancelled"; }));
    }
}

TEST_CASE("a result is acknowledged only when its row is durable")
{
    // Guards against a task that succeeded and runs again after a takeover:
    // the table was down when the result came and the owner died with it.
    recovery_cell it(41, two_cores);
    it.submit("north-1", job_body("j1", 1, 2000));
    REQUIRE(it.wait_for_starts("j1", 1, 5s));
    it.cell.run_for(1s);
    it.cell.store.down = true;
    it.cell.run_for(6s);
    const auto dead = it.owner();
    it.cell.kill(dead);
    it.cell.store.down = false;
    it.cell.run_for(50s);
    CHECK(it.state_in_table("j1") == "succeeded");
    CHECK(it.cell.count_starts("j1") == 1);
}

TEST_CASE("lost replies of the table neither lose jobs nor run tasks twice")
{
    // Guards against a commit that took effect and is taken for failed, and
    // against one that is sent again with an outdated fence.
    for (std::uint64_t seed = 51; seed < 54; ++seed)
    {
        recovery_cell it(seed, two_cores);
        it.cell.store.lose_probability = 0.3;
        int accepted = 0;
        for (int i = 0; i < 10; ++i)
        {
            const auto id = "j" + std::to_string(i);
            const auto reply = it.cell.call("north-1", "POST", "/v1/jobs",
                                            it.key, job_body(id, 2, 500));
            accepted += reply.http_status == 202 ? 1 : 0;
        }
        it.cell.run_for(60s);
        it.cell.store.lose_probability = 0;
        it.cell.run_for(30s);
        INFO("seed " << seed);
        CHECK(accepted > 0);
        int succeeded = 0;
        for (int i = 0; i < 10; ++i)
        {
            const auto id = "j" + std::to_string(i);
            succeeded += it.state_in_table(id) == "succeeded" ? 1 : 0;
            CHECK(it.cell.count_starts(id) <= 2);
        }
        CHECK(succeeded >= accepted);
        CHECK(it.cell.overlapping_tasks().empty());
    }
}

TEST_CASE("a burst of cancellations takes few writes")
{
    // Guards against a commit for each cancelled task.
    recovery_cell it(61, two_cores);
    for (int i = 0; i < 100; ++i)
        it.submit("north-1", job_body("j" + std::to_string(i), 1, 60000));
    it.cell.run_for(3s);
    for (int i = 0; i < 100; ++i)
        it.cell.send("north-1", "POST",
                     "/v1/jobs/j" + std::to_string(i) + "/cancel", it.key);
    it.cell.run_for(100ms);
    const auto before = it.cell.store_writes;
    it.cell.run_for(3s);
    for (int i = 0; i < 100; ++i)
        CHECK(it.state_in_table("j" + std::to_string(i)) == "cancelled");
    // Measured: 4, with the renewals of the shard.
    CHECK(it.cell.store_writes - before <= 8);
}
