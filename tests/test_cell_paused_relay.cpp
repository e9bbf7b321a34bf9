// Calls to workers that a paused host relays when it goes on.
#include "late_call_schedule.hpp"

using namespace cell_test;

TEST_CASE("A start that a paused host relays late runs no task twice")
{
    // Guards against a host that goes on after a pause and relays starts whose
    // owner has given them up. The restarted worker has seen no later fence,
    // and the deadline of the start lies far ahead on its clock.
    cell_with_owner cell(3, 1);
    const auto owner = cell.owner();
    const auto set_paused = [&](bool is_paused)
    {
        for (auto& [name, slot] : cell.hosts)
            slot.paused = is_paused && name != owner;
    };
    set_paused(true);
    cell.submit(owner, 1, cell.make_work(2, 1000, 800));
    cell.run(milliseconds(3000));
    REQUIRE(cell.completions.size() == 2);
    REQUIRE(cell.workers["w0"].ends.empty());
    cell.crash_worker("w0");
    cell.run(milliseconds(60));
    cell.restart_worker("w0");
    set_paused(false);
    cell.run(milliseconds(3000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.phase(1) == "completed");
}

TEST_CASE("Late polls and stops beside paused hosts run no task twice")
{
    // Guards against the same failure in the schedules that showed it.
    check_schedule(GENERATE(110, 278), stray_starts::none);
}
