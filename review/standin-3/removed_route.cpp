// The operator removes a route while jobs that were accepted on it wait or run.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

#include "deployment.hpp"

using namespace standin3;
using std::chrono::milliseconds;

namespace
{

constexpr int jobs = 6;
constexpr std::size_t tasks_per_step = 4;
constexpr std::int64_t task_ms = 1500;
constexpr std::int64_t change_ms = 700;
/// `finish_s` of the small deployments, after the end of the traffic; the rule
/// allows 3 s without a run.
constexpr std::int64_t finish_ms = 14000;
constexpr std::int64_t idle_bound_ms = 3000;

} // namespace

int main()
{
    record log(std::getenv("RECORD"));
    std::mutex mutex;
    std::map<std::string, std::set<std::string>> done;
    std::map<std::string, std::int64_t> last_run;
    executor_rules rules;
    rules.plan = [](const std::string&, std::uint32_t, const std::string&) {
        return run_plan{milliseconds(task_ms), "done"};
    };
    rules.on_start =
        [&](executor& at, const std::string& task, std::uint32_t run)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        last_run[job_of(task)] = now_ms();
        log.line("start of " + task + " run " + std::to_string(run) + " at " +
                 at.id());
    };
    rules.on_end = [&](const std::string& id, const std::string& task,
                       std::uint32_t run, const std::string& how)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        last_run[job_of(task)] = now_ms();
        if (how == "done")
            done[job_of(task)].insert(task);
        log.line("end of " + task + " run " + std::to_string(run) + " at " +
                 id + ": " + how);
    };
    deployment cell(deployment_options{}, rules, log);
    // A second route stays, so that the deployment still has callers.
    auto config = cell.config();
    auto other = config["routes"][0];
    other["name"] = "r-other";
    other["prefix"] = "/other/";
    config["routes"].push_back(other);
    config["version"] = 2;
    cell.put_config(config);
    if (!cell.start())
        return 2;
    std::this_thread::sleep_for(milliseconds(1000));
    std::vector<std::string> ids;
    for (int i = 0; i < jobs; ++i)
    {
        json first{{"count", tasks_per_step},
                   {"cpu", 1000},
                   {"mem_mb", 256},
                   {"estimate_ms", task_ms}};
        auto second = first;
        second["after"] = {0};
        ids.push_back(cell.submit({first, second}, "work"));
        if (ids.back().empty())
            return 2;
    }
    const auto begin = now_ms();
    sleep_until(begin + change_ms);
    if (has_trouble())
    {
        config["routes"].erase(config["routes"].begin());
        config["version"] = 3;
        cell.put_config(config);
        log.line("version 3 of the configuration, without the route r-batch, "
                 "is acknowledged");
    }
    sleep_until(begin + change_ms + finish_ms + idle_bound_ms);
    int lost = 0;
    const std::lock_guard<std::mutex> lock(mutex);
    for (const auto& id : ids)
    {
        const auto ended = done[id].size();
        const auto idle = now_ms() - last_run[id];
        log.line("job " + id + ": " + std::to_string(ended) + " of " +
                 std::to_string(2 * tasks_per_step) +
                 " tasks done, nothing running for " + std::to_string(idle) +
                 " ms");
        lost += ended < 2 * tasks_per_step && idle > idle_bound_ms ? 1 : 0;
    }
    std::cout << "accepted jobs without a run: " << lost << std::endl;
    return lost > 0 ? 1 : 0;
}
