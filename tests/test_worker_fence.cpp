// Tests the fences of the calls to one worker.
#include <catch2/catch.hpp>

#include "cell_worker_fence_p.hpp"

using namespace carobcourse;

TEST_CASE("A start is above each poll without an answer")
{
    // Guards against a poll that is carried out after the start and removes its
    // end or extends its lease.
    worker_fence fence;
    fence.begin_poll();
    const auto poll = fence.last();
    SECTION("while the poll is open")
    {
        fence.begin_start();
        CHECK(fence.last() > poll);
    }
    SECTION("when the poll has ended without an answer")
    {
        fence.end_poll(poll, false);
        fence.begin_poll();
        CHECK(fence.last() > poll);
        fence.end_poll(fence.last(), true);
        fence.begin_start();
        CHECK(fence.last() > poll);
    }
    SECTION("but not above an answered one")
    {
        fence.end_poll(poll, true);
        fence.begin_start();
        CHECK(fence.last() == poll);
    }
}

TEST_CASE("A poll that a start has overtaken counts as lost")
{
    // Guards against a refused poll that settles a start without an answer.
    worker_fence fence;
    fence.begin_start();
    fence.end_start(fence.last(), false);
    fence.begin_poll();
    const auto poll = fence.last();
    fence.begin_start();
    fence.end_start(fence.last(), true);
    fence.end_poll(poll, false);
    CHECK_FALSE(fence.may_acknowledge());
}

TEST_CASE("Nothing is acknowledged before starts from before are settled")
{
    // Guards against an acknowledgement for which an end of the start counts
    // as one of an earlier incarnation.
    worker_fence fence;
    fence.begin_start();
    const auto start = fence.last();
    CHECK_FALSE(fence.may_acknowledge());
    fence.end_start(start, false);
    CHECK_FALSE(fence.may_acknowledge());
    fence.begin_poll();
    const auto poll = fence.last();
    CHECK(poll > start);
    SECTION("an answer to a poll above it settles the start")
    {
        fence.end_poll(poll, true);
        CHECK(fence.may_acknowledge());
    }
    SECTION("a poll without an answer does not")
    {
        fence.end_poll(poll, false);
        CHECK_FALSE(fence.may_acknowledge());
    }
    SECTION("an answer to a poll from before the start does not")
    {
        fence.begin_start();
        fence.end_start(fence.last(), false);
        fence.end_poll(poll, true);
        CHECK_FALSE(fence.may_acknowledge());
    }
}

TEST_CASE("Calls of before a removed worker are ignored")
{
    // Guards against counts that a late answer brings below 0.
    worker_fence fence(7);
    fence.end_start(6, false);
    fence.end_poll(6, false);
    CHECK(fence.may_acknowledge());
    fence.begin_start();
    CHECK(fence.last() == 7);
}
