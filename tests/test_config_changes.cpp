#include "core_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

std::string document(const std::string& team, std::uint64_t base,
                     std::int64_t cpu_millis, const std::string& more = {})
{
    return fmt::format("team = \"{}\"\nversion = {}\n[limit]\n"
                       "cpu_millis = {}\nmemory_mb = 100000\n{}",
                       team, base, cpu_millis, more);
}

api_reply put(fake_cell& cell, const std::string& host, const std::string& team,
              const std::string& text)
{
    return cell.call(host, "PUT", "/v1/teams/" + team, operator_key, text);
}

json body(const api_reply& reply)
{
    return json::parse(reply.body);
}

void add_hosts(fake_cell& cell, int count)
{
    for (int i = 0; i < count; ++i)
        cell.add_entry_host("n" + std::to_string(i), "north");
    cell.run_for(3s);
}

/// A core alone, with its table operations answered by the test.
struct lone_host
{
    lone_host()
        : entropy(3),
          core({"a", "north", "i", "", operator_key, 1s}, 3, entropy)
    {
        settle();
    }

    /// Answers reads and scans until nothing more comes; keeps commits.
    void settle()
    {
        for (int i = 0; i < 200; ++i)
        {
            now += 20ms;
            take(core.handle(now, timer_tick{}));
        }
    }

    void take(const effects& list)
    {
        for (const auto& what : list)
        {
            if (const auto* commit = std::get_if<store_commit>(&what))
            {
                if (commit->op.owner == component::config)
                    commits.push_back(*commit);
                else if (commit->op.owner == component::members)
                    execute(*commit, false); // Registers the host.
            }
            else if (const auto* read = std::get_if<store_read>(&what))
                answer(read->op, table.read(read->table, read->key));
            else if (const auto* scan = std::get_if<store_scan>(&what))
                answer(scan->op, table.scan(scan->table, scan->prefix,
                                            scan->after, scan->limit));
            else if (const auto* reply = std::get_if<api_reply>(&what))
                answers[reply->id] = *reply;
        }
    }

    void answer(const op_id& op, const standin::response& found)
    {
        take(core.handle(now, read_result(op, found)));
    }

    /// Executes a commit; the reply may be lost.
    bool execute(const store_commit& commit, bool lose_reply)
    {
        const auto done = table.commit(commit_body(commit));
        auto result = commit_result(commit.op, done);
        if (lose_reply)
            result.status = store_status::unknown;
        take(core.handle(now, result));
        return done.status == 200;
    }

    void call(call_id id, const std::string& method, const std::string& path,
              const std::string& text)
    {
        api_call call;
        call.id = id;
        call.method = method;
        call.path = path;
        call.key = operator_key;
        call.body = text;
        take(core.handle(now, call));
    }

    seeded_entropy entropy;
    entry_host core;
    standin::table_store table;
    time_point now{1h};
    std::deque<store_commit> commits;
    std::map<call_id, api_reply> answers;
};

} // namespace

TEST_CASE("a commit that takes effect after the read-back is not refused")
{
    // Guards against "not run" for a change that is still on its way: the
    // reply is lost, the read-back finds nothing, and the commit arrives
    // later. A change of nothing at the same version must exclude it first.
    const bool late_wins = GENERATE(true, false);
    lone_host host;
    host.call(1, "PUT", "/v1/teams/climb", document("climb", 0, 1000));
    host.settle();
    REQUIRE(host.commits.size() == 1);
    const auto first = host.commits.front();
    host.commits.pop_front();
    store_result lost;
    lost.op = first.op;
    host.take(host.core.handle(host.now, lost));
    CHECK(host.answers.count(1) == 0);
    REQUIRE(host.commits.size() == 1);
    const auto excluding = host.commits.front();
    host.commits.pop_front();
    json ops = json::array();
    if (late_wins)
    {
        // The late commit takes effect before the change of nothing.
        const auto versions = host.answers.size();
        store_commit late = first;
        late.op.sequence = 999999;
        CHECK(host.execute(late, false));
        CHECK(host.answers.size() == versions);
        CHECK_FALSE(host.execute(excluding, false));
        host.settle();
    }
    else
    {
        CHECK(host.execute(excluding, false));
        CHECK_FALSE(host.execute(first, true)); // Too late now.
        host.settle();
        REQUIRE(host.commits.size() == 1); // Sent again on the new head.
        CHECK(host.execute(host.commits.front(), false));
        host.settle();
    }
    REQUIRE(host.answers.count(1) == 1);
    CHECK(host.answers[1].http_status == 200);
    host.call(2, "GET", "/v1/teams/climb", "");
    host.settle();
    CHECK(body(host.answers[2])["version"] == (late_wins ? 1 : 2));
}

