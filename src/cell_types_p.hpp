/// Value types of the cell scheduler. A cell is one scheduling domain: all
/// workers that can reach each other, scheduled by one elected entry host, the
/// owner.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <tuple>
#include <vector>

namespace carobcourse
{

/// Number that the owner of the cell assigns to an incarnation of a worker.
/// Numbers are consecutive from 0, are not reused, and are not stored.
using worker_number = std::uint32_t;

/// One step of a job: a number of tasks with the same requirements.
struct step_spec
{
    std::uint32_t count = 1;
    resources amount; ///< Resources of each task.
    /// Estimated duration of one task; 0: unknown.
    std::int64_t estimate_ms = 0;
    /// Indices of the steps that must end before this one starts.
    std::vector<std::uint32_t> depends_on;
    bool gang = false;      ///< All tasks run at the same time or not at all.
    bool same_rack = false; ///< Tasks run slower on different racks.
    std::string label;      ///< Label that the worker must have; empty: any.
    /// Rack that holds the input; tasks run slower on others. Empty: none.
    std::string data_rack;
    std::uint32_t max_per_worker = 0; ///< Tasks on one worker; 0: no limit.
    bool speculative = false;         ///< Copies of a task may run in parallel.
    bool checkpoints = false;         ///< Tasks write checkpoints.
    bool long_running = false;        ///< A task is restarted however it ends.
    std::string image;                ///< Image that the worker runs.
    /// Upper bound of the tail latency of tasks that serve requests.
    std::int64_t target_ms = 0;
    /// Tasks use only processor time that others leave; they reserve memory and
    /// accelerators, but no processors.
    bool uses_spare_cpu = false;
    std::uint32_t max_unavailable =
        0; ///< Tasks that may be down at the same time.

    friend bool operator==(const step_spec& a, const step_spec& b)
    {
        return std::tie(a.count, a.amount, a.estimate_ms, a.depends_on, a.gang,
                        a.same_rack, a.label, a.data_rack, a.max_per_worker,
                        a.speculative, a.checkpoints, a.long_running, a.image,
                        a.target_ms, a.uses_spare_cpu, a.max_unavailable) ==
               std::tie(b.count, b.amount, b.estimate_ms, b.depends_on, b.gang,
                        b.same_rack, b.label, b.data_rack, b.max_per_worker,
                        b.speculative, b.checkpoints, b.long_running, b.image,
                        b.target_ms, b.uses_spare_cpu, b.max_unavailable);
    }
    friend bool operator!=(const step_spec& a, const step_spec& b)
    {
        return !(a == b);
    }
};

/// A job as submitted by a caller.
struct job_spec
{
    std::string payload; ///< Passed to the workers unchanged.
    std::vector<step_spec> steps;
    /// Times that a periodic job runs; 0: the job runs once, immediately.
    std::uint32_t occurrences = 0;
    std::int64_t first_due_ms = 0; ///< Unix time of the first occurrence.
    std::int64_t interval_ms = 0;  ///< Time between two occurrences.

    friend bool operator==(const job_spec& a, const job_spec& b)
    {
        return std::tie(a.payload, a.steps, a.occurrences, a.first_due_ms,
                        a.interval_ms) ==
               std::tie(b.payload, b.steps, b.occurrences, b.first_due_ms,
                        b.interval_ms);
    }
    friend bool operator!=(const job_spec& a, const job_spec& b)
    {
        return !(a == b);
    }
};

/// Validates `spec` and returns the first error found, if any: no steps, a step
/// without tasks, a negative amount or interval, a step that depends on itself
/// or on a later step, or a number or text beyond the limits of
/// cell_limits_p.hpp. Thread safe.
std::optional<error> validate_job(const job_spec& spec);

/// Identifies one task by job, occurrence, step and index within the step.
struct cell_task_id
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const cell_task_id& a, const cell_task_id& b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index) ==
               std::tie(b.job, b.occurrence, b.step, b.index);
    }
    friend bool operator!=(const cell_task_id& a, const cell_task_id& b)
    {
        return !(a == b);
    }
    friend bool operator<(const cell_task_id& a, const cell_task_id& b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index) <
               std::tie(b.job, b.occurrence, b.step, b.index);
    }
};

