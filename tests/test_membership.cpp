// Several entry hosts on a virtual clock: membership, freshness by grants,
// ownership during store outages, and propagation of changes.
#include "core_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

constexpr char service[] = "[[service]]\nname = \"bookings\"\n";

peer_mode generate_peer_mode()
{
    return GENERATE(peer_mode::mesh, peer_mode::summaries, peer_mode::mixed);
}

/// Two data centres with two entry hosts each, all registered and fresh.
class small_cell : public fake_cell
{
public:
    explicit small_cell(std::uint64_t seed, peer_mode mode = peer_mode::mesh)
        : fake_cell(seed)
    {
        full_mesh_hosts = [mode](const std::string& host)
        { return mesh_limit(mode, host); };
        for (const std::string data_centre : {"north", "south"})
        {
            for (int i = 1; i <= 4; ++i)
                add_worker(fmt::format("{}-w{}", data_centre, i), data_centre,
                           fmt::format("r{}", i % 2), {8000, 8000, 0});
            add_executor(data_centre + "-x1", data_centre, {"bookings"});
        }
        for (const auto& host : hosts)
            add_entry_host(host, host.substr(0, 5));
        run_for(10s);
        key = add_team("north-1", "climb-desk", service);
        run_for(5s);
    }

    bool is_fresh(const std::string& host)
    {
        const auto reply = call(host, "GET", "/healthz");
        return json::parse(reply.body)["config_fresh"].get<bool>();
    }

    /// Makes a request with the team's key. Returns the result code of the
    /// refusal, or an empty string when the request was served.
    std::string request(const std::string& host)
    {
        const auto reply =
            call(host, "POST", "/v1/services/bookings/requests", key, "slot");
        return reply.http_status == 200 ? std::string() : error_code(reply);
    }

    /// Counts log events with `code`, of one host or of all hosts.
    std::size_t count_logged(log_code code, const std::string& host = {}) const
    {
        return static_cast<std::size_t>(
            std::count_if(logs.begin(), logs.end(),
                          [&](const auto& each) {
                              return each.second.code == code &&
                                     (host.empty() || each.first == host);
                          }));
    }

    /// Returns the owner of a data centre's shard according to its table row.
    std::string owner(const std::string& data_centre)
    {
        const auto answer = table().scan("shard", "", "", 100);
        for (const auto& item : answer.body["rows"])
        {
            if (item["key"].get<std::string>().find(data_centre) !=
                std::string::npos)
                return json::parse(item["value"].get<std::string>())["owner"];
        }
        return {};
    }

    std::set<std::string> member_rows()
    {
        std::set<std::string> rows;
        const auto answer = table().scan("member", "", "", 100);
        for (const auto& item : answer.body["rows"])
            rows.insert(item["key"].get<std::string>());
        return rows;
    }

    void submit(const std::string& host, const std::string& job, int tasks,
                int run_ms)
    {
        const json body{
            {"id", job},
            {"tasks", tasks},
            {"resources", {{"cpu_millis", 1000}, {"memory_mb", 100}}},
            {"run_ms", run_ms}};
        REQUIRE(call(host, "POST", "/v1/jobs", key, body.dump()).http_status ==
                202);
    }

    /// Cuts a host off from the platform and its peers, or reconnects it.
    void set_isolated(const std::string& host, bool cut)
    {
        set_platform_cut(host, cut);
        for (const auto& other : hosts)
        {
            if (other != host)
                set_cut(host, other, cut);
        }
    }

    static inline const std::vector<std::string> hosts = {"north-1", "north-2",
                                                          "south-1", "south-2"};
    std::string key;
};

/// Returns the other entry host of the same data centre.
std::string other_host_of(const std::string& host)
{
    return host.substr(0, 6) + (host.back() == '1' ? "2" : "1");
}

} // namespace

