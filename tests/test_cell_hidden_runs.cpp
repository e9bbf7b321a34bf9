// Tests runs that the owner has given up although they go on, or gives up too
// early. Most are starts that are settled as never carried out; then the worker
// restarts, and its next incarnation carries them out.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

constexpr unsigned filler_job = 1;
constexpr unsigned late_job = 2;

/// A cell with two workers. A task fills `w1`, so that the tasks of another job
/// can start there only when it ends.
struct hidden_run_cell : cell_with_owner
{
    hidden_run_cell() : cell_with_owner(3, 2)
    {
        plan = [](const cell_task_id& task, std::uint32_t)
        {
            return fake_run{time_point(milliseconds(
                                task.job == job_id(filler_job) ? 60000 : 3000)),
                            end_kind::done,
                            {}};
        };
        workers["w0"].start_refusal = command_status::no_room;
        submit(owner(), filler_job, make_work(1, 8000, 20000));
        REQUIRE(run_until(milliseconds(2000),
                          [&] { return !workers["w1"].runs.empty(); }));
        run(milliseconds(500));
        workers["w0"].start_refusal.reset();
    }
    /// Submits the job, whose first starts are carried out after `lateness` and
    /// whose later starts are lost. Restarts `w0` when `lost_runs` runs have
    /// been given up. Its polls and starts are lost until the late starts have
    /// been carried out. Returns when the owner has read the list of runs.
    void list_hidden_runs(const job_spec& work, milliseconds lateness,
                          unsigned lost_runs)
    {
        auto& worker = workers["w0"];
        worker.lateness = [lateness](const worker_call& call)
        {
            return call.command == worker_command::start && call.run == 1
                       ? lateness
                       : milliseconds(0);
        };
        worker.drops_call = [](const worker_call& call)
        { return call.command == worker_command::start; };
        submit(owner(), late_job, work);
        REQUIRE(run_until(
            lateness,
            [&] { return count_of(log_code::cell_task_lost) == lost_runs; }));
        REQUIRE(worker.runs.empty());
        crash_worker("w0");
        run(milliseconds(60));
        restart_worker("w0");
        worker.drops_call = [](const worker_call& call)
        { return call.command != worker_command::stop; };
        // Longer than two polls.
        worker.stop_delay_ms = 1500;
        REQUIRE(run_until(
            lateness,
            [&] { return worker.runs.size() == work.steps.front().count; }));
        worker.drops_call = nullptr;
        REQUIRE(
            run_until(milliseconds(3000), [&]
                      { return count_of(log_code::cell_task_adopted) > 0; }));
    }
    void end_filler()
    {
        workers["w1"].runs.begin()->second.ends_at = now;
    }
    unsigned count_of(log_code code) const
    {
        return static_cast<unsigned>(std::count_if(
            log.begin(), log.end(),
            [code](const log_record& each) { return each.code == code; }));
    }
    unsigned starts_of_late_job() const
    {
        unsigned sum = 0;
        for (const auto& [task, count] : starts)
            sum += task.job == job_id(late_job) ? count : 0;
        return sum;
    }
};

} // namespace

