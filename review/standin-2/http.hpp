/// A small HTTP/1.1 server and client for the stand-ins of the review.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review
{

/// A request as read from a connection. Names of headers are in lower case.
struct http_message
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// An answer. With status 0 the connection is closed without one.
struct http_reply
{
    int status = 200;
    std::string body;
};

using http_handler = std::function<http_reply(const http_message&)>;

/// Serves one loopback port with a thread for each connection. Thread safe.
class http_service
{
public:
    explicit http_service(http_handler handler);
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    int port() const
    {
        return port_;
    }
    /// Closes the port and resets all connections.
    void stop();
    /// Opens the port of before again.
    void start();

private:
    void accept_all(int listener);
    void serve(int descriptor);

    http_handler handler_;
    int port_ = 0;
    std::mutex mutex_;
    int listener_ = -1;
    std::set<int> connections_;
    std::thread acceptor_;
    std::atomic<int> threads_{0};
};

/// Returns a loopback port that was free at the time of the call.
int free_port();

/// Makes one call on a connection of its own. Status 0 says that no complete
/// answer came within the time.
http_reply http_call(int port, const std::string& method,
                     const std::string& path,
                     const std::map<std::string, std::string>& headers,
                     const std::string& body,
                     std::chrono::milliseconds timeout);

} // namespace review
