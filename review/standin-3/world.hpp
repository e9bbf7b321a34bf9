/// A small deployment: the platform's store and the executors as stand-ins, and
/// the project's own entry hosts as processes. All addresses are loopback ones.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <tuple>
#include <vector>

#include "http.hpp"

namespace standin3
{

using json = nlohmann::json;

/// Milliseconds since the start of the case.
std::int64_t now_ms();

/// Writes lines with the time into `record.txt`. Thread safe.
class record
{
public:
    explicit record(const std::string& path) : out_(path) {}
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// The platform's metadata store.
class store
{
public:
    store();
    int port() const
    {
        return server_->port();
    }
    /// Writes a row of the operator or of an executor.
    void put(const std::string& table, const std::string& key,
             const json& value);
    void drop(const std::string& table, const std::string& key);
    /// Name of the entry host that last wrote to the store under a condition,
    /// by the row that docs/platform-design.md describes.
    std::string owner();
    /// Loses the answers of writes that `filter` picks, and carries the write
    /// out after `delay`.
    void set_fault(std::function<std::optional<std::chrono::milliseconds>(
                       const http_request&)>
                       filter);
    /// Answers 503 while true.
    void set_down(bool down)
    {
        down_ = down;
    }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change
    {
        std::uint64_t version = 0;
        row_key key;
        bool deleted = false;
    };

    std::optional<http_response> handle(const http_request& request);
    http_response commit(const json& body);
    http_response get(const http_request& request);
    http_response feed(const http_request& request);
    json to_json(const row_key& key, const row& value) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::deque<change> changes_;
    std::uint64_t version_ = 1;
    std::atomic<bool> down_{false};
    std::function<std::optional<std::chrono::milliseconds>(const http_request&)>
        fault_;
    std::unique_ptr<http_server> server_;
};

struct amount
{
    std::int64_t cpu = 0;
    std::int64_t mem_mb = 0;
};

/// How a run ends by itself, and after which time; without a time it lasts.
struct run_plan
{
    std::optional<std::chrono::milliseconds> after;
    std::string how = "done";
};

/// What the executors of a case have in common.
struct executor_rules
{
    std::function<run_plan(const std::string& task, std::uint32_t run,
                           const std::string& spec)>
        plan;
    /// Called with the executor's lock for each start that it begins.
    std::function<void(class executor&, const std::string& task,
                       std::uint32_t run)>
        on_start;
    std::function<void(const std::string& id, const std::string& task,
                       std::uint32_t run, const std::string& how)>
        on_end;
    /// Picks calls that get no answer and are carried out after the time.
    std::function<std::optional<std::chrono::milliseconds>(const http_request&)>
        late;
    std::chrono::milliseconds max_lease{6000};
    std::chrono::milliseconds stop_time{100};
};

/// One executor (`/run-start`, `/run-stop`, `/hold`). Does not guard its
/// capacity.
class executor
{
public:
    executor(store& platform, const executor_rules& rules, std::string id,
             const json& row);
    ~executor();
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    const std::string& id() const
    {
        return id_;
    }
    /// Registers the executor, as a new incarnation that knows nothing of the
    /// one before, and serves calls from then on.
    void start(const json& row);
    /// Ends all that runs, resets the connections and listens no more.
    void crash();
    /// Writes the row again with other values.
    void update(const json& values);
    const json& row() const
    {
        return row_;
    }
    /// Tasks that run now, with their run numbers. For `on_start`.
    std::vector<std::string> running() const;
    /// Thread safe.
    std::vector<std::string> running_tasks();

private:
    struct task_run
    {
        std::uint32_t run = 0;
        std::int64_t ends_at = -1;
        std::string how;
    };
    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    std::optional<http_response> handle(const http_request& request);
    std::optional<http_response> carry_out(const http_request& request);
    void carry_out_late(const http_request& request,
                        std::chrono::milliseconds delay);
    http_response start_run(const json& body);
    http_response stop_run(const json& body);
    std::optional<http_response> hold(const json& body,
                                      std::unique_lock<std::mutex>& lock);
    void extend_lease(const json& body);
    void advance();
    void end(const std::string& task, const std::string& how);
    std::int64_t clock() const;
    http_response answer(int status, json body) const;

    store& platform_;
    const executor_rules& rules_;
    const std::string id_;
    json row_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    int port_ = 0;
    bool up_ = false;
    bool closing_ = false;
    std::int64_t started_at_ = 0;
    std::int64_t born_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_ = 0;
    std::uint64_t last_end_ = 0;
    std::multimap<std::string, task_run> running_;
    std::vector<ended_run> ended_;
    std::map<std::string, std::uint32_t> highest_ended_;
    std::unique_ptr<http_server> server_;
    std::thread timer_;
    std::vector<std::thread> late_calls_; // Used by the threads of calls.
};

/// A process of the project: `target/carobcourse cell`.
class entry_host
{
public:
    entry_host(std::string name, const std::string& zone, int store_port,
               const std::string& directory);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    void start();
    /// Reads what the process writes to its standard output, as the platform
    /// does, or leaves it unread.
    void read_output(bool reads)
    {
        reads_output_ = reads;
    }
    void signal(int number);
    /// Kills the process and waits for its end.
    void kill();
    bool is_ready() const;
    /// Whether the process has ended by itself.
    bool has_ended();
    int front() const
    {
        return front_;
    }
    const std::string& name() const
    {
        return name_;
    }
    const std::string& settings_path() const
    {
        return settings_;
    }

private:
    void copy_output(int from);

    std::string name_;
    std::string directory_;
    std::string settings_;
    int front_ = 0;
    int ready_ = 0;
    int pid_ = 0;
    std::atomic<bool> reads_output_{true};
    std::vector<std::thread> readers_;
};

/// Directory for settings and logs; removed at the end.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    const std::string& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

void sleep_until(std::int64_t at_ms);

} // namespace standin3
