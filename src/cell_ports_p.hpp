/// Abstract interfaces between the cell and the platform it runs on, beside
/// those of ports.hpp. The adapters live in platform/.
#pragma once

#include <carobcourse/ports.hpp>
#include <functional>
#include <map>
#include <string>

#include "cell_event_p.hpp"

namespace carobcourse
{

/// Takes events from the adapters' threads; never drops one.
using cell_event_sink = std::function<void(cell_event)>;

/// Table service that also reports changes. Thread safe.
class watched_table_service : public table_service
{
public:
    /// Answered by `watch_result`.
    virtual void watch(const store_watch& operation) = 0;
};

/// Link to the workers and the advice service. Thread safe.
class worker_calls
{
public:
    virtual ~worker_calls() = default;
    /// Answered by `worker_answer`. Sent at most once per call.
    virtual void call(const worker_call& call) = 0;
};

/// An answer as it goes over the wire.
struct encoded_answer
{
    api_reply reply;
    std::map<std::string, std::string> headers;
};

/// The callers' interface. Thread safe.
class caller_codec
{
public:
    virtual ~caller_codec() = default;
    virtual caller_request decode(const api_call& call,
                                  time_point now) const = 0;
    virtual encoded_answer encode(const caller_answer& answer) const = 0;
};

} // namespace carobcourse
