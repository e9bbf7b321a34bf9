#include "deployment.hpp"

#include <cstdlib>

namespace standin3
{

namespace
{

using std::chrono::milliseconds;

constexpr char host_name[] = "app.example";
constexpr char prefix[] = "/batch/";
constexpr char key[] = "3fexd9dnn2ctnfzs989a";
constexpr auto call_timeout = milliseconds(3000);
constexpr std::int64_t start_timeout_ms = 20000;
constexpr int submissions = 8;

std::string zone_of(int number)
{
    return "zone-" + std::string(1, static_cast<char>('a' + number % 3));
}

} // namespace

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

std::string step_of(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

deployment::deployment(const deployment_options& options, executor_rules rules,
                       record& log)
    : options_(options), rules_(std::move(rules)), log_(log)
{
    put_config(config());
    for (int i = 0; i < options.executors; ++i)
        executors.push_back(std::make_unique<executor>(
            platform, rules_, "i-" + std::to_string(100 + i),
            executor_row(i, options)));
    for (int i = 0; i < 3; ++i)
        hosts.push_back(std::make_unique<entry_host>(
            "edge-" + zone_of(i) + "-1", zone_of(i), platform.port(),
            directory_.path()));
}

json deployment::executor_row(int number, const deployment_options& options)
{
    return {
        {"service", "service-1"},
        {"zone", zone_of(number)},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"capacity",
         {{"cpu", options.cpu}, {"mem_mb", options.mem_mb}, {"gpu", 0}}},
        {"labels",
         {"a", "r1-" + std::to_string(number / options.executors_per_rack)}}};
}

json deployment::config() const
{
    return {{"version", 1},
            {"routes",
             {{{"name", "r-batch"},
               {"host", host_name},
               {"prefix", prefix},
               {"kind", "non_idempotent"},
               {"timeout_ms", 3000},
               {"slo_ms", 3000},
               {"priority", 1},
               {"service", "service-1"},
               {"attempts", 3},
               {"stretch", 4.0},
               {"public", false}}}},
            {"services",
             {{{"name", "service-1"},
               {"health_path", "/health"},
               {"max_conns", 64},
               {"protocol", "h1"},
               {"tls", false},
               {"enforces_capacity", false},
               {"headroom", false}}}},
            {"limits", {{"header_bytes", 16384}, {"body_bytes", 262144}}},
            {"tenants",
             {{{"name", "tenant-1"},
               {"api_keys", {key}},
               {"priority", 1},
               {"weight", 1000},
               {"cap", options_.tenant_cap}}}}};
}

void deployment::put_config(const json& config)
{
    platform.put("op", "config", config);
}

bool deployment::start()
{
    for (auto& host : hosts)
        host->start();
    while (now_ms() < start_timeout_ms)
    {
        std::size_t ready = 0;
        for (auto& host : hosts)
            ready += host->is_ready() ? 1 : 0;
        if (ready == hosts.size())
        {
            log_.line("all entry hosts are ready");
            return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    log_.line("the entry hosts are not ready");
    return false;
}

std::optional<http_response> deployment::call(std::size_t host,
                                              const std::string& method,
                                              const std::string& id,
                                              const std::string& body)
{
    return http_call(hosts[host % hosts.size()]->front(), method, prefix + id,
                     {{"Host", host_name},
                      {"Authorization", std::string("Token ") + key},
                      {"Request-Deadline", "3000"}},
                     body, call_timeout);
}

std::string deployment::submit(const json& steps, const std::string& spec)
{
    std::uint64_t number = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        number = next_job_++;
    }
    char id[17];
    snprintf(id, sizeof id, "%016llx",
             0x5c0e7a2100000000ULL + static_cast<unsigned long long>(number));
    const auto body = json{{"spec", spec}, {"steps", steps}}.dump();
    for (int i = 0; i < submissions; ++i)
    {
        const auto answer = call(number + i, "POST", id, body);
        if (answer && answer->status / 100 == 2)
        {
            log_.line(std::string("job ") + id + " accepted, spec " + spec);
            return id;
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    return {};
}

std::string deployment::state_of(const std::string& id)
{
    for (std::size_t i = 0; i < 2 * hosts.size(); ++i)
    {
        const auto answer = call(i, "GET", id);
        if (answer && answer->status == 200)
            return json::parse(answer->body).value("state", "");
        if (answer && answer->status == 410)
            return "410";
        std::this_thread::sleep_for(milliseconds(100));
    }
    return {};
}

} // namespace standin3
