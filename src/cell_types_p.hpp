/// Value types of the cell scheduler: one scheduling domain over all workers
/// that reach each other, driven by one elected owner.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <tuple>
#include <vector>

namespace carobcourse
{

/// An incarnation of a worker, as its owner counts them.
using worker_number = std::uint32_t;

/// One step of a job: tasks of the same shape.
struct step_spec
{
    std::uint32_t count = 1;
    resources amount; ///< Of each task.
    std::int64_t estimate_ms = 0;
    std::vector<std::uint32_t> after; ///< Steps that must have ended before.
    bool gang = false;                ///< All tasks run together or not at all.
    bool same_rack = false;           ///< Slower when spread over racks.
    std::string label;                ///< Required of the worker.
    std::string data_rack;            ///< Slower on any other rack.
    std::uint32_t max_per_worker = 0; ///< 0: no limit.
    bool speculative = false;         ///< Copies may run in parallel.
    bool checkpoints = false;
    bool long_running = false; ///< Restarted however it ends.
    std::string image;
    std::int64_t target_ms = 0; ///< Tail latency bound of serving tasks.
    bool fills = false;         ///< Uses only processor time left over.
    std::uint32_t may_miss = 0; ///< Tasks that may be unavailable at once.

    friend bool operator==(const step_spec& a, const step_spec& b)
    {
        return std::tie(a.count, a.amount, a.estimate_ms, a.after, a.gang,
                        a.same_rack, a.label, a.data_rack, a.max_per_worker,
                        a.speculative, a.checkpoints, a.long_running, a.image,
                        a.target_ms, a.fills, a.may_miss) ==
               std::tie(b.count, b.amount, b.estimate_ms, b.after, b.gang,
                        b.same_rack, b.label, b.data_rack, b.max_per_worker,
                        b.speculative, b.checkpoints, b.long_running, b.image,
                        b.target_ms, b.fills, b.may_miss);
    }
    friend bool operator!=(const step_spec& a, const step_spec& b)
    {
        return !(a == b);
    }
};

/// What a caller submits.
struct work_spec
{
    std::string payload; ///< Passed on to the workers as it is.
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 0; ///< 0: once, at once.
    std::int64_t first_due_ms = 0; ///< Wall clock, since 1970.
    std::int64_t interval_ms = 0;

    friend bool operator==(const work_spec& a, const work_spec& b)
    {
        return std::tie(a.payload, a.steps, a.occurrences, a.first_due_ms,
                        a.interval_ms) ==
               std::tie(b.payload, b.steps, b.occurrences, b.first_due_ms,
                        b.interval_ms);
    }
    friend bool operator!=(const work_spec& a, const work_spec& b)
    {
        return !(a == b);
    }
};

/// Returns the first defect of `spec`: no steps, a step after itself or a
/// later one, negative amounts. Thread safe.
std::optional<error> check_work(const work_spec& spec);

/// Names one task: job, occurrence, step and index within the step.
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

/// How the service that decides which workers may run a step is billed in
/// time: calls of one host are served one after the other.
struct advice_cost
{
    double call_ms = 0;
    double worker_ms = 0;
    std::int64_t valid_ms = 0; ///< Of a ticket, from its issue.

    friend bool operator==(const advice_cost& a, const advice_cost& b)
    {
        return std::tie(a.call_ms, a.worker_ms, a.valid_ms) ==
               std::tie(b.call_ms, b.worker_ms, b.valid_ms);
    }
};

/// A queue as configured: where jobs come from and how they are served.
struct queue_config
{
    std::string name;
    std::string host;
    std::string prefix; ///< Ends in '/'.
    std::string service;
    int priority = 0; ///< 0 goes first.
    std::uint32_t attempts = 1;
    double stretch = 1;        ///< Objective: this times the longest chain...
    std::int64_t slack_ms = 0; ///< ...and this much more.
    bool open = false;         ///< Takes jobs without a key.
    std::optional<advice_cost> advice;

    friend bool operator==(const queue_config& a, const queue_config& b)
    {
        return std::tie(a.name, a.host, a.prefix, a.service, a.priority,
                        a.attempts, a.stretch, a.slack_ms, a.open, a.advice) ==
               std::tie(b.name, b.host, b.prefix, b.service, b.priority,
                        b.attempts, b.stretch, b.slack_ms, b.open, b.advice);
    }
};

struct customer_config
{
    std::string name;
    std::vector<std::string> keys;
    double weight = 1; ///< Share when full; jobs a second that are owed.
    resources cap;     ///< Of all that runs; 0 in a part: no limit.

    friend bool operator==(const customer_config& a, const customer_config& b)
    {
        return std::tie(a.name, a.keys, a.weight, a.cap) ==
               std::tie(b.name, b.keys, b.weight, b.cap);
    }
};

/// A worker as it reports itself.
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

enum class job_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/// Names a step of an occurrence for counting.
std::uint64_t step_key_of(const std::string& job, std::uint32_t occurrence,
                          std::uint32_t step);

const char* to_string(job_phase phase);
/// Name in logs and at the workers: job, occurrence, step and index, joined by
/// dots.
std::string to_string(const cell_task_id& task);
/// Returns nothing for an unknown name.
std::optional<job_phase> job_phase_from(const std::string& name);
inline bool is_final(job_phase phase)
{
    return phase != job_phase::queued && phase != job_phase::running;
}

} // namespace carobcourse
