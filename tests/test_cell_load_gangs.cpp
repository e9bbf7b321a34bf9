// Gangs through a burst of urgent work on a cell that is 73% full.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE("Gangs meet their objectives through a burst of urgent work")
{
    // Bound: the objective of the milestone, 0.95 of what is owed.
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
    CHECK(cell.fraction_in_time(job_profiles[2]) >= 0.95);
}
