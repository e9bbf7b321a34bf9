// A worker loses power, and is back 2 s later under its id. Tasks that it takes
// then must not be started elsewhere while it runs them.
#include "../standin/world.h"

using namespace review;

namespace
{

/// The pages allow 4.5 s for a crash, and name 2 s as `reuse_after_s`.
constexpr auto down_time = 2050ms;
/// Of eight workers, one loses power: a share of 0.125; the pages allow 0.14.
constexpr int worker_count = 8;
/// Time that workers take for a stop; the pages allow 900 ms.
constexpr auto stop_time = 300ms;
constexpr int job_count = 4;

bool check(world& place)
{
    const tenant wardens;
    place.write_config(10, json::array({world::route("book", "/book/")}),
                       {wardens});
    for (int i = 1; i <= worker_count; ++i)
        place.add_worker(concat("w", i), i % 2 ? "zenkov" : "medeu",
                         {{"a", "r1-1"}}, stop_time);
    place.start_hosts();
    if (place.trouble())
    {
        auto& first = *place.workers.front();
        first.lose_power_after_poll();
        sleep_for(down_time);
        first.return_power();
    }
    for (int i = 0; i < job_count; ++i)
    {
        sleep_for(50ms);
        place.submit(*place.hosts[place.other_host_number()],
                     concat("/book/00000000000001a", i), wardens.key,
                     {{"ms", 3000}}, json::array({world::step(2, 2000, 3000)}));
    }
    sleep_for(9s);
    const auto ended = place.runs.count(run_event::type::end, "", "done");
    if (ended < 2 * job_count)
        throw std::runtime_error("the jobs have not ended");
    const auto twice = count_double_runs(place.runs);
    note("starts of tasks that were running already: ", twice,
         ", tasks: ", 2 * job_count);
    return twice == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, check);
}
