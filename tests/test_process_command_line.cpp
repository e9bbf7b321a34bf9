// The command line against real processes, as scripts use it.
#include "process_harness.hpp"

#include <set>

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

struct command_result
{
    int exit_status = 0;
    std::string output; ///< Both streams.
};

/// Runs `carobcourse` in the test's directory.
class command_line
{
public:
    command_line(const deployment& cell, std::string url)
        : log_(cell.directory() + "/command.log"), url_(std::move(url))
    {
    }

    command_result run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), deployment::binary("carobcourse"));
        child_process process(arguments, log_);
        const int status = process.wait();
        return {status, process.output()};
    }

    command_result client(std::vector<std::string> arguments,
                          const std::string& key = operator_key) const
    {
        for (const auto& each :
             {std::string("--url"), url_, std::string("--key"), key,
              std::string("--json")})
            arguments.push_back(each);
        return run(std::move(arguments));
    }

private:
    std::string log_;
    std::string url_;
};

json last_line(const std::string& output)
{
    const auto end = output.find_last_not_of('\n');
    const auto start = output.rfind('\n', end);
    return json::parse(output.substr(start + 1, end - start), nullptr, false);
}

std::string document(int version, int cpu_millis)
{
    return fmt::format("team = \"climbers\"\nversion = {}\n[limit]\n"
                       "cpu_millis = {}\nmemory_mb = 1000\n"
                       "[[service]]\nname = \"bookings\"\n",
                       version, cpu_millis);
}

} // namespace

TEST_CASE("check reports each problem and ends with 2")
{
    // Guards against a document that is only refused once it is applied.
    const deployment cell;
    const command_line commands(cell, "");
    const auto good = cell.directory() + "/good.toml";
    const auto bad = cell.directory() + "/bad.toml";
    std::ofstream(good) << document(0, 1000);
    std::ofstream(bad) << "team = \"Bad Name\"\nweight = 0\n";

    CHECK(commands.run({"check", good}).exit_status == 0);
    const auto refused = commands.run({"check", good, bad, "--json"});
    CHECK(refused.exit_status == 2);
    const auto problems = last_line(refused.output)["problems"];
    std::set<std::string> keys;
    for (const auto& each : problems)
    {
        CHECK(each["file"] == bad);
        keys.insert(each["key"].get<std::string>());
    }
    CHECK((keys == std::set<std::string>{"limit", "team", "weight"}));
    CHECK(commands.run({"check", cell.directory() + "/absent.toml"})
              .exit_status == 2);
}

TEST_CASE("team apply shows its changes, is idempotent and refuses an old base")
{
    // Guards against scripts that overwrite each other's documents.
    deployment cell;
    cell.add_data_centre("north");
    const auto url = cell.add_entry_host("north-1", "north");
    const command_line commands(cell, url);
    const auto file = cell.directory() + "/climbers.toml";
    const auto apply =
        [&](const std::string& text, std::vector<std::string> more = {})
    {
        std::ofstream(file) << text;
        more.insert(more.begin(), {"team", "apply", file});
        return commands.client(std::move(more));
    };

    const auto shown = apply(document(0, 1000), {"--dry-run"});
    CHECK(shown.exit_status == 0);
    CHECK(last_line(shown.output)["change"] == "new");
    CHECK(commands.client({"team", "show", "climbers"}).exit_status == 1);

    const auto applied = apply(document(0, 1000));
    REQUIRE(applied.exit_status == 0);
    const auto version = last_line(applied.output)["version"].get<int>();
    const auto again = apply(document(0, 1000));
    CHECK(again.exit_status == 0);
    CHECK(last_line(again.output)["change"] == "unchanged");

    const auto conflict = apply(document(0, 2000));
    CHECK(conflict.exit_status == 1);
    CHECK(conflict.output.find("CC-1501") != std::string::npos);
    const auto changed = apply(document(version, 2000), {"--dry-run"});
    REQUIRE(changed.exit_status == 0);
    const auto changes = last_line(changed.output)["changes"];
    REQUIRE(changes.size() == 1);
    CHECK(changes[0]["key"] == "/limit/cpu_millis");
    CHECK(changes[0]["from"] == 1000);
    CHECK(changes[0]["to"] == 2000);
    CHECK(apply(document(version, 2000)).exit_status == 0);

    CHECK(commands.client({"team", "remove", "climbers"}).exit_status == 0);
    CHECK(commands.client({"team", "show", "climbers"}).exit_status == 1);
    // Nothing listens on port 9.
    CHECK(commands.run({"team", "list", "--url", "http://127.0.0.1:9"})
              .exit_status == 3);
}

TEST_CASE("a request is repeated under its ticket and runs once")
{
    // Guards against a command line that can not repeat a booking safely.
    deployment cell;
    cell.add_data_centre("north");
    const auto url = cell.add_entry_host("north-1", "north");
    const auto key =
        add_team(url, "climb-desk", "[[service]]\nname = \"bookings\"\n");
    const command_line commands(cell, url);
    std::string ticket;
    REQUIRE(eventually(10s,
                       [&]
                       {
                           const auto given = commands.client({"ticket"}, key);
                           if (given.exit_status != 0)
                               return false;
                           ticket = last_line(given.output)["ticket"];
                           return true;
                       }));
    const std::vector<std::string> book{"request", "bookings", "slot-1",
                                        "--idempotency-key", ticket};
    command_result first;
    REQUIRE(eventually(10s,
                       [&]
                       {
                           first = commands.client(book, key);
                           return first.exit_status == 0;
                       }));
    const auto repeat = commands.client(book, key);
    CHECK(repeat.exit_status == 0);
    CHECK(last_line(repeat.output) == last_line(first.output));
    CHECK(cell.record("north")["requests"].size() == 1);
}
