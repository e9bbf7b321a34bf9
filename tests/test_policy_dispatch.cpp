#include <catch2/catch.hpp>

#include "bench_cell_p.hpp"

using namespace carobcourse;
using namespace carobcourse::bench;
using namespace std::chrono_literals;

namespace
{

const resources worker_size{4000, 8192, 0};

/// Longest wait of the job's started tasks, -1 when none has started.
duration max_wait(const cell& sim, const std::string& job)
{
    duration max_waited{-1};
    for (const auto& wait : sim.waits())
    {
        if (wait.job == job)
            max_waited = std::max(max_waited, wait.waited);
    }
    return max_waited;
}

} // namespace

TEST_CASE("a gang starts at its reserved time while small tasks keep arriving")
{
    // Guards against a gang that starves because small tasks fit at once, and
    // against a reservation that keeps its workers idle until the gang starts.
    cell sim(order_method::dispatcher, 4, worker_size);
    sim.submit("old", make_job("a", job_kind::batch, worker_size, 3, 20s));
    sim.run_until(time_point(1s));
    sim.submit("gang", make_job("b", job_kind::gang, worker_size, 4, 5s));
    sim.run_until(time_point(1500ms));
    CHECK(sim.reason("gang").find("CC-1605 start expected in") == 0);
    for (int i = 0; i < 40; ++i)
    {
        sim.submit("short" + std::to_string(i),
                   make_job("c", job_kind::batch, {1000, 1024, 0}, 1, 2s));
        sim.submit("long" + std::to_string(i),
                   make_job("c", job_kind::batch, {1000, 1024, 0}, 1, 60s));
        sim.run_until(time_point(2s) + i * 500ms);
    }
    sim.run_until(time_point(30s));
    CHECK(max_wait(sim, "gang") >= 18s);
    CHECK(max_wait(sim, "gang") <= 19s + 500ms);
    // Backfill: tasks that end before the gang starts use its workers.
    CHECK(max_wait(sim, "short0") == 0s);
    CHECK(max_wait(sim, "long0") >= 10s);
}

TEST_CASE("a large task starts although small tasks fill every free block")
{
    // Guards against starvation of a task that needs a whole worker while small
    // tasks take each part of it that becomes free.
    cell sim(order_method::dispatcher, 1, worker_size);
    int number = 0;
    const auto add_small = [&]
    {
        sim.submit("small" + std::to_string(++number),
                   make_job("a", job_kind::batch, {1000, 1024, 0}, 2, 4s));
    };
    add_small();
    sim.run_until(time_point(1s));
    sim.submit("large", make_job("b", job_kind::batch, worker_size, 1, 4s));
    for (int second = 1; second < 40; ++second)
    {
        add_small();
        sim.run_until(time_point(std::chrono::seconds(second + 1)));
    }
    CHECK(max_wait(sim, "large") >= 0s);
    CHECK(max_wait(sim, "large") <= 15s);
}

TEST_CASE("two gangs that each need most of the cell both run")
{
    // Guards against a deadlock of two gangs that each hold part of the
    // capacity that both need.
    cell sim(order_method::dispatcher, 4, worker_size);
    sim.submit("old", make_job("a", job_kind::batch, worker_size, 2, 10s));
    sim.run_until(time_point(1s));
    sim.submit("first", make_job("b", job_kind::gang, worker_size, 3, 5s));
    sim.submit("second", make_job("c", job_kind::gang, worker_size, 3, 5s));
    sim.run_until(time_point(60s));
    CHECK(sim.waiting() == 0);
    CHECK(sim.index().free_capacity() == worker_size * 4);
}

TEST_CASE("a reserved gang starts after a gang of the same size was refused")
{
    // Guards against reserved capacity that stays idle: the refusal of one gang
    // blocks its size class, which must not keep a gang with a reservation from
    // being tried.
    cell sim(order_method::dispatcher, 4, worker_size);
    sim.submit("old", make_job("b", job_kind::batch, worker_size, 1, 10s));
    sim.run_until(time_point(1s));
    sim.submit("reserved", make_job("b", job_kind::gang, worker_size, 4, 5s));
    sim.run_until(time_point(2s));
    // Team "c" has no usage, so its gang is tried first.
    sim.submit("refused", make_job("c", job_kind::gang, worker_size, 4, 5s));
    sim.run_until(time_point(30s));
    CHECK(max_wait(sim, "reserved") == 9s);
    CHECK(max_wait(sim, "refused") == 13s);
}

TEST_CASE("an urgent task preempts the batch task that loses the least work")
{
    // Guards against an urgent task that waits behind batch tasks, and against
    // preemption of a service, of a gang or of more batch tasks than needed.
    cell sim(order_method::dispatcher, 4, worker_size);
    sim.submit("service",
               make_job("a", job_kind::service, worker_size, 1, 900s));
    sim.submit("gang", make_job("a", job_kind::gang, worker_size, 1, 900s));
    sim.submit("old", make_job("a", job_kind::batch, worker_size, 1, 900s));
    sim.run_until(time_point(10s));
    sim.submit("new", make_job("a", job_kind::batch, worker_size, 1, 900s));
    sim.run_until(time_point(20s));
    auto urgent = make_job("b", job_kind::batch, {1000, 1024, 0}, 1, 5s);
    urgent.job.queued.urgency = job_class::urgent;
    sim.submit("urgent", urgent);
    sim.run_until(time_point(20s));
    CHECK(sim.reason("urgent").find("CC-1604") == 0);
    sim.run_until(time_point(21s));
    CHECK(sim.preemptions() == 1);
    CHECK(max_wait(sim, "urgent") >= 0s);
    CHECK(max_wait(sim, "urgent") <= 1s);
    CHECK(sim.is_running({"old", 0}));
    CHECK(sim.is_running({"service", 0}));
    CHECK(sim.is_running({"gang", 0}));
    CHECK_FALSE(sim.is_running({"new", 0}));
    // The preempted task runs again afterwards.
    sim.run_until(time_point(60s));
    CHECK(sim.is_running({"new", 0}));
}

TEST_CASE("a task with checkpoints is preempted before a newer task without")
{
    // Guards against lost work when another task could save its progress.
    cell sim(order_method::dispatcher, 2, worker_size);
    auto checkpointed = make_job("a", job_kind::batch, worker_size, 1, 900s);
    checkpointed.job.checkpoints = true;
    sim.submit("saved", checkpointed);
    sim.run_until(time_point(10s));
    sim.submit("new", make_job("a", job_kind::batch, worker_size, 1, 900s));
    sim.run_until(time_point(20s));
    auto urgent = make_job("b", job_kind::batch, worker_size, 1, 5s);
    urgent.job.queued.urgency = job_class::urgent;
    sim.submit("urgent", urgent);
    sim.run_until(time_point(21s));
    CHECK(sim.is_running({"urgent", 0}));
    CHECK(sim.is_running({"new", 0}));
    CHECK_FALSE(sim.is_running({"saved", 0}));
}

TEST_CASE("a task larger than every worker reports that it cannot run")
{
    // Guards against a job that waits forever without a reason in its status.
    cell sim(order_method::dispatcher, 2, worker_size);
    sim.submit("huge", make_job("a", job_kind::batch, {4001, 1024, 0}, 1, 5s));
    sim.run_until(time_point(1s));
    CHECK(sim.reason("huge").find("CC-1602") == 0);
}

TEST_CASE("run time estimates follow measured, not declared, run times")
{
    // Guards against estimates that rely on declared run times that are far
    // from the measured ones.
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
