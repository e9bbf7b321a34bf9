/// Events into one host of the cell scheduler and effects out of it.
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

enum class caller_verb : std::uint8_t
{
    submit,
    status, ///< Of a job, or the count of a queue when no job is named.
    cancel,
    other
};

struct caller_request
{
    call_id id = 0;
    caller_verb verb = caller_verb::other;
    std::string host;
    std::string path;
    std::string key; ///< Empty when none was shown.
    time_point deadline;
    /// Of a submission: the decoded body, or what is wrong with it.
    std::optional<tl::expected<work_spec, error>> work;
};

/// Final answer to a caller.
struct caller_answer
{
    call_id id = 0;
    result_code code = result_code::ok;
    std::string detail;
    std::optional<job_phase> phase;            ///< Answer to a status call.
    std::optional<std::uint64_t> waiting_jobs; ///< Answer to a count.
    /// When a refused caller may come back; nothing: not said.
    std::optional<std::int64_t> retry_after_ms;
    bool close_connection =
        false; ///< Other hosts serve; use another connection.
};

// ------------------------------------------------------------------ store

/// Waits until a row of the table changes after `after`, at most `wait_ms`.
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
    bool history_lost = false; ///< Read the whole table again.
    std::uint64_t version = 0; ///< To watch from next.
    std::vector<row> rows;
    std::vector<std::string> removed; ///< Keys of rows that are gone.
};

// ---------------------------------------------------------------- workers

enum class worker_command : std::uint8_t
{
    start,
    stop,
    poll, ///< Renews the lease, acknowledges ends and lists what runs.
    advise,
    pace
};

struct advice_ticket
{
    std::string worker;
    std::string ticket;

    friend bool operator==(const advice_ticket& a, const advice_ticket& b)
    {
        return a.worker == b.worker && a.ticket == b.ticket;
    }
};

/// One call to a worker or to the advice service. Travels between hosts.
struct worker_call
{
    std::uint64_t id = 0;
    worker_command command = worker_command::poll;
    std::string worker;  ///< Incarnation that is meant.
    std::string address; ///< Empty for advice.
    std::int64_t timeout_ms = 0;
    std::uint64_t epoch = 0; ///< Fences calls of earlier owners.
    cell_task_id task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t lease_until_ms = 0; ///< On the worker's clock; 0: none.
    std::uint64_t acked_end = 0;
    std::int64_t wait_ms = 0;
    int pace_percent = 100;
    std::vector<std::string> workers; ///< Of a call for advice.
};

enum class command_status : std::uint8_t
{
    ok,
    fenced,     ///< The worker has seen a later epoch.
    superseded, ///< The run was stopped or ended there.
    expired,    ///< The order came after its time.
    no_room,
    bad_ticket,
    invalid,   ///< The worker can not read the order.
    unhealthy, ///< The worker did nothing.
    other_incarnation,
    not_sent, ///< Certain: nothing reached the worker.
    unknown   ///< May have been carried out, or may be later.
};

const char* to_string(command_status status);

struct running_report
{
    cell_task_id task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int progress_percent = 0;
    std::int64_t metric = 0; ///< Tail in ms, or processor use.
};

enum class end_kind : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired, ///< The lease was over.
    peer_ended,    ///< Another member of the gang ended.
    incomplete     ///< The gang was not complete in time.
};

struct end_report
{
    std::uint64_t number = 0;
    cell_task_id task;
    std::uint32_t run = 0;
    end_kind kind = end_kind::failed;
    std::string checkpoint;
};

struct worker_answer
{
    std::uint64_t id = 0;
    command_status status = command_status::unknown;
    std::int64_t clock_ms = -1; ///< Of the worker; -1: not said.
    std::int64_t incarnation_start_ms =
        0; ///< Start of the incarnation; 0: not said.
    std::vector<running_report> running;
    std::vector<end_report> ended;
    std::vector<advice_ticket> tickets;
};

// ------------------------------------------------------------------ other

/// Wall clock of the host, for due times only.
struct wall_clock
{
    std::int64_t unix_ms = 0;
};

struct readiness
{
    bool ready = false;
};

/// The links to other entry hosts can be opened with this secret.
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

} // namespace carobcourse
