// Guards against an owner that can not keep up with the usual load of a large
// cell, and against a replay in test_cell_slow_store that no owner could pass.
#include "slow_store_cell.hpp"

using namespace cell_test;

TEST_CASE("A large cell serves its load while there is no trouble")
{
    slow_store_cell cell;
    cell.submit_for(warm_up);
    const auto from = cell.now;
    cell.submit_for(measured_time);
    const auto until = cell.now;
    cell.wait_for_urgent_objectives();
    INFO(cell.figures);
    CHECK(cell.urgent_in_time(from, until) >= required_share);
    CHECK(cell.late_final_phases() == 0);
    CHECK(cell.first_violation() == "none");
}
