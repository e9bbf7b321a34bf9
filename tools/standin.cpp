#include <CLI/CLI.hpp>
#include <atomic>
#include <carobcourse/config.hpp>
#include <charconv>
#include <condition_variable>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <mutex>
#include <queue>
#include <set>
#include <thread>

#include "settings_p.hpp"
#include "shell_http_client_p.hpp"
#include "shell_http_server_p.hpp"
#include "standin_p.hpp"

namespace carobcourse::standin
{

namespace
{

constexpr auto register_timeout = std::chrono::seconds(5);
constexpr auto advance_period = std::chrono::milliseconds(10);

struct options
{
    std::string listen = "127.0.0.1:0";
    bool platform = false;
    std::int64_t list_lag_ms = 300;
    std::string data_centre;
    int workers = 0;
    int rack_size = 6;
    std::int64_t cores = 32;
    std::int64_t memory_mb = 131072;
    std::int64_t accelerators = 0;
    int executors = 0;
    std::vector<std::string> services;
    std::int64_t service_ms = 5;
    std::string register_url;
};

/// How a role misbehaves at present.
struct fault
{
    bool down = false;         ///< Does not answer and does nothing.
    std::int64_t delay_ms = 0; ///< Answers later.
    std::int64_t lose = 0;     ///< So many answers are lost after the effect.
};

struct executor
{
    std::int64_t slots = config::executor_slots;
    std::int64_t busy = 0;
    bool leaving = false;
    json record = json::array();
};

struct delayed
{
    steady::time_point at;
    std::function<void()> run;
    bool operator<(const delayed& other) const
    {
        return at > other.at;
    }
};

class standin_process
{
public:
    explicit standin_process(const options& options) : options_(options)
    {
        const auto address = parse_address(options.listen);
        http_server_options server;
        server.address = address->first;
        server.port = address->second;
        server_ = std::make_unique<http_server>(server,
                                                [this](const api_call& call)
                                                {
                                                    on_call(call);
                                                    return true;
                                                });
        base_url_ =
            fmt::format("http://{}:{}", address->first, server_->port());
        create_hosts();
        timer_ = std::thread([this] { run_timer(); });
        std::cout << "listening " << server_->port() << std::endl;
    }

    ~standin_process()
    {
        stop_ = true;
        timer_.join();
    }
    standin_process(const standin_process&) = delete;
    standin_process& operator=(const standin_process&) = delete;

private:
    void create_hosts()
    {
        json hosts = json::array();
        const resources capacity{options_.cores * 1000, options_.memory_mb,
                                 options_.accelerators};
        for (int i = 0; i < options_.workers; ++i)
        {
            const auto id = fmt::format("{}-w{}", options_.data_centre, i);
            workers_.emplace(id, worker(id, capacity));
            host_entry host;
            host.id = id;
            host.kind = host_kind::worker;
            host.data_centre = options_.data_centre;
            host.rack = fmt::format("{}-r{}", options_.data_centre,
                                    i / options_.rack_size);
            host.address = base_url_ + "/workers/" + id;
            host.capacity = capacity;
            hosts.push_back(to_json(host));
        }
        for (int i = 0; i < options_.executors; ++i)
        {
            const auto id = fmt::format("{}-e{}", options_.data_centre, i);
            executors_[id];
            host_entry host;
            host.id = id;
            host.kind = host_kind::executor;
            host.data_centre = options_.data_centre;
            host.address = base_url_ + "/executors/" + id;
            host.services = options_.services;
            hosts.push_back(to_json(host));
        }
        if (options_.register_url.empty())
            return;
        http_request request;
        request.method = "POST";
        request.url = options_.register_url + "/control/hosts";
        request.body = json{{"hosts", hosts}}.dump();
        request.deadline = boot_clock::now() + register_timeout;
        http_call(std::move(request));
    }

    // ------------------------------------------------------------- dispatch

    void on_call(const api_call& call)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto now = steady::now();
        try
        {
            if (call.path.rfind("/control/", 0) == 0)
                answer(call, control(now, call), 0);
            else if (call.path.rfind("/executors/", 0) == 0)
                execute(now, call);
            else
                serve(now, call);
        }
        catch (const json::exception& e)
        {
            answer(call, {400, {{"error", e.what()}}}, 0);
        }
    }

    void serve(steady::time_point now, const api_call& call)
    {
        const auto role = role_of(call.path);
        auto& state = faults_[role];
        if (state.down || faults_["all"].down)
            return; // The caller times out.
        auto result = route(now, call, role);
        if (state.lose > 0)
        {
            --state.lose;
            return;
        }
        answer(call, result, state.delay_ms);
    }

