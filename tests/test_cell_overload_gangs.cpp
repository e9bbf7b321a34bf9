// Gangs beside a customer that sends many times its share.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE("A customer beyond its share does not delay gangs in a burst")
{
    // Bound: the objective of the milestone, 0.95 of what is owed.
    loaded_cell cell(2);
    cell.replay_urgent_burst(5.3);
    CHECK(cell.fraction_in_time(job_profiles[2]) >= 0.95);
}
