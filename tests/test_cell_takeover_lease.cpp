// Tests when a new owner takes the leases of workers that it does not reach as
// over.
#include "cell_harness.hpp"

using namespace cell_test;

TEST_CASE("The lease of a worker that restarts beside an owner that is cut off "
          "is waited for")
{
    // Guards against two runs: the deadline of a start is on the clock of the
    // worker's earlier incarnation, so the next one runs the task for the
    // longest lease that it gives. The new owner counts the longest lease from
    // its claim on.
    const auto up_after = milliseconds(GENERATE(3000, 4000, 5000));
    INFO("worker restarts " << up_after.count() << " ms after the cut");
    cell_with_owner cell(3, 1);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(30000)), end_kind::done, {}};
    };
    cell.workers["w0"].start_refusal = command_status::no_room;
    const auto first = cell.owner();
    const auto call = cell.submit(first, 1, cell.make_work(1, 2000, 3000));
    cell.run(milliseconds(500));
    REQUIRE(cell.code_of(call) == result_code::ok);
    cell.hosts[first].reaches_store = false;
    for (const auto& [name, slot] : cell.hosts)
        if (name != first)
            cell.cut_links.insert({first, name});
    cell.partition_of = [first](const std::string& name)
    { return name == first || name == "w0" ? 0 : 1; };
    cell.after(up_after - milliseconds(60), [&] { cell.crash_worker("w0"); });
    cell.after(up_after, [&] { cell.restart_worker("w0"); });
    cell.run(up_after + milliseconds(1000));
    REQUIRE(cell.workers["w0"].runs.size() == 1);
    cell.add_worker("w1", "dc1");
    cell.run(milliseconds(20000));
    CHECK(cell.starts[{cell.job_id(1), 0, 0, 0}] == 2);
    CHECK(cell.first_violation() == "none");
}
