// Calls with an answer whose second copies the next incarnation of a worker
// carries out.
#include "late_call_schedule.hpp"

using namespace cell_test;

TEST_CASE("Copies of answered polls remove no ends of the next incarnation")
{
    // Guards against starts after a restart that have the fence of an
    // acknowledgement before it.
    check_schedule(1091, stray_starts::none, false);
}

TEST_CASE("Copies of answered polls and starts run no task twice")
{
    // Guards against a fence that stays the same over a restart: a copy of a
    // poll removes an end that is not stored yet (225), and a copy of a start
    // runs beside its successor (288).
    check_schedule(GENERATE(225, 288), stray_starts::copies);
}
