#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin3
{

namespace
{

using std::chrono::milliseconds;

const auto case_start = steady::now();

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string text_of(const json& value, const char* name)
{
    return value.value(name, std::string());
}

std::string query_of(const http_request& request, const char* name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

constexpr std::size_t max_rows = 500;
constexpr std::size_t max_page_bytes = 1000000;
constexpr std::size_t max_listed_ends = 500;
constexpr auto transaction_time = milliseconds(4);
constexpr auto tick = milliseconds(5);
constexpr std::size_t output_bytes = 65536;

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - case_start)
        .count();
}

void sleep_until(std::int64_t at_ms)
{
    std::this_thread::sleep_until(case_start + milliseconds(at_ms));
}

void record::line(const std::string& text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << now_ms() << " ms  " << text << std::endl;
}

// ----------------------------------------------------------------------- store

store::store()
{
    server_ = std::make_unique<http_server>([this](const http_request& request)
                                            { return handle(request); });
}

void store::put(const std::string& table, const std::string& key,
                const json& value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const row_key name{table, "", key};
    rows_[name] = {to_base64(value.dump()), ++version_};
    changes_.push_back({version_, name, false});
    changed_.notify_all();
}

void store::drop(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const row_key name{table, "", key};
    rows_.erase(name);
    changes_.push_back({++version_, name, true});
    changed_.notify_all();
}

std::string store::owner()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = rows_.find({"cell", "cell", "owner"});
    if (found == rows_.end())
        return {};
    return text_of(json::parse(from_base64(found->second.value)), "host");
}

void store::set_fault(
    std::function<std::optional<std::chrono::milliseconds>(const http_request&)>
        filter)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    fault_ = std::move(filter);
}

json store::to_json(const row_key& key, const row& value) const
{
    return {{"table", std::get<0>(key)},
            {"part", std::get<1>(key)},
            {"key", std::get<2>(key)},
            {"value", value.value},
            {"schema_ver", value.version}};
}

std::optional<http_response> store::handle(const http_request& request)
{
    if (down_)
        return http_response{503, "{}"};
    if (request.path == "/rows-tx")
    {
        std::function<std::optional<milliseconds>(const http_request&)> fault;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            fault = fault_;
        }
        const auto lost = fault ? fault(request) : std::nullopt;
        std::this_thread::sleep_for(lost ? *lost : transaction_time);
        auto answer = commit(json::parse(request.body));
        return lost ? std::nullopt : std::make_optional(std::move(answer));
    }
    if (request.path == "/rows-get")
        return get(request);
    if (request.path == "/rows-feed")
        return feed(request);
    return http_response{404, "{}"};
}

http_response store::commit(const json& body)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto name_of = [](const json& entry)
    {
        return row_key{text_of(entry, "table"), text_of(entry, "part"),
                       text_of(entry, "key")};
    };
    json current = json::array();
    bool holds = true;
    for (const auto& entry : body.value("expected_rev", json::array()))
    {
        const auto found = rows_.find(name_of(entry));
        const auto version = found == rows_.end() ? 0 : found->second.version;
        holds = holds && version == entry.at("schema_ver").get<std::uint64_t>();
        if (found != rows_.end())
            current.push_back(to_json(found->first, found->second));
    }
    json answer{{"now_ms", now_ms()}};
    if (!holds)
    {
        answer["rows"] = current;
        answer["schema_ver"] = version_;
        return {412, answer.dump()};
    }
    ++version_;
    for (const auto& entry : body.value("put", json::array()))
    {
        rows_[name_of(entry)] = {text_of(entry, "value"), version_};
        changes_.push_back({version_, name_of(entry), false});
    }
    for (const auto& entry : body.value("remove", json::array()))
    {
        rows_.erase(name_of(entry));
        changes_.push_back({version_, name_of(entry), true});
    }
    changed_.notify_all();
    answer["schema_ver"] = version_;
    return {200, answer.dump()};
}

