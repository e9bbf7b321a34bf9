// Replays an incident of a large cell: a slow store and a burst of urgent jobs
// for 4 s, then the loss of the owner. Guards against a backlog of commits that
// outlasts its cause and delays all jobs.
#include "slow_store_cell.hpp"

using namespace cell_test;

TEST_CASE("A large cell serves urgent jobs 2 s after a slow store and a burst")
{
    slow_store_cell cell;
    cell.submit_through_trouble();
    const auto from = cell.now + recovery_time;
    cell.submit_for(recovery_time + measured_time);
    const auto until = cell.now;
    cell.wait_for_urgent_objectives();
    INFO(cell.figures);
    INFO("late final phases: " << cell.late_final_phases() << ", of these "
                               << cell.late_final_phases(from)
                               << " after the recovery time");
    CHECK(cell.urgent_in_time(from, until) >= required_share);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A large cell serves urgent jobs 2 s after its owner was lost, 4 s "
          "after a slow store and a burst")
{
    slow_store_cell cell;
    cell.submit_through_trouble();
    cell.submit_for(well_before_loss);
    REQUIRE(!cell.owner().empty());
    cell.kill_host(cell.owner());
    const auto from = cell.now + recovery_time;
    cell.submit_for(recovery_time + measured_time);
    const auto until = cell.now;
    cell.wait_for_urgent_objectives();
    INFO(cell.figures);
    INFO("late final phases: " << cell.late_final_phases() << ", of these "
                               << cell.late_final_phases(from)
                               << " after the recovery time");
    CHECK(cell.urgent_in_time(from, until) >= required_share);
    CHECK(cell.first_violation() == "none");
}
