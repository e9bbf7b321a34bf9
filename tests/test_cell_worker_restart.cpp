// Tests workers that restart under the id that they had. The new incarnation
// knows nothing of the earlier one and takes starts as soon as it is up.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

/// Loses a worker that has no runs, for a time in which two polls are lost and
/// after which the owner still takes it for reachable, and restarts it.
struct restarted_worker_cell : cell_with_owner
{
    restarted_worker_cell() : cell_with_owner(3, 2)
    {
        crash_worker("w0");
        run(milliseconds(2050));
        restart_worker("w0");
    }
    /// Submits four jobs of two tasks, which fill both workers.
    void submit_jobs()
    {
        for (unsigned job = 1; job <= 4; ++job)
            submit(owner(), job, make_work(2, 2000, 800));
    }
    void check_each_task_ran_once()
    {
        for (unsigned job = 1; job <= 4; ++job)
        {
            INFO("job " << job);
            CHECK(phase(job) == "completed");
            for (std::uint32_t i = 0; i < 2; ++i)
                CHECK(starts[{job_id(job), 0, 0, i}] == 1);
        }
        CHECK(first_violation() == "none");
    }
};

} // namespace

TEST_CASE("Runs that a restarted worker has accepted are not started again")
{
    // Guards against a second run of each task that was started between the
    // restart of a worker and the poll that shows it.
    restarted_worker_cell cell;
    cell.submit_jobs();
    cell.run(milliseconds(200));
    REQUIRE(cell.workers["w0"].runs.size() == 4);
    cell.run(milliseconds(4000));
    cell.check_each_task_ran_once();
}

TEST_CASE("Ends on a restarted worker count although no poll has listed the "
          "runs")
{
    // Guards against a start of tasks that are done, because the poll that
    // shows the restart lists their ends.
    restarted_worker_cell cell;
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(100)), end_kind::done, {}};
    };
    cell.submit_jobs();
    cell.run(milliseconds(300));
    REQUIRE(cell.workers["w0"].next_end_number == 5);
    cell.run(milliseconds(4000));
    cell.check_each_task_ran_once();
}

TEST_CASE("An unanswered start at a restarted worker runs nowhere else "
          "meanwhile")
{
    // The start expires by the clock of the earlier incarnation, which is far
    // ahead. Guards against a run elsewhere while the start can still take
    // effect.
    restarted_worker_cell cell;
    cell.workers["w0"].start_delay_ms = 2500;
    cell.submit_jobs();
    cell.run(milliseconds(9000));
    for (unsigned job = 1; job <= 4; ++job)
        CHECK(cell.phase(job) == "completed");
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A start that a restarted worker accepts on its second copy runs "
          "nowhere else")
{
    // Connections to the earlier incarnation are silent, so the first copy of
    // a start is lost. Guards against a start elsewhere after the second one.
    restarted_worker_cell cell;
    std::set<run_key> sent;
    cell.workers["w0"].drops_call = [&sent](const worker_call& call)
    {
        return call.command == worker_command::start &&
               sent.insert({call.task, call.run}).second;
    };
    cell.submit_jobs();
    cell.run(milliseconds(400));
    REQUIRE(cell.workers["w0"].runs.size() == 4);
    cell.run(milliseconds(4000));
    cell.check_each_task_ran_once();
}

TEST_CASE("Runs of an earlier incarnation are started again at once")
{
    // Guards against tasks that stay assigned to a worker that has forgotten
    // them.
    cell_with_owner cell(3, 2);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    for (unsigned job = 1; job <= 4; ++job)
        cell.submit(cell.owner(), job, cell.make_work(2, 1000, 800));
    cell.run(milliseconds(500));
    const auto lost = cell.workers["w0"].runs;
    REQUIRE_FALSE(lost.empty());
    cell.crash_worker("w0");
    cell.run(milliseconds(500));
    cell.restart_worker("w0");
    // The poll that was lost with the worker ends first.
    cell.run(milliseconds(1500));
    for (const auto& [key, run] : lost)
        CHECK(cell.starts[key.first] == 2);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("Restarts of workers under their ids run no task twice")
{
    // Guards against the same failures at other moments of the polls, and
    // beside owners that are killed.
    const auto seed = GENERATE(range(1, 13));
    INFO("seed " << seed);
    cell_with_owner cell(3, 6);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    cell.plan = [&random](const cell_task_id&, std::uint32_t)
    {
        return fake_run{time_point(milliseconds(100 + random() % 1400)),
                        end_kind::done,
                        {}};
    };
    std::map<unsigned, call_id> calls;
    unsigned next = 1;
    for (int round = 0; round < 60; ++round)
    {
        const auto host = "h" + std::to_string(random() % 3);
        for (int i = 0; i < 3 && cell.hosts[host].host; ++i, ++next)
        {
            cell.amounts[cell.job_id(next)] = {2000, 100, 0};
            calls[next] = cell.submit(host, next, cell.make_work(2, 2000, 800));
        }
        const auto id = "w" + std::to_string(random() % 6);
        if (random() % 4 == 0 && cell.workers[id].reachable)
        {
            cell.crash_worker(id);
            cell.after(milliseconds(2000 + random() % 900),
                       [&cell, id] { cell.restart_worker(id); });
        }
        if (random() % 20 == 0 && cell.hosts[host].host)
        {
            cell.kill_host(host);
            cell.after(milliseconds(700),
                       [&cell, host] { cell.start_host(host, "dc0"); });
        }
        cell.run(milliseconds(250));
    }
    cell.run(milliseconds(16000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.check_accepted_jobs_ended(calls) > 20);
}