TEST_CASE("every entry host is registered and deletes its row when it stops")
{
    // Guards against rows of stopped hosts that keep the others waiting for
    // grants.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    small_cell cell(1, mode);
    CHECK(cell.member_rows() == std::set<std::string>(small_cell::hosts.begin(),
                                                      small_cell::hosts.end()));
    cell.request_stop("south-2");
    REQUIRE(cell.run_until(10s, [&] { return cell.is_stopped("south-2"); }));
    CHECK(cell.member_rows().count("south-2") == 0);
    cell.run_for(5s);
    cell.store.down = true;
    cell.run_for(20s);
    CHECK(cell.is_fresh("north-1"));
}

TEST_CASE("the row of a dead host is removed only when the host list drops it")
{
    // Guards against removing a host that is down but still listed.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    small_cell cell(2, mode);
    cell.kill("south-2");
    cell.run_for(30s);
    CHECK(cell.member_rows().count("south-2") == 1);
    cell.unlist("south-2");
    cell.run_for(5s);
    CHECK(cell.member_rows().count("south-2") == 0);
}

TEST_CASE("rows of hosts that were never listed do not block changes forever")
{
    // Occurs when all hosts are replaced at once: the new ones never saw the
    // old ones in the host list and would wait for them.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    small_cell cell(11, mode);
    for (const auto& host : small_cell::hosts)
    {
        cell.kill(host);
        cell.unlist(host);
    }
    cell.run_for(5s);
    cell.add_entry_host("north-3", "north");
    cell.add_entry_host("south-3", "south");
    cell.run_for(30s);
    // The old rows stay for now: an unlisted host may just be new.
    CHECK(cell.member_rows().size() == 6);
    cell.run_for(45s);
    CHECK(cell.member_rows() == std::set<std::string>{"north-3", "south-3"});
    const auto id = cell.key.substr(4, 12);
    CHECK(cell.call("north-3", "DELETE", "/v1/keys/" + id, operator_key)
              .http_status == 200);
}

TEST_CASE("an unlisted host that sends heartbeats keeps its row")
{
    // Guards against removing a live host because the host list lags.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    small_cell cell(12, mode);
    cell.add_entry_host("south-3", "south");
    cell.hide("south-3");
    cell.run_for(120s);
    CHECK(cell.member_rows().count("south-3") == 1);
}

TEST_CASE("hosts stay fresh and keep their shards during a store outage")
{
    // Guards against a store outage that stops requests with a key.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        INFO("seed " << seed);
        small_cell cell(seed, mode);
        cell.duplicate_peer_message = seed % 2 == 0 ? 0.5 : 0;
        const auto lost = cell.count_logged(log_code::shard_lost);
        const auto acquired = cell.count_logged(log_code::shard_acquired);
        cell.store.down = true;
        for (int i = 0; i < 60; ++i)
        {
            cell.run_for(1s);
            for (const auto& host : small_cell::hosts)
            {
                INFO("second " << i << " at " << host);
                REQUIRE(cell.is_fresh(host));
                REQUIRE(cell.request(host).empty());
            }
        }
        cell.store.down = false;
        cell.run_for(20s);
        CHECK(cell.count_logged(log_code::shard_lost) == lost);
        CHECK(cell.count_logged(log_code::shard_acquired) == acquired);
    }
}

TEST_CASE("an isolated host is not fresh after 4 s and loses its shard")
{
    // Guards against a partitioned host that acts on an outdated configuration
    // or owns a shard at the same time as another host.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        INFO("seed " << seed);
        small_cell cell(seed, mode);
        const auto owner = cell.owner("north");
        const auto other = other_host_of(owner);
        cell.submit(owner, "j1", 8, 60000);
        cell.run_for(5s);
        cell.set_isolated(owner, true);
        cell.run_for(4s);
        CHECK_FALSE(cell.is_fresh(owner));
        CHECK(cell.request(owner) == "CC-1202");
        // The other host acquires the shard only after this one has lost it.
        const auto lost = cell.count_logged(log_code::shard_lost, owner);
        const auto acquired =
            cell.count_logged(log_code::shard_acquired, other);
        REQUIRE(cell.run_until(
            30s,
            [&]
            {
                const bool taken = cell.count_logged(log_code::shard_acquired,
                                                     other) > acquired;
                if (taken)
                    CHECK(cell.count_logged(log_code::shard_lost, owner) >
                          lost);
                return taken;
            }));
        CHECK(cell.request(other).empty());
        cell.set_isolated(owner, false);
        cell.run_for(10s);
        CHECK(cell.is_fresh(owner));
        cell.run_for(60s);
        CHECK(cell.overlapping_tasks().empty());
        CHECK(cell.count_starts("j1") == 8);
    }
}

