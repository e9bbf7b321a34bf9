// Tests leases on the clock of a worker that restarts under its id. Only a poll
// tells the incarnations apart; the clock of the new one starts anywhere.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

/// Ahead of the clocks of all workers.
constexpr std::int64_t far_ahead_ms = std::int64_t{1000} * 3600 * 24;

/// A worker that is lost for half a second, comes back with a clock of
/// `clock_ms` and takes starts, but whose polls are lost from the loss on.
struct unpolled_worker_cell : cell_with_owner
{
    explicit unpolled_worker_cell(std::int64_t clock_ms) : cell_with_owner(3, 3)
    {
        plan = [](const cell_task_id&, std::uint32_t) {
            return fake_run{
                time_point(milliseconds(20000)), end_kind::done, {}};
        };
        run(milliseconds(2000));
        crash_worker("w0");
        run(milliseconds(500));
        restart_worker("w0", clock_ms);
        workers["w0"].drops_call = [](const worker_call& call)
        { return call.command == worker_command::poll; };
    }
    /// Submits jobs until the new incarnation has runs.
    void start_runs()
    {
        for (unsigned job = 1; job <= 4; ++job)
            submit(owner(), job, make_work(2, 2000, 800));
        REQUIRE(run_until(milliseconds(1000),
                          [&] { return !workers["w0"].runs.empty(); }));
    }
};

} // namespace

TEST_CASE("Leases last although the clock of a restarted worker is ahead")
{
    // Guards against runs that are given up at once after two failed polls: a
    // clock reading of the new incarnation made the leases on the clock of the
    // earlier one look over.
    unpolled_worker_cell cell(far_ahead_ms);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(600)), end_kind::done, {}};
    };
    // Some starts come just before the failure of the second poll.
    for (unsigned job = 1; job <= 40; ++job)
    {
        cell.submit(cell.owner(), job, cell.make_work(2, 100, 500));
        cell.run(milliseconds(80));
    }
    cell.workers["w0"].drops_call = nullptr;
    cell.run(milliseconds(4000));
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("The lease of a restarted worker that is cut off is waited for")
{
    // Guards against a second run that starts when the lease of the earlier
    // incarnation is over, while the one of the new incarnation is not.
    const bool loses_answers = GENERATE(false, true);
    INFO("loses answers " << loses_answers);
    unpolled_worker_cell cell(0);
    cell.workers["w0"].drops_all_answers = loses_answers;
    cell.run(milliseconds(900));
    cell.start_runs();
    cell.run(milliseconds(100));
    cell.workers["w0"].reachable = false;
    cell.run(milliseconds(12000));
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("Tasks of a lost worker start again once its lease is over")
{
    // Guards against tasks that wait for longer than the longest lease and its
    // renewal by a poll.
    cell_with_owner cell(3, 2);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    for (unsigned job = 1; job <= 2; ++job)
        cell.submit(cell.owner(), job, cell.make_work(2, 2000, 800));
    cell.run(milliseconds(1000));
    const auto lost = cell.workers["w0"].runs;
    REQUIRE_FALSE(lost.empty());
    cell.crash_worker("w0");
    cell.run(milliseconds(7000));
    for (const auto& [key, run] : lost)
        CHECK(cell.starts[key.first] == 2);
    CHECK(cell.first_violation() == "none");
}
