// Tests what an owner decides about jobs while no configuration in force has
// their queue.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

constexpr unsigned job = 1;
constexpr auto task_time = milliseconds(800);

struct removed_route_cell : cell_with_owner
{
    explicit removed_route_cell(std::size_t workers = 4)
        : cell_with_owner(3, workers)
    {
    }

    void set_route(const std::string& name, bool present,
                   std::optional<std::uint32_t> max_attempts = {})
    {
        auto queues = default_queues();
        for (auto& queue : queues)
            if (queue.name == name && max_attempts)
                queue.max_attempts = *max_attempts;
        if (!present)
            queues.erase(std::remove_if(queues.begin(), queues.end(),
                                        [&name](const queue_config& queue)
                                        { return queue.name == name; }),
                         queues.end());
        configure(queues, default_customers());
        run(milliseconds(200));
    }
    /// The first runs of each task fail.
    void fail_first_runs(unsigned count)
    {
        plan = [this, count](const cell_task_id& task, std::uint32_t)
        {
            return fake_run{time_point(task_time),
                            starts[task] < count ? end_kind::failed
                                                 : end_kind::done,
                            {}};
        };
    }
    /// Accepts the job, removes its route while the first run goes on, and
    /// runs until that has failed.
    void fail_without_route(job_spec work, const std::string& queue)
    {
        submit(owner(), job, std::move(work), queue);
        REQUIRE(run_until(milliseconds(500), [this] { return is_started(); }));
        set_route(queue, false);
        run(task_time + milliseconds(500));
        REQUIRE(ends > 0);
    }
    bool is_started()
    {
        return starts[{job_id(job), 0, 0, 0}] > 0;
    }
    unsigned start_count()
    {
        return starts[{job_id(job), 0, 0, 0}];
    }
    void replace_owner()
    {
        kill_host(owner());
        REQUIRE(
            run_until(milliseconds(5000), [this] { return !owner().empty(); }));
        run(milliseconds(500));
    }
};

job_spec gang_of_two()
{
    auto work = simulated_cell::make_work(2, 1000);
    work.steps.front().gang = true;
    return work;
}

} // namespace

TEST_CASE("A run that fails while its route is removed uses one attempt")
{
    // Guards against a job that is shown as failed after one failed run of
    // three, because its queue is not in the configuration for a while.
    removed_route_cell cell;
    cell.fail_first_runs(1);
    const bool is_gang = GENERATE(false, true);
    CAPTURE(is_gang);
    cell.fail_without_route(is_gang ? gang_of_two() : cell.make_work(1, 1000),
                            "batch");
    SECTION("under one owner") {}
    SECTION("with a takeover before the route is back")
    {
        cell.replace_owner();
    }
    cell.set_route("batch", true);
    cell.run(milliseconds(20000));
    CHECK(cell.phase(job) == "completed");
    CHECK(cell.start_count() == 2);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A job that has used its attempts while its route was removed fails "
          "when the route is back")
{
    // Guards against a start beyond the attempts of the queue.
    removed_route_cell cell;
    cell.fail_first_runs(3);
    const bool is_gang = GENERATE(false, true);
    CAPTURE(is_gang);
    cell.fail_without_route(is_gang ? gang_of_two() : cell.make_work(1, 1000),
                            "batch");
    SECTION("under one owner") {}
    SECTION("with a takeover before the route is back")
    {
        cell.replace_owner();
    }
    cell.set_route("batch", true, 1);
    cell.run(milliseconds(20000));
    CHECK(cell.phase(job) == "failed");
    CHECK(cell.start_count() == 1);
}

TEST_CASE("An owner without a configuration does not count the last attempt")
{
    // Guards against a job that fails after its first failed run because its
    // owner has read the jobs, but no configuration yet.
    removed_route_cell cell;
    cell.fail_first_runs(1);
    cell.submit(cell.owner(), job, cell.make_work(1, 1000));
    REQUIRE(
        cell.run_until(milliseconds(500), [&] { return cell.is_started(); }));
    std::vector<std::string> names;
    for (const auto& [name, slot] : cell.hosts)
        names.push_back(name);
    for (const auto& name : names)
        cell.kill_host(name);
    cell.store.put(operator_rows_table, "config", "unreadable");
    for (const auto& name : names)
        cell.start_host(name, cell.hosts[name].data_centre);
    REQUIRE(cell.run_until(milliseconds(5000),
                           [&] { return !cell.owner().empty(); }));
    cell.run(milliseconds(3000));
    cell.configure(cell.default_queues(), cell.default_customers());
    cell.run(milliseconds(20000));
    CHECK(cell.phase(job) == "completed");
    CHECK(cell.start_count() == 2);
}

TEST_CASE("A job keeps the deadline of its queue when its owner changes while "
          "the route is removed")
{
    // Guards against a job that goes behind later ones because its new owner
    // has computed its deadline without the settings of the queue.
    constexpr unsigned later_job = 2;
    removed_route_cell cell(1);
    const auto set_refusal = [&](std::optional<command_status> status)
    {
        for (auto& [id, worker] : cell.workers)
            worker.start_refusal = status;
    };
    set_refusal(command_status::no_room);
    // One task of these takes the only worker.
    cell.submit(cell.owner(), job, cell.make_work(1, 8000));
    cell.run(milliseconds(300));
    cell.set_route("batch", false);
    cell.replace_owner();
    cell.set_route("batch", true);
    cell.submit(cell.owner(), later_job, cell.make_work(1, 8000));
    cell.run(milliseconds(300));
    set_refusal({});
    const cell_task_id later_task{cell.job_id(later_job), 0, 0, 0};
    REQUIRE(cell.run_until(
        milliseconds(20000),
        [&] { return cell.is_started() || cell.starts[later_task] > 0; }));
    CHECK(cell.is_started());
}
