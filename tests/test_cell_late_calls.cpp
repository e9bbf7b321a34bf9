// Random schedules with late calls at workers that restart under their ids. The
// starts reach no later incarnation than the one that they were sent to.
#include "late_call_schedule.hpp"

using namespace cell_test;

TEST_CASE("Late polls and stops at restarted workers run no task twice")
{
    // Guards against an order for one incarnation that the next one obeys:
    // ends that are removed unseen, and runs that are taken for lost.
    check_schedule(GENERATE(range(1, last_seed(40) + 1)), stray_starts::none);
}
