/// HTTP server for callers and operators.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "event_p.hpp"

namespace carobcourse
{

/// Takes a call, returns false when it can not be taken now.
using call_sink = std::function<bool(api_call)>;

struct http_server_options
{
    std::string address;
    std::uint16_t port = 0; ///< 0 binds any free port.
    unsigned threads = 1;
};

/// Listens from construction to destruction. Thread safe.
class http_server
{
public:
    /// Throws std::exception when the address can not be bound.
    http_server(const http_server_options& options, call_sink sink);
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

private:
    class server;
    std::unique_ptr<server> server_;
};

} // namespace carobcourse
