// Guards against a customer that sends 5.3 times its share and so delays the
// jobs of the others during a burst of urgent jobs.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE(
    "A customer above its share does not delay other customers in a burst")
{
    // Required: 95% of the jobs within the customers' shares are in time.
    loaded_cell cell(1);
    cell.replay_urgent_burst(5.3);
    for (const auto& profile : job_profiles)
    {
        INFO(profile.queue);
        CHECK(cell.fraction_in_time(profile) >= 0.95);
    }
    CHECK(cell.first_violation() == "none");
}
