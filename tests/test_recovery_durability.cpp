// Durability of jobs: what an owner writes, and what it acknowledges.
#include "core_harness.hpp"
#include "job_p.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

std::string job_body(const std::string& id, int tasks, int run_ms)
{
    return json{{"id", id},
                {"tasks", tasks},
                {"run_ms", run_ms},
                {"resources", {{"cpu_millis", 1000}, {"memory_mb", 100}}}}
        .dump();
}

/// Two entry hosts of one data centre and two workers.
struct two_hosts
{
    explicit two_hosts(std::uint64_t seed) : cell(seed)
    {
        cell.add_entry_host("north-1", "north");
        cell.add_entry_host("north-2", "north");
        cell.add_worker("w1", "north", "r1", {2000, 8000, 0});
        cell.add_worker("w2", "north", "r2", {2000, 8000, 0});
        cell.run_for(3s);
        key = cell.add_team("north-1", "climb-desk");
    }

    std::string owner()
    {
        const auto answer = cell.table().read("shard", "north.0");
        return json::parse(answer.body["row"]["value"].get<std::string>())
            .value("owner", "");
    }
    std::string other() const
    {
        return dead == "north-1" ? "north-2" : "north-1";
    }
    void kill_owner()
    {
        dead = owner();
        cell.kill(dead);
    }
    void submit(const std::string& host, const std::string& body)
    {
        REQUIRE(cell.call(host, "POST", "/v1/jobs", key, body).http_status ==
                202);
    }
    std::string state_in_table(const std::string& job)
    {
        const auto row = cell.table().read("jobs", "north.0/" + job);
        if (row.status != 200)
            return "absent";
        return job_record_from_json(row.body["row"]["value"].get<std::string>())
            ->state();
    }
    bool has_started(const std::string& job)
    {
        return cell.run_until(5s, [&] { return cell.count_starts(job) > 0; });
    }

    fake_cell cell;
    std::string key;
    std::string dead;
};

} // namespace

TEST_CASE("a late write of a former owner does not replace a newer state")
{
    // Guards against a task that runs twice because a delayed commit of a
    // dead owner turned its row back from "succeeded" to "running".
    two_hosts it(21);
    it.submit("north-1", job_body("j1", 1, 8000));
    REQUIRE(it.has_started("j1"));
    it.cell.store.extra_delay = 25s;
    it.cell.run_for(300ms);
    it.cell.store.extra_delay = 0s;
    it.kill_owner();
    it.cell.run_for(24s);
    CHECK(it.state_in_table("j1") == "succeeded");
    it.cell.run_for(4s); // The delayed commit arrives.
    CHECK(it.state_in_table("j1") == "succeeded");
    it.cell.kill(it.other());
    it.cell.add_entry_host(it.dead, "north");
    it.cell.run_for(40s);
    CHECK(it.cell.count_starts("j1") == 1);
}

TEST_CASE("a cancellation survives the death of the owner that read it")
{
    // Guards against an inbox row that is deleted before the job's row holds
    // the cancellation: the owner dies as soon as the row is gone.
    for (std::uint64_t seed = 31; seed < 36; ++seed)
    {
        two_hosts it(seed);
        it.submit("north-1", job_body("j1", 1, 60000));
        REQUIRE(it.has_started("j1"));
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
        it.kill_owner();
        INFO("seed " << seed);
        CHECK(it.cell.run_until(
            20s, [&] { return it.state_in_table("j1") == "cancelled"; }));
    }
}

TEST_CASE("a result is acknowledged only when its row is durable")
{
    // Guards against a task that succeeded and runs again after a takeover:
    // the table was down when the result came and the owner died with it.
    two_hosts it(41);
    it.submit("north-1", job_body("j1", 1, 2000));
    REQUIRE(it.has_started("j1"));
    it.cell.run_for(1s);
    it.cell.store.down = true;
    it.cell.run_for(6s);
    it.kill_owner();
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
        two_hosts it(seed);
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
    two_hosts it(61);
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
