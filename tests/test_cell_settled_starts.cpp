// Tests starts that are carried out late, by the next incarnation of the
// worker.
#include "cell_harness.hpp"

using namespace cell_test;

TEST_CASE("A start that the next incarnation carries out late runs beside no "
          "other run of its task, and not after one that is done")
{
    // Guards against a start that is settled on the incarnation that is known:
    // the next one has seen no fence, and the deadline is far ahead on its
    // clock.
    const auto task_time = GENERATE(150, 1500);
    INFO("task time " << task_time);
    cell_with_owner cell(3, 3);
    cell.plan = [task_time](const cell_task_id&, std::uint32_t) {
        return fake_run{
            time_point(milliseconds(task_time)), end_kind::done, {}};
    };
    cell.run(milliseconds(1000));
    constexpr auto lateness = milliseconds(2000);
    std::optional<cell_task_id> lost_task;
    time_point sent_at;
    auto& worker = cell.workers["w0"];
    worker.lateness = [&](const worker_call& call)
    {
        if (call.command != worker_command::start || lost_task)
            return milliseconds(0);
        lost_task = call.task;
        sent_at = cell.now;
        return lateness;
    };
    worker.drops_call = [&](const worker_call& call)
    {
        return call.command == worker_command::start && lost_task &&
               call.task == *lost_task;
    };
    cell.submit(cell.owner(), 1, cell.make_work(6, 500, task_time));
    REQUIRE(cell.run_until(milliseconds(1000),
                           [&] { return lost_task.has_value(); }));
    cell.run_until(
        lateness,
        [&] { return cell.now >= sent_at + lateness - milliseconds(100); });
    cell.crash_worker("w0");
    cell.after(milliseconds(60), [&] { cell.restart_worker("w0"); });
    cell.run(milliseconds(9000));
    CHECK(cell.first_violation() == "none");
}
