// Cost of the owner by the size of the cell.
#include <cstdlib>

#include "loaded_cell.hpp"

using namespace cell_test;

namespace
{

/// The load of a large cell for each of its 1,100 workers.
std::vector<job_profile> large_load(std::size_t workers)
{
    const auto scale = static_cast<double>(workers) / 1100;
    return {{"urgent", 114 * scale, 4, 7400, 1000, false, 1.5, 250},
            {"batch", 16.8 * scale, 50, 5200, 2200, false, 4, 3000},
            {"gang", 9.5 * scale, 40, 9000, 4000, true, 2.2, 1000}};
}

} // namespace

TEST_CASE("Polls without news are rarer in a large cell")
{
    // Each worker runs one long task. Guards against polls whose rate grows
    // with the cell until the owner can not keep up, and against waits in a
    // small cell that hide the loss of an answer for longer.
    struct expectation
    {
        std::size_t workers;
        std::size_t min_polls_each;
        std::size_t max_polls_each;
    };
    const auto expected = GENERATE(values<expectation>(
        {{48, 5, 7}, {1000, 2, 4}})); // In 3 s: waits of 0.5 s and 1 s.
    cell_with_owner cell(3, expected.workers);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    cell.configure(cell.default_queues(), {{"big", {"key-big"}, 1000, {}}});
    cell.run(milliseconds(100));
    auto work = cell.make_work(static_cast<std::uint32_t>(expected.workers),
                               8000, 20000);
    cell.submit("h0", 1, work);
    REQUIRE(cell.run_until(milliseconds(3000), [&]
                           { return cell.starts.size() == expected.workers; }));
    cell.run(milliseconds(1500));
    std::size_t polls = 0;
    for (auto& [id, worker] : cell.workers)
        worker.drops_call = [&polls](const worker_call& call)
        {
            polls += call.command == worker_command::poll ? 1 : 0;
            return false;
        };
    cell.run(milliseconds(3000));
    CHECK(polls >= expected.min_polls_each * expected.workers);
    CHECK(polls <= expected.max_polls_each * expected.workers);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("Owner's time for each task", "[.figures]")
{
    const char* only = std::getenv("OWNER_COST_WORKERS");
    for (const std::size_t workers : {48, 350, 1100})
    {
        if (only && std::strtoul(only, nullptr, 10) != workers)
            continue;
        loaded_cell cell(1, workers, large_load(workers),
                         workers == 1100 ? 40 : 12);
        const auto seconds = only ? 4 : 10;
        const auto owner = cell.owner();
        const auto before = cell.hosts[owner].handling_time;
        cell.replay(seconds, [](const job_profile&, int) { return 1.0; });
        REQUIRE(cell.owner() == owner);
        const std::chrono::duration<double, std::micro> spent =
            cell.hosts[owner].handling_time - before;
        std::size_t starts = 0;
        for (const auto& [task, count] : cell.starts)
            starts += count;
        fmt::print("workers={} starts={} starts_per_s={} us_per_start={:.0f} "
                   "core_share={:.3f}\n",
                   workers, starts, starts / seconds,
                   spent.count() / static_cast<double>(starts),
                   spent.count() / 1e6 / seconds);
        CHECK(starts > 0);
    }
}
