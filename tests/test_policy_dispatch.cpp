#include <catch2/catch.hpp>

#include "bench_cell_p.hpp"

using namespace carobcourse;
using namespace carobcourse::bench;
using namespace std::chrono_literals;

namespace
{

const resources whole{4000, 8192, 0};

duration longest_wait(const cell& hosts, const std::string& job)
{
    duration longest{-1};
    for (const auto& wait : hosts.waits())
    {
        if (wait.job == job)
            longest = std::max(longest, wait.waited);
    }
    return longest;
}

} // namespace

TEST_CASE("a gang starts at its reserved time although small tasks keep coming")
{
    // Guards against starvation of a gang by tasks that fit at once, and
    // against a reservation that lets nothing run meanwhile.
    cell hosts(order_method::dispatcher, 4, whole);
    hosts.submit("old", make_job("a", job_kind::batch, whole, 3, 20s));
    hosts.run_until(time_point(1s));
    hosts.submit("gang", make_job("b", job_kind::gang, whole, 4, 5s));
    hosts.run_until(time_point(1500ms));
    CHECK(hosts.reason("gang").find("CC-1605 start expected in") == 0);
    for (int i = 0; i < 40; ++i)
    {
        hosts.submit("short" + std::to_string(i),
                     make_job("c", job_kind::batch, {1000, 1024, 0}, 1, 2s));
        hosts.submit("long" + std::to_string(i),
                     make_job("c", job_kind::batch, {1000, 1024, 0}, 1, 60s));
        hosts.run_until(time_point(2s) + i * 500ms);
    }
    hosts.run_until(time_point(30s));
    CHECK(longest_wait(hosts, "gang") >= 18s);
    CHECK(longest_wait(hosts, "gang") <= 19s + 500ms);
    // Backfill: a task that ends before the gang starts runs meanwhile.
    CHECK(longest_wait(hosts, "short0") == 0s);
    CHECK(longest_wait(hosts, "long0") >= 10s);
}

TEST_CASE("a large task starts although small tasks take every hole")
{
    // Guards against starvation of tasks that need most of a worker.
    cell hosts(order_method::dispatcher, 1, whole);
    int number = 0;
    const auto add_small = [&]
    {
        hosts.submit("small" + std::to_string(++number),
                     make_job("a", job_kind::batch, {1000, 1024, 0}, 2, 4s));
    };
    add_small();
    hosts.run_until(time_point(1s));
    hosts.submit("large", make_job("b", job_kind::batch, whole, 1, 4s));
    for (int second = 1; second < 40; ++second)
    {
        add_small();
        hosts.run_until(time_point(std::chrono::seconds(second + 1)));
    }
    CHECK(longest_wait(hosts, "large") >= 0s);
    CHECK(longest_wait(hosts, "large") <= 15s);
}

TEST_CASE("two gangs that each need most of the cell both run")
{
    // Guards against two gangs that each hold part of what both need.
    cell hosts(order_method::dispatcher, 4, whole);
    hosts.submit("old", make_job("a", job_kind::batch, whole, 2, 10s));
    hosts.run_until(time_point(1s));
    hosts.submit("first", make_job("b", job_kind::gang, whole, 3, 5s));
    hosts.submit("second", make_job("c", job_kind::gang, whole, 3, 5s));
    hosts.run_until(time_point(60s));
    CHECK(hosts.waiting() == 0);
    CHECK(hosts.index().free_capacity() == whole * 4);
}

TEST_CASE("a reserved gang starts although a gang of its size is refused first")
{
    // Guards against a refusal of one gang that keeps others of its size from
    // a try, although their reserved capacity is free: it stays idle then.
    cell hosts(order_method::dispatcher, 4, whole);
    hosts.submit("old", make_job("b", job_kind::batch, whole, 1, 10s));
    hosts.run_until(time_point(1s));
    hosts.submit("reserved", make_job("b", job_kind::gang, whole, 4, 5s));
    hosts.run_until(time_point(2s));
    // Team "c" has used nothing, so it goes first.
    hosts.submit("refused", make_job("c", job_kind::gang, whole, 4, 5s));
    hosts.run_until(time_point(30s));
    CHECK(longest_wait(hosts, "reserved") == 9s);
    CHECK(longest_wait(hosts, "refused") == 13s);
}

