/// HTTP server for callers and operators.
#pragma once

#include <carobcourse/config.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "event_p.hpp"

namespace carobcourse
{

class input_gate;

/// Takes a call, returns false when it can not be taken now.
using call_sink = std::function<bool(api_call)>;

/// Takes the number of a call whose caller closed its connection before the
/// answer. Called at most once for a call, after the sink took it.
using abandon_sink = std::function<void(call_id)>;

struct http_server_options
{
    std::string address;
    std::uint16_t port = 0; ///< 0 binds any free port.
    unsigned threads = 1;
    /// A request with a larger body is refused with 413.
    std::size_t max_body_bytes = config::max_body_bytes;
    /// For a whole request to arrive, and for an idle connection to be kept.
    std::chrono::steady_clock::duration idle_timeout = config::idle_timeout;
    /// Shared by all servers of a process; with none, the server has the
    /// default limits for itself.
    std::shared_ptr<input_gate> input = nullptr;
};

/// Listens from construction to destruction. Thread safe.
class http_server
{
public:
    /// Throws std::exception when the address can not be bound.
    http_server(const http_server_options& options, call_sink sink,
                abandon_sink abandoned = {});
    /// Closes all connections.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const;

    /// Answers a call. Each call is answered once; others are ignored.
    void reply(const api_reply& reply);

    /// Answers a call with further headers.
    void reply(const api_reply& reply,
               const std::map<std::string, std::string>& headers);

    /// Counts, by reason, of input that was no request since the last call.
    std::map<std::string, std::uint64_t> take_refusals();

    /// True while the last bytes of an answer are not yet handed to the
    /// operating system.
    bool is_writing() const;

private:
    class server;
    std::unique_ptr<server> server_;
};

} // namespace carobcourse
