/// HTTP/1.1 on loopback addresses for the stand-ins: a server with a thread
/// for each connection, and a client that uses a connection for each call.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace standin3
{

using steady = std::chrono::steady_clock;

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_response
{
    int status = 200;
    std::string body;
};

/// Serves 127.0.0.1. Thread safe.
class http_server
{
public:
    /// Called in the thread of the connection. Without a result the connection
    /// ends without an answer.
    using handler =
        std::function<std::optional<http_response>(const http_request&)>;

    /// Listens on `port`, or on a free one when it is 0.
    explicit http_server(handler handle, int port = 0);
    /// Resets all connections and waits for their handlers.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    int port() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Returns nothing when there is no complete answer within `timeout`.
std::optional<http_response>
http_call(int port, const std::string& method, const std::string& path,
          const std::map<std::string, std::string>& headers,
          const std::string& body, std::chrono::milliseconds timeout);

/// Returns a port of 127.0.0.1 that is free at the time of the call.
int free_port();

std::string to_base64(const std::string& bytes);
std::string from_base64(const std::string& text);

} // namespace standin3