TEST_CASE("A listed run of a waiting task is its current run")
{
    // Guards against a run elsewhere while the listed one is being stopped.
    const bool has_later_run = GENERATE(false, true);
    INFO("the task has a later run " << has_later_run);
    hidden_run_cell cell;
    cell.list_hidden_runs(cell.make_work(8, 1000, 3000),
                          milliseconds(has_later_run ? 9000 : 2000),
                          has_later_run ? 16 : 8);
    cell.end_filler();
    SECTION("it goes on")
    {
        cell.run(milliseconds(6000));
        CHECK(cell.starts_of_late_job() == 8);
    }
    SECTION("its task starts again when the worker is lost")
    {
        cell.run(milliseconds(100));
        cell.crash_worker("w0");
        cell.run(milliseconds(16000));
        CHECK(cell.starts_of_late_job() == 16);
    }
    CHECK(cell.phase(late_job) == "completed");
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A gang starts again when the ends of its listed runs are known")
{
    // Guards against a gang that starts while members of it are being stopped.
    auto work = hidden_run_cell::make_work(8, 1000, 3000);
    work.steps.front().gang = true;
    hidden_run_cell cell;
    cell.list_hidden_runs(work, milliseconds(2000), 8);
    cell.end_filler();
    cell.run(milliseconds(9000));
    CHECK(cell.starts_of_late_job() == 16);
    CHECK(cell.phase(late_job) == "completed");
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A task does not start while an earlier run of it is being stopped")
{
    // Guards against a run elsewhere: the earlier run is listed while the
    // outcome of a later start is open, and that start is then given up.
    hidden_run_cell cell;
    cell.list_hidden_runs(cell.make_work(1, 8000, 3000), milliseconds(2600), 1);
    cell.end_filler();
    cell.run(milliseconds(9000));
    CHECK(cell.starts_of_late_job() == 2);
    CHECK(cell.phase(late_job) == "completed");
    CHECK(cell.first_violation() == "none");
}

namespace
{

/// A cell with two workers whose tasks take 3 s.
struct replaced_worker_cell : cell_with_owner
{
    replaced_worker_cell() : cell_with_owner(3, 2)
    {
        plan = [](const cell_task_id&, std::uint32_t) {
            return fake_run{time_point(milliseconds(3000)), end_kind::done, {}};
        };
    }
    /// Another worker takes the address of `w0`. It answers polls late.
    void replace_worker()
    {
        auto& worker = workers["w0"];
        worker.runs.clear();
        worker.is_replaced = true;
        worker.delivery_delay = [](const worker_call& call) {
            return milliseconds(call.command == worker_command::poll ? 600 : 0);
        };
        for (auto& each : std::exchange(worker.pending_polls, {}))
            each.answer();
        run(milliseconds(50));
    }
    /// The next incarnation of `w0` comes up at another address.
    void move_worker()
    {
        const auto& worker = workers["w0"];
        fake_worker next;
        next.id = "moved";
        next.capacity = worker.capacity;
        next.clock_offset_ms = worker.clock_offset_ms;
        next.incarnation_start_ms = worker.incarnation_start_ms + 1;
        workers["moved"] = next;
        store.put(worker_rows_table, "w0",
                  nlohmann::json{{"dc", "dc0"},
                                 {"cpu", worker.capacity.cpu_millis},
                                 {"mem", worker.capacity.memory_mb},
                                 {"address", "moved"}}
                      .dump());
        run(milliseconds(200));
    }
};

} // namespace

TEST_CASE("An answer from the former address of a worker drops none of its "
          "runs")
{
    // Guards against runs elsewhere of tasks that the worker has started at its
    // present address while the answer was on its way.
    replaced_worker_cell cell;
    cell.replace_worker();
    cell.move_worker();
    for (unsigned job = 1; job <= 2; ++job)
        cell.submit(cell.owner(), job, cell.make_work(2, 2000, 3000));
    REQUIRE(cell.run_until(milliseconds(250), [&]
                           { return !cell.workers["moved"].runs.empty(); }));
    cell.run(milliseconds(9000));
    for (unsigned job = 1; job <= 2; ++job)
        CHECK(cell.phase(job) == "completed");
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("Runs on a worker whose address another one has taken start again")
{
    // Guards against tasks that wait for the lease of a worker that is known to
    // be gone.
    replaced_worker_cell cell;
    for (unsigned job = 1; job <= 2; ++job)
        cell.submit(cell.owner(), job, cell.make_work(2, 2000, 3000));
    cell.run(milliseconds(500));
    const auto lost = cell.workers["w0"].runs;
    REQUIRE_FALSE(lost.empty());
    cell.replace_worker();
    cell.run(milliseconds(1500));
    for (const auto& [key, run] : lost)
        CHECK(cell.starts[key.first] == 2);
    CHECK(cell.first_violation() == "none");
}
