#include "cell.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr char service[] = "desk";
constexpr char client_key[] = "client-key";
constexpr auto client_deadline = std::chrono::milliseconds(3000);

} // namespace

work_directory::work_directory()
{
    std::string name = "/tmp/carobcourse-review-XXXXXX";
    if (!mkdtemp(name.data()))
        throw std::runtime_error("no temporary directory");
    path_ = name;
}

work_directory::~work_directory()
{
    std::error_code ignored;
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(path_, ignored);
}

// ---------------------------------------------------------------- entry host

entry_host::entry_host(std::string name, std::string zone,
                       const std::string& store,
                       const work_directory& directory, recorder& log)
    : name_(std::move(name)), front_(free_port()), ready_(free_port()),
      settings_(directory.path() + "/" + name_ + ".toml"),
      output_(directory.path() + "/" + name_ + ".log"), log_(log)
{
    const auto peer = free_port();
    std::ofstream out(settings_);
    out << fmt::format(
        "node_name = \"{0}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n"
        "roles_served = [\"edge\"]\nip = \"127.0.0.1\"\nzone = \"{1}\"\n"
        "region = \"r\"\nport_range = [{2},{2}]\nseeds = []\n"
        "bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
        "heartbeat_ms = 1500\ncontrol_mode = \"request\"\nadvice = \"\"\n"
        "[zones]\n\"{1}\" = \"r\"\n"
        "[bind_addrs]\nfront = \"127.0.0.1:{3}\"\n"
        "ready = \"127.0.0.1:{4}\"\n"
        "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
        "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
        "[policy_params]\ntouch_ms = 3000\nack_ms = 4000\ngrace_s = 6\n"
        "lost_ms = 200\nconfig_ms = 2000\nrevoke_ms = 5000\n"
        "hold_max_ms = 6000\nstop_ms = 900\ngang_ms = 3000\n"
        "cancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\n"
        "status_s = 120\nfar_x = 2\n"
        "[platform]\naddress = \"{5}\"\nform = \"table\"\n"
        "writes_per_s = 600\nreads_per_s = 2000\ntx_ms = 4.0\n"
        "row_bytes = 65536\nacross = true\nhistory_s = 20\n",
        name_, zone, peer, front_, ready_, store);
}

entry_host::~entry_host()
{
    signal(SIGKILL);
}

void entry_host::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The words of the deploy file.
    std::string program = "target/carobcourse";
    std::string command = "cell";
    char* const arguments[] = {program.data(), command.data(), nullptr};
    auto variable = "CAROBCOURSE_CONFIG=" + settings_;
    std::string path = "PATH=/usr/bin:/bin";
    char* const environment[] = {variable.data(), path.data(), nullptr};
    const int failed = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                   arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        pid_ = -1;
        throw std::runtime_error("can not start " + program);
    }
    log_.write(fmt::format("host {} started", name_));
}

void entry_host::signal(int number)
{
    if (pid_ <= 0)
        return;
    log_.write(fmt::format("host {} gets signal {}", name_, number));
    kill(pid_, number);
    if (number != SIGKILL)
        return;
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

bool entry_host::is_ready() const
{
    return http_call(ready_, "GET", "/readiness", {{"Host", "ready"}}, "",
                     std::chrono::milliseconds(300))
               .status == 200;
}

bool entry_host::is_running()
{
    if (pid_ <= 0)
        return false;
    if (waitpid(pid_, nullptr, WNOHANG) == 0)
        return true;
    pid_ = -1;
    return false;
}

// ---------------------------------------------------------------------- cell

cell::cell(const std::string& record) : log_(record), history_(log_) {}

executor& cell::add_executor(const executor_traits& traits)
{
    auto complete = traits;
    complete.service = service;
    executors_.push_back(
        std::make_unique<executor>(complete, store_, history_));
    return *executors_.back();
}

entry_host& cell::add_host(const std::string& name, const std::string& zone)
{
    hosts_.push_back(std::make_unique<entry_host>(name, zone, store_.address(),
                                                  directory_, log_));
    hosts_.back()->start();
    return *hosts_.back();
}

void cell::configure(std::uint64_t version,
                     const std::vector<std::string>& routes)
{
    json list = json::array();
    std::string names;
    for (const auto& name : routes)
    {
        list.push_back({{"name", name},
                        {"host", "desk.example"},
                        {"prefix", "/" + name + "/"},
                        {"kind", "non_idempotent"},
                        {"timeout_ms", 3000},
                        {"slo_ms", 3000},
                        {"priority", 1},
                        {"service", service},
                        {"attempts", 3},
                        {"stretch", 4.0},
                        {"public", false}});
        names += " " + name;
    }
    store_.put("op", "config",
               {{"version", version},
                {"routes", list},
                {"services",
                 {{{"name", service},
                   {"health_path", "/health"},
                   {"max_conns", 64},
                   {"protocol", "h1"},
                   {"enforces_capacity", false}}}},
                {"limits", {{"header_bytes", 16384}, {"body_bytes", 262144}}},
                {"tenants",
                 {{{"name", "tenant"},
                   {"api_keys", {client_key}},
                   {"priority", 1},
                   {"weight", 1000},
                   {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}}});
    log_.write(fmt::format("configuration {} acknowledged:{}", version, names));
}

std::string cell::owner()
{
    const auto row =
        json::parse(store_.value_of("cell", "cell", "owner"), nullptr, false);
    return row.is_object() ? row.value("host", std::string()) : std::string();
}

std::uint64_t cell::epoch()
{
    const auto row =
        json::parse(store_.value_of("cell", "cell", "owner"), nullptr, false);
    return row.is_object() ? row.value("epoch", std::uint64_t{0}) : 0;
}

http_reply cell::call(const entry_host& host, const char* method,
                      const std::string& queue, const std::string& id,
                      const std::string& body)
{
    log_.write(
        fmt::format("client sends {} {} to host {}", method, id, host.name()));
    auto reply = http_call(
        host.front(), method, "/" + queue + "/" + id,
        {{"Host", "desk.example"},
         {"Content-Type", "application/json"},
         {"Authorization", std::string("Token ") + client_key},
         {"Request-Deadline", std::to_string(client_deadline.count())}},
        body, client_deadline);
    log_.write(fmt::format("client gets {} {} from host {}: {} {}", method, id,
                           host.name(), reply.status, reply.body));
    return reply;
}

http_reply cell::submit(const entry_host& host, const std::string& queue,
                        const std::string& id, const json& job)
{
    return call(host, "POST", queue, id, job.dump());
}

http_reply cell::state(const entry_host& host, const std::string& queue,
                       const std::string& id)
{
    return call(host, "GET", queue, id, "");
}

http_reply cell::cancel(const entry_host& host, const std::string& queue,
                        const std::string& id)
{
    return call(host, "DELETE", queue, id, "");
}

} // namespace review
