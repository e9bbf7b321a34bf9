// Tests jobs with several occurrences around changes of the owner.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

/// Returns a job of two occurrences of one task, of which the first is due now
/// and the second `interval` later.
job_spec two_occurrences(const simulated_cell& cell, milliseconds interval)
{
    auto work = simulated_cell::make_work(1, 1000, 800);
    work.occurrences = 2;
    work.first_due_ms =
        cell.unix_offset_ms + cell.now.time_since_epoch() / milliseconds(1);
    work.interval_ms = interval.count();
    return work;
}

/// Cuts the owner off from the store and the other hosts, together with worker
/// w0. Each side still reaches its own workers.
std::string cut_owner_off(simulated_cell& cell)
{
    auto first = cell.owner();
    cell.hosts[first].reaches_store = false;
    for (const auto& [name, slot] : cell.hosts)
        if (name != first)
            cell.cut_links.insert({first, name});
    cell.partition_of = [first](const std::string& name)
    { return name == first || name == "w0" ? 1 : 2; };
    return first;
}

void end_cut(simulated_cell& cell, const std::string& first)
{
    cell.partition_of = nullptr;
    cell.cut_links.clear();
    cell.hosts[first].reaches_store = true;
}

} // namespace

TEST_CASE("An occurrence that becomes due while the owner is cut off runs once")
{
    // Guards against an occurrence that the earlier owner starts on its side of
    // a partition and the new owner on the other side.
    const auto interval = GENERATE(1700, 2500, 4000);
    INFO("interval " << interval);
    cell_with_owner cell(3, 2);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(1500)), end_kind::done, {}};
    };
    cell.submit(cell.owner(), 1, two_occurrences(cell, milliseconds(interval)));
    cell.run(milliseconds(300));
    const auto first = cut_owner_off(cell);
    cell.run(milliseconds(5000));
    end_cut(cell, first);
    cell.run(milliseconds(9000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.completions[{cell.job_id(1), 1, 0, 0}] == 1);
    CHECK(cell.phase(1) == "completed");
}

TEST_CASE("An occurrence that is due after all workers have reported starts on "
          "time")
{
    // Guards against scheduled work that waits for leases after a change of
    // the owner that cut nobody off.
    cell_with_owner cell(3, 2);
    cell.submit(cell.owner(), 1, two_occurrences(cell, milliseconds(3000)));
    cell.run(milliseconds(300));
    cell.kill_host(cell.owner());
    cell.run(milliseconds(2600));
    CHECK(cell.starts[{cell.job_id(1), 1, 0, 0}] == 0);
    cell.run(milliseconds(250));
    CHECK(cell.starts[{cell.job_id(1), 1, 0, 0}] == 1);
}

TEST_CASE("A job that the new owner accepts does not wait for workers that it "
          "can not reach")
{
    // No earlier owner can have started an occurrence of such a job.
    cell_with_owner cell(3, 2);
    const auto first = cut_owner_off(cell);
    const auto second_owner = [&]() -> std::string
    {
        for (const auto& [name, slot] : cell.hosts)
            if (name != first && slot.host->is_owner() &&
                slot.host->owner()->is_loaded())
                return name;
        return {};
    };
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return !second_owner().empty(); }));
    cell.submit(second_owner(), 1, two_occurrences(cell, milliseconds(1000)));
    cell.run(milliseconds(1500));
    CHECK(cell.starts[{cell.job_id(1), 0, 0, 0}] == 1);
    CHECK(cell.starts[{cell.job_id(1), 1, 0, 0}] == 1);
}

TEST_CASE(
    "An occurrence that an earlier owner has run is not run again when it "
    "becomes due")
{
    // The clock of the earlier owner is ahead. Guards against a second run of
    // an occurrence whose report arrives before the new owner has added it.
    const bool ends_first = GENERATE(false, true);
    INFO("ends first " << ends_first);
    cell_with_owner cell(3, 2);
    cell.plan = [ends_first](const cell_task_id&, std::uint32_t)
    {
        return fake_run{time_point(milliseconds(ends_first ? 300 : 2500)),
                        end_kind::done,
                        {}};
    };
    const auto first = cell.owner();
    cell.hosts[first].clock_error_ms = 1500;
    cell.submit(first, 1, two_occurrences(cell, milliseconds(3000)));
    REQUIRE(
        cell.run_until(milliseconds(3000),
                       [&] {
                           return cell.starts[{cell.job_id(1), 1, 0, 0}] == 1;
                       }));
    cell.kill_host(first);
    cell.run(milliseconds(8000));
    CHECK(cell.starts[{cell.job_id(1), 1, 0, 0}] == 1);
    CHECK(cell.first_violation() == "none");
    CHECK(cell.phase(1) == "completed");
}
