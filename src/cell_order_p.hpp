/// Decisions under load, apart from input and output: which job is admitted
/// and which waiting step goes first.
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

/// Place of a step in the order of waiting work.
///
/// Answers a burst of one kind of work on a cell that is almost full: urgent
/// queues keep their response time; among the others the step goes first
/// whose job must start soonest to meet its objective. A job that has missed
/// its objective waits behind those that can still meet theirs, and work that
/// a customer sends beyond its share waits behind all.
struct order_key
{
    int band = 0;
    time_point latest_start;
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

struct order_input
{
    int priority = 0;
    bool excess = false;
    time_point objective;
    std::int64_t remaining_ms = 0; ///< Of what is left, by the estimates.
    std::uint64_t tie_breaker = 0; ///< Order of arrival.
};

/// Pure. Thread safe.
order_key make_order_key(const order_input& job, time_point now);

/// Jobs that a customer may send at its rate, as a bucket of tokens. Answers
/// one customer that sends many times its usual: what is beyond its rate is
/// marked as excess and does not delay others. Core thread only.
class customer_rate_limiter
{
public:
    /// Takes a token; false when the customer is beyond `per_second`.
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

/// Accepted work of one customer that goes before a job.
struct customer_backlog
{
    std::string customer;
    double core_ms = 0;
    double max_cores = 0; ///< 0: no limit.

    friend bool operator==(const customer_backlog& a, const customer_backlog& b)
    {
        return std::tie(a.customer, a.core_ms, a.max_cores) ==
               std::tie(b.customer, b.core_ms, b.max_cores);
    }
};

/// Time until a job of `customer` can start, in milliseconds.
///
/// Answers a customer that sends far more than it may run at once: its
/// backlog waits for its own limit and leaves the rest of the cell free, so
/// it must not count against others. Pure. Thread safe.
double expected_wait_ms(const std::vector<customer_backlog>& backlogs,
                        const std::string& customer, double cores);

struct admission_input
{
    time_point now;
    time_point objective;
    time_point hard_deadline; ///< Completed later than this is worth nothing.
    std::int64_t critical_path_ms = 0;
    bool excess = false;
    bool store_failing = false;
    std::size_t jobs = 0;
    double wait_ms = 0; ///< Until its first task can start.
};

struct admission
{
    result_code code = result_code::ok; ///< `ok`: accepted.
    std::int64_t retry_after_ms = 0;

    friend bool operator==(const admission& a, const admission& b)
    {
        return a.code == b.code && a.retry_after_ms == b.retry_after_ms;
    }
};

/// Accepts what can still be of use to its caller and refuses the rest at
/// once, with the time after which there will be room. Pure. Thread safe.
admission admit(const admission_input& input);

} // namespace carobcourse
