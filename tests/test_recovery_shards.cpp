// Several shards in one data centre.
#include "core_harness.hpp"
#include "shard_map_p.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t shard_count = 3;

std::string job_body(const std::string& id, int tasks, int run_ms)
{
    return json{{"id", id},
                {"tasks", tasks},
                {"run_ms", run_ms},
                {"resources", {{"cpu_millis", 1000}, {"memory_mb", 100}}}}
        .dump();
}

host_entry worker_in(const std::string& id, const std::string& rack)
{
    host_entry host;
    host.id = id;
    host.data_centre = "north";
    host.rack = rack;
    host.capacity = {4000, 8000, 0};
    return host;
}

/// Cell with one data centre that has one rack, with two workers, per shard.
struct sharded_cell
{
    explicit sharded_cell(std::uint64_t seed) : cell(seed)
    {
        cell.shards_per_data_centre = shard_count;
        const shard_map map(shard_count);
        std::set<std::uint32_t> seen;
        for (int i = 0; seen.size() < shard_count; ++i)
        {
            const auto rack = fmt::format("r{}", i);
            const auto index = map.shard_index_of(worker_in("", rack));
            if (!seen.insert(index).second)
                continue;
            for (const auto* name : {"a", "b"})
                cell.add_worker(fmt::format("w{}{}", index, name), "north",
                                rack, {4000, 8000, 0});
        }
        cell.add_entry_host("north-1", "north");
        cell.add_entry_host("north-2", "north");
        cell.run_for(20s);
        key = cell.add_team("north-1", "climb-desk");
    }

    /// Returns the number of shards of each owner, as stored in the table.
    std::map<std::string, int> shards_by_owner()
    {
        std::map<std::string, int> counts;
        const auto answer = cell.table().scan("shard", "north.", "", 100);
        for (const auto& row : answer.body["rows"])
        {
            const auto value = json::parse(row["value"].get<std::string>());
            ++counts[value.value("owner", std::string())];
        }
        return counts;
    }
    bool is_succeeded(const std::string& host, const std::string& job)
    {
        const auto reply = cell.call(host, "GET", "/v1/jobs/" + job, key);
        return json::parse(reply.body).value("state", "") == "succeeded";
    }
    /// Submits a job through a host and returns its home shard.
    std::string submit(const std::string& host, const std::string& body)
    {
        const auto reply = cell.call(host, "POST", "/v1/jobs", key, body);
        INFO(reply.body);
        REQUIRE(reply.http_status == 202);
        return json::parse(reply.body)["home"];
    }
    bool has_logged(const std::string& host, log_code code) const
    {
        return std::any_of(cell.logs.begin(), cell.logs.end(),
                           [&](const auto& item) {
                               return item.first == host &&
                                      item.second.code == code;
                           });
    }

    fake_cell cell;
    std::string key;
};

} // namespace

TEST_CASE("all workers of a rack are in the same shard and no worker is in two")
{
    // Guards against a worker that is in two shards or in none, and against a
    // shard without racks.
    shard_map map(4);
    std::vector<host_entry> hosts;
    hosts.reserve(241);
    for (int i = 0; i < 240; ++i)
        hosts.push_back(
            worker_in(fmt::format("w{}", i), fmt::format("r{}", i / 6)));
    hosts.push_back(worker_in("alone", ""));
    map.set_hosts(hosts);
    std::map<std::string, std::uint32_t> shard_of_rack;
    std::size_t workers = 0;
    for (std::uint32_t index = 0; index < 4; ++index)
    {
        // An even division would give each shard 10 racks, or 60 workers.
        CHECK(map.workers("north", index).size() >= std::size_t{24});
        for (const auto& host : map.workers("north", index))
        {
            ++workers;
            if (!host.rack.empty())
                CHECK(shard_of_rack.emplace(host.rack, index).first->second ==
                      index);
        }
    }
    CHECK(workers == hosts.size());
    CHECK(shard_of_rack.size() == 40);
}

TEST_CASE("a host configured with another number of shards acquires none")
{
    // Guards against two different divisions of the workers in use at once,
    // which would give a worker two owners (I1).
    sharded_cell fixture(601);
    fixture.cell.shards_per_data_centre = 2;
    fixture.cell.add_entry_host("north-3", "north");
    fixture.cell.run_for(5s);
    const auto health = fixture.cell.call("north-3", "GET", "/readyz");
    CHECK(health.http_status == 503);
    CHECK(fixture.has_logged("north-3", log_code::shards_differ));
    const auto refused = fixture.cell.call("north-3", "POST", "/v1/jobs",
                                           fixture.key, job_body("j1", 1, 500));
    CHECK(fake_cell::error_code(refused) == "CC-1205");
    fixture.cell.kill("north-1");
    fixture.cell.kill("north-2");
    fixture.cell.run_for(60s);
    CHECK(fixture.shards_by_owner().count("north-3") == 0);
    CHECK_FALSE(fixture.has_logged("north-3", log_code::shard_acquired));
}

