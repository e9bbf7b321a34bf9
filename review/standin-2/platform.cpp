#include "platform.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace review
{

namespace
{

using std::chrono::milliseconds;

constexpr auto transaction_time = milliseconds(4);
constexpr auto heartbeat = milliseconds(1500);
constexpr auto clock_step = milliseconds(5);
constexpr std::int64_t longest_hold_ms = 6000;
constexpr std::int64_t longest_wait_ms = 2000;
/// A late start is left unanswered for this time.
constexpr milliseconds longest_silence(5000);
constexpr std::size_t most_listed_ends = 500;
constexpr std::size_t most_rows = 500;

constexpr char alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t block = 0;
        for (std::size_t k = 0; k < 3; ++k)
            block = block << 8 | (i + k < bytes.size()
                                      ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > bytes.size() ? '='
                                        : alphabet[block >> (18 - 6 * k) & 63];
    }
    return out;
}

std::string from_base64(const std::string& text)
{
    const std::string digits = alphabet;
    std::string out;
    std::uint32_t block = 0;
    int bits = 0;
    for (const auto c : text)
    {
        const auto digit = digits.find(c);
        if (digit == std::string::npos)
            break;
        block = block << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(block >> bits & 255);
        }
    }
    return out;
}

std::string text_of(const http_message& request, const char* name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::uint64_t number_of(const http_message& request, const char* name,
                        std::uint64_t fallback)
{
    const auto text = text_of(request, name);
    return text.empty() ? fallback : std::stoull(text);
}

} // namespace

// -------------------------------------------------------------------- record

recorder::recorder(const std::string& file)
    : out_(file), started_(steady::now())
{
}

std::int64_t recorder::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - started_)
        .count();
}

void recorder::write(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << fmt::format("{:>7} {}", now_ms(), line) << std::endl;
}

void run_history::add(const std::string& executor, const std::string& task,
                      std::uint32_t run, const std::string& what)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back({log_.now_ms(), executor, task, run, what});
    log_.write(fmt::format("executor {} task {} run {} {}", executor, task, run,
                           what));
}

std::vector<run_event> run_history::all() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return events_;
}

std::size_t run_history::starts_of(const std::string& task) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(events_.begin(), events_.end(),
                      [&task](const run_event& event)
                      { return event.task == task && event.what == "start"; }));
}

// --------------------------------------------------------------------- store

metadata_store::metadata_store()
    : service_(std::make_unique<http_service>(
          [this](const http_message& request) { return answer(request); }))
{
}

std::string metadata_store::address() const
{
    return fmt::format("127.0.0.1:{}", service_->port());
}

void metadata_store::put(const std::string& table, const std::string& key,
                         const json& value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    write({table, "", key}, to_base64(value.dump()), false);
    changed_.notify_all();
}

void metadata_store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    write({table, "", key}, "", true);
    changed_.notify_all();
}

std::string metadata_store::value_of(const std::string& table,
                                     const std::string& part,
                                     const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = rows_.find({table, part, key});
    return found == rows_.end() || found->second.deleted
               ? std::string()
               : from_base64(found->second.value);
}

void metadata_store::set_unavailable(const std::string& table, bool unavailable)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    unavailable_[table] = unavailable;
}

void metadata_store::write(const row_name& name, const std::string& value,
                           bool deleted)
{
    rows_[name] = {value, version_, deleted};
}

json metadata_store::to_json(const row_name& name, const stored_row& row) const
{
    json out{{"table", std::get<0>(name)},
             {"part", std::get<1>(name)},
             {"key", std::get<2>(name)},
             {"schema_ver", row.version}};
    if (row.deleted)
        out["deleted"] = true;
    else
        out["value"] = row.value;
    return out;
}

