// Tests that no answer to a call of a host's former process is taken for the
// answer to a call of its present one.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

constexpr auto restart_time = milliseconds(100);

/// A cell whose tasks take most of a worker. Those of odd jobs are long.
struct busy_cell : simulated_cell
{
    busy_cell() : simulated_cell(2, 10, 1)
    {
        plan = [](const cell_task_id& task, std::uint32_t)
        {
            const bool is_long = std::stoul(task.job, nullptr, 16) % 2 == 1;
            return fake_run{time_point(milliseconds(is_long ? 3000 : 300)),
                            end_kind::done,
                            {}};
        };
        REQUIRE(
            run_until(milliseconds(3000), [this] { return !owner().empty(); }));
    }
    /// Kills a process and starts it again under its name.
    void restart_host(const std::string& name)
    {
        const auto data_centre = hosts.at(name).data_centre;
        kill_host(name);
        hosts.at(name).ready = false;
        run(restart_time);
        start_host(name, data_centre);
    }
};

} // namespace

TEST_CASE("A restarted owner does not take the answers to the calls of its "
          "former process for its own")
{
    // Guards against the list of one worker that is taken for that of another:
    // a task that it does not name counts as lost and is started again.
    for (auto age = milliseconds(2000); age <= milliseconds(7000);
         age += milliseconds(100))
    {
        busy_cell cell;
        // Answers to the first owner are late, but in time for its calls.
        for (auto& [id, worker] : cell.workers)
            worker.answer_delay = [](const worker_call& call)
            { return milliseconds(call.epoch == 1 ? 250 : 0); };
        cell.run(age);
        const auto first = cell.owner();
        cell.restart_host(first);
        REQUIRE(cell.run_until(milliseconds(3000),
                               [&] { return !cell.owner().empty(); }));
        std::map<unsigned, call_id> calls;
        for (unsigned job = 1; job <= 14; ++job)
        {
            calls[job] =
                cell.submit(cell.owner(), job, cell.make_work(1, 5000));
            cell.run(milliseconds(10));
        }
        cell.run(milliseconds(10000));
        INFO("killed " << age.count() << " ms after the cell was claimed");
        CHECK(cell.first_violation() == "none");
        CHECK(cell.check_accepted_jobs_ended(calls) == calls.size());
    }
}
