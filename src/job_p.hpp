/// Jobs, their tasks and their states.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "event_p.hpp"

namespace carobcourse
{

/// What a caller asks for.
struct job_spec
{
    std::string id;
    std::string team;
    job_kind kind = job_kind::batch;
    job_class urgency = job_class::normal;
    std::uint32_t tasks = 1;
    resources amount;         ///< Of each task.
    std::int64_t run_ms = 0;  ///< Declared run time, 0 when unknown.
    bool checkpoints = false; ///< May be stopped with a checkpoint.
    std::string payload;      ///< JSON text for the worker.
    std::string data_centre;  ///< Wanted home, empty for any.
};

enum class task_state : std::uint8_t
{
    waiting,
    starting, ///< Sent to a worker, not yet reported.
    running,
    stopping,
    succeeded,
    failed,
    cancelled
};

/// One task of a job as the owner of its shard sees it.
struct task_record
{
    task_state state = task_state::waiting;
    std::uint32_t attempt = 0; ///< Highest attempt ever used.
    std::string worker;        ///< Of the present or last attempt.
    std::string checkpoint;
    std::string detail;
    std::uint32_t failures = 0;
    bool reported = false; ///< By a worker, in this epoch; not stored.
};

/// Why an owner starts no task of a job yet.
enum class job_hold : std::uint8_t
{
    none,
    /// The commit that takes the job on is not durable. Without it a later
    /// owner could not tell that tasks may have been started.
    taking_on,
    /// Loaded at takeover: an attempt that no row names may be running until
    /// every worker has answered or its lease is over.
    recovering,
    /// The commit that moves the job to another data centre is in flight.
    moving
};

struct job_record
{
    job_spec spec;
    std::vector<task_record> tasks;
    bool cancel_requested = false;
    std::string reason; ///< Why it waits, or why it ended.
    time_point accepted_at;
    std::set<std::string> failed_workers; ///< On which a task failed.
    bool parked = false;                  ///< Starts no task any more.

    // Not stored: what the owner of this epoch knows.
    std::optional<std::uint64_t> row_version; ///< Empty when not known.
    job_hold hold = job_hold::none;

    bool is_finished() const;
    /// True when no task is starting, running or stopping.
    bool is_idle() const;
    /// "waiting", "running", "succeeded", "failed", "cancelled" or "parked".
    const char* state() const;
};

/// Reads a caller's JSON body. `team` comes from the key.
tl::expected<job_spec, error> parse_job_spec(const std::string& body,
                                             const std::string& team);

const char* to_string(task_state state);

/// JSON text as kept in the table.
std::string to_json_text(const job_record& job);
tl::expected<job_record, error> job_record_from_json(const std::string& text);

/// JSON text as shown to callers.
std::string status_json(const job_record& job, const std::string& shard);

} // namespace carobcourse
