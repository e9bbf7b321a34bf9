// Entry hosts at the target size on a virtual clock, 17 data centres with 8
// entry hosts each: traffic between them, freshness of the configuration, and
// the spread of changes.
#include "core_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

/// Bound of the requirements for the peer traffic of one entry host, sent and
/// received together.
constexpr double max_bytes_per_second = 8000;

/// A cell with `data_centres` times `hosts_each` entry hosts that have loaded a
/// configuration. `mesh` is the number of hosts up to which each asks all
/// others directly.
class large_cell : public fake_cell
{
public:
    large_cell(std::uint64_t seed, int data_centres, int hosts_each,
               std::size_t mesh = config::full_mesh_hosts)
        : fake_cell(seed)
    {
        full_mesh_hosts = [mesh](const std::string&) { return mesh; };
        for (int d = 0; d < data_centres; ++d)
        {
            for (int h = 0; h < hosts_each; ++h)
            {
                hosts.push_back(fmt::format("dc{:02}-{}", d, h));
                add_entry_host(hosts.back(), hosts.back().substr(0, 4));
            }
        }
        run_for(12s);
        // The change gives every host a configuration to load.
        REQUIRE(change(hosts.front(), "out").http_status == 200);
        run_for(5s);
    }

    api_reply change(const std::string& host, const std::string& state)
    {
        return call(host, "PUT", "/v1/datacentres/dc00", operator_key,
                    json{{"state", state}}.dump());
    }

    json health(const std::string& host)
    {
        return json::parse(call(host, "GET", "/healthz").body);
    }

    /// Returns the number of hosts that are alive and have a fresh
    /// configuration.
    std::size_t count_fresh()
    {
        std::size_t count = 0;
        std::vector<call_id> calls;
        for (const auto& host : hosts)
        {
            if (is_alive(host))
                calls.push_back(send(host, "GET", "/healthz"));
        }
        for (const auto id : calls)
            count += json::parse(answers.at(id).body)["config_fresh"] == true
                         ? 1
                         : 0;
        return count;
    }

    /// Returns true when all hosts have at least this version.
    bool all_have(std::uint64_t version)
    {
        std::vector<call_id> calls;
        for (const auto& host : hosts)
            calls.push_back(send(host, "GET", "/healthz"));
        return std::all_of(
            calls.begin(), calls.end(),
            [&](const auto id) {
                return json::parse(answers.at(id).body)["config_version"] >=
                       version;
            });
    }

    /// Bytes and messages per second and host.
    struct traffic
    {
        double mean_sent = 0;
        double max_sent = 0;
        double max_total = 0; ///< Sent and received by one host.
        double messages = 0;
    };

    /// Runs the cell for `seconds` and measures its peer traffic.
    traffic measure(int seconds)
    {
        measures_peers = true;
        peer_bytes = 0;
        peer_bytes_from.clear();
        peer_bytes_to.clear();
        const auto messages = peer_messages;
        run_for(std::chrono::seconds(seconds));
        measures_peers = false;
        traffic found;
        for (const auto& host : hosts)
        {
            const auto sent = static_cast<double>(peer_bytes_from[host]);
            const auto received = static_cast<double>(peer_bytes_to[host]);
            found.max_sent = std::max(found.max_sent, sent / seconds);
            found.max_total =
                std::max(found.max_total, (sent + received) / seconds);
        }
        const auto each = static_cast<double>(hosts.size()) * seconds;
        found.mean_sent = static_cast<double>(peer_bytes) / each;
        found.messages = static_cast<double>(peer_messages - messages) / each;
        return found;
    }

    std::vector<std::string> hosts;
};

} // namespace

TEST_CASE(
    "peer traffic stays within 8 KB/s per host at the target size, also while "
    "the store is down")
{
    // Guards against traffic of a host that grows with the number of all hosts,
    // and against a reduction of traffic that makes the configuration stale
    // while the store is down.
    large_cell cell(1, 17, 8);
    CHECK(cell.measure(5).max_total <= max_bytes_per_second);
    cell.store.down = true;
    for (int i = 0; i < 8; ++i)
    {
        INFO("second " << i);
        CHECK(cell.count_fresh() == cell.hosts.size());
        cell.run_for(1s);
    }
    CHECK(cell.measure(5).max_total <= max_bytes_per_second);
    CHECK(cell.count_fresh() == cell.hosts.size());
}

TEST_CASE("a data centre cut off from the platform stays fresh when any of its "
          "hosts is lost")
{
    // Guards against a data centre that depends on one of its hosts for reports
    // from the others. It can not read the table and depends on relayed reads.
    const auto lost_index = GENERATE(0, 1, 16);
    const bool dies = GENERATE(true, false);
    // With one other data centre there is one reporter, the first host. The
    // cell is too large for every host to ask all others directly.
    large_cell cell(3, 2, 17);
    for (int i = 0; i < 17; ++i)
        cell.set_platform_cut(fmt::format("dc01-{}", i), true);
    cell.run_for(10s);
    CHECK(cell.count_fresh() == 34);
    const auto reporter = fmt::format("dc01-{}", lost_index);
    if (dies)
        cell.kill(reporter);
    else
        cell.pause(reporter);
    for (int i = 0; i < 20; ++i)
    {
        cell.run_for(500ms);
        for (const auto& host : cell.hosts)
        {
            INFO(host << " after " << 500 * (i + 1) << " ms");
            if (host != reporter)
                REQUIRE(cell.health(host)["config_fresh"] == true);
        }
    }
    if (dies)
        return;
    // After the host resumes, all hosts are granted freshness again, also
    // without the table.
    cell.store.down = true;
    cell.run_for(10s);
    CHECK_FALSE(cell.health("dc00-0")["config_fresh"].get<bool>());
    cell.resume(reporter);
    cell.run_for(4s);
    CHECK(cell.count_fresh() == 34);
}

TEST_CASE("prints the peer traffic by size of the cell", "[.figures]")
{
    struct size
    {
        int data_centres;
        int hosts_each;
    };
    const auto cell_size =
        GENERATE(size{2, 2}, size{3, 3}, size{17, 2}, size{17, 8});
    const auto mesh =
        GENERATE(as<std::size_t>{}, config::full_mesh_hosts, 1000);
    large_cell cell(2, cell_size.data_centres, cell_size.hosts_each, mesh);
    const auto print = [&](const char* state)
    {
        const auto found = cell.measure(10);
        fmt::print("{} hosts, mesh up to {}, {}: sent {:.0f} B/s mean, {:.0f} "
                   "B/s max; sent and received {:.0f} B/s max; {:.1f} "
                   "messages/s sent; fresh {}\n",
                   cell.hosts.size(), mesh, state, found.mean_sent,
                   found.max_sent, found.max_total, found.messages,
                   cell.count_fresh());
    };
    print("store up");
    for (int i = 0; i < 3; ++i)
    {
        const auto began = cell.now();
        const auto before = cell.peer_messages;
        const auto reply =
            cell.change(cell.hosts[1], i % 2 == 0 ? "in" : "out");
        REQUIRE(reply.http_status == 200);
        const auto accepted = cell.now();
        const auto version =
            json::parse(reply.body)["version"].get<std::uint64_t>();
        REQUIRE(cell.run_until(13s, [&] { return cell.all_have(version); }));
        fmt::print("  accepted after {} ms, in force everywhere {} ms later, "
                   "{} peer messages meanwhile\n",
                   (accepted - began).count() / 1000,
                   (cell.now() - accepted).count() / 1000,
                   cell.peer_messages - before);
        cell.run_for(3s);
    }
    cell.store.down = true;
    cell.run_for(10s);
    print("store down");
}
