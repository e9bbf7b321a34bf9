/// Stand-ins for the users' platform: its metadata store and its executors, as
/// PROTOCOL.md describes them.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "http.hpp"

namespace review
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

/// Writes what happens to the record of a case, with the time since its start
/// in milliseconds. Thread safe.
class recorder
{
public:
    explicit recorder(const std::string& file);
    void write(const std::string& line);
    std::int64_t now_ms() const;

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point started_;
};

/// The metadata store: rows, transactions and feeds. Thread safe.
class metadata_store
{
public:
    metadata_store();

    std::string address() const;
    /// Writes or, without a value, removes a row on behalf of the operator or
    /// of an executor.
    void put(const std::string& table, const std::string& key,
             const json& value);
    void remove(const std::string& table, const std::string& key);
    /// Returns the value of a row, or an empty text.
    std::string value_of(const std::string& table, const std::string& part,
                         const std::string& key);
    /// While it is set, calls for the table get 503.
    void set_unavailable(const std::string& table, bool unavailable);

private:
    using row_name = std::tuple<std::string, std::string, std::string>;
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    http_reply answer(const http_message& request);
    http_reply transact(const http_message& request);
    json read(const http_message& request);
    json feed(std::unique_lock<std::mutex>& lock, const http_message& request);
    void write(const row_name& name, const std::string& value, bool deleted);
    json to_json(const row_name& name, const stored_row& row) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, stored_row> rows_;
    std::map<std::string, bool> unavailable_;
    std::uint64_t version_ = 0;
    steady::time_point started_ = steady::now();
    std::unique_ptr<http_service> service_; // Last: it uses the others.
};

/// A start or an end of a run, as the executor knows it.
struct run_event
{
    std::int64_t at_ms = 0;
    std::string executor;
    std::string task;
    std::uint32_t run = 0;
    std::string what; ///< "start", how the run ended, or "noted": `ack_cursor`
                      ///< has reached its end `done`.
};

/// All starts and ends of a case in order. Thread safe.
class run_history
{
public:
    explicit run_history(recorder& log) : log_(log) {}
    void add(const std::string& executor, const std::string& task,
             std::uint32_t run, const std::string& what);
    std::vector<run_event> all() const;
    /// Returns how often the task was started so far.
    std::size_t starts_of(const std::string& task) const;
    recorder& log()
    {
        return log_;
    }

private:
    recorder& log_;
    mutable std::mutex mutex_;
    std::vector<run_event> events_;
};

/// What an executor says of itself.
struct executor_traits
{
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::string kind;
    std::int64_t cpu = 32000;
    std::int64_t memory_mb = 131072;
};

/// One executor. It guards no capacity. A task's text says how long its runs
/// take and how each of them ends: {"ms":500,"ends":["failed","done"]}; the
/// last way counts for all further runs. Thread safe.
class executor
{
public:
    executor(executor_traits traits, metadata_store& store,
             run_history& history);
    ~executor();
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    /// Leaves the next start of all executors that share `armed` unanswered
    /// and carries it out `lateness` after its arrival.
    void leave_start_late(std::shared_ptr<std::atomic<bool>> armed,
                          std::chrono::milliseconds lateness);
    /// Returns when such a start arrives, or nothing if none has arrived.
    std::optional<steady::time_point> late_start_at() const;
    /// Ends the executor's process: nothing runs on, nothing is known.
    void crash();
    /// Starts it again under its id and at its address, as `traits` say. The
    /// row is written `row_delay` after the port is open.
    void restart(executor_traits traits, std::chrono::milliseconds row_delay);

private:
    struct active_run
    {
        std::uint32_t run = 0;
        steady::time_point started;
        steady::time_point ends;
        std::chrono::milliseconds length{0};
        std::string how;
    };
    struct end_row
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    http_reply answer(const http_message& request);
    http_reply hold_back(std::unique_lock<std::mutex>& lock, const json& body);
    http_reply start_run(const json& body);
    http_reply stop_run(const json& body);
    http_reply hold(std::unique_lock<std::mutex>& lock, const json& body);
    http_reply refuse(const char* reason) const;
    bool take_token(const json& body);
    void take_deadline(const json& body);
    void advance();
    void end_run(const std::string& task, const std::string& how);
    void write_row();
    void keep_time();
    std::int64_t clock_ms() const;

    executor_traits traits_;
    metadata_store& store_;
    run_history& history_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool up_ = true;
    std::int64_t born_ = 0;
    steady::time_point started_;
    std::uint64_t token_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<std::string, active_run> running_;
    std::map<std::string, std::uint32_t> barred_;
    std::deque<end_row> ends_;
    steady::time_point next_row_at_;
    std::shared_ptr<std::atomic<bool>> late_;
    std::chrono::milliseconds lateness_{0};
    std::optional<steady::time_point> late_start_at_;
    bool closing_ = false;
    std::thread timer_;
    std::thread late_thread_;
    std::unique_ptr<http_service> service_;
};

} // namespace review
