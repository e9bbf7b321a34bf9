/// HTTP client on a thread of its own.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "event_p.hpp"
#include "shell_clock_p.hpp"

namespace carobcourse
{

struct http_request
{
    std::string method = "GET";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    boot_clock::time_point deadline;
    /// Not sent at all once this has passed.
    boot_clock::time_point send_before;
};

struct http_response
{
    send_status status = send_status::unknown;
    int http_status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

using http_callback = std::function<void(const http_response&)>;

/// Limits of one client.
struct http_client_limits
{
    std::size_t in_flight = 1024;
    long connections_per_host = 8;
    /// Number of requests that take a new connection after one has timed out:
    /// idle connections may have gone silent with it, and only a request shows
    /// that. With `connections_per_host` of them all idle ones are replaced.
    /// For a client of a single server.
    std::size_t fresh_after_timeout = 0;
    /// Largest body of an answer, and of all unfinished answers together. An
    /// answer beyond is given up with status unknown. The largest is a watch of
    /// the workers: 500 bytes for each that has changed.
    std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t max_unfinished_bytes = std::size_t{32} * 1024 * 1024;
};

/// Sends requests over pooled connections. Thread safe.
class http_client
{
public:
    explicit http_client(http_client_limits limits);
    /// Abandons what is in flight; callbacks get status unknown.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends the request once; it is never repeated after a byte of its body
    /// was sent. The callback runs on the client's thread, or at once with
    /// status not_sent when the limit of requests in flight is reached.
    void send(http_request request, http_callback callback);

private:
    class loop;
    std::unique_ptr<loop> loop_;
};

/// A request whose time is over `timeout` from now.
http_request timed_request(const char* method, std::string url,
                           boot_clock::duration timeout);

/// Percent-encodes a path segment or query value.
std::string url_encode(const std::string& text);

/// Sends one request and waits for the answer. For command line tools.
http_response http_call(http_request request);

} // namespace carobcourse