http_response store::get(const http_request& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto table = query_of(request, "table");
    const auto part = query_of(request, "part");
    const auto limit_text = query_of(request, "limit");
    const auto limit =
        limit_text.empty()
            ? max_rows
            : std::min<std::size_t>(max_rows, std::stoul(limit_text));
    const auto to = query_of(request, "to");
    json rows = json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto at = rows_.lower_bound({table, part, query_of(request, "from")});
         at != rows_.end() && std::get<0>(at->first) == table &&
         std::get<1>(at->first) == part &&
         (to.empty() || std::get<2>(at->first) < to);
         ++at)
    {
        if (rows.size() == limit || bytes > max_page_bytes)
        {
            more = true;
            break;
        }
        bytes += at->second.value.size();
        rows.push_back(to_json(at->first, at->second));
    }
    return {200, json{{"rows", rows},
                      {"has_more", more},
                      {"schema_ver", version_},
                      {"now_ms", now_ms()}}
                     .dump()};
}

http_response store::feed(const http_request& request)
{
    const auto table = query_of(request, "table");
    const auto after = std::stoull(query_of(request, "after"));
    const auto wait = std::stoll("0" + query_of(request, "wait_ms"));
    const auto deadline = steady::now() + milliseconds(wait);
    std::unique_lock<std::mutex> lock(mutex_);
    std::map<row_key, const change*> news;
    while (true)
    {
        for (auto at = changes_.rbegin();
             at != changes_.rend() && at->version > after; ++at)
            if (std::get<0>(at->key) == table)
                news.emplace(at->key, &*at);
        if (!news.empty() || steady::now() >= deadline || down_)
            break;
        changed_.wait_until(lock, deadline);
    }
    std::vector<const change*> ordered;
    ordered.reserve(news.size());
    for (const auto& [key, each] : news)
        ordered.push_back(each);
    std::sort(ordered.begin(), ordered.end(),
              [](const change* a, const change* b)
              { return a->version < b->version; });
    json rows = json::array();
    for (const auto* each : ordered)
    {
        const auto found = rows_.find(each->key);
        if (found != rows_.end())
            rows.push_back(to_json(found->first, found->second));
        else
            rows.push_back({{"table", std::get<0>(each->key)},
                            {"part", std::get<1>(each->key)},
                            {"key", std::get<2>(each->key)},
                            {"schema_ver", each->version},
                            {"deleted", true}});
    }
    return {200,
            json{{"rows", rows}, {"schema_ver", version_}, {"now_ms", now_ms()}}
                .dump()};
}

// -------------------------------------------------------------------- executor

executor::executor(store& platform, const executor_rules& rules, std::string id,
                   const json& row)
    : platform_(platform), rules_(rules), id_(std::move(id))
{
    port_ = free_port();
    start(row);
    timer_ = std::thread(
        [this]
        {
            while (true)
            {
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    if (closing_)
                        return;
                    advance();
                }
                std::this_thread::sleep_for(tick);
            }
        });
}

executor::~executor()
{
    crash();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        closing_ = true;
    }
    timer_.join();
    for (auto& each : late_calls_)
        each.join();
}

void executor::start(const json& row)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        row_ = row;
        row_["address"] = "127.0.0.1:" + std::to_string(port_);
        row_["sequence"] = 1;
        started_at_ = now_ms();
        born_ = unix_ms();
        row_["born"] = born_;
        token_ = 0;
        lease_ = 0;
        last_end_ = 0;
        running_.clear();
        ended_.clear();
        highest_ended_.clear();
        up_ = true;
    }
    // The store has the new row before the first call is served.
    platform_.put("servers", id_, row_);
    server_ = std::make_unique<http_server>(
        [this](const http_request& request) { return handle(request); }, port_);
}

void executor::crash()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        up_ = false;
        running_.clear();
        changed_.notify_all();
    }
    server_.reset();
}

void executor::update(const json& values)
{
    json row;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        row_.update(values);
        row_["sequence"] = row_["sequence"].get<int>() + 1;
        row = row_;
    }
    platform_.put("servers", id_, row);
}

std::vector<std::string> executor::running() const
{
    std::vector<std::string> tasks;
    for (const auto& [task, run] : running_)
        tasks.push_back(task);
    return tasks;
}

std::vector<std::string> executor::running_tasks()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return running();
}

