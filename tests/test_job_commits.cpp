// Commits of a shard's owner, and what the table service does not take.
#include "core_harness.hpp"
#include "job_p.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

/// One entry host and a worker that holds everything.
struct one_host
{
    explicit one_host(std::uint64_t seed) : cell(seed)
    {
        cell.add_entry_host("north-1", "north");
        cell.add_worker("w1", "north", "r1", {100'000'000, 100'000'000, 0});
        cell.run_for(3s);
        key = cell.add_team("north-1", "climb-desk");
        cell.run_for(5s);
    }

    int submit(const std::string& id, int tasks, const json& payload = {})
    {
        const json body{{"id", id},
                        {"tasks", tasks},
                        {"kind", "service"},
                        {"payload", payload},
                        {"resources", {{"cpu_millis", 10}, {"memory_mb", 10}}}};
        return cell.call("north-1", "POST", "/v1/jobs", key, body.dump())
            .http_status;
    }

    std::vector<task_record> tasks_in_table(const std::string& job)
    {
        const auto row = cell.table().read("jobs", "north.0/" + job);
        if (row.status != 200)
            return {};
        return job_record_from_json(row.body["row"]["value"].get<std::string>())
            ->tasks;
    }
    int running_in_table(const std::string& job)
    {
        const auto tasks = tasks_in_table(job);
        return static_cast<int>(
            std::count_if(tasks.begin(), tasks.end(),
                          [](const auto& task)
                          { return task.state == task_state::running; }));
    }
    /// Attempt of the job's first task, 0 when there is none.
    std::uint32_t attempt_in_table(const std::string& job)
    {
        const auto tasks = tasks_in_table(job);
        return tasks.empty() ? 0 : tasks.front().attempt;
    }

    fake_cell cell;
    std::string key;
};

} // namespace

TEST_CASE("progress of many large jobs is written in commits that fit")
{
    // Guards against a commit above the table service's 1 MiB: it was sent
    // again and again, and nothing of the shard was written any more.
    one_host host(71);
    for (int i = 0; i < 64; ++i)
        REQUIRE(host.submit("j" + std::to_string(i), 250) == 202);
    host.cell.run_for(20s);
    for (int i = 0; i < 64; ++i)
    {
        CAPTURE(i);
        CHECK(host.running_in_table("j" + std::to_string(i)) == 250);
    }
}

TEST_CASE("a backlog of an outage is written in commits that fit")
{
    // Guards against one commit of all jobs that changed while the table was
    // down: 64 rows of 60 KB are refused as a whole, every time.
    one_host host(74);
    constexpr int jobs = 64;
    const json payload = std::string(60000, 'x');
    for (int i = 0; i < jobs; ++i)
        REQUIRE(host.submit("j" + std::to_string(i), 2, payload) == 202);
    host.cell.run_for(5s);
    host.cell.store.down = true;
    for (int i = 0; i < jobs; ++i)
        REQUIRE(host.running_in_table("j" + std::to_string(i)) == 2);
    // The worker loses its tasks, so that each job changes.
    host.cell.worker_faults["w1"].cut = true;
    host.cell.run_for(35s);
    host.cell.worker_faults["w1"].cut = false;
    host.cell.run_for(5s);
    host.cell.store.down = false;
    host.cell.run_for(10s);
    for (int i = 0; i < jobs; ++i)
    {
        CAPTURE(i);
        CHECK(host.attempt_in_table("j" + std::to_string(i)) == 2);
        CHECK(host.running_in_table("j" + std::to_string(i)) == 2);
    }
}

TEST_CASE("the largest job fits in a commit, a larger one is refused")
{
    // Guards against an accepted job that can not be written.
    one_host host(72);
    const std::string most(config::max_payload_bytes - 2, '"');
    const std::string fits((config::max_payload_bytes - 2) / 2, '"');
    CHECK(host.submit("wide", config::max_tasks_per_job + 1) == 400);
    CHECK(host.submit("long", 1, most) == 400);
    REQUIRE(host.submit("most", config::max_tasks_per_job, fits) == 202);
    host.cell.run_for(10s);
    CHECK(host.running_in_table("most") == config::max_tasks_per_job);
}

TEST_CASE("a commit that the table never takes is not sent without pause")
{
    // Guards against a loop of commit and read-back that takes most of a
    // core and a tenth of what the table service can read.
    one_host host(73);
    REQUIRE(host.submit("j", 100) == 202);
    host.cell.store.max_commit_bytes = 4096;
    host.cell.store.too_large = store_status::unknown;
    const auto before = host.cell.store_writes;
    host.cell.run_for(10s);
    // One try each 200 ms, and renewals of ownership.
    CHECK(host.cell.store_writes - before <= 60);
    host.cell.store.max_commit_bytes = std::size_t{1024} * 1024;
    host.cell.run_for(5s);
    CHECK(host.running_in_table("j") == 100);
}
