// Tests of the complete path of a job through the cell: callers, owner, workers
// and store, with fakes of everything outside the hosts.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

/// A cell whose hosts are all ready and which has an owner.
struct started_cell : simulated_cell
{
    explicit started_cell(std::size_t hosts = 3, std::size_t workers = 4)
        : simulated_cell(hosts, workers)
    {
        REQUIRE(run_until(milliseconds(3000),
                          [this]
                          {
                              return !owner().empty() &&
                                     std::all_of(this->hosts.begin(),
                                                 this->hosts.end(),
                                                 [](const auto& each)
                                                 { return each.second.ready; });
                          }));
    }
};

} // namespace

TEST_CASE("A job runs to completion and every host reports its state")
{
    // Guards against hosts that start but receive no heartbeats of the owner:
    // their callers are refused while the owner serves its own callers.
    started_cell cell;
    const auto call = cell.submit("h1", 1, cell.make_work(5, 1000));
    cell.run(milliseconds(200));
    CHECK(cell.code_of(call) == result_code::ok);
    CHECK(cell.phase(1) == "running");
    cell.run(milliseconds(1500));
    for (const auto& [name, slot] : cell.hosts)
    {
        const auto id =
            cell.call(name, caller_verb::status, "/batch/" + cell.job_id(1));
        cell.run(milliseconds(100));
        REQUIRE(cell.answers.count(id) == 1);
        CHECK(cell.answers[id].phase == job_phase::completed);
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("Callers of the host that owns the cell are answered")
{
    // Guards against an answer delivered while the frontend is still recording
    // the call: the answer was lost, and the next round freed the call while it
    // was in use.
    started_cell cell;
    const auto owner = cell.owner();
    const auto call = cell.submit(owner, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(100));
    CHECK(cell.code_of(call) == result_code::ok);
    const auto unknown =
        cell.call(owner, caller_verb::status, "/batch/" + cell.job_id(99));
    cell.run(milliseconds(20));
    CHECK(cell.code_of(unknown) == result_code::job_unknown);
    cell.run(milliseconds(1500));
    CHECK(cell.violations.empty());
}

TEST_CASE(
    "Steps run in order, and all tasks of a gang have the same run number")
{
    started_cell cell;
    auto work = cell.make_work(2, 1000);
    auto gang = work.steps.front();
    gang.gang = true;
    gang.count = 6;
    gang.amount = {4000, 100, 0};
    gang.depends_on = {0};
    work.steps.push_back(gang);
    std::map<std::uint32_t, std::set<std::uint32_t>> runs;
    bool started_early = false;
    cell.plan = [&](const cell_task_id& task, std::uint32_t run)
    {
        if (task.step == 1)
        {
            runs[run].insert(task.index);
            for (std::uint32_t i = 0; i < 2; ++i)
                started_early = started_early || cell.completions.count(
                                                     {task.job, 0, 0, i}) == 0;
        }
        return fake_run{time_point(milliseconds(400)), end_kind::done, {}};
    };
    cell.submit("h0", 1, work);
    cell.run(milliseconds(3000));
    CHECK_FALSE(started_early);
    REQUIRE(runs.size() == 1);
    CHECK(runs.begin()->second.size() == 6);
    CHECK(cell.phase(1) == "completed");
}

TEST_CASE(
    "A submission that cannot be accepted is refused at once with its code")
{
    started_cell cell;
    const auto no_key = cell.submit("h0", 1, cell.make_work(1, 1), "batch", "");
    const auto bad_key =
        cell.submit("h0", 2, cell.make_work(1, 1), "batch", "x");
    const auto no_queue = cell.submit("h0", 3, cell.make_work(1, 1), "nothing");
    auto cyclic_work = cell.make_work(1, 1);
    cyclic_work.steps.front().depends_on = {0};
    const auto cyclic_call = cell.submit("h0", 4, cyclic_work);
    const auto no_steps = cell.submit("h0", 5, job_spec{});
    const auto bad_id = cell.call("h0", caller_verb::submit, "/batch/xyz",
                                  "key-big", cell.make_work(1, 1));
    cell.run(milliseconds(5));
    CHECK(cell.code_of(no_key) == result_code::key_missing);
    CHECK(cell.code_of(bad_key) == result_code::key_unknown);
    CHECK(cell.code_of(no_queue) == result_code::not_found);
    CHECK(cell.code_of(cyclic_call) == result_code::bad_request);
    CHECK(cell.code_of(no_steps) == result_code::bad_request);
    CHECK(cell.code_of(bad_id) == result_code::bad_request);
}

TEST_CASE("A customer's resource limit holds over all workers together")
{
    started_cell cell;
    for (unsigned i = 1; i <= 6; ++i)
        cell.submit("h0", i, cell.make_work(3, 1500), "batch", "key-small");
    std::int64_t max_running = 0;
    for (int i = 0; i < 300; ++i)
    {
        cell.run(milliseconds(10));
        std::int64_t running = 0;
        for (const auto& [id, worker] : cell.workers)
            running += static_cast<std::int64_t>(worker.runs.size()) * 1500;
        max_running = std::max(max_running, running);
    }
    CHECK(max_running > 0);
    CHECK(max_running <= 4000);
}

TEST_CASE("A cancelled job stops all of its tasks within 400 ms")
{
    started_cell cell;
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(60000)), end_kind::done, {}};
    };
    cell.submit("h0", 1, cell.make_work(40, 1000));
    cell.run(milliseconds(300));
    const auto cancel =
        cell.call("h1", caller_verb::cancel, "/batch/" + cell.job_id(1));
    cell.run(milliseconds(400));
    CHECK(cell.code_of(cancel) == result_code::ok);
    CHECK(cell.phase(1) == "cancelled");
    std::size_t running = 0;
    for (const auto& [id, worker] : cell.workers)
        running += worker.runs.size();
    CHECK(running == 0);
}

