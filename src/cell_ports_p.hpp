/// Abstract interfaces between the cell and the platform that it runs on, in
/// addition to those of ports.hpp. The adapters are in platform/.
#pragma once

#include <carobcourse/ports.hpp>
#include <functional>
#include <map>
#include <string>

#include "cell_event_p.hpp"

namespace carobcourse
{

/// Queues an event for the core thread. Called from the threads of the
/// adapters; must be thread safe and must not drop events.
using cell_event_sink = std::function<void(cell_event)>;

/// Table service that also reports changes of a table. Thread safe.
class watchable_table_service : public table_service
{
public:
    /// Waits for changes as described by `operation`. Answered by exactly one
    /// `watch_result`, also on failure.
    virtual void watch(const store_watch& operation) = 0;
};

/// Client of the workers and of the advice service. Thread safe.
class worker_client
{
public:
    virtual ~worker_client() = default;
    /// Sends `call` at most once. Answered by a `worker_answer` with the id of
    /// the call.
    virtual void call(const worker_call& call) = 0;
};

/// An HTTP response to a caller: its status and body, and extra headers.
struct encoded_response
{
    api_reply reply;
    std::map<std::string, std::string> headers;
};

/// Translates between HTTP and the requests and answers of the cell. Thread
/// safe.
class caller_codec
{
public:
    virtual ~caller_codec() = default;
    /// Never fails: a body or header that cannot be read is reported in the
    /// returned request. `now` is the time at which the call arrived; the
    /// deadline is relative to it.
    virtual caller_request decode(const api_call& call,
                                  time_point now) const = 0;
    virtual encoded_response encode(const caller_answer& answer) const = 0;
};

} // namespace carobcourse