std::int64_t executor::clock() const
{
    return now_ms() - started_at_;
}

http_response executor::answer(int status, json body) const
{
    body["clock_ms"] = clock();
    if (status == 200)
        body["born"] = born_;
    return {status, body.dump()};
}

std::optional<http_response> executor::handle(const http_request& request)
{
    const auto delay = rules_.late ? rules_.late(request) : std::nullopt;
    if (!delay)
        return carry_out(request);
    carry_out_late(request, *delay);
    return std::nullopt;
}

void executor::carry_out_late(const http_request& request, milliseconds delay)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closing_)
        return;
    const auto due = now_ms() + delay.count();
    late_calls_.emplace_back(
        [this, request, due]
        {
            while (now_ms() < due)
            {
                std::this_thread::sleep_for(tick);
                const std::lock_guard<std::mutex> inner(mutex_);
                if (closing_)
                    return;
            }
            carry_out(request);
        });
}

std::optional<http_response> executor::carry_out(const http_request& request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (!up_)
        return std::nullopt;
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != id_)
        return answer(421, json::object());
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer(400, json::object());
    advance();
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < token_)
        return answer(409, {{"reason", "fence"}});
    token_ = token;
    if (request.path == "/run-start")
        return start_run(body);
    if (request.path == "/run-stop")
        return stop_run(body);
    if (request.path == "/hold")
        return hold(body, lock);
    return answer(404, json::object());
}

void executor::extend_lease(const json& body)
{
    const auto until = body.value("deadline_ms", std::int64_t{0});
    lease_ =
        std::max(lease_, std::min(until, clock() + rules_.max_lease.count()));
}

http_response executor::start_run(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    if (clock() > body.value("deadline_ms", std::int64_t{0}))
        return answer(409, {{"reason", "late"}});
    extend_lease(body);
    const auto found = running_.equal_range(task);
    for (auto at = found.first; at != found.second; ++at)
        if (at->second.run == run)
            return answer(200, json::object());
    const auto ended = highest_ended_.find(task);
    if (ended != highest_ended_.end() && run <= ended->second)
        return answer(409, {{"reason", "old"}});
    const auto plan = rules_.plan(task, run, body.value("spec", ""));
    task_run next;
    next.run = run;
    next.how = plan.how;
    if (plan.after)
        next.ends_at = clock() + plan.after->count();
    running_.emplace(task, next);
    if (rules_.on_start)
        rules_.on_start(*this, task, run);
    return answer(200, json::object());
}

http_response executor::stop_run(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    auto& highest = highest_ended_[task];
    highest = std::max(highest, run);
    const auto found = running_.equal_range(task);
    for (auto at = found.first; at != found.second; ++at)
    {
        if (at->second.run != run || at->second.how == "stopped")
            continue;
        at->second.how = "stopped";
        at->second.ends_at = clock() + rules_.stop_time.count();
    }
    return answer(200, json::object());
}

std::optional<http_response> executor::hold(const json& body,
                                            std::unique_lock<std::mutex>& lock)
{
    const auto acked = body.value("ack_cursor", std::uint64_t{0});
    ended_.erase(std::remove_if(ended_.begin(), ended_.end(),
                                [acked](const ended_run& each)
                                { return each.number <= acked; }),
                 ended_.end());
    extend_lease(body);
    const auto wait = body.value("wait_ms", std::int64_t{0});
    const auto deadline = steady::now() + milliseconds(wait);
    const auto life = born_;
    changed_.wait_until(lock, deadline,
                        [&]
                        { return !up_ || born_ != life || !ended_.empty(); });
    if (!up_ || born_ != life)
        return std::nullopt;
    json running = json::array();
    for (const auto& [task, each] : running_)
        running.push_back({task, each.run, "", 50});
    json finished = json::array();
    for (const auto& each : ended_)
    {
        if (finished.size() == max_listed_ends)
            break;
        finished.push_back({each.number, each.task, each.run, each.how, ""});
    }
    return answer(200, {{"running", running}, {"finished", finished}});
}

