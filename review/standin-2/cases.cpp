/// The scripted cases of the review. Usage: cases NAME RECORD
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <future>
#include <iostream>
#include <set>

#include "cell.hpp"

namespace review
{

namespace
{

using std::chrono::milliseconds;

enum outcome
{
    held = 0,
    broken = 1,
    not_run = 2
};

bool is_troubled()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// A step of `count` tasks whose runs take `ms` and end as `ends` says.
json job_of(int count, int ms, const json& ends, const json& more = {})
{
    json step{
        {"count", count}, {"cpu", 1000}, {"mem_mb", 256}, {"estimate_ms", ms}};
    if (more.is_object())
        step.update(more);
    return {{"spec", json{{"ms", ms}, {"ends", ends}}.dump()},
            {"steps", json::array({step})}};
}

bool wait_until_ready(const entry_host& host)
{
    return eventually(milliseconds(15000), [&host] { return host.is_ready(); });
}

int judge(cell& all, bool is_broken, const std::string& why)
{
    all.log().write((is_broken ? "broken: " : "held: ") + why);
    return is_broken ? broken : held;
}

/// A route is removed while a task of its queue runs, and added again.
int run_removed_route(const std::string& record)
{
    cell all(record);
    all.configure(1, {"q", "other"});
    for (int i = 0; i < 4; ++i)
        all.add_executor(
            {fmt::format("x{}", i), "", "z1", "r1-1", "a", 32000, 131072});
    auto& host = all.add_host("a", "z1");
    if (!wait_until_ready(host))
        return not_run;
    const std::string id = "00000000000000c0";
    constexpr int run_ms = 3000;
    if (all.submit(host, "q", id, job_of(1, run_ms, {"failed", "done"}))
            .status != 200)
        return not_run;
    const auto task = id + ".0.0.0";
    if (!eventually(milliseconds(5000),
                    [&] { return all.history().starts_of(task) == 1; }))
        return not_run;
    if (is_troubled())
        all.configure(2, {"other"});
    pause(run_ms + 2500);
    if (is_troubled())
        all.configure(5, {"q", "other"});
    pause(3000);
    std::string state;
    eventually(milliseconds(12000),
               [&]
               {
                   pause(500);
                   state = all.state(host, "q", id).body;
                   return state.find("completed") != std::string::npos ||
                          state.find("failed") != std::string::npos;
               });
    return judge(all, state.find("failed") != std::string::npos,
                 fmt::format("the task has been started {} times, one run has "
                             "failed of 3 that may; the job is shown as {}",
                             all.history().starts_of(task), state));
}

/// The owner of a cell of seven hosts freezes for some seconds. A cancel that
/// reaches it meanwhile is answered when it wakes.
int run_stale_cancel(const std::string& record)
{
    constexpr int freeze_ms = 3000;
    constexpr int step_ms = 3500;
    constexpr int cancel_ms = 3000;
    cell all(record);
    all.configure(1, {"q"});
    for (int i = 0; i < 4; ++i)
        all.add_executor(
            {fmt::format("x{}", i), "", "z1", "r1-1", "a", 32000, 131072});
    constexpr int host_count = 7;
    std::vector<entry_host*> hosts;
    hosts.reserve(host_count);
    for (int i = 0; i < host_count; ++i)
        hosts.push_back(&all.add_host(fmt::format("h{}", i),
                                      fmt::format("z{}", i % 4 + 1)));
    for (const auto* each : hosts)
        if (!wait_until_ready(*each))
            return not_run;
    pause(2000);
    const auto owner = all.owner();
    entry_host* first = nullptr;
    for (auto* each : hosts)
        if (each->name() == owner)
            first = each;
    if (!first)
        return not_run;
    auto& second = first == hosts[0] ? *hosts[1] : *hosts[0];
    json job = job_of(1, step_ms, {"done"});
    job["steps"].push_back(job["steps"][0]);
    job["steps"].push_back(job["steps"][0]);
    job["steps"][1]["after"] = {0};
    job["steps"][2]["after"] = {1};
    const std::string id = "00000000000000b0";
    if (is_troubled())
        first->signal(SIGSTOP);
    const auto frozen_at = steady::now();
    int accepted = 0;
    eventually(milliseconds(1900),
               [&]
               {
                   accepted = all.submit(second, "q", id, job).status;
                   return accepted == 200;
               });
    if (accepted != 200)
    {
        first->signal(SIGCONT);
        return not_run;
    }
    auto cancel = std::async(std::launch::async,
                             [&] { return all.cancel(*first, "q", id); });
    if (is_troubled())
    {
        std::this_thread::sleep_until(frozen_at + milliseconds(freeze_ms));
        first->signal(SIGCONT);
    }
    const auto status = cancel.get().status;
    const auto cancelled_ms = all.log().now_ms();
    if (status != 200 && status != 410)
        return not_run;
    // The system has the whole time until the last step is over.
    pause(14000);
    std::string late;
    for (const auto& event : all.history().all())
        if (event.what == "start" && event.at_ms > cancelled_ms + cancel_ms)
            late += fmt::format(" {} at {}", event.task, event.at_ms);
    const auto state = all.state(second, "q", id);
    return judge(all, !late.empty(),
                 fmt::format("the cancel was acknowledged with {} at {}; "
                             "started later than {} ms after that:{}; the job "
                             "is shown as {}",
                             status, cancelled_ms, cancel_ms, late,
                             state.body));
}

/// Returns the task of which two runs were at work at one time, or an empty
/// text. Runs on executors that have crashed count as ended.
std::string find_double_run(const std::vector<run_event>& events)
{
    std::map<std::string, std::set<std::pair<std::string, std::uint32_t>>>
        active;
    for (const auto& event : events)
    {
        auto& runs = active[event.task];
        if (event.what != "start")
            runs.erase({event.executor, event.run});
        else
        {
            runs.insert({event.executor, event.run});
            if (runs.size() > 1)
                return fmt::format("{} at {}", event.task, event.at_ms);
        }
    }
    return {};
}

/// Returns the task of which a run was started after one had ended `done`, if
/// that end is taken note of at any time, or an empty text.
std::string find_start_after_done(const std::vector<run_event>& events)
{
    std::set<std::string> noted;
    for (const auto& event : events)
        if (event.what == "noted")
            noted.insert(event.task);
    std::set<std::string> done;
    for (const auto& event : events)
    {
        if (event.what == "done" && noted.count(event.task) > 0)
            done.insert(event.task);
        if (event.what == "start" && done.count(event.task) > 0)
            return fmt::format("{} on {} at {}", event.task, event.executor,
                               event.at_ms);
    }
    return {};
}

/// One start of twenty is left unanswered and is carried out 2 s later. The
/// executor crashes meanwhile and is back under its id.
int run_late_start(const std::string& record)
{
    constexpr int executor_count = 8;
    constexpr int tasks = 20;
    constexpr int run_ms = 300;
    constexpr int lateness_ms = 2000;
    constexpr int crash_ms = 1900;
    constexpr int down_ms = 60;
    cell all(record);
    all.configure(1, {"q"});
    const auto armed = std::make_shared<std::atomic<bool>>(is_troubled());
    std::vector<executor_traits> traits;
    std::vector<executor*> executors;
    for (int i = 0; i < executor_count; ++i)
    {
        traits.push_back({fmt::format("x{}", i), "desk", "z1",
                          fmt::format("r1-{}", i / 6), "a", 32000, 131072});
        executors.push_back(&all.add_executor(traits.back()));
        executors.back()->leave_start_late(armed, milliseconds(lateness_ms));
    }
    auto& host = all.add_host("a", "z1");
    const std::vector<entry_host*> hosts{&host, &all.add_host("b", "z1"),
                                         &all.add_host("c", "z1")};
    for (const auto* each : hosts)
        if (!wait_until_ready(*each))
            return not_run;
    pause(4000);
    if (all.submit(host, "q", "00000000000000a0",
                   job_of(tasks, run_ms, {"done"}, json{{"cpu", 500}}))
            .status != 200)
        return not_run;
    if (is_troubled())
    {
        executor* late = nullptr;
        std::size_t number = 0;
        const auto find_late = [&]
        {
            for (std::size_t i = 0; i < executors.size(); ++i)
                if (executors[i]->late_start_at())
                {
                    late = executors[i];
                    number = i;
                }
            return late != nullptr;
        };
        if (!eventually(milliseconds(3000), find_late))
            return not_run;
        std::this_thread::sleep_until(*late->late_start_at() +
                                      milliseconds(crash_ms));
        late->crash();
        pause(down_ms);
        late->restart(traits[number], milliseconds(0));
    }
    pause(8000);
    const auto events = all.history().all();
    auto task = find_start_after_done(events);
    if (task.empty())
        task = find_double_run(events);
    return judge(all, !task.empty(),
                 task.empty() ? "no task was started again"
                              : "started again: " + task);
}

/// The owner's process is killed seconds after it has taken the cell over, and
/// is started again while a burst of jobs begins. The other host still makes
/// calls for the process of before.
int run_restarted_owner(const std::string& record)
{
    constexpr int executors = 10;
    constexpr int burst = 14;
    constexpr int age_ms = 3150;
    constexpr int restart_ms = 100;
    constexpr int rounds = 6;
    constexpr int short_ms = 300;
    constexpr int long_ms = 3000;
    cell all(record);
    all.configure(1, {"q"});
    for (int i = 0; i < executors; ++i)
        all.add_executor({fmt::format("x{}", i), "", "z1",
                          fmt::format("r1-{}", i / 6), "a", 32000, 131072});
    auto& a = all.add_host("a", "z1");
    auto& b = all.add_host("b", "z1");
    std::uint64_t next_id = 0xe000;
    std::string task;
    const auto restart = [](entry_host& host)
    {
        host.signal(SIGKILL);
        pause(restart_ms);
        host.start();
    };
    for (int round = 0; round < rounds && task.empty(); ++round)
    {
        const auto epoch = all.epoch();
        if (round > 0 && is_troubled())
            restart(all.owner() == "a" ? a : b);
        const bool has_owner =
            eventually(milliseconds(5000),
                       [&] {
                           return all.epoch() > 0 &&
                                  (!is_troubled() || all.epoch() != epoch);
                       });
        if (!has_owner)
            return not_run;
        const auto claimed_at = steady::now();
        auto& first = all.owner() == "a" ? a : b;
        auto& second = all.owner() == "a" ? b : a;
        if (!wait_until_ready(first) || !wait_until_ready(second))
            return not_run;
        std::this_thread::sleep_until(claimed_at + milliseconds(age_ms));
        if (is_troubled())
            restart(first);
        std::vector<std::future<int>> clients;
        for (int i = 0; i < burst; ++i)
        {
            const auto id = fmt::format("{:016x}", next_id++);
            const int ms = i / 2 % 2 == 0 ? short_ms : long_ms;
            clients.push_back(std::async(
                std::launch::async,
                [&, id, ms, i]
                {
                    return all
                        .submit(i % 2 ? first : second, "q", id,
                                job_of(1, ms, {"done"}, json{{"cpu", 20000}}))
                        .status;
                }));
            pause(10);
        }
        for (auto& each : clients)
            each.get();
        pause(long_ms + 500);
        task = find_double_run(all.history().all());
    }
    return judge(all, !task.empty(), "two runs of one task: " + task);
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    using namespace review;
    const std::map<std::string, std::function<int(const std::string&)>> cases{
        {"removed-route", run_removed_route},
        {"stale-cancel", run_stale_cancel},
        {"late-start", run_late_start},
        {"restarted-owner", run_restarted_owner}};
    const auto found = count == 3 ? cases.find(arguments[1]) : cases.end();
    if (found == cases.end())
    {
        std::cerr << "usage: cases NAME RECORD\n";
        return not_run;
    }
    try
    {
        return found->second(arguments[2]);
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
        return not_run;
    }
}
