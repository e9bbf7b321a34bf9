// Guards against a customer that sends 5.3 times its share of urgent jobs and
// so delays the gangs of the others.
#include "loaded_cell.hpp"

using namespace cell_test;

TEST_CASE("A customer above its share does not delay gangs in a burst")
{
    // Required: 95% of the jobs within the customers' shares are in time.
    loaded_cell cell(2);
    cell.replay_urgent_burst(5.3);
    CHECK(cell.fraction_in_time(job_profiles[2]) >= 0.95);
}
