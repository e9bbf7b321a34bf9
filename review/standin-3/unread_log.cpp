// Nobody reads the standard output of the entry hosts for a while.
#include <atomic>
#include <cstdlib>
#include <iostream>

#include "deployment.hpp"

using namespace standin3;
using std::chrono::milliseconds;

namespace
{

constexpr int client_count = 12;
constexpr std::int64_t calm_ms = 6000;
constexpr std::int64_t traffic_ms = 18000;
/// Jobs that are asked for, once at each entry host.
constexpr std::size_t asked_jobs = 2;
/// `finish_s` of the small deployments.
constexpr std::int64_t finish_ms = 14000;

} // namespace

int main()
{
    record log(std::getenv("RECORD"));
    executor_rules rules;
    rules.plan = [](const std::string&, std::uint32_t, const std::string&) {
        return run_plan{milliseconds(800), "done"};
    };
    deployment cell(deployment_options{}, rules, log);
    if (!cell.start())
        return 2;
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<std::string> accepted;
    std::vector<std::thread> clients;
    clients.reserve(client_count);
    const auto begin = now_ms();
    for (int i = 0; i < client_count; ++i)
        clients.emplace_back(
            [&]
            {
                while (!stop)
                {
                    const auto id = cell.submit({{{"count", 6},
                                                  {"cpu", 1000},
                                                  {"mem_mb", 256},
                                                  {"estimate_ms", 800}}},
                                                "work");
                    if (!id.empty())
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        accepted.push_back(id);
                    }
                    std::this_thread::sleep_for(milliseconds(200));
                }
            });
    sleep_until(begin + calm_ms);
    if (has_trouble())
    {
        log.line("nobody reads the output of the entry hosts from now on");
        for (auto& host : cell.hosts)
            host->read_output(false);
    }
    sleep_until(begin + traffic_ms);
    stop = true;
    for (auto& each : clients)
        each.join();
    sleep_until(begin + traffic_ms + finish_ms);
    std::size_t unanswered = 0;
    for (std::size_t i = 0; i < asked_jobs && i < accepted.size(); ++i)
    {
        bool answered = false;
        for (std::size_t host = 0; host < cell.hosts.size(); ++host)
        {
            const auto answer = cell.call(host, "GET", accepted[i]);
            answered = answered || (answer && answer->status == 200);
            log.line("job " + accepted[i] + " is asked for at " +
                     cell.hosts[host]->name() + ": " +
                     (answer
                          ? std::to_string(answer->status) + " " + answer->body
                          : "no answer within 3 s"));
        }
        unanswered += answered ? 0 : 1;
    }
    std::cout << "accepted: " << accepted.size()
              << ", without an answer: " << unanswered << " of " << asked_jobs
              << std::endl;
    if (accepted.empty())
        return 2;
    return unanswered > 0 ? 1 : 0;
}
