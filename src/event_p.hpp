/// Typed events into the decision core and effects out of it.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "log_event_p.hpp"

namespace carobcourse
{

/// Part of the core that an operation belongs to; completions return there.
enum class component : std::uint8_t
{
    config,
    members,
    ownership,
    jobs,
    requests,
    allotments,
    cell
};

/// Names one operation of a component towards the outside.
struct op_id
{
    component owner = component::config;
    std::uint64_t sequence = 0;

    friend bool operator==(const op_id& a, const op_id& b)
    {
        return a.owner == b.owner && a.sequence == b.sequence;
    }
    friend bool operator<(const op_id& a, const op_id& b)
    {
        return std::tie(a.owner, a.sequence) < std::tie(b.owner, b.sequence);
    }
};

// ---------------------------------------------------------------- callers

using call_id = std::uint64_t;

/// Keeps room in a budget of memory until its last copy is gone. Thread safe.
using memory_hold = std::shared_ptr<const void>;

/// One HTTP call of a caller or operator.
struct api_call
{
    call_id id = 0;
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::string key;             ///< From `Authorization: Bearer`.
    std::string idempotency_key; ///< Empty when absent.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    /// In the budget of input; null for a call that came over no connection.
    memory_hold input = {};
};

/// The caller closed its connection before it had an answer.
struct call_abandoned
{
    call_id id = 0;
};

struct api_reply
{
    call_id id = 0;
    int http_status = 200;
    std::string content_type;
    std::string body;
};

// ------------------------------------------------------------ table service

/// A row as read. `version` grows with each write of the row.
struct row
{
    std::string key;
    std::uint64_t version = 0;
    std::string value; ///< JSON text.
    /// Set where rows of several tables come together.
    std::string table = {};
};

struct row_write
{
    std::string table;
    std::string key;
    /// Version that must be current: 0 when the row must be absent, empty
    /// when any will do.
    std::optional<std::uint64_t> expect;
    std::optional<std::string> value; ///< Empty deletes the row.
};

enum class store_status : std::uint8_t
{
    ok,
    conflict,    ///< A row was not at the expected version; nothing written.
    not_sent,    ///< Certain: the operation did not reach the service.
    unavailable, ///< The service refused; nothing written.
    unknown      ///< No whole reply: the write may have taken effect.
};

struct store_commit
{
    op_id op;
    std::vector<row_write> writes;
    /// Time after which the answer is given up; 0: the client's own.
    std::int64_t timeout_ms = 0;
};

/// Reads one row; the result has no rows when it is absent.
struct store_read
{
    op_id op;
    std::string table;
    std::string key;
};

/// Reads rows whose keys start with `prefix`, after `after`, in key order.
struct store_scan
{
    op_id op;
    std::string table;
    std::string prefix;
    std::string after;
    std::size_t limit = 1000;
};

struct store_result
{
    op_id op;
    store_status status = store_status::unknown;
    std::size_t conflict_index = 0;
    std::vector<std::uint64_t> versions; ///< Of a commit, in write order.
    /// Of a read or scan; after a conflict the rows that were expected to be
    /// otherwise, where the service tells them.
    std::vector<row> rows;
    std::uint64_t version = 0; ///< Newest version of the service, if told.
    bool more = false;         ///< A scan was cut at its limit.
};

// ---------------------------------------------------------------- host list

enum class host_kind : std::uint8_t
{
    worker,
    executor,
    entry
};

enum class host_state : std::uint8_t
{
    live,
    leaving
};

struct host_entry
{
    std::string id;
    host_kind kind = host_kind::worker;
    std::string data_centre;
    std::string rack;
    std::string address; ///< Base URL.
    host_state state = host_state::live;
    resources capacity;                ///< Of a worker.
    std::vector<std::string> services; ///< Of an executor.
};

struct list_hosts
{
};

struct host_list_result
{
    bool ok = false;
    std::vector<host_entry> hosts;
};

// ------------------------------------------------------------------ workers

struct start_task
{
    attempt_id attempt;
    std::string team;
    job_kind kind = job_kind::batch;
    resources amount;
    std::string payload;     ///< JSON text, passed on as it is.
    std::string checkpoint;  ///< Object key to resume from, or empty.
    std::int64_t run_ms = 0; ///< Declared run time, 0 when unknown.
};

struct stop_task
{
    attempt_id attempt;
    bool checkpoint = false;
};

/// One message that renews the lease and carries all changes for a worker.
struct worker_sync
{
    std::string worker;
    std::string address;
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0;
    std::string owner;
    /// Latest token that the worker issued, 0 when none is known. The lease
    /// counts from the issue of the token.
    std::uint64_t token = 0;
    std::int64_t lease_ms = 0;
    /// Starts are taken for so long after the issue of the token; a later one
    /// was held back on the way.
    std::int64_t start_ms = 0;
    time_point send_before; ///< Not sent when this has passed.
    std::vector<start_task> starts;
    std::vector<stop_task> stops;
    std::vector<attempt_id> acks;
};

struct running_task
{
    attempt_id attempt;
    std::string team;
    resources amount;
};

enum class task_outcome : std::uint8_t
{
    succeeded,
    failed,
    stopped,      ///< On request, without a checkpoint.
    checkpointed, ///< On request, with a checkpoint.
    lease_expired
};

struct finished_task
{
    attempt_id attempt;
    task_outcome outcome = task_outcome::failed;
    std::string detail;
    std::string checkpoint; ///< Object key, or empty.
};

struct refused_start
{
    attempt_id attempt;
    std::string reason;
};

struct task_usage
{
    attempt_id attempt;
    resources used; ///< As measured a while ago.
};

struct sync_reply
{
    std::uint64_t epoch = 0; ///< Highest epoch the worker has seen.
    /// False when the epoch was older or the token not the latest; then
    /// nothing of the sync was taken.
    bool accepted = false;
    std::uint64_t token = 0; ///< For the next sync.
    resources capacity;
    std::vector<refused_start> refused;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
    std::vector<task_usage> usage;
};

enum class send_status : std::uint8_t
{
    answered,
    not_sent, ///< Certain: nothing reached the other side.
    unknown   ///< No whole answer: it may have taken effect.
};

struct worker_result
{
    std::string worker;
    std::uint64_t sequence = 0;
    send_status status = send_status::unknown;
    sync_reply reply; ///< Valid when answered.
};

// ---------------------------------------------------------------- executors

/// One attempt of a request at a backend server.
struct execute_request
{
    std::string request;
    std::uint32_t attempt = 0;
    std::string executor;
    std::string address;
    std::string service;
    std::string body;
    time_point deadline;
};

struct execute_result
{
    std::string request; ///< As sent.
    std::uint32_t attempt = 0;
    std::string executor;
    send_status status = send_status::unknown;
    int http_status = 0;
    std::string answered_request; ///< As echoed by the server.
    std::uint32_t answered_attempt = 0;
    std::uint32_t slots_free = 0;
    bool leaving = false;
    /// The server refused for want of a slot; certain: it did not run.
    bool no_slot = false;
    std::string content_type;
    std::string body;
};

// -------------------------------------------------------------------- peers

struct peer_address
{
    std::string host; ///< Entry host id.
    std::string address;
};

/// Connects to exactly these peers from now on.
struct set_peers
{
    std::vector<peer_address> peers;
};

/// A message between entry hosts: a type and a JSON document that travels as
/// CBOR.
struct peer_send
{
    std::string to;
    std::string type;
    std::string body; ///< JSON text.
    /// Bytes that travel as they are, in place of the body.
    std::string payload = {};
};

struct peer_received
{
    std::string from;
    std::string type;
    std::string body;
    std::string payload = {};
    memory_hold received = {}; ///< In the budget of the links.
};

struct peer_state
{
    std::string host;
    bool connected = false;
};

/// What the peer links refused or dropped since the last such event, counted
/// by reason.
struct peer_refusals
{
    std::map<std::string, std::uint64_t> counts;
};

/// Input on callers' connections that was no request, since the last such
/// event, counted by reason.
struct input_refusals
{
    std::map<std::string, std::uint64_t> counts;
};

// -------------------------------------------------------------------- other

struct timer_tick
{
};

struct stop_request
{
};

struct log_record
{
    log_code code = log_code::started;
    std::string detail;
};

/// The planned stop is complete; the process may exit.
struct stop_complete
{
};

using event =
    std::variant<timer_tick, api_call, call_abandoned, store_result,
                 host_list_result, worker_result, execute_result, peer_received,
                 peer_state, peer_refusals, input_refusals, stop_request>;

using effect = std::variant<api_reply, store_commit, store_read, store_scan,
                            list_hosts, worker_sync, execute_request, set_peers,
                            peer_send, log_record, stop_complete>;

using effects = std::vector<effect>;

} // namespace carobcourse
