/// Numbered log events. docs/events.md is the public catalogue; a test
/// compares it with this one.
#pragma once

#include <cstdint>
#include <string>

namespace carobcourse
{

enum class log_level : std::uint8_t
{
    info,
    warning,
    error
};

// X(name, number, level, meaning)
#define CAROBCOURSE_LOG_EVENTS(X)                                              \
    X(started, 2001, info, "the entry host listens")                           \
    X(stop_requested, 2002, info, "a planned stop has begun")                  \
    X(stopped, 2003, info, "the entry host has stopped")                       \
    X(drain_deadline, 2004, warning, "the drain deadline cut requests")        \
    X(config_applied, 2101, info, "a configuration version is in force")       \
    X(config_stale, 2102, warning, "the configuration is no longer fresh")     \
    X(config_fresh, 2103, info, "the configuration is fresh again")            \
    X(member_registered, 2104, info, "this host is registered as a member")    \
    X(member_joined, 2105, info, "an entry host has joined")                   \
    X(member_left, 2106, info, "an entry host is no longer a member")          \
    X(member_superseded, 2107, error,                                          \
      "another process has registered with the id of this host")               \
    X(store_down, 2201, warning, "the table service does not answer")          \
    X(store_up, 2202, info, "the table service answers again")                 \
    X(shard_acquired, 2301, info, "this host owns a shard")                    \
    X(shard_lost, 2302, warning, "this host no longer owns a shard")           \
    X(worker_lost, 2303, warning, "the lease of a worker is over")             \
    X(worker_joined, 2304, info, "a worker has joined a shard")                \
    X(worker_quarantined, 2305, warning, "a worker fails what it starts")      \
    X(owner_contradicted, 2306, warning,                                       \
      "the table or a worker contradicts the owner of a shard")                \
    X(shard_recovered, 2307, info,                                             \
      "every worker of a shard has answered or its lease is over")             \
    X(shards_differ, 2308, error,                                              \
      "the cluster has another number of shards; this host owns none")         \
    X(job_accepted, 2401, info, "a job is durable")                            \
    X(job_ended, 2402, info, "a job has ended")                                \
    X(job_parked, 2403, warning, "a job fails on several workers")             \
    X(job_moved, 2404, info, "a job has moved to another data centre")         \
    X(request_unknown, 2501, warning, "the outcome of a request is unknown")   \
    X(answer_dropped, 2502, warning, "an answer named another attempt")        \
    X(circuit_opened, 2503, warning,                                           \
      "a backend server fails; its circuit is open")                           \
    X(requests_cut, 2504, warning,                                             \
      "the drain deadline passed with requests unanswered")                    \
    X(input_refused, 2505, warning, "input that is no request was refused")    \
    X(peer_connected, 2601, info, "a link to an entry host is up")             \
    X(peer_lost, 2602, warning, "a link to an entry host is down")             \
    X(peer_refused, 2603, warning, "messages of peers were refused or dropped")

enum class log_code : std::uint16_t
{
#define CAROBCOURSE_ENUM(name, number, level, text) name = (number),
    CAROBCOURSE_LOG_EVENTS(CAROBCOURSE_ENUM)
#undef CAROBCOURSE_ENUM
};

struct log_info
{
    const char* name;
    std::uint16_t number;
    log_level level;
    const char* text;
};

/// Returns the description of `code`. Thread safe.
const log_info& info(log_code code);

} // namespace carobcourse
