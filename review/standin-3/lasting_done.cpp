// A task that lasts ends by itself, and the executor lists the end as done.
#include <atomic>
#include <cstdlib>
#include <iostream>

#include "deployment.hpp"

using namespace standin3;
using std::chrono::milliseconds;

namespace
{

constexpr int tasks = 3;
constexpr std::int64_t work_ms = 4000;
/// The rule counts from 6 s after the last run of the task; the system then
/// has 3 s.
constexpr std::int64_t bound_ms = 9000;

} // namespace

int main()
{
    record log(std::getenv("RECORD"));
    std::atomic<std::int64_t> ended_at{-1};
    std::atomic<std::int64_t> restarted_at{-1};
    const bool trouble = has_trouble();
    executor_rules rules;
    rules.plan = [&](const std::string& task, std::uint32_t, const std::string&)
    {
        run_plan plan;
        if (trouble && ended_at < 0 && task.substr(task.rfind('.')) == ".1")
            plan.after = milliseconds(work_ms);
        return plan;
    };
    rules.on_start =
        [&](executor& at, const std::string& task, std::uint32_t run)
    {
        log.line("start of " + task + " run " + std::to_string(run) + " at " +
                 at.id());
        if (ended_at >= 0 && restarted_at < 0 &&
            task.substr(task.rfind('.')) == ".1")
            restarted_at = now_ms();
    };
    rules.on_end = [&](const std::string& id, const std::string& task,
                       std::uint32_t run, const std::string& how)
    {
        log.line("end of " + task + " run " + std::to_string(run) + " at " +
                 id + ": " + how);
        if (how == "done")
            ended_at = now_ms();
    };
    deployment cell(deployment_options{}, rules, log);
    if (!cell.start())
        return 2;
    const auto id = cell.submit({{{"count", tasks},
                                  {"cpu", 2000},
                                  {"mem_mb", 512},
                                  {"estimate_ms", 1000},
                                  {"long_running", true}}},
                                "lasting");
    if (id.empty())
        return 2;
    const auto begin = now_ms();
    sleep_until(begin + work_ms + 2 * bound_ms);
    std::size_t running = 0;
    for (const auto& each : cell.executors)
        running += each->running_tasks().size();
    log.line("state of the job: " + cell.state_of(id) + ", tasks at work: " +
             std::to_string(running) + " of " + std::to_string(tasks));
    if (trouble && ended_at < 0)
        return 2;
    const bool broken =
        running < tasks ||
        (trouble && (restarted_at < 0 || restarted_at > ended_at + bound_ms));
    std::cout << "tasks at work: " << running << " of " << tasks << std::endl;
    return broken ? 1 : 0;
}