TEST_CASE(
    "an owner that reaches its peers but not the platform keeps its shard")
{
    // Guards against a takeover from an owner that relies on grants: its row is
    // not renewed, while the other host can read and write the table.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        INFO("seed " << seed);
        small_cell cell(seed, mode);
        const auto owner = cell.owner("north");
        const auto acquired = cell.count_logged(log_code::shard_acquired);
        cell.set_platform_cut(owner, true);
        cell.run_for(60s);
        CHECK(cell.owner("north") == owner);
        CHECK(cell.count_logged(log_code::shard_acquired) == acquired);
        CHECK(cell.count_logged(log_code::shard_lost) == 0);
        CHECK(cell.request(owner).empty());
        // Without its peers it gives up the shard, and the other takes it over.
        cell.set_isolated(owner, true);
        cell.run_for(5s);
        CHECK(cell.count_logged(log_code::shard_lost, owner) == 1);
        cell.run_for(10s);
        CHECK(cell.owner("north") == other_host_of(owner));
    }
}

TEST_CASE(
    "a host that resumes after a pause acts neither as fresh nor as owner")
{
    // Guards against deadlines that are checked only by timers, which do not
    // fire during a pause.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        INFO("seed " << seed);
        small_cell cell(seed, mode);
        const auto owner = cell.owner("south");
        cell.submit(owner, "j1", 8, 60000);
        cell.run_for(5s);
        cell.pause(owner);
        cell.run_for(29s);
        const auto id = cell.send(
            owner, "POST", "/v1/services/bookings/requests", cell.key, "slot");
        cell.run_for(1s);
        const auto acquired =
            cell.count_logged(log_code::shard_acquired, owner);
        CHECK(cell.owner("south") == other_host_of(owner));
        cell.resume(owner);
        REQUIRE(cell.answers.count(id) == 1);
        CHECK(fake_cell::error_code(cell.answers.at(id)) == "CC-1202");
        cell.run_for(10s);
        CHECK(cell.is_fresh(owner));
        cell.run_for(60s);
        CHECK(cell.count_logged(log_code::shard_acquired, owner) == acquired);
        CHECK(cell.overlapping_tasks().empty());
        CHECK(cell.count_starts("j1") == 8);
    }
}

TEST_CASE("a withdrawn key stops working within 5 s at every host")
{
    // Guards against a change that a host misses because it relies on grants or
    // relayed reads, while messages are lost or duplicated and links are cut.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
    {
        INFO("seed " << seed);
        small_cell cell(seed, mode);
        // North-2 reaches only its peers; with some seeds it also loses the
        // connection to the host that makes the change.
        cell.set_platform_cut("north-2", true);
        if (seed % 2 == 0)
        {
            cell.lose_peer_message = 0.3;
            cell.duplicate_peer_message = 0.3;
        }
        cell.run_for(10s);
        const auto id = cell.key.substr(4, 12);
        const auto withdrawal =
            cell.send("south-1", "DELETE", "/v1/keys/" + id, operator_key);
        if (seed % 3 == 0)
        {
            cell.run_for(std::chrono::milliseconds(seed));
            cell.set_cut("south-1", "north-2", true);
        }
        REQUIRE(cell.run_until(30s, [&]
                               { return cell.answers.count(withdrawal) > 0; }));
        REQUIRE(cell.answers.at(withdrawal).http_status == 200);
        cell.run_for(5s);
        for (int i = 0; i < 20; ++i)
        {
            for (const auto& host : small_cell::hosts)
            {
                INFO(host << " after " << 5000 + 500 * i << " ms");
                CHECK_FALSE(cell.request(host).empty());
            }
            cell.run_for(500ms);
        }
    }
}

