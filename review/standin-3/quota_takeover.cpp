// A large job of a tenant at its cap is cancelled, and the entry host that
// decides is stopped as planned while the tasks of that job are being stopped.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

#include "deployment.hpp"

using namespace standin3;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t cap_cpu = 64000;
constexpr std::int64_t task_cpu = 2000;
constexpr int tasks_per_job = 32;
/// `stop_ms` and `quota_over` of the deployment belfry-sched.
constexpr auto stop_time = milliseconds(900);
constexpr std::int64_t quota_over_percent = 10;
constexpr std::int64_t limit =
    cap_cpu * (100 + quota_over_percent) / 100 + task_cpu;
constexpr std::int64_t task_ms = 60000;
constexpr int rounds = 3;
/// From the answer to the cancel to the SIGTERM.
constexpr auto term_delay = milliseconds(300);

} // namespace

int main()
{
    record log(std::getenv("RECORD"));
    std::mutex mutex;
    std::set<std::pair<std::string, std::uint32_t>> running;
    int violations = 0;
    std::int64_t most = 0;
    executor_rules rules;
    rules.stop_time = stop_time;
    rules.plan = [](const std::string&, std::uint32_t, const std::string&) {
        return run_plan{milliseconds(task_ms), "done"};
    };
    rules.on_start =
        [&](executor& at, const std::string& task, std::uint32_t run)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        running.emplace(task, run);
        const auto used = static_cast<std::int64_t>(running.size()) * task_cpu;
        const bool over = used > limit;
        most = std::max(most, used);
        violations += over ? 1 : 0;
        log.line("start of " + task + " run " + std::to_string(run) + " at " +
                 at.id() + ", tenant has " + std::to_string(used) +
                 (over ? "  QUOTA broken" : ""));
    };
    rules.on_end = [&](const std::string& id, const std::string& task,
                       std::uint32_t run, const std::string& how)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        running.erase({task, run});
        log.line("end of " + task + " run " + std::to_string(run) + " at " +
                 id + ": " + how);
    };
    const auto running_tasks_of = [&](const std::string& job)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return std::count_if(running.begin(), running.end(),
                             [&job](const auto& each)
                             { return job_of(each.first) == job; });
    };
    deployment_options options;
    options.tenant_cap = {{"cpu", cap_cpu}, {"mem_mb", 0}, {"gpu", 0}};
    deployment cell(options, rules, log);
    if (!cell.start())
        return 2;
    const json steps = {{{"count", tasks_per_job},
                         {"cpu", task_cpu},
                         {"mem_mb", 256},
                         {"estimate_ms", 2000}}};
    auto current = cell.submit(steps, "first");
    for (int round = 0; round < rounds; ++round)
    {
        const auto next = cell.submit(steps, "next");
        const auto wait_until = now_ms() + 15000;
        while (running_tasks_of(current) < tasks_per_job &&
               now_ms() < wait_until)
            std::this_thread::sleep_for(milliseconds(20));
        if (next.empty() || running_tasks_of(current) < tasks_per_job)
        {
            log.line("the tasks of the job do not run");
            return 2;
        }
        // Hosts that report themselves ready again.
        std::this_thread::sleep_for(milliseconds(5000));
        const auto owner = cell.platform.owner();
        const auto answer = cell.call(0, "DELETE", current);
        log.line("DELETE of job " + current + ": " +
                 std::to_string(answer ? answer->status : 0));
        if (has_trouble())
        {
            std::this_thread::sleep_for(term_delay);
            for (auto& host : cell.hosts)
            {
                if (host->name() != owner)
                    continue;
                log.line("SIGTERM to " + owner);
                host->signal(SIGTERM);
                for (int i = 0; i < 70 && !host->has_ended(); ++i)
                    std::this_thread::sleep_for(milliseconds(100));
                host->kill();
                host->start();
                log.line(owner + " starts again");
            }
        }
        else
            std::this_thread::sleep_for(milliseconds(4000));
        current = next;
    }
    log.line("most cpu of the tenant: " + std::to_string(most) +
             ", allowed: " + std::to_string(limit));
    std::cout << "starts over the cap: " << violations << std::endl;
    return violations > 0 ? 1 : 0;
}
