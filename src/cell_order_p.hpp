/// Admission control and scheduling order of the cell, free of input and
/// output: which job is accepted and which waiting step is placed first.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// Sort key of a waiting step; steps with smaller keys are placed first.
///
/// In a burst of one kind of work on a cell that is almost full, the order
/// keeps the response time of urgent queues (priority 0). Among the other
/// steps, the one goes first whose job must start soonest to meet its
/// objective. Jobs that have missed their objective come after those that can
/// still meet it, then work that a customer submits beyond its rate. Jobs that
/// can not end by their hard deadline come last: their results have no value.
struct order_key
{
    int band = 0;            ///< Priority band; 0 goes first.
    time_point latest_start; ///< Orders the steps of one band.
    std::uint64_t tie_breaker = 0;

    friend bool operator<(const order_key& a, const order_key& b)
    {
        return std::tie(a.band, a.latest_start, a.tie_breaker) <
               std::tie(b.band, b.latest_start, b.tie_breaker);
    }
    friend bool operator==(const order_key& a, const order_key& b)
    {
        return std::tie(a.band, a.latest_start, a.tie_breaker) ==
               std::tie(b.band, b.latest_start, b.tie_breaker);
    }
};

/// Properties of a step and its job that determine the order.
struct order_input
{
    int priority = 0;    ///< Priority of the queue; 0 is the highest.
    bool excess = false; ///< Submitted beyond the customer's rate.
    time_point objective;
    /// A result after this time has no value.
    time_point hard_deadline = time_point::max();
    std::int64_t remaining_ms = 0; ///< Estimated duration of what remains.
    std::uint64_t tie_breaker = 0; ///< Orders steps that are otherwise equal.
};

/// Returns the sort key of a step at `now`. Thread safe.
order_key make_order_key(const order_input& job, time_point now);

/// Token buckets that limit the rate of jobs of each customer. When a customer
/// submits many times its usual rate, the jobs beyond its rate are marked as
/// excess and do not delay those of others. Core thread only.
class customer_rate_limiter
{
public:
    /// Takes a token from the bucket of `customer`, which is filled at
    /// `per_second`. Returns false when the bucket is empty.
    bool try_take(time_point now, const std::string& customer,
                  double per_second);

private:
    struct bucket
    {
        double tokens = 0;
        time_point filled_at;
    };
    std::map<std::string, bucket> buckets_;
};

/// Accepted work of one customer that is scheduled before a given job.
struct customer_backlog
{
    std::string customer;
    double core_ms = 0;   ///< Remaining work in core milliseconds.
    double max_cores = 0; ///< Cores that the customer may use; 0: no limit.

    friend bool operator==(const customer_backlog& a, const customer_backlog& b)
    {
        return std::tie(a.customer, a.core_ms, a.max_cores) ==
               std::tie(b.customer, b.core_ms, b.max_cores);
    }
};

/// Estimates the time until a job of `customer` can start on a cell with
/// `cores` usable cores, in milliseconds. Returns 0 when there are no cores.
///
/// The backlog of a customer that submits far more than it may run at the same
/// time waits for its own limit and leaves the rest of the cell free. That part
/// is not counted in the wait of other customers. Thread safe.
double expected_wait_ms(const std::vector<customer_backlog>& backlogs,
                        const std::string& customer, double cores);

/// State of the cell and of a submitted job that determines its admission.
struct admission_input
{
    time_point now;
    time_point objective;
    time_point hard_deadline; ///< A result after this time has no value.
    std::int64_t critical_path_ms = 0; ///< Estimated duration of the job.
    bool excess = false;
    bool store_failing = false; ///< The store does not take commits.
    std::size_t jobs = 0;       ///< Jobs that the owner already has.
    bool has_memory = true;     ///< See `job_memory::has_room`.
    duration lag{};     ///< Average time that the owner takes for its events.
    double wait_ms = 0; ///< Estimated time until the first task can start.
};

/// Result of the admission of a job.
struct admission
{
    result_code code = result_code::ok; ///< `ok`: accepted.
    std::int64_t retry_after_ms = 0;    ///< Set when the job is refused.

    friend bool operator==(const admission& a, const admission& b)
    {
        return a.code == b.code && a.retry_after_ms == b.retry_after_ms;
    }
};

/// Decides on a job before its description is read, while the owner is behind
/// with its events by `lag`. Refuses excess jobs then, with a delay for the
/// next try that `random` spreads, so that the callers do not return together.
///
/// Load: a customer at six times its rate in a burst of urgent work. To read
/// and admit a job costs the owner as much as to accept it, so a flood of jobs
/// that are refused delays those of all customers. Thread safe.
admission admit_unread(bool excess, duration lag, std::uint64_t random);

/// Accepts a job that is expected to end by its hard deadline, or by its
/// objective when it is excess. Refuses other jobs immediately, with the time
/// after which a retry can succeed. Also refuses all jobs while the store fails
/// or the owner has `cell_max_jobs` jobs. Thread safe.
admission admit(const admission_input& input);

} // namespace carobcourse