TEST_CASE("a change with an unknown outcome voids the grants of its writer")
{
    // Guards against peers that stay fresh by grants of a host whose change was
    // written while the reply to it was lost.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    small_cell cell(7, mode);
    const auto id = cell.key.substr(4, 12);
    const auto writes = cell.store_writes;
    cell.store.lose_replies = 1000;
    cell.send("south-1", "DELETE", "/v1/keys/" + id, operator_key);
    REQUIRE(cell.run_until(10s,
                           [&]
                           {
                               const auto rows =
                                   cell.table().scan("config_log", "", "", 100);
                               return rows.body["rows"].size() > 2;
                           }));
    CHECK(cell.store_writes > writes);
    cell.store.down = true;
    cell.run_for(5s);
    for (int i = 5; i < 30; ++i)
    {
        for (const auto& host : small_cell::hosts)
        {
            INFO(host << " after " << i << " s");
            REQUIRE(cell.request(host) == "CC-1202");
        }
        cell.run_for(1s);
    }
    cell.store.lose_replies = 0;
    cell.store.down = false;
    cell.run_for(5s);
    for (const auto& host : small_cell::hosts)
        CHECK(cell.request(host) == "CC-1011");
}

TEST_CASE("a new host makes no change until every registered host knows it")
{
    // Guards against a change by a host that others do not require grants from.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    small_cell cell(8, mode);
    cell.set_platform_cut("north-1", true); // It cannot read the new row.
    cell.run_for(5s);
    cell.set_cut("south-3", "north-1", true);
    cell.add_entry_host("south-3", "south");
    cell.run_for(10s);
    const auto id = cell.key.substr(4, 12);
    const auto change =
        cell.send("south-3", "DELETE", "/v1/keys/" + id, operator_key);
    cell.run_for(20s);
    CHECK(cell.answers.count(change) == 0);
    CHECK(cell.request("north-1").empty());
    cell.set_cut("south-3", "north-1", false);
    cell.run_until(10s, [&] { return cell.answers.count(change) > 0; });
    CHECK(cell.answers.count(change) == 1);
    cell.run_for(5s);
    CHECK_FALSE(cell.request("north-1").empty());
}

TEST_CASE("the death of a host during a store outage ends freshness by grants")
{
    // Guards against counting as fresh without a grant of every registered
    // host.
    const auto mode = generate_peer_mode();
    INFO("mode " << static_cast<int>(mode));
    small_cell cell(9, mode);
    cell.store.down = true;
    cell.run_for(10s);
    CHECK(cell.is_fresh("north-1"));
    cell.kill("south-2");
    cell.run_for(4s);
    CHECK_FALSE(cell.is_fresh("north-1"));
    cell.store.down = false;
    cell.run_for(5s);
    CHECK(cell.is_fresh("north-1"));
}

TEST_CASE("measures heartbeat traffic and the propagation time of a change",
          "[.figures]")
{
    small_cell cell(10);
    cell.measures_peers = true;
    const auto before = cell.peer_bytes;
    cell.run_for(60s);
    const auto links =
        small_cell::hosts.size() * (small_cell::hosts.size() - 1);
    fmt::print("{:.0f} bytes/s for each peer, both messages\n",
               static_cast<double>(cell.peer_bytes - before) / 60.0 /
                   static_cast<double>(links));
    for (int i = 0; i < 5; ++i)
    {
        const auto began = cell.now();
        const auto reply =
            cell.call("south-1", "PUT", "/v1/datacentres/north", operator_key,
                      json{{"state", i % 2 == 0 ? "out" : "in"}}.dump());
        REQUIRE(reply.http_status == 200);
        const auto accepted = cell.now();
        const auto version =
            json::parse(reply.body)["version"].get<std::uint64_t>();
        REQUIRE(cell.run_until(
            10s,
            [&]
            {
                return std::all_of(
                    small_cell::hosts.begin(), small_cell::hosts.end(),
                    [&](const auto& host)
                    {
                        return json::parse(cell.call(host, "GET", "/healthz")
                                               .body)["config_version"] >=
                               version;
                    });
            }));
        fmt::print("accepted after {} ms, in force everywhere {} ms later\n",
                   (accepted - began).count() / 1000,
                   (cell.now() - accepted).count() / 1000);
        cell.run_for(3s);
    }
}