TEST_CASE("an outcome that can not be settled is answered as unknown")
{
    // Guards against a refusal as "not run" while the commit may yet take
    // effect, and against an operator who waits for ever.
    lone_host host;
    host.call(1, "PUT", "/v1/teams/climb", document("climb", 0, 1000));
    host.settle();
    for (int i = 0; i < 200 && host.answers.empty(); ++i)
    {
        auto commits = std::exchange(host.commits, {});
        for (const auto& commit : commits)
        {
            store_result lost;
            lost.op = commit.op;
            host.take(host.core.handle(host.now, lost));
        }
        host.settle();
    }
    REQUIRE(host.answers.count(1) == 1);
    CHECK(fake_cell::error_code(host.answers[1]) == "CC-1204");
    CHECK(body(host.answers[1])["error"]["ran"] == "unknown");
}

TEST_CASE("a host whose member row was removed can write no change")
{
    // Guards against a commit, or one that is on its way, of a host that the
    // others no longer ask for promises.
    lone_host host;
    host.call(1, "PUT", "/v1/teams/climb", document("climb", 0, 1000));
    host.settle();
    REQUIRE(host.commits.size() == 1);
    const auto on_its_way = host.commits.front();
    host.commits.pop_front();
    const auto remove = [&]
    {
        REQUIRE(host.table
                    .commit({{"ops",
                              {{{"table", "member"},
                                {"key", "a"},
                                {"value", json()}}}}})
                    .status == 200);
    };
    remove();
    CHECK_FALSE(host.execute(on_its_way, false));
    CHECK(host.table.scan("config_log", "", "", 10).body["rows"].empty());
    // It registers again, and then the change is accepted.
    host.settle();
    for (int i = 0; i < 3 && host.commits.empty(); ++i)
        host.settle();
    REQUIRE(host.commits.size() == 1);
    CHECK(host.execute(host.commits.front(), false));
    host.settle();
    REQUIRE(host.answers.count(1) == 1);
    CHECK(host.answers[1].http_status == 200);
}

TEST_CASE("changes follow each other although each rewrites the member row")
{
    // Guards against a version of the own row that is out of date: it would
    // cost a conflict for each change, and the answer after eight.
    lone_host host;
    for (call_id id = 1; id <= 12; ++id)
    {
        const auto team = "team-" + std::to_string(id);
        host.call(id, "PUT", "/v1/teams/" + team, document(team, 0, 1000));
        host.settle();
        REQUIRE(host.commits.size() == 1);
        CHECK(host.execute(host.commits.front(), false));
        host.commits.clear();
        host.settle();
        REQUIRE(host.answers.count(id) == 1);
        CHECK(host.answers[id].http_status == 200);
    }
}

TEST_CASE("changes of different entries at once are all accepted")
{
    // Guards against a refusal because another entry changed first, on one
    // entry host and on several.
    const int hosts = GENERATE(1, 4);
    fake_cell cell(11);
    add_hosts(cell, hosts);
    std::vector<call_id> calls;
    for (int i = 0; i < 8; ++i)
    {
        const auto team = "team-" + std::to_string(i);
        calls.push_back(cell.send("n" + std::to_string(i % hosts), "PUT",
                                  "/v1/teams/" + team, operator_key,
                                  document(team, 0, 1000)));
    }
    cell.run_for(30s);
    std::set<std::uint64_t> versions;
    for (const auto id : calls)
    {
        INFO(cell.answers[id].body);
        REQUIRE(cell.answers[id].http_status == 200);
        versions.insert(body(cell.answers[id])["version"].get<std::uint64_t>());
    }
    CHECK(versions.size() == calls.size());
}