void executor::advance()
{
    if (!up_)
        return;
    const auto at = clock();
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, each] : running_)
    {
        if (at >= lease_)
            due.emplace_back(task, "lapsed");
        else if (each.ends_at >= 0 && at >= each.ends_at)
            due.emplace_back(task, each.how);
    }
    for (const auto& [task, how] : due)
        end(task, how);
}

void executor::end(const std::string& task, const std::string& how)
{
    const auto range = running_.equal_range(task);
    for (auto at = range.first; at != range.second; ++at)
    {
        if (how != "lapsed" &&
            (at->second.ends_at < 0 || clock() < at->second.ends_at))
            continue;
        const auto run = at->second.run;
        ended_.push_back({++last_end_, task, run, how});
        auto& highest = highest_ended_[task];
        highest = std::max(highest, run);
        running_.erase(at);
        if (rules_.on_end)
            rules_.on_end(id_, task, run, how);
        changed_.notify_all();
        return;
    }
}

// ------------------------------------------------------------------ processes

temporary_directory::temporary_directory()
{
    auto name =
        (std::filesystem::temp_directory_path() / "case-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw std::runtime_error("no temporary directory");
    path_ = name;
}

temporary_directory::~temporary_directory()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

entry_host::entry_host(std::string name, const std::string& zone,
                       int store_port, const std::string& directory)
    : name_(std::move(name)), directory_(directory),
      settings_(directory + "/" + name_ + ".toml"), front_(free_port()),
      ready_(free_port())
{
    const auto peer = free_port();
    std::ofstream out(settings_);
    out << "node_name = \"" << name_ << "\"\n"
        << "role = \"entry\"\nmachine_class = \"edge\"\n"
        << "ip = \"127.0.0.1\"\nzone = \"" << zone << "\"\n"
        << "region = \"region-1\"\nport_range = [" << peer << "," << peer
        << "]\nbootstrap = true\nheartbeat_ms = 1500\n"
        << "control_mode = \"request\"\nadvice = \"127.0.0.1:" << free_port()
        << "\"\n[bind_addrs]\nfront = \"127.0.0.1:" << front_
        << "\"\nready = \"127.0.0.1:" << ready_
        << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
        << "max_fds = 4100\n[policy_params]\ngrace_s = 6\n"
        << "hold_max_ms = 6000\nfar_x = 2\n[platform]\n"
        << "address = \"127.0.0.1:" << store_port << "\"\n";
}

entry_host::~entry_host()
{
    kill();
    reads_output_ = true;
    for (auto& each : readers_)
        each.join();
}

void entry_host::copy_output(int from)
{
    std::ofstream log(directory_ + "/" + name_ + ".log", std::ios::app);
    std::vector<char> buffer(output_bytes);
    while (true)
    {
        if (!reads_output_)
        {
            std::this_thread::sleep_for(tick);
            continue;
        }
        const auto count = read(from, buffer.data(), buffer.size());
        if (count <= 0)
            break;
        log.write(buffer.data(), count);
    }
    close(from);
}

void entry_host::start()
{
    // Before the fork: other threads may hold the lock of the allocator.
    std::string variable = "CAROBCOURSE_CONFIG=" + settings_;
    std::string path = "PATH=/usr/bin:/bin";
    std::string program = "target/carobcourse";
    std::string role = "cell";
    char* environment[] = {variable.data(), path.data(), nullptr};
    char* arguments[] = {program.data(), role.data(), nullptr};
    int output[2] = {-1, -1};
    if (pipe2(output, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    pid_ = fork();
    if (pid_ == 0)
    {
        // The process must not outlive the case.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output[1], STDOUT_FILENO);
        dup2(output[1], STDERR_FILENO);
        execve(program.c_str(), arguments, environment);
        _exit(127);
    }
    close(output[1]);
    readers_.emplace_back([this, from = output[0]] { copy_output(from); });
}

void entry_host::signal(int number)
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void entry_host::kill()
{
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
}

bool entry_host::has_ended()
{
    if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_)
        return false;
    pid_ = 0;
    return true;
}

bool entry_host::is_ready() const
{
    const auto answer =
        http_call(ready_, "GET", "/readiness", {}, "", milliseconds(500));
    return answer && answer->status == 200;
}

} // namespace standin3
