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
    X(peer_refused, 2603, warning,                                             \
      "messages of peers were refused or dropped")                             \
    X(cell_claimed, 2701, info, "this host owns the cell")                     \
    X(cell_loaded, 2702, info, "the owner has read the state of the cell")     \
    X(cell_owner_lost, 2703, warning, "this host no longer owns the cell")     \
    X(cell_owner_heard, 2704, info, "the owner of the cell is another host")   \
    X(cell_owner_silent, 2705, warning, "the owner of the cell is not heard")  \
    X(cell_fenced, 2706, warning, "a worker has seen a later owner")           \
    X(cell_row_unreadable, 2707, warning,                                      \
      "a row can not be read and is left out")                                 \
    X(cell_ready_changed, 2709, info,                                          \
      "the readiness of this host has changed")                                \
    X(cell_settings_reloaded, 2710, info, "the settings file was read again")  \
    X(cell_evacuation, 2708, info,                                             \
      "the data centres that are taken out have changed")                      \
    X(cell_worker_listed, 2711, info, "a worker is listed")                    \
    X(cell_worker_draining, 2712, info, "a worker is leaving")                 \
    X(cell_worker_unlisted, 2713, warning, "a worker is no longer listed")     \
    X(cell_worker_unreachable, 2714, warning, "a worker does not answer")      \
    X(cell_worker_reachable, 2715, info, "a worker answers again")             \
    X(cell_worker_gone, 2716, info, "a worker is gone and its lease is over")  \
    X(cell_workers_unresolved, 2717, warning,                                  \
      "workers of an earlier owner did not answer within the longest lease")   \
    X(cell_worker_restarted, 2719, info,                                       \
      "a worker has restarted under its id")                                   \
    X(cell_event_failed, 2718, error,                                          \
      "an event could not be handled and is dropped")                          \
    X(cell_job_refused, 2721, info, "a job is refused")                        \
    X(cell_call_refused, 2722, info, "a call of a caller is refused")          \
    X(cell_call_unknown, 2723, warning,                                        \
      "a call of a caller has no known outcome")                               \
    X(cell_count_answered, 2724, info, "a count of waiting jobs is answered")  \
    X(cell_count_refused, 2725, info,                                          \
      "the count of waiting jobs is too old and is refused")                   \
    X(cell_config_superseded, 2726, info,                                      \
      "another host has shown a newer configuration")                          \
    X(cell_read_behind, 2727, warning,                                         \
      "a read of a table is older than what is known")                         \
    X(cell_task_started, 2731, info, "a task is ordered to start")             \
    X(cell_task_ended, 2732, info, "a run of a task has ended")                \
    X(cell_task_lost, 2733, warning, "a run of a task is gone without an end") \
    X(cell_task_adopted, 2734, info,                                           \
      "a worker runs a task of an earlier owner")                              \
    X(cell_start_failed, 2735, warning, "a start of a task did not succeed")   \
    X(cell_advice_failed, 2736, warning, "a call for advice did not succeed")  \
    X(cell_gang_waits, 2737, info, "workers are kept for a gang that waits")   \
    X(cell_owner_behind, 2738, warning, "the owner is behind with its work")   \
    X(cell_worker_restart_suspected, 2739, warning,                            \
      "a worker answers by another clock")                                     \
    X(cell_ends_missing, 2740, warning,                                        \
      "ends were acknowledged that no list has named")                         \
    X(cell_preemption_chosen, 2750, info,                                      \
      "runs are stopped to make room for a step")                              \
    X(cell_preemption_lapsed, 2751, warning,                                   \
      "a step did not get the room of the stops made for it")                  \
    X(cell_checkpoint_ignored, 2752, warning,                                  \
      "a checkpoint of an earlier run is left out")                            \
    X(cell_worker_lags, 2755, warning, "a worker is far slower than others")   \
    X(cell_worker_keeps_up, 2756, info, "a worker is no longer far slower")    \
    X(cell_speed_refused, 2757, warning, "a sample of a speed makes no sense") \
    X(cell_speeds_written, 2758, info, "the speeds of workers are written")    \
    X(cell_speeds_read, 2759, info, "speeds of an earlier owner were read")    \
    X(cell_input_refused, 2775, warning,                                       \
      "input of callers was refused or cut off")                               \
    X(cell_submission_invalid, 2776, warning,                                  \
      "a submission was refused that no host accepts")                         \
    X(cell_job_memory_full, 2777, warning,                                     \
      "a job was refused for the memory of its owner")                         \
    X(cell_locality_wait, 2785, info,                                          \
      "tasks wait for a place near their data")                                \
    X(cell_locality_wait_ended, 2786, info,                                    \
      "a wait for a place near the data has ended")                            \
    X(cell_locality_unknown, 2787, info,                                       \
      "a step can not wait near its data as its duration is unknown")          \
    X(cell_takeover_held, 2790, warning,                                       \
      "tasks wait for the lease that an earlier owner may still extend")       \
    X(cell_hosts_follow, 2791, info, "all other hosts have answered this owner")

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