TEST_CASE("of two changes of one entry at once, one is refused")
{
    // Guards against an operator's change that overwrites another unseen.
    const int hosts = GENERATE(1, 2);
    fake_cell cell(12);
    add_hosts(cell, hosts);
    const auto one = cell.send("n0", "PUT", "/v1/teams/climb", operator_key,
                               document("climb", 0, 1000));
    const auto two =
        cell.send("n" + std::to_string(hosts - 1), "PUT", "/v1/teams/climb",
                  operator_key, document("climb", 0, 2000));
    cell.run_for(20s);
    const auto good = (cell.answers[one].http_status == 200 ? 1 : 0) +
                      (cell.answers[two].http_status == 200 ? 1 : 0);
    CHECK(good == 1);
    const auto& refused = cell.answers[one].http_status == 200
                              ? cell.answers[two]
                              : cell.answers[one];
    CHECK(fake_cell::error_code(refused) == "CC-1501");
}

TEST_CASE("a change that is no change is answered with the version in force")
{
    // Guards against a new version, and a conflict, for a repeated command.
    fake_cell cell(13);
    add_hosts(cell, 1);
    const auto text = document("climb", 0, 1000);
    const auto first = put(cell, "n0", "climb", text);
    CHECK(body(first)["changed"] == true);
    const auto again = put(cell, "n0", "climb", text);
    REQUIRE(again.http_status == 200);
    CHECK(body(again)["changed"] == false);
    CHECK(body(again)["version"] == body(first)["version"]);
    // An operator's next change may be based on the last answer at once.
    const auto version = body(first)["version"].get<std::uint64_t>();
    CHECK(put(cell, "n0", "climb", document("climb", version, 3000))
              .http_status == 200);
    const auto old = put(cell, "n0", "climb", document("climb", version, 4000));
    CHECK(fake_cell::error_code(old) == "CC-1501");
    CHECK(old.body.find("in force is") != std::string::npos);
}

TEST_CASE("a withdrawn key can be withdrawn again, an unknown one can not")
{
    // Guards against a script that fails on its second run.
    fake_cell cell(14);
    add_hosts(cell, 1);
    const auto key = cell.add_team("n0", "climb");
    const auto id = key.substr(4, 12);
    for (int i = 0; i < 2; ++i)
    {
        const auto reply =
            cell.call("n0", "DELETE", "/v1/keys/" + id, operator_key);
        REQUIRE(reply.http_status == 200);
        CHECK(body(reply)["changed"] == (i == 0));
    }
    CHECK(
        cell.call("n0", "DELETE", "/v1/keys/none", operator_key).http_status ==
        404);
}

TEST_CASE("a service name belongs to one team; unknown submitters are named")
{
    // Guards against requests that reach another team's servers.
    fake_cell cell(15);
    add_hosts(cell, 2);
    const auto first = put(
        cell, "n0", "climb",
        document(
            "climb", 0, 1000,
            "[[service]]\nname = \"bookings\"\nsubmitters = [\"ghost\"]\n"));
    REQUIRE(first.http_status == 200);
    REQUIRE(body(first)["warnings"].size() == 1);
    const auto taken =
        put(cell, "n1", "walk",
            document("walk", 0, 1000, "[[service]]\nname = \"bookings\"\n"));
    CHECK(fake_cell::error_code(taken) == "CC-1505");
    CHECK(taken.body.find("climb") != std::string::npos);
}