/// Duration of a call to the advice service, which decides which workers may
/// run a step. A call takes `call_ms` plus `worker_ms` for each worker that it
/// names. The service handles the calls of one host one after the other.
struct advice_cost
{
    double call_ms = 0;
    double worker_ms = 0;
    std::int64_t valid_ms = 0; ///< Lifetime of a ticket from its issue.

    friend bool operator==(const advice_cost& a, const advice_cost& b)
    {
        return std::tie(a.call_ms, a.worker_ms, a.valid_ms) ==
               std::tie(b.call_ms, b.worker_ms, b.valid_ms);
    }
};

/// Configuration of a queue: the route by which its jobs are submitted and how
/// they are scheduled.
struct queue_config
{
    std::string name;
    std::string host;
    std::string prefix;  ///< Path prefix, ends in '/'.
    std::string service; ///< Service whose workers run the jobs.
    int priority = 0;    ///< 0 is the highest priority.
    std::uint32_t max_attempts =
        1; ///< Failed runs of a task that fail its job.
    /// The objective of a job is to end within `stretch` times the length of
    /// its critical path plus `slack_ms`.
    double stretch = 1;
    std::int64_t slack_ms = 0;
    bool allows_anonymous = false; ///< Accepts jobs without a key.
    std::optional<advice_cost> advice;

    friend bool operator==(const queue_config& a, const queue_config& b)
    {
        return std::tie(a.name, a.host, a.prefix, a.service, a.priority,
                        a.max_attempts, a.stretch, a.slack_ms,
                        a.allows_anonymous, a.advice) ==
               std::tie(b.name, b.host, b.prefix, b.service, b.priority,
                        b.max_attempts, b.stretch, b.slack_ms,
                        b.allows_anonymous, b.advice);
    }
};

/// Configuration of a customer.
struct customer_config
{
    std::string name;
    std::vector<std::string> keys; ///< Keys that authenticate the customer.
    /// Jobs per second that the customer may submit; further jobs count as
    /// excess and are scheduled after all others.
    double jobs_per_second = 1;
    /// Limit on the resources of all running tasks; a field of 0 is no limit.
    resources limit;

    friend bool operator==(const customer_config& a, const customer_config& b)
    {
        return std::tie(a.name, a.keys, a.jobs_per_second, a.limit) ==
               std::tie(b.name, b.keys, b.jobs_per_second, b.limit);
    }
};

/// Description of a worker from its row in the table of workers.
struct worker_report
{
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;

    friend bool operator==(const worker_report& a, const worker_report& b)
    {
        return std::tie(a.id, a.service, a.address, a.data_centre, a.rack,
                        a.labels, a.capacity, a.draining) ==
               std::tie(b.id, b.service, b.address, b.data_centre, b.rack,
                        b.labels, b.capacity, b.draining);
    }
};

/// Phase of a job. The last three are final.
enum class job_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/// Returns a hash that identifies a step of an occurrence of a job. Thread
/// safe.
std::uint64_t stable_hash(const std::string& job, std::uint32_t occurrence,
                          std::uint32_t step);

const char* to_string(job_phase phase);
/// Returns the name of a task in logs and in calls to workers: job, occurrence,
/// step and index, joined by dots.
std::string to_string(const cell_task_id& task);
/// Parses the name of a phase. Returns `std::nullopt` for an unknown name.
std::optional<job_phase> parse_job_phase(const std::string& name);
/// Returns true when a job in this phase does not change any more.
inline bool is_final(job_phase phase)
{
    return phase != job_phase::queued && phase != job_phase::running;
}

/// Number of accepted jobs of which no task has begun. Queues without such jobs
/// may be missing.
struct waiting_counts
{
    std::map<std::string, std::uint64_t> by_queue;
    /// The counts are no older than this.
    time_point as_of;
    std::uint64_t epoch = 0; ///< Epoch of the owner that counted.

    friend bool operator==(const waiting_counts& a, const waiting_counts& b)
    {
        return a.by_queue == b.by_queue && a.as_of == b.as_of &&
               a.epoch == b.epoch;
    }
};

} // namespace carobcourse