TEST_CASE("jobs run in every shard and every host answers calls on them")
{
    // Guards against results, timers and calls that are passed to the wrong
    // shard.
    sharded_cell fixture(611);
    std::set<std::string> homes;
    for (int i = 0; i < 12; ++i)
        homes.insert(fixture.submit(i % 2 == 0 ? "north-1" : "north-2",
                                    job_body(fmt::format("j{}", i), 1, 10000)));
    CHECK(homes.size() == shard_count);
    // The first start of a team in a shard waits for the team's allotment.
    CHECK(fixture.cell.run_until(
        8s, [&] { return fixture.cell.task_record().size() == 12; }));
    for (const auto* host : {"north-1", "north-2"})
    {
        const auto job = host == std::string("north-1") ? "j1" : "j2";
        const auto cancel = fixture.cell.call(
            host, "POST", std::string("/v1/jobs/") + job + "/cancel",
            fixture.key);
        CHECK(cancel.http_status == 202);
    }
    fixture.cell.run_for(20s);
    for (const auto* host : {"north-1", "north-2"})
    {
        CHECK(fixture.is_succeeded(host, "j0"));
        CHECK(fixture.is_succeeded(host, "j11"));
        CHECK_FALSE(fixture.is_succeeded(host, "j1"));
        CHECK_FALSE(fixture.is_succeeded(host, "j2"));
    }
    CHECK(fixture.cell.overlapping_tasks().empty());
}

TEST_CASE("hosts share the shards and a surviving host takes all of them over")
{
    // Guards against one host that owns all shards while another one is alive,
    // a shard that no host acquires, and tasks that a takeover or a handover
    // interrupts.
    sharded_cell fixture(621);
    const auto shared = [&]
    {
        const auto owners = fixture.shards_by_owner();
        return owners.count("north-1") == 1 && owners.count("north-2") == 1 &&
               owners.size() == 2;
    };
    CHECK(shared());
    for (int i = 0; i < 6; ++i)
        fixture.submit("north-1", job_body(fmt::format("j{}", i), 1, 150000));
    fixture.cell.run_for(5s);
    fixture.cell.kill("north-1");
    CHECK(fixture.cell.run_until(25s,
                                 [&]
                                 {
                                     return fixture.shards_by_owner() ==
                                            std::map<std::string, int>{
                                                {"north-2", int(shard_count)}};
                                 }));
    fixture.submit("north-2", job_body("k1", 1, 500));
    fixture.cell.run_for(15s);
    CHECK(fixture.is_succeeded("north-2", "k1"));
    fixture.cell.add_entry_host("north-1", "north");
    CHECK(fixture.cell.run_until(60s, shared));
    fixture.cell.run_for(150s);
    for (int i = 0; i < 6; ++i)
    {
        const auto job = fmt::format("j{}", i);
        CHECK(fixture.cell.count_starts(job) == 1);
        CHECK(fixture.is_succeeded("north-1", job));
    }
    CHECK(fixture.cell.overlapping_tasks().empty());
}

TEST_CASE("a planned stop hands every shard over")
{
    // Guards against a stop that waits for the release of only one shard.
    sharded_cell fixture(631);
    fixture.cell.request_stop("north-2");
    CHECK(fixture.cell.run_until(
        10s, [&] { return fixture.cell.is_stopped("north-2"); }));
    CHECK(fixture.cell.run_until(15s,
                                 [&]
                                 {
                                     return fixture.shards_by_owner() ==
                                            std::map<std::string, int>{
                                                {"north-1", int(shard_count)}};
                                 }));
}

TEST_CASE("every shard of a data centre that is taken out moves its jobs")
{
    // Guards against jobs that remain in one of the shards (I5).
    sharded_cell fixture(641);
    fixture.cell.add_worker("s1", "south", "r1", {16000, 32000, 0});
    fixture.cell.add_entry_host("south-1", "south");
    fixture.cell.run_for(20s);
    for (int i = 0; i < 6; ++i)
        fixture.submit("north-1", job_body(fmt::format("j{}", i), 1, 20000));
    fixture.cell.run_for(5s);
    const auto out =
        fixture.cell.call("north-1", "PUT", "/v1/datacentres/north",
                          operator_key, json{{"state", "out"}}.dump());
    REQUIRE(out.http_status == 200);
    fixture.cell.run_for(60s);
    for (int i = 0; i < 6; ++i)
        CHECK(fixture.is_succeeded("south-1", fmt::format("j{}", i)));
    CHECK(fixture.cell.overlapping_tasks().empty());
}

TEST_CASE("a host that starts first leaves the other hosts time to take shards")
{
    // Guards against a first host that acquires every shard because the delay
    // for shards beyond the fair share has already passed when it learns of its
    // peers.
    const time_point start(1h);
    shard_balance balance(4);
    balance.on_tick(start, true);
    CHECK_FALSE(balance.may_acquire(start, start));
    balance.on_peer_count(start + 2s, "north-2", 0);
    balance.on_tick(start + 6s, true);
    CHECK(balance.may_acquire(start + 6s, start));
    balance.note_held("north.0");
    balance.note_held("north.1");
    CHECK_FALSE(balance.may_acquire(start + 6s, start));
    CHECK(balance.may_acquire(start + 9s, start));
}