    static std::string role_of(const std::string& path)
    {
        if (path.rfind("/workers/", 0) == 0)
            return id_of(path);
        if (path == "/v1/hosts")
            return "hosts";
        if (path.rfind("/v1/objects/", 0) == 0)
            return "objects";
        return "table";
    }

    static std::string id_of(const std::string& path)
    {
        const auto begin = path.find('/', 1) + 1;
        return path.substr(begin, path.find('/', begin) - begin);
    }

    response route(steady::time_point now, const api_call& call,
                   const std::string& role)
    {
        const auto& path = call.path;
        if (workers_.count(role))
            return workers_.at(role).sync(
                now, worker_sync_from_json(json::parse(call.body)));
        if (path == "/v1/hosts")
            return list_hosts(now);
        if (path == "/v1/commit")
        {
            ++writes_;
            return table_.commit(json::parse(call.body));
        }
        const std::string rows = "/v1/rows/";
        if (path.rfind(rows, 0) == 0)
        {
            ++reads_;
            return read_rows(call, path.substr(rows.size()));
        }
        const std::string objects = "/v1/objects/";
        if (path.rfind(objects, 0) == 0)
            return object(call, path.substr(objects.size()));
        return {404, json::object()};
    }

    response read_rows(const api_call& call, const std::string& rest)
    {
        const auto slash = rest.find('/');
        if (slash != std::string::npos)
            return table_.read(rest.substr(0, slash),
                               decode(rest.substr(slash + 1)));
        const auto text = [&](const char* name)
        {
            const auto found = call.query.find(name);
            return found == call.query.end() ? std::string() : found->second;
        };
        std::size_t limit = 0;
        const auto limit_text = text("limit");
        std::from_chars(limit_text.data(),
                        limit_text.data() + limit_text.size(), limit);
        return table_.scan(rest, text("prefix"), text("after"), limit);
    }

