// Calls whose answers are lost, hosts that fall silent: how soon it is noticed.
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
    bool is_started(unsigned job) const
    {
        return starts.count({job_id(job), 0, 0, 0}) > 0;
    }
    bool is_final(unsigned job)
    {
        return !store.tables[cell_table::ended][job_id(job)].value.empty();
    }
};

} // namespace

TEST_CASE("An end is known within a second though a list is lost")
{
    small_cell cell;
    constexpr auto work = milliseconds(2500);
    cell.plan = [work](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(work), end_kind::done, {}};
    };
    auto& worker = cell.workers.at("w0");
    cell.submit(cell.owner(), 1, cell.make_work(1, 1000, 2500));
    REQUIRE(
        cell.run_until(milliseconds(500), [&] { return cell.is_started(1); }));
    const auto end = cell.now + work;
    // Loses the list that would report the end.
    int lost = 0;
    worker.drops_answer = [&](const worker_call& call)
    {
        const bool loses =
            call.command == worker_command::poll &&
            cell.now + milliseconds(call.wait_ms) >= end - milliseconds(20) &&
            lost == 0;
        lost += loses ? 1 : 0;
        return loses;
    };
    cell.run(work);
    REQUIRE(lost == 1);
    CHECK(cell.run_until(milliseconds(1000), [&] { return cell.is_final(1); }));
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A start that is lost is sent again to the same worker")
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
    const auto sent = cell.now;
    cell.submit(cell.owner(), 1, cell.make_work(1, 1000, 800));
    REQUIRE(
        cell.run_until(milliseconds(3000), [&] { return cell.is_started(1); }));
    CHECK(lost == 1);
    CHECK(cell.now - sent < milliseconds(600));
    REQUIRE(
        cell.run_until(milliseconds(2000), [&] { return cell.is_final(1); }));
    CHECK(worker.highest_ended_run.begin()->second == 1);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A start that is repeated after its run has ended runs nothing twice")
{
    small_cell cell;
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(100)), end_kind::done, {}};
    };
    auto& worker = cell.workers.at("w0");
    int lost = 0;
    // The run ends before its start is sent again.
    worker.drops_answer = [&](const worker_call& call)
    {
        const bool loses = call.command == worker_command::start && lost == 0;
        lost += loses ? 1 : 0;
        return loses;
    };
    cell.submit(cell.owner(), 1, cell.make_work(1, 1000, 100));
    REQUIRE(
        cell.run_until(milliseconds(3000), [&] { return cell.is_final(1); }));
    CHECK(lost == 1);
    cell.run(milliseconds(2000));
    CHECK(cell.starts[{cell.job_id(1), 0, 0, 0}] == 1);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("An owner that falls silent is replaced within 1.5 seconds")
{
    for (unsigned round = 0; round < 5; ++round)
    {
        small_cell cell(5, 4);
        cell.run(milliseconds(37 * round));
        const auto first = cell.owner();
        cell.hosts[first].paused = true;
        CHECK(cell.run_until(milliseconds(1500),
                             [&] { return !cell.owner().empty(); }));
        cell.hosts[first].paused = false;
        cell.run(milliseconds(2000));
        CHECK_FALSE(cell.hosts[first].host->is_owner());
    }
}

TEST_CASE("A host that is cut off sends callers to others at once")
{
    small_cell cell;
    std::string cut;
    for (const auto& [name, slot] : cell.hosts)
        if (name != cell.owner())
            cut = name;
    for (const auto& [name, slot] : cell.hosts)
        if (name != cut)
            cell.cut_links.insert({cut, name});
    cell.hosts[cut].reaches_store = false;
    cell.run(milliseconds(1500));
    const auto early = cell.submit(cut, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(1000));
    CHECK(cell.answers[early].code == result_code::owner_unknown);
    CHECK(cell.answers[early].retry_after_ms == 0);
    CHECK(cell.answers[early].close_connection);
    cell.run(milliseconds(3000));
    const auto late = cell.submit(cut, 2, cell.make_work(1, 1000));
    cell.run(milliseconds(50));
    CHECK(cell.answers[late].code == result_code::configuration_stale);
    CHECK(cell.answers[late].retry_after_ms == 0);
    CHECK(cell.answers[late].close_connection);
}

TEST_CASE("The host with the largest share of a processor claims the cell")
{
    simulated_cell cell(0, 2);
    cell.processor_shares = {{"h0", 0.12}, {"h1", 0.5}, {"h2", 0.25}};
    for (const auto* name : {"h0", "h1", "h2"})
        cell.start_host(name, "dc0");
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return !cell.owner().empty(); }));
    CHECK(cell.owner() == "h1");
}
