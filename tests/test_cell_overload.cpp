// A burst of urgent work beside a customer that sends many times its share.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE("A customer beyond its share does not delay the others in a burst")
{
    // Bounds are the objective of the milestone: 0.95 of what is owed.
    loaded_cell cell(1);
    cell.replay_urgent_burst(5.3);
    for (const auto& profile : job_profiles)
    {
        INFO(profile.queue);
        CHECK(cell.fraction_in_time(profile) >= 0.95);
    }
    CHECK(cell.first_violation() == "none");
}
