/// Events that one host of the cell scheduler takes and effects that it asks
/// its shell to carry out.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cell_config_p.hpp"
#include "cell_types_p.hpp"
#include "event_p.hpp"

namespace carobcourse
{

// ---------------------------------------------------------------- callers

/// Operation that a caller asks for.
enum class caller_verb : std::uint8_t
{
    submit,
    /// Asks for the phase of a job, or for the number of waiting jobs of a
    /// queue when the path names no job.
    status,
    cancel,
    other
};

/// One call of a caller at this entry host.
struct caller_request
{
    call_id id = 0;
    caller_verb verb = caller_verb::other;
    std::string host;
    std::string path;
    std::string key; ///< API key; empty when the call has none.
    time_point deadline;
    /// Set for a submission: the decoded body, or why it can not be decoded.
    std::optional<tl::expected<job_spec, error>> work;
    memory_hold input = {};   ///< See `api_call`.
    memory_hold decoded = {}; ///< The same for `work`.
};

/// Final answer to a caller.
struct caller_answer
{
    call_id id = 0;
    result_code code = result_code::ok;
    std::string detail;
    /// Set in the answer to a status call for a job.
    std::optional<job_phase> phase;
    /// Set in the answer to a status call for a queue.
    std::optional<std::uint64_t> waiting_jobs;
    /// Delay after which a refused caller may try again; empty when the answer
    /// names none.
    std::optional<std::int64_t> retry_after_ms;
    /// The connection is closed after the answer, because other hosts can
    /// serve the caller.
    bool close_connection = false;
};

// ------------------------------------------------------------------ store

/// Long poll for changes of a table: answered when a row has changed after
/// version `after`, or after `wait_ms`.
struct store_watch
{
    op_id op;
    std::string table;
    std::uint64_t after = 0;
    std::int64_t wait_ms = 0;
};

/// Answer to `store_watch`.
struct watch_result
{
    op_id op;
    store_status status = store_status::unknown;
    bool history_lost = false; ///< The whole table must be read again.
    std::uint64_t version = 0; ///< `after` of the next watch.
    std::vector<row> rows;
    std::vector<std::string> removed; ///< Keys of removed rows.
};

// ---------------------------------------------------------------- workers

/// Commands of the owner to a worker; `advise` goes to the advice service. The
/// values are sent between entry hosts as numbers.
enum class worker_command : std::uint8_t
{
    start,
    stop,
    /// Renews the lease, acknowledges ends and lists the runs of the worker. A
    /// long poll: the worker may answer up to `wait_ms` later.
    poll,
    advise, ///< Asks which workers may run a step.
    pace    ///< Sets the speed of a run to `pace_percent`.
};

/// Permission of the advice service to run a step on a worker.
struct advice_ticket
{
    std::string worker;
    std::string ticket;

    friend bool operator==(const advice_ticket& a, const advice_ticket& b)
    {
        return a.worker == b.worker && a.ticket == b.ticket;
    }
};

/// One call to a worker or to the advice service. The owner may pass it to
/// another entry host to make.
struct worker_call
{
    std::uint64_t id = 0;
    worker_command command = worker_command::poll;
    std::string worker;  ///< Incarnation that the call is for.
    std::string address; ///< Empty for the advice service.
    std::int64_t timeout_ms = 0;
    std::uint64_t epoch = 0; ///< Epoch of the owner; fences earlier owners.
    /// Fences earlier calls of the epoch; see `worker_fence`.
    std::uint32_t fence = 0;
    cell_task_id task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t lease_until_ms = 0; ///< On the worker's clock; 0: no lease.
    /// The worker forgets the ends up to this number; 0: none.
    std::uint64_t acked_end = 0;
    std::int64_t wait_ms = 0;
    int pace_percent = 100;
    /// Workers that the advice service is asked about.
    std::vector<std::string> workers;
};

/// Result of a call to a worker. The values are sent between entry hosts as
/// numbers.
enum class command_status : std::uint8_t
{
    ok,
    fenced,     ///< The worker has taken a call with a higher fence.
    superseded, ///< The run was already stopped or has ended.
    expired,    ///< The command arrived after its deadline.
    no_room,
    bad_ticket,
    invalid,   ///< The worker can not read the command.
    unhealthy, ///< The worker is not healthy and did nothing.
    other_incarnation,
    not_sent, ///< The call certainly did not reach the worker.
    unknown   ///< No answer; the command may take effect now or later.
};

/// Returns the name of the enumerator, for logs and metrics.
const char* to_string(command_status status);

/// A run in the list that a worker sends.
struct running_report
{
    cell_task_id task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int progress_percent = 0;
    std::int64_t metric = 0; ///< Tail latency in ms, or processor use.
};

/// Why a run ended. The values are sent between entry hosts as numbers.
enum class end_kind : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired, ///< The lease of the worker ran out.
    peer_ended,    ///< Another member of the gang ended.
    incomplete     ///< Not all members of the gang started in time.
};

/// End of a run, reported until it is acknowledged.
struct end_report
{
    std::uint64_t number = 0; ///< Grows with each end on the worker.
    cell_task_id task;
    std::uint32_t run = 0;
    end_kind kind = end_kind::failed;
    std::string checkpoint;
};

/// Answer to `worker_call`.
struct worker_answer
{
    std::uint64_t id = 0;
    command_status status = command_status::unknown;
    std::int64_t clock_ms = -1; ///< Clock of the worker; -1: unknown.
    /// When the worker's incarnation started; 0: unknown.
    std::int64_t incarnation_start_ms = 0;
    std::vector<running_report> running;
    std::vector<end_report> ended;
    std::vector<advice_ticket> tickets;
};

// ------------------------------------------------------------------ other

/// Wall clock of the host, in ms since 1970. Used for due times and for times
/// in stored rows.
struct wall_clock
{
    std::int64_t unix_ms = 0;
};

/// Whether the host takes calls, for its readiness check.
struct readiness
{
    bool ready = false;
};

/// Sets the secret that links to other entry hosts authenticate with.
struct set_link_secret
{
    std::string secret;
};

using cell_event =
    std::variant<timer_tick, wall_clock, caller_request, call_abandoned,
                 store_result, watch_result, worker_answer, peer_received,
                 peer_state, peer_refusals, stop_request>;

using cell_effect =
    std::variant<caller_answer, store_commit, store_read, store_scan,
                 store_watch, worker_call, set_link_secret, set_peers,
                 peer_send, log_record, readiness, stop_complete>;

using cell_effects = std::vector<cell_effect>;

/// Splits the events that have arrived since the last batch into parts of at
/// most `config::cell_max_events_per_part`. Results of the store come first;
/// the order is kept otherwise. Thread safe.
std::vector<std::vector<cell_event>>
split_batch(std::vector<cell_event> events);

} // namespace carobcourse
