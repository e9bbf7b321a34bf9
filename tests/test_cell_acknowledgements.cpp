// Tests which ends of a worker that restarts under its id are acknowledged.
// Numbers of ends begin at 1 in each incarnation.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

/// A cell with three workers that gets a job of three short tasks every 50 ms.
struct busy_cell : cell_with_owner
{
    busy_cell() : cell_with_owner(3, 3)
    {
        plan = [](const cell_task_id&, std::uint32_t) {
            return fake_run{time_point(milliseconds(150)), end_kind::done, {}};
        };
    }
    void submit_jobs_for(milliseconds time)
    {
        const auto end = now + time;
        for (; now < end; run(milliseconds(50)))
            submit(owner(), ++jobs, make_work(3, 500, 150));
    }
    /// Loses the worker for a time in which no poll fails.
    void restart_after(milliseconds down)
    {
        crash_worker("w0");
        after(down, [this] { restart_worker("w0"); });
    }
    unsigned count_of(log_code code) const
    {
        return static_cast<unsigned>(std::count_if(
            log.begin(), log.end(),
            [code](const log_record& each) { return each.code == code; }));
    }

    unsigned jobs = 0;
};

} // namespace

TEST_CASE("The first poll of a restarted worker acknowledges none of its ends")
{
    // Guards against tasks that are started again although they are done: the
    // poll carried the number of the earlier incarnation's last end.
    const auto phase = GENERATE(0, 10, 20, 30, 40);
    INFO("phase " << phase);
    busy_cell cell;
    cell.submit_jobs_for(milliseconds(3000));
    cell.run(milliseconds(phase));
    cell.restart_after(milliseconds(60));
    cell.submit_jobs_for(milliseconds(3000));
    cell.run(milliseconds(9000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.count_of(log_code::cell_ends_missing) == 0);
    CHECK(cell.count_of(log_code::cell_worker_restarted) == 1);
}

TEST_CASE("An acknowledgement that the next incarnation carries out removes "
          "none of its ends")
{
    // Guards against tasks that are started again although they are done: the
    // ends were removed before an answer could list them.
    const auto lateness = GENERATE(900, 1100, 1300, 1500);
    INFO("lateness " << lateness);
    busy_cell cell;
    cell.submit_jobs_for(milliseconds(3000));
    unsigned late_calls = 0;
    cell.workers["w0"].lateness = [&](const worker_call& call)
    {
        const bool is_late = call.acked_end > 0;
        late_calls += is_late ? 1 : 0;
        return milliseconds(is_late ? lateness : 0);
    };
    REQUIRE(cell.run_until(milliseconds(500), [&] { return late_calls > 0; }));
    cell.crash_worker("w0");
    cell.after(milliseconds(60),
               [&cell]
               {
                   cell.restart_worker("w0");
                   // Ends wait on the worker for a list.
                   cell.workers["w0"].drops_answer = [](const worker_call& call)
                   { return call.command == worker_command::poll; };
               });
    cell.submit_jobs_for(milliseconds(1700));
    cell.workers["w0"].drops_answer = nullptr;
    cell.run(milliseconds(9000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.count_of(log_code::cell_ends_missing) == 0);
}

TEST_CASE("Ends are acknowledged while starts follow each other without a gap")
{
    // Guards against ends that pile up on a worker because a start is always
    // in flight when a poll is due.
    busy_cell cell;
    const auto end = cell.now + milliseconds(6000);
    for (; cell.now < end; cell.run(milliseconds(5)))
        cell.submit(cell.owner(), ++cell.jobs, cell.make_work(1, 50, 150));
    for (const auto& [id, worker] : cell.workers)
    {
        INFO("worker " << id << " has ended " << worker.next_end_number - 1);
        CHECK(worker.ends.size() < 100);
    }
    cell.run(milliseconds(3000));
    for (const auto& [id, worker] : cell.workers)
        CHECK(worker.ends.empty());
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("Ends that no list has named are reported")
{
    // Guards against lost ends that no log or metric shows.
    busy_cell cell;
    cell.submit_jobs_for(milliseconds(500));
    auto& worker = cell.workers["w0"];
    worker.next_end_number += 3;
    cell.submit_jobs_for(milliseconds(500));
    CHECK(cell.count_of(log_code::cell_ends_missing) == 1);
}

TEST_CASE("A call that a later call of its owner has overtaken does not end "
          "the ownership")
{
    // Guards against an owner that takes its own fence for that of a later one.
    const auto late_command =
        GENERATE(worker_command::poll, worker_command::start);
    INFO("command " << static_cast<int>(late_command));
    busy_cell cell;
    const auto owner = cell.owner();
    auto& worker = cell.workers["w0"];
    unsigned calls = 0;
    worker.delivery_delay = [&](const worker_call& call)
    {
        const bool is_late =
            call.command == late_command &&
            (call.command == worker_command::start || call.acked_end > 0) &&
            ++calls % 3 == 0;
        return milliseconds(is_late ? 200 : 0);
    };
    unsigned starts = 0;
    // After a start without an answer the next poll has a higher fence.
    worker.drops_answer = [&](const worker_call& call)
    {
        return late_command == worker_command::start &&
               call.command == worker_command::start && ++starts % 3 == 1;
    };
    cell.submit_jobs_for(milliseconds(6000));
    worker.drops_answer = nullptr;
    worker.delivery_delay = nullptr;
    cell.run(milliseconds(3000));
    CHECK(worker.fenced_calls[late_command] > 0);
    CHECK(cell.owner() == owner);
    CHECK(cell.count_of(log_code::cell_fenced) == 0);
    for (const auto& [id, each] : cell.workers)
        CHECK(each.ends.empty());
    CHECK(cell.first_violation() == "none");
}
