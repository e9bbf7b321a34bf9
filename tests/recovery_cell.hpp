/// Test cell with one data centre, two entry hosts and two workers.
#pragma once

#include <string>

#include "core_harness.hpp"
#include "job_p.hpp"

namespace carobcourse::test
{

/// Body of a job submission. `run_ms` is the run time of each task.
inline std::string job_body(const std::string& id, int tasks, int run_ms,
                            std::int64_t cpu_millis = 1000)
{
    return json{{"id", id},
                {"tasks", tasks},
                {"run_ms", run_ms},
                {"resources", {{"cpu_millis", cpu_millis}, {"memory_mb", 100}}}}
        .dump();
}

/// Cell with the team "climb-desk", whose API key is `key`.
struct recovery_cell
{
    explicit recovery_cell(std::uint64_t seed,
                           const resources& worker_size = {4000, 8000, 0},
                           const resources& limit = {1000000, 4000000, 1000})
        : cell(seed)
    {
        cell.add_entry_host("north-1", "north");
        cell.add_entry_host("north-2", "north");
        cell.add_worker("w1", "north", "r1", worker_size);
        cell.add_worker("w2", "north", "r2", worker_size);
        cell.run_for(std::chrono::seconds(3));
        key = cell.add_team("north-1", "climb-desk", {}, limit);
    }

    /// Returns the host that the table names as the owner of the shard.
    std::string owner()
    {
        const auto answer = cell.table().read("shard", "north.0");
        return json::parse(answer.body["row"]["value"].get<std::string>())
            .value("owner", "");
    }
    static std::string other_host(const std::string& host)
    {
        return host == "north-1" ? "north-2" : "north-1";
    }
    /// Kills the owner, runs until the other host owns the shard and returns
    /// that host.
    std::string take_over()
    {
        const auto dead = owner();
        auto next = other_host(dead);
        cell.kill(dead);
        REQUIRE(cell.run_until(std::chrono::seconds(20),
                               [&] { return owner() == next; }));
        return next;
    }
    void submit(const std::string& host, const std::string& body)
    {
        REQUIRE(cell.call(host, "POST", "/v1/jobs", key, body).http_status ==
                202);
    }
    /// Returns the state in the stored row of the job, or "absent".
    std::string state_in_table(const std::string& job)
    {
        const auto row = cell.table().read("jobs", "north.0/" + job);
        if (row.status != 200)
            return "absent";
        return job_record_from_json(row.body["row"]["value"].get<std::string>())
            ->state();
    }
    /// Runs until the job has had `count` task starts. Returns false if that
    /// takes longer than `timeout`.
    bool wait_for_starts(const std::string& job, std::size_t count,
                         duration timeout)
    {
        return cell.run_until(timeout,
                              [&] { return cell.count_starts(job) >= count; });
    }
    /// Returns when the first task of the job ended on its worker. Fails the
    /// test if none has ended.
    time_point end_time_of(const std::string& job)
    {
        for (const auto& item : cell.task_record())
        {
            if (item["what"] == "end" && item["attempt"]["job"] == job)
                return time_point(
                    std::chrono::milliseconds(item["at_ms"].get<long>()));
        }
        FAIL("job " << job << " has not ended");
        return {};
    }
    /// Returns the worker of the first start of the job; empty if there is
    /// none.
    std::string worker_of(const std::string& job)
    {
        for (const auto& item : cell.task_record())
        {
            if (item["what"] == "start" && item["attempt"]["job"] == job)
                return item["worker"];
        }
        return {};
    }

    fake_cell cell;
    std::string key;
};

} // namespace carobcourse::test
