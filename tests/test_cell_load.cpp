// Urgent and batch work through bursts on a cell that is 73% full.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE("A burst of urgent work on a cell that is 73% full")
{
    // Bounds are the objective of the milestone: 0.95 of what is owed.
    loaded_cell cell(1);
    cell.replay(16,
                [](const job_profile& profile, int second)
                {
                    const bool burst = second >= 5 && second < 9;
                    return burst && std::string(profile.queue) == "urgent"
                               ? 2.0
                               : 1.0;
                });
    cell.wait_for_objectives();
    CHECK(cell.fraction_in_time(job_profiles[0]) >= 0.95);
    CHECK(cell.fraction_in_time(job_profiles[1]) >= 0.95);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A burst of gangs on a cell that is 73% full")
{
    loaded_cell cell(2);
    cell.replay(16,
                [](const job_profile& profile, int second)
                {
                    const bool burst = second >= 5 && second < 9;
                    return burst && profile.gang ? 1.8 : 1.0;
                });
    cell.wait_for_objectives();
    CHECK(cell.fraction_in_time(job_profiles[0]) >= 0.95);
    CHECK(cell.fraction_in_time(job_profiles[1]) >= 0.95);
    CHECK(cell.fraction_in_time(job_profiles[2]) >= 0.95);
    CHECK(cell.first_violation() == "none");
}
