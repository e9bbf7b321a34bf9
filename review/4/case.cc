// A worker that was cut off for 4 s has more ends to list than one answer
// holds. Tasks whose ends are on the next page must not be started again.
#include "../standin/world.h"

using namespace review;

namespace
{

constexpr std::uint32_t task_count = 700;
/// The pages allow 5.5 s.
constexpr auto cut_time = 4s;

/// Rule TWICE: a start after a run of the task has ended `done`, if that end is
/// taken note of then or later.
std::size_t count_repeated_tasks(const std::vector<run_event>& events)
{
    std::set<std::string> noted;
    for (const auto& each : events)
        if (each.what == run_event::type::ack && each.how == "done")
            noted.insert(concat(each.task, "/", each.run));
    std::set<std::string> done;
    std::set<std::string> repeated;
    for (const auto& each : events)
    {
        if (each.what == run_event::type::end && each.how == "done" &&
            noted.count(concat(each.task, "/", each.run)) > 0)
            done.insert(each.task);
        if (each.what == run_event::type::start && done.count(each.task) > 0 &&
            repeated.insert(each.task).second && repeated.size() <= 20)
            note("TWICE: ", each.task, " run ", each.run, " starts on ",
                 each.worker, " after an end `done` that was taken note of");
    }
    return repeated.size();
}

bool check(world& place)
{
    const tenant wardens;
    place.write_config(10, json::array({world::route("book", "/book/")}),
                       {wardens});
    // One worker of six is cut off; the pages allow a share of 0.17.
    for (int i = 1; i <= 6; ++i)
        place.add_worker(concat("w", i), i % 2 ? "zenkov" : "medeu");
    auto& first = *place.workers.front();
    place.start_hosts();
    const std::string job = "00000000000000a1";
    place.submit(*place.hosts[0], "/book/" + job, wardens.key, {{"ms", 3000}},
                 json::array({world::step(task_count, 40, 3000)}));
    const bool started = world::eventually(
        2500ms,
        [&] {
            return place.runs.count(run_event::type::start, job) == task_count;
        });
    note("started ", place.runs.count(run_event::type::start, job), " of ",
         task_count, " tasks, on w1 ", first.running_tasks().size());
    if (!started)
        throw std::runtime_error("the tasks did not start in time");
    if (place.trouble())
    {
        first.set_cut(true);
        sleep_for(cut_time);
        first.set_cut(false);
    }
    world::eventually(20s,
                      [&]
                      {
                          const auto answer = place.get(
                              *place.hosts[1], "/book/" + job, wardens.key);
                          sleep_for(500ms);
                          return answer.body.value("state", "") == "completed";
                      });
    sleep_for(3s);
    for (const auto& each : place.workers)
        if (each->has_lapsed())
            throw std::runtime_error("a lease lapsed");
    const auto repeated = count_repeated_tasks(place.runs.events());
    note("tasks=", task_count, " started again after an end done: ", repeated);
    return repeated == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, check);
}
