// Tests what a takeover knows of workers whose rows have expired.
#include "cell_harness.hpp"

using namespace cell_test;

TEST_CASE("A second takeover knows the leases of workers without a row")
{
    // Guards against two runs: workers that are cut off from the store run on
    // while their rows expire. The owner after next read neither their rows nor
    // that they may hold leases, and started their tasks elsewhere.
    cell_with_owner cell(4, 4);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(9000)), end_kind::done, {}};
    };
    const auto call = cell.submit(cell.owner(), 1, cell.make_work(4, 6000));
    cell.run(milliseconds(500));
    REQUIRE(cell.code_of(call) == result_code::ok);
    REQUIRE(cell.workers["w0"].runs.size() == 1);
    cell.store.put(worker_rows_table, "w0", {});
    cell.run(milliseconds(500));
    for (int takeover = 0; takeover < 2; ++takeover)
    {
        cell.kill_host(cell.owner());
        REQUIRE(cell.run_until(milliseconds(3000),
                               [&] { return !cell.owner().empty(); }));
        cell.run(milliseconds(300));
    }
    cell.add_worker("w9", "dc1");
    // The longest lease of a takeover, and another run of the task.
    cell.run(milliseconds(26000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.phase(1) == "completed");
}

TEST_CASE("Workers that are gone for good leave the row of leases")
{
    // Guards against owners that wait for a worker that has left long ago.
    cell_with_owner cell(4, 4);
    cell.store.put(worker_rows_table, "w0", {});
    cell.crash_worker("w0");
    cell.run(milliseconds(300));
    cell.kill_host(cell.owner());
    cell.run(milliseconds(30000));
    const auto& table = cell.store.tables[cell_table::owner];
    REQUIRE(table.count("leases") == 1);
    CHECK(table.at("leases").value.find("w0") == std::string::npos);
    CHECK(table.at("leases").value.find("w1") != std::string::npos);
}
