/// Numbered result codes. docs/errors.md is the public table; a test compares
/// it with this one.
#pragma once

#include <cstdint>
#include <string>

namespace carobcourse
{

/// What a result says about whether the work ran.
enum class ran : std::uint8_t
{
    not_applicable,
    not_run,
    unknown
};

// X(name, number, HTTP status, ran, text)
#define CAROBCOURSE_RESULT_CODES(X)                                            \
    X(ok, 0, 200, not_applicable, "done")                                      \
    X(bad_request, 1001, 400, not_run, "the request is malformed")             \
    X(not_found, 1002, 404, not_run, "no such resource")                       \
    X(method_not_allowed, 1003, 405, not_run, "method not allowed here")       \
    X(body_too_large, 1004, 413, not_run, "the body is over the limit")        \
    X(invalid_document, 1005, 422, not_run, "the document is invalid")         \
    X(invalid_settings, 1006, 500, not_run, "the settings are invalid")        \
    X(invalid_trace, 1007, 500, not_applicable, "the trace is malformed")      \
    X(request_too_slow, 1008, 408, not_run,                                    \
      "the request did not arrive in time")                                    \
    X(key_missing, 1010, 401, not_run, "no key came with the request")         \
    X(key_unknown, 1011, 403, not_run, "the key is unknown or withdrawn")      \
    X(key_wrong_team, 1012, 403, not_run, "the key belongs to another team")   \
    X(operator_key_required, 1013, 403, not_run,                               \
      "the call needs the operator key")                                       \
    X(request_ring_full, 1101, 503, not_run, "the entry host is overloaded")   \
    X(team_queue_full, 1102, 429, not_run, "the queue of the team is full")    \
    X(stopping, 1103, 503, not_run, "the entry host is stopping")              \
    X(deadline_unreachable, 1104, 504, not_run, "the deadline can not be met") \
    X(no_backend_server, 1105, 503, not_run,                                   \
      "no backend server serves this service")                                 \
    X(backend_unreachable, 1106, 502, not_run,                                 \
      "no backend server could be reached")                                    \
    X(retry_budget_spent, 1107, 503, not_run,                                  \
      "no backend server was reached and the retry budget is spent")           \
    X(ledger_full, 1108, 503, not_run,                                         \
      "no room to remember another request that must run once")                \
    X(no_configuration, 1201, 503, not_run,                                    \
      "no configuration has been read yet")                                    \
    X(configuration_stale, 1202, 503, not_run,                                 \
      "the configuration can not be confirmed as current")                     \
    X(store_unavailable, 1203, 503, not_run,                                   \
      "the table service is unavailable")                                      \
    X(store_write_unknown, 1204, 504, unknown,                                 \
      "the outcome of the write is unknown")                                   \
    X(shards_unconfirmed, 1205, 503, not_run,                                  \
      "the number of shards is not confirmed for this host")                   \
    X(owner_unknown, 1206, 503, not_run, "no owner of the cell is known")      \
    X(request_in_progress, 1301, 409, not_applicable,                          \
      "a request with this idempotency key is in progress")                    \
    X(outcome_unknown, 1302, 504, unknown,                                     \
      "the outcome of the request is unknown")                                 \
    X(idempotency_mismatch, 1303, 422, not_applicable,                         \
      "the idempotency key or ticket was used for another request")            \
    X(ticket_invalid, 1304, 403, not_run,                                      \
      "the ticket is not one of this team")                                    \
    X(job_exists, 1401, 409, not_run, "a job with this id exists")             \
    X(job_unrunnable, 1402, 422, not_run,                                      \
      "no host could ever hold a task of this job")                            \
    X(job_finished, 1403, 409, not_applicable, "the job has ended")            \
    X(job_unknown, 1404, 410, not_applicable, "no job with this id exists")    \
    X(version_conflict, 1501, 409, not_run,                                    \
      "the change is based on an older version")                               \
    X(no_change, 1502, 200, not_applicable, "nothing to change")               \
    X(team_in_use, 1503, 409, not_run, "the team is in use")                   \
    X(change_contended, 1504, 503, not_run, "other changes kept coming first") \
    X(service_name_taken, 1505, 409, not_run,                                  \
      "another team has a service of this name")                               \
    X(waits_for_room, 1601, 200, not_applicable, "no worker has room now")     \
    X(waits_unrunnable, 1602, 200, not_applicable,                             \
      "no worker could ever hold a task of this job")                          \
    X(waits_for_turn, 1603, 200, not_applicable, "other work goes first")      \
    X(waits_for_preempted, 1604, 200, not_applicable,                          \
      "batch tasks are being stopped to make room")                            \
    X(waits_for_gang_room, 1605, 200, not_applicable,                          \
      "not all tasks of the gang have room at once")                           \
    X(internal_error, 1901, 500, unknown, "internal error")

/// Result of an operation, numbered for callers as CC-<number>.
enum class result_code : std::uint16_t
{
#define CAROBCOURSE_ENUM(name, number, http, ran_value, text) name = (number),
    CAROBCOURSE_RESULT_CODES(CAROBCOURSE_ENUM)
#undef CAROBCOURSE_ENUM
};

/// Static description of a result code.
struct result_info
{
    const char* name;
    std::uint16_t number;
    int http_status;
    ran ran_state;
    const char* text;
};

/// Returns the description of `code`. Thread safe; never fails.
const result_info& info(result_code code);

/// Returns the printed form, for example "CC-1011".
std::string to_string(result_code code);

/// Returns "not run", "unknown" or "not applicable".
const char* to_string(ran value);

/// An error with its code and a detail for the reader.
struct error
{
    result_code code = result_code::internal_error;
    std::string detail;

    friend bool operator==(const error& a, const error& b)
    {
        return a.code == b.code && a.detail == b.detail;
    }
    friend bool operator!=(const error& a, const error& b)
    {
        return !(a == b);
    }
};

} // namespace carobcourse
