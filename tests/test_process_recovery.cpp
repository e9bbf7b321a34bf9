// The owner of a shard dies or pauses while tasks run, as processes.
#include "process_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

/// Two entry hosts of one data centre on real time.
struct two_hosts
{
    two_hosts()
    {
        cell.add_data_centre("north");
        urls["north-1"] = cell.add_entry_host("north-1", "north");
        urls["north-2"] = cell.add_entry_host("north-2", "north");
        key = add_team(urls["north-1"], "climb-desk");
    }

    std::string owner()
    {
        const auto row =
            call(cell.platform_url(), "GET", "/v1/rows/shard/north.0").body;
        if (!row.contains("row"))
            return {};
        return json::parse(row["row"]["value"].get<std::string>())
            .value("owner", "");
    }
    static std::string other_than(const std::string& host)
    {
        return host == "north-1" ? "north-2" : "north-1";
    }
    bool submit(const std::string& host, const std::string& id, int tasks,
                int run_ms)
    {
        // A key that was given at one host takes up to 5 s at another.
        return eventually(
            5s,
            [&]
            {
                return call(urls[host], "POST", "/v1/jobs", key,
                            json{{"id", id},
                                 {"tasks", tasks},
                                 {"run_ms", run_ms},
                                 {"resources",
                                  {{"cpu_millis", 1000}, {"memory_mb", 100}}}}
                                .dump())
                           .status == 202;
            });
    }
    std::string state(const std::string& host, const std::string& job)
    {
        return call(urls[host], "GET", "/v1/jobs/" + job, key)
            .body.value("state", "");
    }
    int starts(const std::string& job)
    {
        const auto record = cell.record("north");
        int count = 0;
        for (const auto& item : record["tasks"])
            count += item["what"] == "start" && item["attempt"]["job"] == job
                         ? 1
                         : 0;
        return count;
    }
    /// Most attempts of any one task that ran at the same time.
    int most_at_once()
    {
        std::vector<std::tuple<long, int, std::string>> changes;
        const auto record = cell.record("north");
        for (const auto& item : record["tasks"])
            changes.emplace_back(
                item["at_ms"].get<long>(), item["what"] == "start" ? 1 : -1,
                item["attempt"]["job"].get<std::string>() + "/" +
                    std::to_string(item["attempt"]["index"].get<int>()));
        std::sort(changes.begin(), changes.end());
        std::map<std::string, int> running;
        int most = 0;
        for (const auto& [at, change, task] : changes)
            most = std::max(most, running[task] += change);
        return most;
    }

    deployment cell;
    std::map<std::string, std::string> urls;
    std::string key;
};

} // namespace

TEST_CASE("tasks outlive the killed owner of their shard")
{
    // Guards against tasks that run twice or are lost when the owner is
    // killed, and against a takeover that takes longer than its bound:
    // 10 s lease, 3 s poll and margins.
    two_hosts it;
    const auto dead = it.owner();
    const auto next = two_hosts::other_than(dead);
    REQUIRE(it.submit(dead, "running", 4, 18000));
    REQUIRE(eventually(5s, [&] { return it.starts("running") == 4; }));
    REQUIRE(it.submit(next, "waiting", 1, 100));
    REQUIRE(eventually(10s, [&]
                       { return it.state(next, "waiting") == "succeeded"; }));
    it.cell.process(dead).send(SIGKILL);
    const auto killed_at = std::chrono::steady_clock::now();
    REQUIRE(it.submit(next, "after", 1, 100));
    REQUIRE(eventually(20s, [&] { return it.starts("after") == 1; }));
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - killed_at);
    WARN("from the owner's death to the next placement: " << took.count()
                                                          << " ms");
    CHECK(took <= 15s);
    REQUIRE(eventually(20s, [&]
                       { return it.state(next, "running") == "succeeded"; }));
    CHECK(it.starts("running") == 4);
    CHECK(it.most_at_once() == 1);
}

TEST_CASE("an owner that was stopped and continued does no harm")
{
    // Guards against a resumed process that acts with messages and leases
    // from before its pause.
    two_hosts it;
    const auto paused = it.owner();
    const auto next = two_hosts::other_than(paused);
    REQUIRE(it.submit(paused, "running", 4, 16000));
    REQUIRE(eventually(5s, [&] { return it.starts("running") == 4; }));
    REQUIRE(it.submit(paused, "queued", 30, 300));
    it.cell.process(paused).send(SIGSTOP);
    REQUIRE(eventually(20s, [&] { return it.owner() == next; }));
    it.cell.process(paused).send(SIGCONT);
    REQUIRE(eventually(30s,
                       [&]
                       {
                           return it.state(next, "running") == "succeeded" &&
                                  it.state(next, "queued") == "succeeded";
                       }));
    CHECK(it.starts("running") == 4);
    CHECK(it.starts("queued") == 30);
    CHECK(it.most_at_once() == 1);
}

TEST_CASE("a planned stop of the owner hands its shard over")
{
    // Guards against a planned stop that leaves the shard without an owner
    // until the lease is over.
    two_hosts it;
    const auto owner = it.owner();
    const auto next = two_hosts::other_than(owner);
    REQUIRE(it.submit(owner, "running", 4, 8000));
    REQUIRE(eventually(5s, [&] { return it.starts("running") == 4; }));
    it.cell.process(owner).send(SIGTERM);
    const auto stopped_at = std::chrono::steady_clock::now();
    REQUIRE(eventually(10s, [&] { return it.owner() == next; }));
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - stopped_at);
    WARN("from SIGTERM to the next owner: " << took.count() << " ms");
    CHECK(took <= 4s);
    CHECK(it.cell.process(owner).wait() == 0);
    REQUIRE(eventually(20s, [&]
                       { return it.state(next, "running") == "succeeded"; }));
    CHECK(it.starts("running") == 4);
    CHECK(it.most_at_once() == 1);
}
