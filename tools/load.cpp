// Load tool: drives real entry hosts and reports latencies and the cost of
// their processes as JSON.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

#include "shell_http_client_p.hpp"

namespace carobcourse::load
{

namespace
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr auto call_timeout = std::chrono::seconds(30);
constexpr std::size_t client_in_flight = 4096;
constexpr long client_connections = 64;

double seconds_between(steady::time_point from, steady::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Latencies in milliseconds.
class latencies
{
public:
    void add(double milliseconds)
    {
        values_.push_back(milliseconds);
    }
    json summary()
    {
        std::sort(values_.begin(), values_.end());
        return {{"count", values_.size()},
                {"p50_ms", quantile(0.5)},
                {"p99_ms", quantile(0.99)},
                {"max_ms", values_.empty() ? 0 : values_.back()}};
    }

private:
    double quantile(double q) const
    {
        if (values_.empty())
            return 0;
        const auto last = static_cast<double>(values_.size() - 1);
        return values_[static_cast<std::size_t>(q * last)];
    }
    std::vector<double> values_;
};

/// What a stream of calls is made of.
struct stream
{
    std::string name;
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct tally
{
    std::mutex mutex;
    std::condition_variable done;
    latencies answered;
    std::map<std::string, std::uint64_t> outcomes;
    std::size_t open = 0;
};

/// Sends at a fixed rate, whatever the answers do, so that a slow server is
/// not spared (open loop).
json run_stream(const stream& what, double rate, double seconds)
{
    http_client client({client_in_flight, client_connections});
    tally result;
    const auto begin = steady::now();
    const auto total = static_cast<std::size_t>(rate * seconds);
    for (std::size_t i = 0; i < total; ++i)
    {
        const auto due =
            begin +
            std::chrono::duration_cast<steady::duration>(
                std::chrono::duration<double>(static_cast<double>(i) / rate));
        std::this_thread::sleep_until(due);
        http_request request;
        request.method = "POST";
        request.url = what.url;
        request.headers = what.headers;
        request.headers.emplace_back("X-Request-Id", std::to_string(i));
        request.headers.emplace_back("X-Attempt", "1");
        request.body = what.body;
        request.deadline = boot_clock::now() + call_timeout;
        request.send_before = request.deadline;
        {
            const std::lock_guard<std::mutex> lock(result.mutex);
            ++result.open;
        }
        client.send(
            std::move(request),
            [&result, due](const http_response& response)
            {
                const std::lock_guard<std::mutex> lock(result.mutex);
                if (response.status == send_status::answered)
                    ++result.outcomes[std::to_string(response.http_status)];
                else
                    ++result.outcomes["no answer"];
                if (response.http_status == 200)
                    result.answered.add(1000 *
                                        seconds_between(due, steady::now()));
                --result.open;
                result.done.notify_one();
            });
    }
    std::unique_lock<std::mutex> lock(result.mutex);
    result.done.wait(lock, [&] { return result.open == 0; });
    auto summary = result.answered.summary();
    summary["name"] = what.name;
    summary["rate"] = rate;
    summary["outcomes"] = result.outcomes;
    return summary;
}

json call(const std::string& url, const std::string& method,
          const std::string& path, const std::string& key,
          const std::string& body)
{
    http_request request;
    request.method = method;
    request.url = url + path;
    request.body = body;
    if (!key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + key);
    request.deadline = boot_clock::now() + call_timeout;
    const auto response = http_call(std::move(request));
    auto parsed = json::parse(response.body, nullptr, false);
    return parsed.is_discarded() ? json() : parsed;
}

/// Time from the submission of a one-task job to its start as recorded by
/// the stand-in worker; both use the monotonic clock of this machine.
json run_jobs(const std::string& url, const std::string& key,
              const std::string& standin, int count)
{
    std::map<std::string, double> submitted;
    latencies accepted;
    for (int i = 0; i < count; ++i)
    {
        const auto id = fmt::format("load-{}-{}", getpid(), i);
        const auto begin = steady::now();
        call(url, "POST", "/v1/jobs", key,
             json{{"id", id},
                  {"run_ms", 50},
                  {"resources", {{"cpu_millis", 100}, {"memory_mb", 10}}}}
                 .dump());
        submitted[id] =
            1000 *
            std::chrono::duration<double>(begin.time_since_epoch()).count();
        accepted.add(1000 * seconds_between(begin, steady::now()));
        std::this_thread::sleep_for(std::chrono::milliseconds(37));
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    latencies started;
    const auto record = call(standin, "GET", "/control/record", "", "");
    for (const auto& item : record.at("tasks"))
    {
        const auto found =
            submitted.find(item["attempt"]["job"].get<std::string>());
        if (item["what"] == "start" && found != submitted.end())
            started.add(item["at_ms"].get<double>() - found->second);
    }
    return {{"accepted", accepted.summary()}, {"started", started.summary()}};
}

struct process_usage
{
    double cpu_seconds = 0;
    double resident_mb = 0;
};

process_usage usage_of(int pid)
{
    process_usage usage;
    std::ifstream stat(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    constexpr int utime_field = 12;
    constexpr int stime_field = 13;
    double ticks = 0;
    for (int i = 1; fields >> field; ++i)
    {
        if (i == utime_field || i == stime_field)
            ticks += std::stod(field);
    }
    usage.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status(fmt::format("/proc/{}/status", pid));
    constexpr double kib_per_mb = 1024;
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind("VmRSS:", 0) == 0)
            usage.resident_mb = std::stod(line.substr(6)) / kib_per_mb;
    }
    return usage;
}

/// Cost of a running process over a while.
json run_cost(int pid, double seconds)
{
    const auto before = usage_of(pid);
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const auto after = usage_of(pid);
    return {{"cpu_percent_of_core",
             100 * (after.cpu_seconds - before.cpu_seconds) / seconds},
            {"resident_mb", after.resident_mb}};
}

/// Fills the cell with service tasks that run on, through the entry hosts in
/// turn, as each prefers its own shards.
json run_fill(const std::vector<std::string>& urls, const std::string& key,
              int tasks)
{
    constexpr int tasks_per_job = 100;
    int accepted = 0;
    std::size_t next = 0;
    for (int left = tasks; left > 0; left -= tasks_per_job)
    {
        const auto answer =
            call(urls[next++ % urls.size()], "POST", "/v1/jobs", key,
                 json{{"kind", "service"},
                      {"tasks", std::min(left, tasks_per_job)},
                      {"resources", {{"cpu_millis", 10}, {"memory_mb", 1}}}}
                     .dump());
        accepted += answer.is_object() && answer.contains("job") ? 1 : 0;
    }
    return {{"jobs_accepted", accepted}};
}

/// Time from the acceptance of a change to in force at every entry host.
json run_spread(const std::vector<std::string>& urls, const std::string& key,
                int count)
{
    latencies accepted;
    latencies spread;
    for (int i = 0; i < count; ++i)
    {
        const auto begin = steady::now();
        const auto answer =
            call(urls.front(), "PUT", "/v1/datacentres/load-spread", key,
                 json{{"state", i % 2 == 0 ? "out" : "in"}}.dump());
        if (!answer.is_object() || !answer.contains("version"))
            continue;
        const auto taken = steady::now();
        accepted.add(1000 * seconds_between(begin, taken));
        const auto version = answer["version"].get<std::uint64_t>();
        for (const auto& url : urls)
        {
            for (;;)
            {
                const auto health = call(url, "GET", "/healthz", "", "");
                if (health.is_object() &&
                    health["config_version"].get<std::uint64_t>() >= version)
                    break;
                if (seconds_between(taken, steady::now()) > 60)
                    break;
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        }
        spread.add(1000 * seconds_between(taken, steady::now()));
    }
    return {{"entry_hosts", urls.size()},
            {"accepted", accepted.summary()},
            {"in_force_everywhere", spread.summary()}};
}

} // namespace

} // namespace carobcourse::load

int main(int argc, char** argv)
{
    namespace load = carobcourse::load;
    CLI::App app{"Load tool for entry hosts; prints JSON"};
    app.require_subcommand(1);
    std::string url;
    std::string key;
    std::string standin;
    std::string service = "bookings";
    std::string direct;
    double rate = 200;
    double seconds = 5;
    int count = 50;
    int pid = 0;

    auto* requests = app.add_subcommand(
        "requests", "Requests through an entry host, and straight to a "
                    "backend server in the same run");
    requests->add_option("--url", url)->required();
    requests->add_option("--key", key)->required();
    requests->add_option("--service", service);
    requests->add_option("--direct", direct, "URL of a backend server");
    requests->add_option("--rate", rate, "Requests a second");
    requests->add_option("--seconds", seconds);
    requests->callback(
        [&]
        {
            nlohmann::json out = nlohmann::json::array();
            const std::string body(200, 'x');
            if (!direct.empty())
                out.push_back(load::run_stream(
                    {"direct", direct + "/v1/execute", {}, body}, rate,
                    seconds));
            out.push_back(
                load::run_stream({"entry host",
                                  url + "/v1/services/" + service + "/requests",
                                  {{"Authorization", "Bearer " + key}},
                                  body},
                                 rate, seconds));
            std::cout << out.dump(2) << "\n";
        });

    auto* jobs = app.add_subcommand("jobs", "Start latency of one-task jobs");
    jobs->add_option("--url", url)->required();
    jobs->add_option("--key", key)->required();
    jobs->add_option("--standin", standin, "URL of the workers' stand-in")
        ->required();
    jobs->add_option("--count", count);
    jobs->callback(
        [&] {
            std::cout << load::run_jobs(url, key, standin, count).dump(2)
                      << "\n";
        });

    std::vector<std::string> urls;
    auto* fill = app.add_subcommand("fill", "Submit service tasks that run on");
    fill->add_option("--url", urls, "Every entry host, once each")->required();
    fill->add_option("--key", key)->required();
    fill->add_option("--count", count, "Tasks");
    fill->callback(
        [&] { std::cout << load::run_fill(urls, key, count).dump(2) << "\n"; });

    auto* spread = app.add_subcommand(
        "spread", "Time until a configuration change is in force everywhere");
    spread->add_option("--url", urls, "Every entry host, once each")
        ->required();
    spread->add_option("--key", key, "Operator key")->required();
    spread->add_option("--count", count);
    spread->callback(
        [&]
        { std::cout << load::run_spread(urls, key, count).dump(2) << "\n"; });

    auto* cost = app.add_subcommand("cost", "Cost of a running process");
    cost->add_option("--pid", pid)->required();
    cost->add_option("--seconds", seconds);
    cost->callback(
        [&] { std::cout << load::run_cost(pid, seconds).dump(2) << "\n"; });
    CLI11_PARSE(app, argc, argv);
    return 0;
}
