// Entry hosts as processes, with real links between them.
#include "process_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

std::string request(const std::string& url, const std::string& key)
{
    const auto answer = call(url, "POST", "/v1/services/bookings/requests", key,
                             "slot", {}, 5s);
    if (answer.status == 200)
        return "served";
    return answer.body.is_object() ? answer.body["error"].value("code", "?")
                                   : "no answer";
}

bool is_fresh(const std::string& url)
{
    const auto body = call(url, "GET", "/healthz").body;
    return body.is_object() && body.value("config_fresh", false);
}

} // namespace

TEST_CASE("keyed requests are served through a store outage, and a host that "
          "was stopped refuses them until it is fresh")
{
    // Guards against grants that work on a virtual clock only.
    deployment cell;
    cell.add_data_centre("north");
    const std::vector<std::string> hosts = {"north-1", "north-2", "north-3"};
    std::vector<std::string> urls;
    urls.reserve(hosts.size());
    for (const auto& host : hosts)
        urls.push_back(cell.add_entry_host(host, "north"));
    const auto key =
        add_team(urls[0], "climb-desk", "[[service]]\nname = \"bookings\"\n");
    for (const auto& url : urls)
        REQUIRE(eventually(10s, [&] { return request(url, key) == "served"; }));
    // Every host has grants of all others by then.
    std::this_thread::sleep_for(3s);

    cell.fault("", {{"role", "table"}, {"down", true}});
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (std::chrono::steady_clock::now() < end)
    {
        for (const auto& url : urls)
            REQUIRE(request(url, key) == "served");
        std::this_thread::sleep_for(100ms);
    }

    SECTION("a stopped host with the store still down")
    {
        cell.process("north-3").send(SIGSTOP);
        std::this_thread::sleep_for(6s);
        CHECK(request(urls[0], key) == "CC-1202");
        // With the others paused nobody can grant anything, so that every
        // answer rests on what north-3 held before its pause. A grant takes
        // less than a request, and may otherwise come first.
        cell.process("north-1").send(SIGSTOP);
        cell.process("north-2").send(SIGSTOP);
        std::string first;
        std::thread caller([&] { first = request(urls[2], key); });
        std::this_thread::sleep_for(200ms);
        cell.process("north-3").send(SIGCONT);
        caller.join();
        CHECK(first == "CC-1202");
        const auto alone_until = std::chrono::steady_clock::now() + 2s;
        while (std::chrono::steady_clock::now() < alone_until)
        {
            CHECK(request(urls[2], key) == "CC-1202");
            std::this_thread::sleep_for(50ms);
        }
        cell.process("north-1").send(SIGCONT);
        cell.process("north-2").send(SIGCONT);
        for (const auto& url : urls)
            CHECK(
                eventually(10s, [&] { return request(url, key) == "served"; }));
    }
    SECTION("the store is back")
    {
        cell.fault("", {{"role", "table"}, {"down", false}});
        std::this_thread::sleep_for(3s);
        for (const auto& url : urls)
        {
            CHECK(is_fresh(url));
            CHECK(request(url, key) == "served");
        }
    }
}
