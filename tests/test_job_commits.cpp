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

    int running_in_table(const std::string& job)
    {
        const auto row = cell.table().read("jobs", "north.0/" + job);
        if (row.status != 200)
            return 0;
        const auto record =
            job_record_from_json(row.body["row"]["value"].get<std::string>());
        return static_cast<int>(
            std::count_if(record->tasks.begin(), record->tasks.end(),
                          [](const auto& task)
                          { return task.state == task_state::running; }));
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
