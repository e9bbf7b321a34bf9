// Tests workers with more unacknowledged ends than one answer lists.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

constexpr std::uint32_t task_count = 700;

/// A cell with one worker, which runs all tasks of one job.
struct many_ends_cell : cell_with_owner
{
    many_ends_cell() : cell_with_owner(3, 1)
    {
        plan = [](const cell_task_id&, std::uint32_t) {
            return fake_run{time_point(milliseconds(1500)), end_kind::done, {}};
        };
        auto work = make_work(task_count, 10, 1500);
        work.steps.front().amount = {10, 10, 0};
        submit(owner(), 1, work);
        REQUIRE(run_until(milliseconds(1000), [this]
                          { return workers["w0"].runs.size() == task_count; }));
        run(milliseconds(100));
    }
    void check_each_task_ran_once()
    {
        CHECK(phase(1) == "completed");
        CHECK(completions.size() == task_count);
        std::size_t repeated = 0;
        for (const auto& [task, count] : starts)
            repeated += count > 1 ? 1 : 0;
        CHECK(repeated == 0);
        CHECK(first_violation() == "none");
    }
};

} // namespace

TEST_CASE("Tasks whose ends are on a later page are not started again")
{
    // The tasks end while the worker is cut off. Guards against tasks that are
    // taken for lost because the first page of ends does not list them.
    many_ends_cell cell;
    cell.workers["w0"].reachable = false;
    cell.run(milliseconds(2500));
    REQUIRE(cell.workers["w0"].ends.size() == task_count);
    cell.workers["w0"].reachable = true;
    cell.run(milliseconds(3000));
    cell.check_each_task_ran_once();
}

TEST_CASE("A new owner waits for all pages of ends before it starts tasks "
          "again")
{
    // Guards against the same failure when the pages go to a new owner.
    many_ends_cell cell;
    cell.workers["w0"].reachable = false;
    cell.kill_host(cell.owner());
    cell.run(milliseconds(2500));
    REQUIRE(cell.workers["w0"].ends.size() == task_count);
    cell.workers["w0"].reachable = true;
    cell.run(milliseconds(4000));
    cell.check_each_task_ran_once();
}

TEST_CASE("A new owner that can acknowledge no page waits past the lease of "
          "earlier owners")
{
    // The store is down from the first page on. Guards against tasks that are
    // started again although their worker answers and still holds their ends.
    many_ends_cell cell;
    cell.workers["w0"].reachable = false;
    cell.kill_host(cell.owner());
    REQUIRE(cell.run_until(milliseconds(4000),
                           [&] { return !cell.owner().empty(); }));
    cell.store_down = true;
    cell.run(milliseconds(1000));
    cell.workers["w0"].reachable = true;
    cell.run(milliseconds(7000));
    cell.store_down = false;
    cell.run(milliseconds(6000));
    cell.check_each_task_ran_once();
}
