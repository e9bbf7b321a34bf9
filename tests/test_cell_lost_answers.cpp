// Tests how soon the cell notices lost calls, lost answers and silent hosts.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

struct small_cell : cell_with_owner
{
    explicit small_cell(std::size_t hosts = 3, std::size_t workers = 1)
        : cell_with_owner(hosts, workers)
    {
    }
    /// Whether the first task of the job has started.
    bool is_started(unsigned job) const
    {
        return starts.count({job_id(job), 0, 0, 0}) > 0;
    }
    /// Whether the store has a row with the end of the job.
    bool is_end_recorded(unsigned job)
    {
        return stored_phase(job_id(job)).has_value();
    }
};

} // namespace

TEST_CASE(
    "The end of a task is recorded within 1 s when the report of it is lost")
{
    small_cell cell;
    constexpr auto run_time = milliseconds(2500);
    cell.plan = [run_time](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(run_time), end_kind::done, {}};
    };
    auto& worker = cell.workers.at("w0");
    cell.submit(cell.owner(), 1, cell.make_work(1, 1000, 2500));
    REQUIRE(
        cell.run_until(milliseconds(500), [&] { return cell.is_started(1); }));
    const auto ends_at = cell.now + run_time;
    // Loses the one long-poll answer that would report the end.
    int lost = 0;
    worker.drops_answer = [&](const worker_call& call)
    {
        const bool loses = call.command == worker_command::poll &&
                           cell.now + milliseconds(call.wait_ms) >=
                               ends_at - milliseconds(20) &&
                           lost == 0;
        lost += loses ? 1 : 0;
        return loses;
    };
    cell.run(run_time);
    REQUIRE(lost == 1);
    CHECK(cell.run_until(milliseconds(1000),
                         [&] { return cell.is_end_recorded(1); }));
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A lost start is sent again to the same worker within 600 ms")
{
    small_cell cell;
    auto& worker = cell.workers.at("w0");
    int lost = 0;
    worker.drops_call = [&](const worker_call& call)
    {
        const bool drops = call.command == worker_command::start && lost == 0;
        lost += drops ? 1 : 0;
        return drops;
    };
    const auto submitted_at = cell.now;
    cell.submit(cell.owner(), 1, cell.make_work(1, 1000, 800));
    REQUIRE(
        cell.run_until(milliseconds(3000), [&] { return cell.is_started(1); }));
    CHECK(lost == 1);
    CHECK(cell.now - submitted_at < milliseconds(600));
    REQUIRE(cell.run_until(milliseconds(2000),
                           [&] { return cell.is_end_recorded(1); }));
    CHECK(worker.highest_ended_run.begin()->second == 1);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE(
    "A start repeated after its run has ended does not run the task again")
{
    small_cell cell;
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(100)), end_kind::done, {}};
    };
    auto& worker = cell.workers.at("w0");
    int lost = 0;
    // The start takes effect but its answer is lost. The run ends before the
    // start is sent again.
    worker.drops_answer = [&](const worker_call& call)
    {
        const bool loses = call.command == worker_command::start && lost == 0;
        lost += loses ? 1 : 0;
        return loses;
    };
    cell.submit(cell.owner(), 1, cell.make_work(1, 1000, 100));
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return cell.is_end_recorded(1); }));
    CHECK(lost == 1);
    cell.run(milliseconds(2000));
    CHECK(cell.starts[{cell.job_id(1), 0, 0, 0}] == 1);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("An unresponsive owner is replaced within 1.5 s")
{
    for (unsigned round = 0; round < 5; ++round)
    {
        small_cell cell(5, 4);
        cell.run(milliseconds(37 * round));
        const auto first_owner = cell.owner();
        cell.hosts[first_owner].paused = true;
        CHECK(cell.run_until(milliseconds(1500),
                             [&] { return !cell.owner().empty(); }));
        cell.hosts[first_owner].paused = false;
        cell.run(milliseconds(2000));
        CHECK_FALSE(cell.hosts[first_owner].host->is_owner());
    }
}

TEST_CASE(
    "A host cut off from the owner and the store redirects callers at once")
{
    small_cell cell;
    std::string cut_off_host;
    for (const auto& [name, slot] : cell.hosts)
        if (name != cell.owner())
            cut_off_host = name;
    for (const auto& [name, slot] : cell.hosts)
        if (name != cut_off_host)
            cell.cut_links.insert({cut_off_host, name});
    cell.hosts[cut_off_host].reaches_store = false;
    cell.run(milliseconds(1500));
    const auto before_expiry =
        cell.submit(cut_off_host, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(1000));
    CHECK(cell.answers[before_expiry].code == result_code::owner_unknown);
    CHECK(cell.answers[before_expiry].retry_after_ms == 0);
    CHECK(cell.answers[before_expiry].close_connection);
    cell.run(milliseconds(3000));
    const auto after_expiry =
        cell.submit(cut_off_host, 2, cell.make_work(1, 1000));
    cell.run(milliseconds(50));
    CHECK(cell.answers[after_expiry].code == result_code::configuration_stale);
    CHECK(cell.answers[after_expiry].retry_after_ms == 0);
    CHECK(cell.answers[after_expiry].close_connection);
}

TEST_CASE("The host with the largest processor share claims the cell")
{
    simulated_cell cell(0, 2);
    cell.processor_shares = {{"h0", 0.12}, {"h1", 0.5}, {"h2", 0.25}};
    for (const auto* name : {"h0", "h1", "h2"})
        cell.start_host(name, "dc0");
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return !cell.owner().empty(); }));
    CHECK(cell.owner() == "h1");
}