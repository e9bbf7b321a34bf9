// Random schedules with starts that a later incarnation of a worker carries out
// than the one that they were sent to. It can not refuse a start that is its
// first call.
#include "late_call_schedule.hpp"

using namespace cell_test;

TEST_CASE("Late starts at restarted workers run no task twice")
{
    // Guards against a run beside or after its successor because the next
    // incarnation carries out its start late.
    check_schedule(GENERATE(range(1, last_seed(10) + 1)), stray_starts::late);
}

TEST_CASE("Copies of starts at restarted workers run no task twice")
{
    // Guards against a run beside or after its successor because a second copy
    // of its start reaches the next incarnation.
    check_schedule(GENERATE(range(31, last_seed(40) + 1)),
                   stray_starts::copies);
}