TEST_CASE(
    "A job fails when one of its tasks has used up its attempts, not before")
{
    started_cell cell;
    cell.plan = [](const cell_task_id& task, std::uint32_t)
    {
        return fake_run{time_point(milliseconds(50)),
                        task.index == 0 ? end_kind::failed : end_kind::done,
                        {}};
    };
    cell.submit("h0", 1, cell.make_work(2, 1000));
    cell.run(milliseconds(2000));
    CHECK(cell.phase(1) == "failed");
    CHECK(cell.starts[{cell.job_id(1), 0, 0, 0}] == 3);
}

TEST_CASE(
    "A withdrawn key is refused, and so is any key under a stale configuration")
{
    started_cell cell;
    cell.hosts["h2"].reaches_store = false;
    cell.configure(cell.default_queues(), {{"big", {"key-new"}, 50, {}}});
    cell.run(milliseconds(200));
    const auto old_key = cell.submit("h0", 1, cell.make_work(1, 1));
    cell.run(milliseconds(50));
    CHECK(cell.code_of(old_key) == result_code::key_unknown);
    // Host h2 does not reach the store, so it has not read the change. It must
    // stop accepting keys once its configuration is too old.
    cell.run(milliseconds(4500));
    const auto stale = cell.submit("h2", 2, cell.make_work(1, 1));
    cell.run(milliseconds(50));
    CHECK(cell.code_of(stale) == result_code::configuration_stale);
    CHECK_FALSE(cell.hosts["h2"].ready);
}

TEST_CASE("No task starts in an evacuated data centre")
{
    started_cell cell;
    cell.store.put(operator_rows_table, "out/dc0", "{}");
    cell.run(milliseconds(1500));
    cell.submit("h0", 1, cell.make_work(20, 1000));
    cell.run(milliseconds(400));
    CHECK(cell.workers["w0"].runs.empty());
    CHECK(cell.workers["w2"].runs.empty());
    CHECK_FALSE(cell.workers["w1"].runs.empty());
    cell.store.put(operator_rows_table, "out/dc0", std::nullopt);
    cell.run(milliseconds(1500));
    cell.submit("h0", 2, cell.make_work(20, 1000));
    cell.run(milliseconds(300));
    CHECK_FALSE(cell.workers["w0"].runs.empty());
}

TEST_CASE("A backlog of late jobs does not cause an urgent job to be refused")
{
    // A backlog of 20 s, most of it past its objective. Guards against counting
    // this backlog against an urgent job that is scheduled before all of it.
    started_cell cell;
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(1000)), end_kind::done, {}};
    };
    cell.configure(cell.default_queues(), {{"big", {"key-big"}, 1000, {}}});
    cell.run(milliseconds(100));
    for (unsigned job = 1; job <= 30; ++job)
        cell.submit("h0", job, cell.make_work(8, 4000, 1000));
    cell.run(milliseconds(8000));
    const auto fresh = cell.submit("h1", 99, cell.make_work(1, 1000), "urgent");
    cell.run(milliseconds(100));
    CHECK(cell.code_of(fresh) == result_code::ok);
    cell.run(milliseconds(2500));
    CHECK(cell.phase(99, "urgent") == "completed");
}