http_reply metadata_store::answer(const http_message& request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (unavailable_[text_of(request, "table")])
        return {503, "{}"};
    json body;
    if (request.path == "/rows-tx")
    {
        lock.unlock();
        std::this_thread::sleep_for(transaction_time);
        lock.lock();
        return transact(request);
    }
    if (request.path == "/rows-get")
        body = read(request);
    else if (request.path == "/rows-feed")
        body = feed(lock, request);
    else
        return {404, "{}"};
    body["schema_ver"] = version_;
    body["now_ms"] =
        std::chrono::duration_cast<milliseconds>(steady::now() - started_)
            .count();
    return {200, body.dump()};
}

http_reply metadata_store::transact(const http_message& request)
{
    const auto body = json::parse(request.body);
    const auto name_of = [](const json& entry)
    {
        return row_name{entry.at("table").get<std::string>(),
                        entry.value("part", std::string()),
                        entry.at("key").get<std::string>()};
    };
    json out{{"schema_ver", version_}, {"now_ms", 1}};
    bool holds = true;
    out["rows"] = json::array();
    for (const auto& entry : body.value("expected_rev", json::array()))
    {
        const auto found = rows_.find(name_of(entry));
        const bool exists = found != rows_.end() && !found->second.deleted;
        const auto current = exists ? found->second.version : 0;
        holds = holds && current == entry.at("schema_ver").get<std::uint64_t>();
        if (exists)
            out["rows"].push_back(to_json(found->first, found->second));
    }
    if (!holds)
        return {412, out.dump()};
    ++version_;
    for (const auto& entry : body.value("put", json::array()))
        write(name_of(entry), entry.at("value").get<std::string>(), false);
    for (const auto& entry : body.value("remove", json::array()))
        write(name_of(entry), "", true);
    changed_.notify_all();
    return {200, json{{"schema_ver", version_}, {"now_ms", 1}}.dump()};
}

json metadata_store::read(const http_message& request)
{
    const auto table = text_of(request, "table");
    const auto part = text_of(request, "part");
    const auto to = text_of(request, "to");
    const auto limit = number_of(request, "limit", most_rows);
    json out{{"rows", json::array()}, {"has_more", false}};
    for (auto it = rows_.lower_bound({table, part, text_of(request, "from")});
         it != rows_.end(); ++it)
    {
        const auto& [row_table, row_part, key] = it->first;
        if (row_table != table || row_part != part ||
            (!to.empty() && key >= to))
            break;
        if (it->second.deleted)
            continue;
        if (out["rows"].size() == std::min<std::uint64_t>(limit, most_rows))
        {
            out["has_more"] = true;
            break;
        }
        out["rows"].push_back(to_json(it->first, it->second));
    }
    return out;
}

json metadata_store::feed(std::unique_lock<std::mutex>& lock,
                          const http_message& request)
{
    const auto table = text_of(request, "table");
    const auto after = number_of(request, "after", 0);
    const auto end =
        steady::now() + milliseconds(number_of(request, "wait_ms", 0));
    for (;;)
    {
        std::vector<std::pair<std::uint64_t, json>> found;
        for (const auto& [name, row] : rows_)
            if (std::get<0>(name) == table && row.version > after)
                found.emplace_back(row.version, to_json(name, row));
        if (!found.empty() || steady::now() >= end)
        {
            std::sort(found.begin(), found.end(),
                      [](const auto& a, const auto& b)
                      { return a.first < b.first; });
            json out{{"rows", json::array()}};
            for (auto& each : found)
                out["rows"].push_back(std::move(each.second));
            return out;
        }
        changed_.wait_until(lock, end);
    }
}

// ------------------------------------------------------------------ executor

executor::executor(executor_traits traits, metadata_store& store,
                   run_history& history)
    : traits_(std::move(traits)), store_(store), history_(history),
      born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      started_(steady::now())
{
    service_ = std::make_unique<http_service>(
        [this](const http_message& request) { return answer(request); });
    write_row();
    timer_ = std::thread([this] { keep_time(); });
}

executor::~executor()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        closing_ = true;
        up_ = false;
        changed_.notify_all();
    }
    timer_.join();
    if (late_thread_.joinable())
        late_thread_.join();
    service_.reset();
}

