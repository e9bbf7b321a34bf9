// Guards against jobs that miss their objectives because a burst of one profile
// of work takes the room of the others, on a cell at 73% utilisation.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE("Urgent and batch jobs meet their objectives in an urgent burst at "
          "73% load")
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
    CHECK(cell.fraction_in_time(job_profiles[0]) >= 0.95);
    CHECK(cell.fraction_in_time(job_profiles[1]) >= 0.95);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE(
    "All kinds of jobs meet their objectives in a burst of gangs at 73% load")
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