    static std::string decode(const std::string& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] != '%' || i + 2 >= text.size())
            {
                out += text[i];
                continue;
            }
            int value = 0;
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value,
                            16);
            out += static_cast<char>(value);
            i += 2;
        }
        return out;
    }

    response object(const api_call& call, const std::string& key)
    {
        if (call.method == "PUT")
        {
            objects_[key] = call.body;
            return {200, json::object()};
        }
        if (objects_.count(key) == 0)
            return {404, json::object()};
        return {200, {{"value", objects_[key]}}};
    }

    response list_hosts(steady::time_point now)
    {
        json list = json::array();
        while (!pending_hosts_.empty() && pending_hosts_.front().first <= now)
        {
            const auto& host = pending_hosts_.front().second;
            const auto id = host.at("id").get<std::string>();
            if (host.value("state", "") == "gone")
                listed_.erase(id);
            else
                listed_[id] = host;
            pending_hosts_.erase(pending_hosts_.begin());
        }
        for (const auto& [id, host] : listed_)
            list.push_back(host);
        return {200, {{"hosts", list}}};
    }

    // -------------------------------------------------------------- control

    response control(steady::time_point now, const api_call& call)
    {
        const auto body =
            call.body.empty() ? json::object() : json::parse(call.body);
        if (call.path == "/control/hosts")
        {
            for (const auto& host : body.at("hosts"))
                pending_hosts_.emplace_back(
                    now + std::chrono::milliseconds(options_.list_lag_ms),
                    host);
            return {200, json::object()};
        }
        if (call.path == "/control/fault")
        {
            auto& state = faults_[body.at("role").get<std::string>()];
            state.down = body.value("down", false);
            state.delay_ms = body.value("delay_ms", std::int64_t{0});
            state.lose = body.value("lose", std::int64_t{0});
            return {200, json::object()};
        }
        if (call.path == "/control/executor")
        {
            executors_.at(body.at("id").get<std::string>()).leaving =
                body.value("leaving", false);
            return {200, json::object()};
        }
        if (call.path == "/control/worker")
        {
            auto& target = workers_.at(body.at("id").get<std::string>());
            target.set_failing(body.value("failing", false));
            if (body.contains("capacity"))
                target.set_capacity(resources_from_json(body["capacity"]));
            return {200, json::object()};
        }
        if (call.path == "/control/record")
            return {200, record(now)};
        return {404, json::object()};
    }

    json record(steady::time_point now)
    {
        json tasks = json::array();
        for (auto& [id, each] : workers_)
        {
            each.advance(now);
            for (const auto& item : each.record())
                tasks.push_back(item);
        }
        json requests = json::array();
        for (const auto& [id, each] : executors_)
        {
            for (const auto& item : each.record)
                requests.push_back(item);
        }
        return {{"tasks", tasks},
                {"requests", requests},
                {"store", {{"writes", writes_}, {"reads", reads_}}}};
    }

    // ------------------------------------------------------------ executors

    void execute(steady::time_point now, const api_call& call)
    {
        const auto id = id_of(call.path);
        auto& state = faults_[id];
        if (state.down || executors_.count(id) == 0)
            return;
        auto& target = executors_.at(id);
        if (target.busy >= target.slots)
        {
            answer(call, {503, {{"error", "no slot"}}}, 0);
            return;
        }
        ++target.busy;
        const auto body = json::parse(call.body, nullptr, false);
        auto service_ms = options_.service_ms;
        if (body.is_object())
            service_ms = body.value("service_ms", service_ms);
        target.record.push_back({{"at_ms", clock_ms(now)},
                                 {"executor", id},
                                 {"request", header(call, "x-request-id")},
                                 {"attempt", header(call, "x-attempt")},
                                 {"body", call.body}});
        const bool lost = state.lose > 0;
        if (lost)
            --state.lose;
        const auto delay = service_ms + state.delay_ms;
        delayed_.push(
            {now + std::chrono::milliseconds(delay), [this, call, id, lost]
             {
                 auto& done = executors_.at(id);
                 --done.busy;
                 if (lost)
                     return;
                 api_reply reply{
                     call.id, 200, "application/json",
                     json{{"done", true}, {"executor", id}, {"echo", call.body}}
                         .dump()};
                 server_->reply(
                     reply,
                     {{"X-Request-Id", header(call, "x-request-id")},
                      {"X-Attempt", header(call, "x-attempt")},
                      {"X-Slots-Free", std::to_string(done.slots - done.busy)},
                      {"X-Leaving", done.leaving ? "true" : "false"}});
             }});
    }

    static std::string header(const api_call& call, const char* name)
    {
        const auto found = call.headers.find(name);
        return found == call.headers.end() ? std::string() : found->second;
    }

    // ---------------------------------------------------------------- timer

    void answer(const api_call& call, const response& result,
                std::int64_t delay_ms)
    {
        const api_reply reply{call.id, result.status, "application/json",
                              result.body.dump()};
        if (delay_ms <= 0)
        {
            server_->reply(reply);
            return;
        }
        delayed_.push({steady::now() + std::chrono::milliseconds(delay_ms),
                       [this, reply] { server_->reply(reply); }});
    }

    void run_timer()
    {
        auto next_advance = steady::now();
        while (!stop_)
        {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                const auto now = steady::now();
                while (!delayed_.empty() && delayed_.top().at <= now)
                {
                    const auto run = delayed_.top().run;
                    delayed_.pop();
                    run();
                }
                if (now >= next_advance)
                {
                    next_advance = now + advance_period;
                    for (auto& [id, each] : workers_)
                        each.advance(now);
                }
            }
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        }
    }

    options options_;
    std::string base_url_;
    std::mutex mutex_;
    table_store table_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, worker> workers_;
    std::map<std::string, executor> executors_;
    std::map<std::string, fault> faults_;
    std::map<std::string, json> listed_;
    std::vector<std::pair<steady::time_point, json>> pending_hosts_;
    std::priority_queue<delayed> delayed_;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
    std::atomic<bool> stop_{false};
    std::unique_ptr<http_server> server_;
    std::thread timer_;
};

} // namespace

} // namespace carobcourse::standin

int main(int argc, char** argv)
{
    namespace standin = carobcourse::standin;
    standin::options options;
    CLI::App app{"Stand-ins for the platform, workers and backend servers"};
    app.add_option("--listen", options.listen, "IP:PORT, port 0 for any");
    app.add_option("--list-lag-ms", options.list_lag_ms,
                   "Lag of the host list");
    app.add_option("--data-centre", options.data_centre, "Data centre");
    app.add_option("--workers", options.workers, "Number of workers");
    app.add_option("--rack-size", options.rack_size, "Workers to a rack");
    app.add_option("--cores", options.cores, "Cores of a worker");
    app.add_option("--memory-mb", options.memory_mb, "Memory of a worker");
    app.add_option("--accelerators", options.accelerators,
                   "Accelerators of a worker");
    app.add_option("--executors", options.executors, "Number of executors");
    app.add_option("--services", options.services, "Services of the executors")
        ->delimiter(',');
    app.add_option("--service-ms", options.service_ms,
                   "Time an executor takes for a request");
    app.add_option("--register", options.register_url,
                   "Base URL of the platform stand-in");
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    standin::standin_process process(options);
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