void executor::leave_start_late(std::shared_ptr<std::atomic<bool>> armed,
                                milliseconds lateness)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    late_ = std::move(armed);
    lateness_ = lateness;
}

std::optional<steady::time_point> executor::late_start_at() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return late_start_at_;
}

/// The life of the executor that is there by then carries the start out.
http_reply executor::hold_back(std::unique_lock<std::mutex>& lock,
                               const json& body)
{
    late_start_at_ = steady::now();
    history_.log().write(
        fmt::format("executor {} leaves the start of {} unanswered", traits_.id,
                    body.at("task").get<std::string>()));
    late_thread_ = std::thread(
        [this, body, at = *late_start_at_ + lateness_]
        {
            std::this_thread::sleep_until(at);
            const std::lock_guard<std::mutex> guard(mutex_);
            if (!up_)
                return;
            advance();
            const auto result = take_token(body) ? start_run(body).status : 409;
            history_.log().write(fmt::format(
                "executor {} carries the start of {} out: {}", traits_.id,
                body.at("task").get<std::string>(), result));
        });
    const auto life = born_;
    changed_.wait_for(lock, longest_silence,
                      [this, life] { return !up_ || life != born_; });
    return {0, ""};
}

void executor::crash()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        up_ = false;
        for (const auto& [task, run] : running_)
            history_.add(traits_.id, task, run.run, "crashed");
        running_.clear();
        changed_.notify_all();
    }
    service_->stop();
    history_.log().write(fmt::format("executor {} crashed", traits_.id));
}

void executor::restart(executor_traits traits, milliseconds row_delay)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        traits_ = std::move(traits);
        born_ = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        started_ = steady::now();
        token_ = 0;
        deadline_ms_ = 0;
        sequence_ = 0;
        last_end_ = 0;
        barred_.clear();
        ends_.clear();
        next_row_at_ = steady::now() + row_delay;
        up_ = true;
    }
    service_->start();
    history_.log().write(fmt::format(
        "executor {} is back: kind {} cpu {}, its row follows after {} ms",
        traits_.id, traits_.kind, traits_.cpu, row_delay.count()));
}

std::int64_t executor::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - started_)
               .count() +
           1000;
}

void executor::write_row()
{
    next_row_at_ = steady::now() + heartbeat;
    store_.put(
        "servers", traits_.id,
        {{"service", traits_.service},
         {"address", fmt::format("127.0.0.1:{}", service_->port())},
         {"zone", traits_.zone},
         {"version", "v1"},
         {"slots", 8},
         {"state", "ready"},
         {"cold_left_ms", 0},
         {"capacity",
          {{"cpu", traits_.cpu}, {"mem_mb", traits_.memory_mb}, {"gpu", 0}}},
         {"labels", {traits_.kind, traits_.rack}},
         {"born", born_},
         {"clock_ms", clock_ms()},
         {"sequence", ++sequence_}});
}

void executor::keep_time()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!closing_)
    {
        if (up_)
        {
            advance();
            if (steady::now() >= next_row_at_)
                write_row();
        }
        lock.unlock();
        std::this_thread::sleep_for(clock_step);
        lock.lock();
    }
}

void executor::advance()
{
    const bool lapsed = clock_ms() >= deadline_ms_;
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, run] : running_)
    {
        if (steady::now() >= run.ends)
            over.emplace_back(task, run.how);
        else if (lapsed)
            over.emplace_back(task, "lapsed");
    }
    for (const auto& [task, how] : over)
        end_run(task, how);
}

void executor::end_run(const std::string& task, const std::string& how)
{
    const auto run = running_.at(task).run;
    running_.erase(task);
    barred_[task] = std::max(barred_[task], run);
    ends_.push_back({++last_end_, task, run, how});
    history_.add(traits_.id, task, run, how);
    changed_.notify_all();
}

http_reply executor::refuse(const char* reason) const
{
    return {409,
            json{{"clock_ms", clock_ms()}, {"born", born_}, {"reason", reason}}
                .dump()};
}

