// Executors crash and come back under their ids as a smaller kind.
#include <atomic>
#include <cstdlib>
#include <iostream>

#include "deployment.hpp"

using namespace standin3;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t task_cpu = 4000;
constexpr int tasks_per_job = 8;
constexpr std::int64_t large_cpu = 32000;
constexpr std::int64_t small_cpu = 16000;
/// Six of 48 executors, an eighth, for 3.5 s. The pages allow a share of 0.14
/// for 4.5 s.
constexpr int executors = 48;
constexpr int crashed = 6;
constexpr int client_count = 24;
constexpr std::int64_t crash_ms = 3500;
constexpr std::int64_t start_gap_ms = 30;

} // namespace

int main()
{
    record log(std::getenv("RECORD"));
    std::atomic<int> violations{0};
    executor_rules rules;
    rules.plan = [](const std::string&, std::uint32_t, const std::string&) {
        return run_plan{milliseconds(2000), "done"};
    };
    rules.on_start = [&](executor& at, const std::string& task, std::uint32_t)
    {
        const auto capacity = at.row()["capacity"]["cpu"].get<std::int64_t>();
        const auto used =
            static_cast<std::int64_t>(at.running().size()) * task_cpu;
        if (capacity == large_cpu && used <= capacity)
            return;
        log.line("start of " + task + " at " + at.id() + ": " +
                 std::to_string(used) + " of " + std::to_string(capacity) +
                 (used > capacity ? "  LIMIT broken" : ""));
        violations += used > capacity ? 1 : 0;
    };
    deployment_options options;
    options.executors = executors;
    deployment cell(options, rules, log);
    if (!cell.start())
        return 2;
    std::atomic<bool> stop{false};
    std::atomic<int> accepted{0};
    std::vector<std::thread> clients;
    clients.reserve(client_count);
    for (int i = 0; i < client_count; ++i)
        clients.emplace_back(
            [&]
            {
                while (!stop)
                {
                    const auto id = cell.submit({{{"count", tasks_per_job},
                                                  {"cpu", task_cpu},
                                                  {"mem_mb", 512},
                                                  {"estimate_ms", 2000}}},
                                                "work");
                    accepted += id.empty() ? 0 : 1;
                    std::this_thread::sleep_for(milliseconds(900));
                }
            });
    const auto begin = now_ms();
    sleep_until(begin + 8000);
    if (has_trouble())
    {
        for (int i = 0; i < crashed; ++i)
        {
            cell.executors[i]->crash();
            log.line(cell.executors[i]->id() + " crashes");
        }
        sleep_until(begin + 8000 + crash_ms);
        // The executors of a rack do not start in the same millisecond.
        for (int i = 0; i < crashed; ++i)
        {
            sleep_until(begin + 8000 + crash_ms + i * start_gap_ms);
            auto row = deployment::executor_row(i, options);
            row["capacity"]["cpu"] = small_cpu;
            row["labels"][0] = "b";
            cell.executors[i]->start(row);
            log.line(cell.executors[i]->id() + " is back, with " +
                     std::to_string(small_cpu) + " of cpu, registered");
        }
    }
    sleep_until(begin + 20000);
    stop = true;
    for (auto& each : clients)
        each.join();
    log.line("jobs accepted: " + std::to_string(accepted) +
             ", starts over the capacity: " + std::to_string(violations));
    std::cout << "starts over the capacity: " << violations << std::endl;
    if (accepted == 0)
        return 2;
    return violations > 0 ? 1 : 0;
}
