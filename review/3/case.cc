// The zone of the owner is cut off while an occurrence of a scheduled job
// becomes due. It must not run on both sides of the cut.
#include "../standin/partition.h"

using namespace review;

namespace
{

/// The pages allow 5.5 s.
constexpr auto cut_time = 5s;
/// Time from the begin of the cut to the second occurrence.
constexpr std::int64_t due_after_ms = 2500;
constexpr std::int64_t interval_ms = 5000;

bool check(world& place)
{
    const tenant wardens;
    place.write_config(10, json::array({world::route("book", "/book/")}),
                       {wardens});
    for (const auto* zone : {"zenkov", "medeu", "talgar"})
        place.add_worker(concat("w-", zone), zone);
    std::unique_ptr<host_links> links;
    place.start_hosts(3, [&] { links = std::make_unique<host_links>(place); });
    std::size_t owner = 0;
    while (place.hosts[owner].get() != &place.owner())
        ++owner;
    const auto token = place.workers[owner]->token();
    note("the owner is ", place.hosts[owner]->name(), ", token ", token);
    const std::string job = "0000000000000ae1";
    const auto cut_at_ms = unix_ms() + 4000;
    place.submit(*place.hosts[place.other_host_number()], "/book/" + job,
                 wardens.key, {{"ms", 1500}},
                 json::array({world::step(1, 2000, 1500)}),
                 {{"times", 2},
                  {"start_at_ms", cut_at_ms + due_after_ms - interval_ms},
                  {"interval_ms", interval_ms}});
    sleep_for(milliseconds(cut_at_ms - unix_ms()));
    if (place.runs.count(run_event::type::ack, job + ".0", "done") != 1)
        throw std::runtime_error("the first occurrence has not ended");
    if (place.trouble())
    {
        note("the zone of ", place.hosts[owner]->name(), " is cut off");
        links->set_cut(owner, true);
        place.hosts[owner]->set_store_cut(true);
        for (std::size_t i = 0; i < place.workers.size(); ++i)
            place.workers[i]->cut_off_from_owners(i == owner ? 0 : token,
                                                  i == owner ? token : 0);
        sleep_for(cut_time);
        note("the zone can be reached again");
        for (const auto& each : place.workers)
            each->cut_off_from_owners(0, 0);
        place.hosts[owner]->set_store_cut(false);
        links->set_cut(owner, false);
    }
    sleep_for(8s);
    if (place.runs.count(run_event::type::start, job + ".1") == 0)
        throw std::runtime_error("the second occurrence did not start");
    const auto twice = count_double_runs(place.runs);
    note("starts of tasks that were running already: ", twice);
    return twice == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, check);
}
