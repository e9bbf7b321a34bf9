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

TEST_CASE("An owner that can not keep up refuses new jobs until it can again")
{
    // The owner handles its events in batches that take 300 ms each. Guards
    // against jobs that are accepted too late for their callers and then take
    // the time of those that were accepted before.
    cell_with_owner cell;
    const auto owner = cell.owner();
    const auto accepted = cell.submit(owner, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(100));
    CHECK(cell.code_of(accepted) == result_code::ok);
    call_id refused = 0;
    for (unsigned i = 0; i < 12; ++i)
    {
        cell.hosts[owner].paused = true;
        refused = cell.submit(owner, 10 + i, cell.make_work(1, 1000));
        cell.run(milliseconds(300));
        cell.hosts[owner].paused = false;
        cell.run(milliseconds(1));
    }
    REQUIRE(cell.answers.count(refused) == 1);
    CHECK(cell.code_of(refused) == result_code::team_queue_full);
    CHECK(cell.answers.at(refused).retry_after_ms > 0);
    cell.run(milliseconds(1000));
    const auto later = cell.submit(cell.owner(), 50, cell.make_work(1, 1000));
    cell.run(milliseconds(3000));
    CHECK(cell.code_of(later) == result_code::ok);
    CHECK(cell.phase(1) == "completed");
    CHECK(cell.phase(50) == "completed");
    CHECK(cell.owner() == owner);
    CHECK(cell.starts.count({cell.job_id(21), 0, 0, 0}) == 0);
    CHECK(cell.first_violation() == "none");
}
