// Combinations of random faults, reproducible by seed.
#include "core_harness.hpp"
#include "job_p.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

constexpr int worker_count = 4;
constexpr resources worker_capacity_each{4000, 16000, 2};

/// Returns the entries of the task record after which a worker ran more than
/// its capacity.
std::vector<std::string> overcommitted(fake_cell& cell)
{
    std::vector<std::string> found;
    std::map<std::string, std::int64_t> used;
    for (const auto& item : cell.sorted_task_record())
    {
        auto& sum = used[item["worker"].get<std::string>()];
        sum += item["what"] == "start" ? 1000 : -1000;
        if (sum > worker_capacity_each.cpu_millis)
            found.push_back(item.dump());
    }
    return found;
}

/// Injects one random fault; those with a duration end after 1 s to 25 s.
void inject_random_fault(fake_cell& cell, std::mt19937_64& random)
{
    const auto pick = [&](int n)
    { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    const auto host = "north-" + std::to_string(1 + pick(3));
    const auto worker = "w" + std::to_string(pick(worker_count));
    const auto length = 1s * (1 + pick(25));
    const auto until = cell.now() + length;
    switch (pick(7))
    {
    case 0:
        cell.kill(host);
        cell.at(until, [&cell, host] { cell.add_entry_host(host, "north"); });
        break;
    case 1:
        if (!cell.is_alive(host))
            break;
        cell.pause(host);
        cell.at(until, [&cell, host] { cell.resume(host); });
        break;
    case 2:
        cell.worker_faults[worker].cut = true;
        cell.at(until,
                [&cell, worker] { cell.worker_faults[worker].cut = false; });
        break;
    case 3:
        cell.worker_faults[worker].lose_replies += 2;
        break;
    case 4:
        cell.worker_faults[worker].deliver_late += 2;
        break;
    case 5:
        cell.store.down = true;
        cell.at(until, [&cell] { cell.store.down = false; });
        break;
    default:
        cell.store.lose_replies += 3;
        break;
    }
}

} // namespace

TEST_CASE("random faults neither lose jobs nor run a task twice at once")
{
    // Guards against lost jobs, repeated tasks and overloaded workers (I1, I2)
    // under combinations of faults that no other test covers: killed and paused
    // hosts, disconnected workers, late and lost messages, and table outages.
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        fake_cell cell(seed);
        std::mt19937_64 random(seed * 1000);
        for (const auto* host : {"north-1", "north-2", "north-3"})
            cell.add_entry_host(host, "north");
        for (int i = 0; i < worker_count; ++i)
            cell.add_worker("w" + std::to_string(i), "north",
                            "r" + std::to_string(i / 2), worker_capacity_each);
        cell.run_for(3s);
        const auto key = cell.add_team("north-1", "climb-desk");
        std::vector<std::pair<std::string, call_id>> sent;
        for (int i = 0; i < 12; ++i)
        {
            const auto id = "j" + std::to_string(i);
            const auto host = "north-" + std::to_string(1 + i % 3);
            if (cell.is_alive(host))
                sent.emplace_back(
                    id,
                    cell.send(host, "POST", "/v1/jobs", key,
                              json{{"id", id},
                                   {"tasks", 3},
                                   {"run_ms", 500 + (i % 4) * 8000},
                                   {"resources",
                                    {{"cpu_millis", 1000}, {"memory_mb", 100}}}}
                                  .dump()));
            cell.run_for(4s);
            inject_random_fault(cell, random);
        }
        cell.run_for(180s);
        INFO("seed " << seed);
        CHECK(cell.overlapping_tasks().empty());
        CHECK(overcommitted(cell).empty());
        for (const auto& [id, call] : sent)
        {
            if (cell.answers.count(call) == 0 ||
                cell.answers.at(call).http_status != 202)
                continue;
            const auto row = cell.table().read("jobs", "north.0/" + id);
            REQUIRE(row.status == 200);
            const auto job = job_record_from_json(
                row.body["row"]["value"].get<std::string>());
            INFO(row.body.dump());
            CHECK(std::string(job->state()) == "succeeded");
        }
    }
}