bool executor::take_token(const json& body)
{
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < token_)
        return false;
    token_ = token;
    return true;
}

void executor::take_deadline(const json& body)
{
    const auto deadline = body.value("deadline_ms", std::int64_t{0});
    deadline_ms_ = std::max(deadline_ms_,
                            std::min(deadline, clock_ms() + longest_hold_ms));
}

http_reply executor::answer(const http_message& request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (!up_)
        return {0, ""};
    if (request.path == "/health")
        return {200, "{}"};
    const auto meant = request.headers.find("expect-instance");
    if (meant != request.headers.end() && meant->second != traits_.id)
        return {421, "{}"};
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return {400, "{}"};
    if (request.path == "/run-start" && late_ && late_->exchange(false))
        return hold_back(lock, body);
    advance();
    if (!take_token(body))
        return refuse("fence");
    if (request.path == "/run-start")
        return start_run(body);
    if (request.path == "/run-stop")
        return stop_run(body);
    if (request.path == "/hold")
        return hold(lock, body);
    return {404, "{}"};
}

http_reply executor::start_run(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    http_reply taken{200,
                     json{{"clock_ms", clock_ms()}, {"born", born_}}.dump()};
    const auto active = running_.find(task);
    if (active != running_.end() && active->second.run == run)
        return taken;
    if (body.value("deadline_ms", std::int64_t{0}) <= clock_ms())
        return refuse("late");
    take_deadline(body);
    const auto barred = barred_.find(task);
    if ((barred != barred_.end() && run <= barred->second) ||
        active != running_.end())
        return refuse("old");
    const auto plan = json::parse(body.at("spec").get<std::string>());
    const auto ends = plan.value("ends", json::array({"done"}));
    const auto earlier = history_.starts_of(task);
    active_run started;
    started.run = run;
    started.started = steady::now();
    started.length = milliseconds(plan.value("ms", 500));
    started.ends = started.started + started.length;
    started.how =
        ends.at(std::min(earlier, ends.size() - 1)).get<std::string>();
    running_[task] = started;
    history_.add(traits_.id, task, run, "start");
    return taken;
}

http_reply executor::stop_run(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    const auto active = running_.find(task);
    if (active != running_.end() && active->second.run <= run)
        end_run(task, "stopped");
    barred_[task] = std::max(barred_[task], run);
    return {200, json{{"clock_ms", clock_ms()}, {"born", born_}}.dump()};
}

http_reply executor::hold(std::unique_lock<std::mutex>& lock, const json& body)
{
    const auto life = born_;
    const auto acknowledged = body.value("ack_cursor", std::uint64_t{0});
    while (!ends_.empty() && ends_.front().number <= acknowledged)
    {
        const auto& end = ends_.front();
        if (end.how == "done")
            history_.add(traits_.id, end.task, end.run, "noted");
        ends_.pop_front();
    }
    take_deadline(body);
    const auto wait =
        std::min(body.value("wait_ms", std::int64_t{0}), longest_wait_ms);
    const auto until = steady::now() + milliseconds(wait);
    while (up_ && life == born_ && ends_.empty() && steady::now() < until)
        changed_.wait_until(lock, until);
    if (!up_ || life != born_)
        return {0, ""};
    json out{{"clock_ms", clock_ms()},
             {"born", born_},
             {"running", json::array()},
             {"finished", json::array()}};
    for (const auto& [task, run] : running_)
    {
        const auto passed = std::chrono::duration_cast<milliseconds>(
            steady::now() - run.started);
        const auto percent =
            run.length.count() > 0 ? 100 * passed / run.length : 100;
        out["running"].push_back({task, run.run, "", percent, 0});
    }
    for (const auto& end : ends_)
    {
        if (out["finished"].size() == most_listed_ends)
            break;
        out["finished"].push_back({end.number, end.task, end.run, end.how, ""});
    }
    return {200, out.dump()};
}

} // namespace review
