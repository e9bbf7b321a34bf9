// Guards against gangs that miss their objectives because small urgent tasks
// fill each gap before all members have room, on a cell at 73% utilisation.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE("Gangs meet their objectives in a burst of urgent jobs at 73% load")
{
    // Required: 95% of the jobs within the customers' shares are in time.
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