TEST_CASE("a team is shown with its limit, and removed when it is not in use")
{
    // Guards against a removal under running work or of a shared service.
    fake_cell cell(16);
    add_hosts(cell, 1);
    cell.add_worker("w1", "north", "r1", {32000, 128000, 0});
    const auto key = cell.add_team("n0", "walk");
    REQUIRE(put(cell, "n0", "climb",
                document("climb", 0, 1000,
                         "[[service]]\nname = \"bookings\"\n"
                         "submitters = [\"walk\"]\n"))
                .http_status == 200);
    const auto used =
        cell.call("n0", "DELETE", "/v1/teams/climb", operator_key);
    CHECK(fake_cell::error_code(used) == "CC-1503");

    cell.run_for(10s);
    REQUIRE(cell.call("n0", "POST", "/v1/jobs", key,
                      R"({"id":"j","tasks":2,"run_ms":8000,"resources":)"
                      R"({"cpu_millis":1000,"memory_mb":10}})")
                .http_status == 202);
    cell.run_for(5s);
    const auto shown = cell.call("n0", "GET", "/v1/teams/walk", operator_key);
    REQUIRE(shown.http_status == 200);
    CHECK(body(shown)["limit"]["in_force"] == true);
    CHECK(body(shown)["limit"]["handed_out"]["cpu_millis"] >= 2000);
    const auto busy = cell.call("n0", "DELETE", "/v1/teams/walk", operator_key);
    CHECK(fake_cell::error_code(busy) == "CC-1503");
    cell.run_for(40s);
    // A key that outlived its team would work for a new team of that name.
    const auto keyed =
        cell.call("n0", "DELETE", "/v1/teams/walk", operator_key);
    CHECK(fake_cell::error_code(keyed) == "CC-1503");
    CHECK(keyed.body.find(key_id_of(key)) != std::string::npos);
    CHECK(cell.call("n0", "DELETE", "/v1/keys/" + key_id_of(key), operator_key)
              .http_status == 200);
    CHECK(
        cell.call("n0", "DELETE", "/v1/teams/walk", operator_key).http_status ==
        200);
    CHECK(cell.call("n0", "GET", "/v1/teams/walk", operator_key).http_status ==
          404);
    CHECK(
        cell.call("n0", "DELETE", "/v1/teams/walk", operator_key).http_status ==
        200);
    // A removed team can be put in force again.
    CHECK(put(cell, "n0", "walk", document("walk", 0, 1000)).http_status ==
          200);
    const auto stale = cell.call("n0", "GET", "/v1/jobs/j", key);
    CHECK(fake_cell::error_code(stale) == "CC-1011");
}

TEST_CASE("a change is refused as not run while the table is down")
{
    // Guards against an operator's command that hangs through an outage.
    fake_cell cell(17);
    add_hosts(cell, 1);
    cell.store.down = true;
    cell.run_for(1s);
    const auto reply = put(cell, "n0", "climb", document("climb", 0, 1000));
    CHECK(fake_cell::error_code(reply) == "CC-1203");
}

TEST_CASE("no key or secret appears in a log line, metric, error or listing")
{
    // Guards against a key that leaks to whoever reads logs or metrics.
    fake_cell cell(18);
    add_hosts(cell, 1);
    const auto key = cell.add_team("n0", "climb");
    const auto secret = key.substr(17);
    std::string seen;
    for (const auto& path : {"/v1/keys", "/v1/teams", "/v1/teams/climb",
                             "/v1/datacentres", "/metrics", "/healthz"})
        seen += cell.call("n0", "GET", path, operator_key).body;
    seen += cell.call("n0", "DELETE", "/v1/keys/" + key, operator_key).body;
    seen += cell.call("n0", "GET", "/v1/keys", key).body;
    seen += cell.call("n0", "GET", "/v1/jobs/none", key + "x").body;
    seen += cell.call("n0", "PUT", "/v1/teams/" + key, operator_key, key).body;
    for (const auto& [host, record] : cell.logs)
        seen += record.detail + "\n";
    CHECK(seen.find(secret) == std::string::npos);
    CHECK(seen.find(operator_key) == std::string::npos);
    CHECK(seen.find("\"mac\"") == std::string::npos);
    CHECK(seen.find("\"salt\"") == std::string::npos);
}

TEST_CASE("mutated bodies of operators' calls end in a numbered answer")
{
    // Guards against an exception in the core thread, which ends the process.
    fake_cell cell(19);
    add_hosts(cell, 1);
    std::mt19937_64 random(19);
    const std::vector<std::pair<std::string, std::string>> calls = {
        {"POST /v1/keys", R"({"team":"climb"})"},
        {"PUT /v1/datacentres/north", R"({"state":"out","version":0})"},
        {"PUT /v1/teams/climb", document("climb", 0, 1000)}};
    std::vector<call_id> sent;
    for (int i = 0; i < 3000; ++i)
    {
        const auto& [what, good] = calls[random() % calls.size()];
        auto text = good;
        for (int n = 0; n < 3; ++n)
            text[random() % text.size()] = static_cast<char>(random() % 256);
        const auto space = what.find(' ');
        sent.push_back(cell.send("n0", what.substr(0, space),
                                 what.substr(space + 1), operator_key, text));
        if (i % 50 == 0)
            cell.run_for(1s);
    }
    cell.run_for(60s);
    for (const auto id : sent)
    {
        REQUIRE(cell.answers.count(id) == 1);
        if (cell.answers[id].http_status != 200)
            REQUIRE(fake_cell::error_code(cell.answers[id]).substr(0, 3) ==
                    "CC-");
    }
}
