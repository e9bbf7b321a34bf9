/// Stand-ins for the platform, the workers and the backend servers. They
/// keep to the interfaces in docs/design.md, section 2, and record what
/// really ran.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "codec_p.hpp"
#include "event_p.hpp"

namespace carobcourse::standin
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

struct response
{
    int status = 200;
    json body;
};

/// Table service: rows with versions, all-or-nothing commits.
class table_store
{
public:
    response commit(const json& body);
    response read(const std::string& table, const std::string& key) const;
    response scan(const std::string& table, const std::string& prefix,
                  const std::string& after, std::size_t limit) const;

private:
    struct stored
    {
        std::uint64_t version = 0;
        std::string value;
    };
    std::map<std::string, std::map<std::string, stored>> tables_;
    std::uint64_t next_version_ = 0;
};

/// One worker: epochs, tokens, leases, capacity and tasks.
class worker
{
public:
    worker(std::string id, resources capacity);

    response sync(steady::time_point now, const worker_sync& message);
    /// Ends tasks whose time has come and those whose lease is over.
    void advance(steady::time_point now);
    /// Everything that started or ended, with milliseconds of the clock.
    const json& record() const
    {
        return record_;
    }
    /// Changes the capacity; running tasks stay.
    void set_capacity(const resources& capacity)
    {
        capacity_ = capacity;
    }
    /// Keeps the progress of checkpointed tasks in `progress`, by checkpoint,
    /// so that a task resumes from it on any worker that shares the map.
    void share_progress(
        std::shared_ptr<std::map<std::string, std::int64_t>> progress)
    {
        progress_ms_ = std::move(progress);
    }
    /// Turns the check of free capacity off, so that a test judges what the
    /// owner records.
    void set_checks_capacity(bool checks)
    {
        checks_capacity_ = checks;
    }
    void set_failing(bool failing)
    {
        failing_ = failing;
    }

private:
    struct task
    {
        start_task start;
        steady::time_point started;
        std::optional<steady::time_point> ends;
        std::int64_t resumed_ms = 0; ///< Done before, up to the checkpoint.
    };

    void take(steady::time_point now, const worker_sync& message,
              sync_reply& reply);
    void start(steady::time_point now, steady::time_point start_until,
               const start_task& start, sync_reply& reply);
    void stop(steady::time_point now, const stop_task& stop);
    void end(steady::time_point now, const attempt_id& attempt,
             task_outcome outcome, const std::string& detail);
    resources used() const;
    void note(steady::time_point now, const char* what,
              const attempt_id& attempt, const std::string& detail);

    std::string id_;
    resources capacity_;
    std::uint64_t epoch_ = 0;
    std::uint64_t token_ = 0;
    steady::time_point token_issued_;
    steady::time_point lease_until_;
    bool checks_capacity_ = true;
    std::shared_ptr<std::map<std::string, std::int64_t>> progress_ms_;
    bool failing_ = false;
    std::map<attempt_id, task> running_;
    std::map<attempt_id, finished_task> finished_;
    json record_ = json::array();
};

/// Milliseconds of the monotonic clock, the same in all processes of a host.
std::int64_t clock_ms(steady::time_point now);

} // namespace carobcourse::standin
