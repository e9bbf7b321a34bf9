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
    std::string other_than(const std::string& host) const
    {
        for (const auto& [name, slot] : hosts)
            if (name != host)
                return name;
        return {};
    }
    /// Hands in a submission under a number of the host's own.
    void submit_numbered(const std::string& host, call_id number, unsigned job,
                         job_spec work)
    {
        caller_request request;
        request.id = number;
        request.verb = caller_verb::submit;
        request.host = "example";
        request.path = "/batch/" + job_id(job);
        request.key = "key-big";
        request.deadline = now + milliseconds(8000);
        request.work = std::move(work);
        hosts.at(host).inbox.emplace_back(std::move(request));
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

TEST_CASE("A restarted host does not take the answer to a call of its former "
          "process for its own")
{
    // Guards against a caller that is told that its job is accepted when the
    // answer is that of another caller: nobody holds the job.
    constexpr call_id number = 1000;
    busy_cell cell;
    const auto host = cell.other_than(cell.owner());
    cell.run(milliseconds(1000));
    cell.store_transaction_time = milliseconds(480);
    cell.submit_numbered(host, number, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(20));
    cell.restart_host(host);
    REQUIRE(cell.run_until(milliseconds(400),
                           [&] { return cell.hosts[host].ready; }));
    cell.submit_numbered(host, number, 2, cell.make_work(1, 1000));
    cell.run_until(milliseconds(2500),
                   [&] { return cell.answers.count(number) > 0; });
    REQUIRE(cell.answers.count(number) > 0);
    const bool is_accepted = cell.code_of(number) == result_code::ok;
    const bool is_stored = std::any_of(
        cell.log.begin(), cell.log.end(),
        [&cell](const log_record& record)
        {
            return record.code == log_code::job_accepted &&
                   record.detail.find(cell.job_id(2)) != std::string::npos;
        });
    CHECK(is_accepted == is_stored);
}

TEST_CASE("A restarted host does not get the refusal of a call of its former "
          "process")
{
    // Guards against a job that is refused because the store failed when the
    // host's former process handed it in under the same number.
    constexpr call_id number = 1000;
    busy_cell cell;
    const auto host = cell.other_than(cell.owner());
    cell.run(milliseconds(500));
    cell.store_down = true;
    cell.run(milliseconds(1000));
    cell.submit_numbered(host, number, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(100));
    REQUIRE(cell.code_of(number) == result_code::store_unavailable);
    cell.store_down = false;
    cell.run(milliseconds(500));
    cell.restart_host(host);
    REQUIRE(cell.run_until(milliseconds(1000),
                           [&] { return cell.hosts[host].ready; }));
    cell.answers.clear();
    cell.submit_numbered(host, number, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(500));
    CHECK(cell.code_of(number) == result_code::ok);
}
