// Tests polls that are carried out late, by the next incarnation of the worker.
#include "cell_harness.hpp"

using namespace cell_test;

TEST_CASE("A poll that the next incarnation carries out late extends no lease "
          "beyond the one that the owner knows")
{
    // Guards against a poll of before the restart whose fence is not lower than
    // that of the polls after it: its deadline is far ahead on the new clock.
    cell_with_owner cell(3, 3);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(30000)), end_kind::done, {}};
    };
    cell.run(milliseconds(1000));
    constexpr auto lateness = milliseconds(4000);
    std::optional<time_point> sent_at;
    cell.workers["w0"].lateness = [&](const worker_call& call)
    {
        if (call.command != worker_command::poll || sent_at)
            return milliseconds(0);
        sent_at = cell.now;
        return lateness;
    };
    REQUIRE(cell.run_until(milliseconds(2000),
                           [&] { return sent_at.has_value(); }));
    cell.crash_worker("w0");
    cell.after(milliseconds(60), [&] { cell.restart_worker("w0"); });
    cell.run(milliseconds(1700));
    cell.submit(cell.owner(), 1, cell.make_work(6, 500, 30000));
    REQUIRE(cell.run_until(milliseconds(500),
                           [&] { return !cell.workers["w0"].runs.empty(); }));
    cell.run(milliseconds(100));
    // The worker is cut off.
    cell.workers["w0"].drops_call = [](const worker_call&) { return true; };
    cell.run(milliseconds(10000));
    CHECK(cell.first_violation() == "none");
}
