// Scheduled jobs are shown as completed before all occurrences have run: after
// the owner was killed, and when the step is a gang.
#include "../standin/world.h"

using namespace review;

namespace
{

constexpr auto restart_delay = 2s;

/// Asks for the job until it is completed, then a while longer for further
/// starts. Returns false when it was shown as completed before `ends` tasks had
/// ended done, or never.
bool is_completed_in_time(world& place, const tenant& who,
                          const std::string& job, std::size_t ends,
                          std::size_t first_host)
{
    std::size_t ended = 0;
    const bool completed = world::eventually(
        25s,
        [&]
        {
            sleep_for(200ms);
            const auto answer =
                place.get(*place.hosts[first_host], "/book/" + job, who.key);
            ended = place.runs.count(run_event::type::end, job, "done");
            return answer.status == 200 && answer.body.is_object() &&
                   answer.body.value("state", std::string()) == "completed";
        });
    if (!completed)
    {
        note("the job ", job, " is not shown as completed");
        return false;
    }
    if (ended == ends)
        return true;
    note("MIXED: ", job, " is shown as completed after ", ended, " of ", ends,
         " ends");
    sleep_for(10s);
    note("LOST: ", ends - place.runs.count(run_event::type::start, job),
         " tasks of ", job, " have never started 10 s later");
    return false;
}

/// The owner is killed by the transaction that stores the first occurrence.
bool check_kill(world& place, const tenant& who)
{
    const std::string job = "0000000000000ab1";
    std::atomic<int> killed{0};
    place.store.on_transaction = [&](int host, const json& transaction)
    {
        // The first write with a row besides the owner's after the end.
        if (!place.trouble() || killed != 0 ||
            transaction.value("expected_rev", json::array()).empty() ||
            transaction.value("put", json::array()).size() < 2 ||
            place.runs.count(run_event::type::end, job, "done") == 0)
            return;
        killed = host;
        place.hosts[static_cast<std::size_t>(host - 1)]->send_signal(SIGKILL);
    };
    const auto first = place.other_host_number();
    place.submit(*place.hosts[first], "/book/" + job, who.key, {{"ms", 1000}},
                 json::array({world::step(1, 2000, 1000)}),
                 {{"times", 2},
                  {"start_at_ms", unix_ms() + 1000},
                  {"interval_ms", 8000}});
    if (place.trouble())
    {
        if (!world::eventually(10s, [&] { return killed != 0; }))
            throw std::runtime_error("the owner was not killed");
        place.hosts[static_cast<std::size_t>(killed - 1)]->restart_after_end(
            restart_delay);
    }
    return is_completed_in_time(place, who, job, 2, first);
}

/// The ends of all members of a gang stand for one end of the step.
bool check_gang(world& place, const tenant& who)
{
    const std::string job = "0000000000000ac1";
    auto step = world::step(3, 2000, 1000);
    json spec{{"ms", 1000}};
    if (place.trouble())
    {
        step["gang"] = true;
        spec["gang"] = 3;
    }
    const auto first = place.other_host_number();
    place.submit(*place.hosts[first], "/book/" + job, who.key, spec,
                 json::array({step}),
                 {{"times", 3},
                  {"start_at_ms", unix_ms() + 1000},
                  {"interval_ms", 4000}});
    return is_completed_in_time(place, who, job, 9, first);
}

bool check(world& place)
{
    const tenant wardens;
    place.write_config(10, json::array({world::route("book", "/book/")}),
                       {wardens});
    place.add_worker("w1", "zenkov");
    place.add_worker("w2", "medeu");
    place.start_hosts();
    const bool held_after_kill = check_kill(place, wardens);
    place.wait_until_ready();
    const bool held_for_gang = check_gang(place, wardens);
    note("kill of the owner: ", held_after_kill ? "held" : "broken",
         "; gang: ", held_for_gang ? "held" : "broken");
    return held_after_kill && held_for_gang;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, check);
}