TEST_CASE("urgent work stops the batch task that loses least")
{
    // Guards against urgent work that waits behind batch tasks, and against
    // a stop of a service, a gang or more batch tasks than needed.
    cell hosts(order_method::dispatcher, 4, whole);
    hosts.submit("service", make_job("a", job_kind::service, whole, 1, 900s));
    hosts.submit("gang", make_job("a", job_kind::gang, whole, 1, 900s));
    hosts.submit("old", make_job("a", job_kind::batch, whole, 1, 900s));
    hosts.run_until(time_point(10s));
    hosts.submit("new", make_job("a", job_kind::batch, whole, 1, 900s));
    hosts.run_until(time_point(20s));
    auto urgent = make_job("b", job_kind::batch, {1000, 1024, 0}, 1, 5s);
    urgent.job.queued.urgency = job_class::urgent;
    hosts.submit("urgent", urgent);
    hosts.run_until(time_point(20s));
    CHECK(hosts.reason("urgent").find("CC-1604") == 0);
    hosts.run_until(time_point(21s));
    CHECK(hosts.preemptions() == 1);
    CHECK(longest_wait(hosts, "urgent") >= 0s);
    CHECK(longest_wait(hosts, "urgent") <= 1s);
    CHECK(hosts.is_running({"old", 0}));
    CHECK(hosts.is_running({"service", 0}));
    CHECK(hosts.is_running({"gang", 0}));
    CHECK_FALSE(hosts.is_running({"new", 0}));
    // The stopped task runs again afterwards.
    hosts.run_until(time_point(60s));
    CHECK(hosts.is_running({"new", 0}));
}

TEST_CASE("a task that a checkpoint saves is stopped before a newer one")
{
    // Guards against lost work where a checkpoint loses none.
    cell hosts(order_method::dispatcher, 2, whole);
    auto saved = make_job("a", job_kind::batch, whole, 1, 900s);
    saved.job.checkpoints = true;
    hosts.submit("saved", saved);
    hosts.run_until(time_point(10s));
    hosts.submit("new", make_job("a", job_kind::batch, whole, 1, 900s));
    hosts.run_until(time_point(20s));
    auto urgent = make_job("b", job_kind::batch, whole, 1, 5s);
    urgent.job.queued.urgency = job_class::urgent;
    hosts.submit("urgent", urgent);
    hosts.run_until(time_point(21s));
    CHECK(hosts.is_running({"urgent", 0}));
    CHECK(hosts.is_running({"new", 0}));
    CHECK_FALSE(hosts.is_running({"saved", 0}));
}

TEST_CASE("a task no worker could hold says so")
{
    // Guards against a job that waits for ever without its cause.
    cell hosts(order_method::dispatcher, 2, whole);
    hosts.submit("huge",
                 make_job("a", job_kind::batch, {4001, 1024, 0}, 1, 5s));
    hosts.run_until(time_point(1s));
    CHECK(hosts.reason("huge").find("CC-1602") == 0);
}

TEST_CASE("run times are learned from what ran, not from what was declared")
{
    // Guards against estimates that trust a declaration that is far off.
    usage_model model;
    CHECK(model.expected_run("a", job_kind::batch, 0s) == 0s);
    for (int i = 0; i < 50; ++i)
        model.observe_run("a", job_kind::batch, 10s, 30s);
    CHECK(model.expected_run("a", job_kind::batch, 20s) == 60s);
    CHECK(model.expected_run("a", job_kind::batch, 0s) == 30s);
    CHECK(model.expected_run("b", job_kind::batch, 20s) == 20s);
    model.observe_size("a", job_kind::batch, {1000, 0, 0}, {250, 0, 0});
    CHECK(model.used_part("a", job_kind::batch) == Approx(0.25));
}
