/// Stand-ins for the platform's store, the workers and the clients, and a
/// starter of entry hosts as separate processes. All of them are in the process
/// of the case; every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Exit codes of a case.
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// Bounds of the small deployments that the stand-ins follow.
constexpr std::int64_t max_lease_ms = 6000;
constexpr auto transaction_time = 4ms;
constexpr std::size_t max_listed_ends = 500;
constexpr std::size_t max_transaction_entries = 100;
constexpr std::size_t max_row_bytes = 65536;
constexpr std::size_t max_page_rows = 500;
constexpr auto heartbeat_interval = 1500ms;
constexpr auto gang_wait = 3000ms;

inline void sleep_for(steady::duration time)
{
    std::this_thread::sleep_for(time);
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Writes what happened to record.txt, with the time since the start.
class event_record
{
public:
    explicit event_record(const std::string& path)
        : out_(path), start_(steady::now())
    {
        if (!out_)
            throw std::runtime_error("can not write " + path);
    }
    std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - start_)
            .count();
    }
    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::array<char, 32> stamp{};
        std::snprintf(stamp.data(), stamp.size(), "%9.3f ",
                      static_cast<double>(now_ms()) / 1000.0);
        out_ << stamp.data() << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point start_;
};

inline event_record*& record_slot()
{
    static event_record* slot = nullptr;
    return slot;
}

template <class... Parts>
std::string concat(const Parts&... parts)
{
    std::ostringstream out;
    (out << ... << parts);
    return out.str();
}

/// Writes one line to the record of the case.
template <class... Parts>
void note(const Parts&... parts)
{
    record_slot()->line(concat(parts...));
}

// ----------------------------------------------------------------- base 64

inline std::string from_base64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text)
    {
        std::uint32_t digit = 0;
        if (c >= 'A' && c <= 'Z')
            digit = static_cast<std::uint32_t>(c - 'A');
        else if (c >= 'a' && c <= 'z')
            digit = static_cast<std::uint32_t>(c - 'a') + 26;
        else if (c >= '0' && c <= '9')
            digit = static_cast<std::uint32_t>(c - '0') + 52;
        else if (c == '+' || c == '/')
            digit = c == '+' ? 62 : 63;
        else
            break;
        group = group << 6 | digit;
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

inline std::string to_base64(const std::string& bytes)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        const auto left = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 |
                    (k < left ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= left ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

// -------------------------------------------------------------------- http

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_reply
{
    int status = 200;
    json body = json::object();
    /// If set, the request gets no answer: its connection is reset once this
    /// returns false.
    std::function<bool()> is_held = {};
};

inline std::string url_decode(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += text[i] == '+' ? ' ' : text[i];
    }
    return out;
}

/// Reads one HTTP/1.1 message. Returns false when the connection has ended.
inline bool read_message(int fd, std::string& buffer, std::string& head,
                         std::string& body)
{
    const auto fill = [&]
    {
        std::array<char, 65536> bytes{};
        const auto count = ::recv(fd, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes.data(), static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!fill())
            return false;
    head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t length = 0;
    std::string lower = head;
    for (auto& c : lower)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const auto at = lower.find("content-length:");
    if (at != std::string::npos)
        length = std::stoul(lower.substr(at + 15));
    while (buffer.size() < length)
        if (!fill())
            return false;
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline bool write_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline sockaddr_in to_address(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("no address: " + ip);
    return address;
}

/// Binds a listening socket; -1 when the port is in use.
inline int listen_on(const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = to_address(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// Returns a port below the range of outgoing connections that is free now.
inline std::uint16_t free_port(const std::string& ip)
{
    constexpr unsigned first = 20000;
    constexpr unsigned count = 9000;
    constexpr unsigned distance = 331; // Of processes that start together.
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) *
                                      distance};
    for (unsigned i = 0; i < count; ++i)
    {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        const int fd = listen_on(ip, port);
        if (fd < 0)
            continue;
        ::close(fd);
        return port;
    }
    throw std::runtime_error("no free port");
}

/// Listens at a free port and serves each connection in a thread of its own.
class tcp_acceptor
{
public:
    using server = std::function<void(int fd)>;

    tcp_acceptor(const std::string& ip, server serve)
        : ip_(ip), serve_(std::move(serve))
    {
        while (listener_ < 0)
        {
            port_ = free_port(ip_);
            listener_ = listen_on(ip_, port_);
        }
        thread_ = std::thread([this] { accept_all(); });
    }
    ~tcp_acceptor()
    {
        stop();
        while (connections_ > 0)
            sleep_for(5ms);
    }
    tcp_acceptor(const tcp_acceptor&) = delete;
    tcp_acceptor& operator=(const tcp_acceptor&) = delete;

    std::string address() const
    {
        return concat(ip_, ":", port_);
    }
    bool is_stopped() const
    {
        return stopped_;
    }
    /// Closes the listener and shuts all connections down.
    void stop()
    {
        if (stopped_.exchange(true))
            return;
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void accept_all()
    {
        while (!stopped_)
        {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                open_.insert(fd);
            }
            ++connections_;
            std::thread([this, fd] { serve_and_close(fd); }).detach();
        }
    }

    void serve_and_close(int fd)
    {
        serve_(fd);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            open_.erase(fd);
        }
        ::close(fd);
        --connections_;
    }

    std::string ip_;
    std::uint16_t port_ = 0;
    server serve_;
    int listener_ = -1;
    std::thread thread_;
    std::atomic<bool> stopped_{false};
    std::atomic<int> connections_{0};
    std::mutex mutex_;
    std::set<int> open_;
};

/// Makes the close of a connection a reset.
inline void reset_on_close(int fd)
{
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/// HTTP server with one thread for each connection.
class http_server
{
public:
    using handler = std::function<http_reply(const http_request&)>;

    http_server(const std::string& ip, handler handle)
        : handle_(std::move(handle)),
          acceptor_(ip, [this](int fd) { serve(fd); })
    {
    }

    std::string address() const
    {
        return acceptor_.address();
    }
    /// Closes the listener and all connections.
    void stop()
    {
        acceptor_.stop();
    }
    /// While silent, requests get no answer and are not carried out. At the end
    /// the connections that had such requests are reset.
    void set_silent(bool silent)
    {
        silent_ = silent;
    }
    /// From now on, nothing is answered: connections that exist stay silent for
    /// good, as their other ends are not told; the opening of new ones is
    /// reset after a second, when callers give up.
    void lose_power()
    {
        ++life_;
        dark_ = true;
    }
    void return_power()
    {
        dark_ = false;
    }

private:
    /// Returns true when the connection has to be reset.
    bool waited_out_silence() const
    {
        if (!silent_)
            return false;
        while (silent_ && !acceptor_.is_stopped())
            sleep_for(10ms);
        return true;
    }

    /// Waits until the other end closes the connection.
    void stay_silent(int fd) const
    {
        pollfd end{fd, POLLRDHUP, 0};
        while (!acceptor_.is_stopped() && ::poll(&end, 1, 20) == 0)
        {
        }
    }

    void serve(int fd)
    {
        const auto life = life_.load();
        if (dark_)
        {
            const auto end = steady::now() + 1s;
            while (!acceptor_.is_stopped() && steady::now() < end)
                sleep_for(10ms);
            reset_on_close(fd);
            return;
        }
        std::string buffer;
        std::string head;
        std::string body;
        while (!acceptor_.is_stopped() && read_message(fd, buffer, head, body))
        {
            if (waited_out_silence() || acceptor_.is_stopped())
            {
                reset_on_close(fd);
                return;
            }
            if (life != life_)
            {
                if (dark_)
                    stay_silent(fd);
                else
                    reset_on_close(fd);
                return;
            }
            http_reply reply;
            try
            {
                reply = handle_(parse(head, body));
            }
            catch (const std::exception& e)
            {
                note("stand-in could not handle a request: ", e.what());
                reply = {400, json::object()};
            }
            if (life != life_)
            {
                stay_silent(fd);
                return;
            }
            const bool held = static_cast<bool>(reply.is_held);
            while (held && reply.is_held() && !acceptor_.is_stopped())
                sleep_for(10ms);
            if (held || waited_out_silence() || acceptor_.is_stopped())
            {
                reset_on_close(fd);
                return;
            }
            const auto text = reply.body.dump();
            if (!write_all(fd, concat("HTTP/1.1 ", reply.status,
                                      " Status\r\nContent-Type: "
                                      "application/json\r\nContent-Length: ",
                                      text.size(), "\r\n\r\n", text)))
                return;
        }
    }

    static http_request parse(const std::string& head, std::string body)
    {
        http_request request;
        std::istringstream lines(head);
        std::string target;
        std::string line;
        lines >> request.method >> target;
        std::getline(lines, line);
        while (std::getline(lines, line))
        {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            for (auto& c : name)
                c = static_cast<char>(
                    std::tolower(static_cast<unsigned char>(c)));
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            request.headers[name] = value;
        }
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        if (mark != std::string::npos)
        {
            std::istringstream fields(target.substr(mark + 1));
            std::string field;
            while (std::getline(fields, field, '&'))
            {
                const auto equal = field.find('=');
                request.query[field.substr(0, equal)] =
                    equal == std::string::npos
                        ? std::string()
                        : url_decode(field.substr(equal + 1));
            }
        }
        request.body = std::move(body);
        return request;
    }

    handler handle_;
    std::atomic<bool> silent_{false};
    std::atomic<bool> dark_{false};
    std::atomic<unsigned> life_{0};
    tcp_acceptor acceptor_; // Last: its threads use all of the above.
};

struct client_answer
{
    int status = 0; ///< 0: no answer.
    json body;
};

/// Makes one HTTP call on a connection of its own.
inline client_answer
http_call(const std::string& ip, std::uint16_t port, const std::string& method,
          const std::string& path,
          const std::map<std::string, std::string>& headers,
          const std::string& body, milliseconds timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    client_answer answer;
    const auto address = to_address(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0)
    {
        std::string text = concat(method, " ", path, " HTTP/1.1\r\n");
        for (const auto& [name, value] : headers)
            text += concat(name, ": ", value, "\r\n");
        text += concat("Content-Length: ", body.size(), "\r\n\r\n", body);
        std::string buffer;
        std::string head;
        std::string content;
        if (write_all(fd, text) && read_message(fd, buffer, head, content))
        {
            answer.status = std::stoi(head.substr(head.find(' ') + 1));
            answer.body = json::parse(content, nullptr, false);
        }
    }
    ::close(fd);
    return answer;
}

// ------------------------------------------------------------------- store

/// The platform's metadata store: rows, transactions and feeds.
class metadata_store
{
public:
    /// Called after a transaction of the host took effect, before its answer.
    std::function<void(int host, const json& transaction)> on_transaction;

    http_reply handle(int host, const http_request& request)
    {
        if (request.path == "/rows-tx")
            return transact(host, json::parse(request.body));
        if (request.path == "/rows-get")
            return read(request.query);
        if (request.path == "/rows-feed")
            return feed(request.query);
        return {404, json::object()};
    }

    /// Writes a row of the operator or of a worker.
    void put(const std::string& table, const std::string& key,
             const json& value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++version_;
        tables_[table][{"", key}] = {to_base64(value.dump()), version_, false};
        changed_.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = tables_[table].find({"", key});
        if (found == tables_[table].end() || found->second.removed)
            return;
        ++version_;
        found->second = {"", version_, true};
        changed_.notify_all();
    }
    /// Returns the number of transactions refused because of a row over
    /// `row_bytes`.
    int refused_rows() const
    {
        return refused_rows_;
    }
    /// Returns the host that made the last transaction with a condition.
    int last_conditional_writer() const
    {
        return last_conditional_writer_;
    }

private:
    struct stored_row
    {
        std::string value; ///< Base 64.
        std::uint64_t version = 0;
        bool removed = false;
    };
    using part_and_key = std::pair<std::string, std::string>;

    static json to_json(const std::string& table, const part_and_key& name,
                        const stored_row& row)
    {
        json out{{"table", table},
                 {"part", name.first},
                 {"key", name.second},
                 {"schema_ver", row.version}};
        if (row.removed)
            out["deleted"] = true;
        else
            out["value"] = row.value;
        return out;
    }

    json envelope()
    {
        return {{"schema_ver", version_},
                {"now_ms", std::chrono::duration_cast<milliseconds>(
                               steady::now().time_since_epoch())
                               .count()}};
    }

    http_reply transact(int host, const json& body)
    {
        sleep_for(transaction_time);
        const auto list = [&body](const char* name)
        { return body.value(name, json::array()); };
        const auto conditions = list("expected_rev");
        const auto puts = list("put");
        const auto removals = list("remove");
        if (conditions.size() + puts.size() + removals.size() >
            max_transaction_entries)
            return {400, json::object()};
        for (const auto& each : puts)
        {
            const auto bytes = from_base64(each.at("value").get<std::string>());
            if (bytes.size() <= max_row_bytes)
                continue;
            ++refused_rows_;
            return {400, json::object()};
        }
        const auto name_of = [](const json& entry)
        {
            return part_and_key{entry.value("part", std::string()),
                                entry.at("key").get<std::string>()};
        };
        http_reply reply;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            bool holds = true;
            json rows = json::array();
            for (const auto& each : conditions)
            {
                const auto table = each.at("table").get<std::string>();
                const auto found = tables_[table].find(name_of(each));
                const bool exists =
                    found != tables_[table].end() && !found->second.removed;
                holds = holds && each.at("schema_ver").get<std::uint64_t>() ==
                                     (exists ? found->second.version : 0);
                if (exists)
                    rows.push_back(to_json(table, found->first, found->second));
            }
            if (!holds)
            {
                reply = {412, envelope()};
                reply.body["rows"] = rows;
                return reply;
            }
            ++version_;
            for (const auto& each : puts)
                tables_[each.at("table").get<std::string>()][name_of(each)] = {
                    each.at("value").get<std::string>(), version_, false};
            for (const auto& each : removals)
                tables_[each.at("table").get<std::string>()][name_of(each)] = {
                    "", version_, true};
            if (!conditions.empty())
                last_conditional_writer_ = host;
            reply = {200, envelope()};
            changed_.notify_all();
        }
        if (on_transaction)
            on_transaction(host, body);
        return reply;
    }

    http_reply read(const std::map<std::string, std::string>& query)
    {
        const auto text = [&query](const char* name)
        {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        const auto table = text("table");
        const auto part = text("part");
        const auto to = text("to");
        auto limit = max_page_rows;
        if (!text("limit").empty())
            limit = std::min(
                limit, static_cast<std::size_t>(std::stoul(text("limit"))));
        const std::lock_guard<std::mutex> lock(mutex_);
        http_reply reply{200, envelope()};
        reply.body["rows"] = json::array();
        reply.body["has_more"] = false;
        for (const auto& [name, row] : tables_[table])
        {
            if (name.first != part || row.removed ||
                name.second < text("from") ||
                (!to.empty() && name.second >= to))
                continue;
            if (reply.body["rows"].size() == limit)
            {
                reply.body["has_more"] = true;
                break;
            }
            reply.body["rows"].push_back(to_json(table, name, row));
        }
        return reply;
    }

    http_reply feed(const std::map<std::string, std::string>& query)
    {
        const auto table = query.at("table");
        const auto after = std::stoull(query.at("after"));
        const auto wait = query.count("wait_ms")
                              ? milliseconds(std::stol(query.at("wait_ms")))
                              : 0ms;
        const auto end = steady::now() + wait;
        std::unique_lock<std::mutex> lock(mutex_);
        while (true)
        {
            std::map<std::uint64_t, json> rows;
            for (const auto& [name, row] : tables_[table])
                if (row.version > after)
                    rows[row.version].push_back(to_json(table, name, row));
            if (!rows.empty() || steady::now() >= end)
            {
                http_reply reply{200, envelope()};
                reply.body["rows"] = json::array();
                for (const auto& [version, list] : rows)
                    for (const auto& each : list)
                        reply.body["rows"].push_back(each);
                return reply;
            }
            changed_.wait_until(lock, end);
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<part_and_key, stored_row>> tables_;
    std::uint64_t version_ = 100;
    std::atomic<int> last_conditional_writer_{-1};
    std::atomic<int> refused_rows_{0};
};

// ----------------------------------------------------------------- workers

/// What happened to a run on a worker.
struct run_event
{
    enum class type
    {
        start,
        end,
        ack ///< The end was taken note of.
    };
    type what = type::start;
    std::int64_t at_ms = 0;
    std::string worker;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
};

/// All runs of all workers, for the checks.
class run_log
{
public:
    void add(run_event event)
    {
        event.at_ms = record_slot()->now_ms();
        const std::lock_guard<std::mutex> lock(mutex_);
        events_.push_back(std::move(event));
    }
    std::vector<run_event> events() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return events_;
    }
    std::size_t count(run_event::type what, const std::string& task_prefix,
                      const std::string& how = "") const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t count = 0;
        for (const auto& each : events_)
            count +=
                each.what == what &&
                each.task.compare(0, task_prefix.size(), task_prefix) == 0 &&
                (how.empty() || each.how == how);
        return count;
    }

private:
    mutable std::mutex mutex_;
    std::vector<run_event> events_;
};

/// Counts the starts of tasks of which another run was going on. Notes each.
inline std::size_t count_double_runs(const run_log& log)
{
    std::map<std::string, int> running;
    std::size_t twice = 0;
    for (const auto& each : log.events())
    {
        if (each.what == run_event::type::end)
            --running[each.task];
        if (each.what != run_event::type::start || ++running[each.task] < 2)
            continue;
        ++twice;
        note("TWICE: ", each.task, " run ", each.run, " starts on ",
             each.worker, " at ", each.at_ms,
             " ms while another run of it goes on");
    }
    return twice;
}

/// Members of the gangs that are present, over all workers.
class gang_registry
{
public:
    /// Adds a member, and returns true when the gang is complete.
    bool add(const std::string& gang, std::size_t size)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& state = gangs_[gang];
        if (++state.members == size)
            state.complete_at = steady::now();
        return state.members >= size;
    }
    std::optional<steady::time_point> complete_at(const std::string& gang)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = gangs_.find(gang);
        if (found == gangs_.end())
            return std::nullopt;
        return found->second.complete_at;
    }

private:
    struct gang_state
    {
        std::size_t members = 0;
        std::optional<steady::time_point> complete_at;
    };
    std::mutex mutex_;
    std::map<std::string, gang_state> gangs_;
};

struct worker_kind
{
    std::vector<std::string> labels;
    std::int64_t cpu = 32000;
    std::int64_t mem_mb = 131072;
};

/// An executor that runs tasks. It does not guard its capacity. The text `spec`
/// of a task is a JSON object: "ms" is the task's duration, "how" its end,
/// "first_ms" and "first_how" those of its first run on any worker, and "gang"
/// the number of members of its gang.
class worker
{
public:
    worker(std::string id, std::string zone, std::string service,
           worker_kind kind, metadata_store& store, run_log& log,
           gang_registry& gangs, milliseconds stop_time = 20ms)
        : id_(std::move(id)), zone_(std::move(zone)),
          service_(std::move(service)), kind_(std::move(kind)), store_(store),
          log_(log), gangs_(gangs), stop_time_(stop_time),
          server_("127.0.0.1", [this](const http_request& request)
                  { return handle(request); })
    {
        write_row();
        ticker_ = std::thread([this] { tick_all(); });
    }
    ~worker()
    {
        ended_ = true;
        ticker_.join();
        server_.stop();
        news_.notify_all();
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    const std::string& id() const
    {
        return id_;
    }
    /// Cuts the worker off from all hosts; it runs on.
    void set_cut(bool cut)
    {
        note("worker ", id_, cut ? " is cut off" : " can be reached again");
        server_.set_silent(cut);
    }
    /// Cuts the worker off from the owner with token `lost`, or, when it is not
    /// 0, from all owners but the one with token `only`. 0 and 0 end the cut.
    void cut_off_from_owners(std::uint64_t lost, std::uint64_t only)
    {
        note("worker ", id_, " is cut off from the owner of token ", lost,
             ", or reaches that of token ", only, " only (0: none)");
        lost_token_ = lost;
        only_token_ = only;
    }
    /// Returns the highest token seen.
    std::uint64_t token() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return fence_;
    }
    /// Refuses all starts with 503, having done nothing.
    void set_refusing(bool refusing)
    {
        note("worker ", id_, refusing ? " refuses" : " accepts", " starts");
        refusing_ = refusing;
    }
    /// Loses power right after a long poll has arrived.
    void lose_power_after_poll()
    {
        const auto before = long_polls_.load();
        const auto end = steady::now() + 5s;
        while (long_polls_ == before && steady::now() < end)
            sleep_for(1ms);
        note("worker ", id_, " loses power");
        server_.lose_power();
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [key, run] : running_)
            log_.add(
                {run_event::type::end, 0, id_, key.first, key.second, "power"});
        running_.clear();
        ends_.clear();
        dead_ = true;
    }
    /// Starts again under the same id, knowing nothing.
    void return_power()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            born_unix_ms_ = unix_ms();
            born_at_ = steady::now();
            last_ended_.clear();
            next_end_ = 1;
            fence_ = 0;
            lease_until_ms_ = 0;
            sequence_ = 0;
            dead_ = false;
        }
        server_.return_power();
        write_row();
        note("worker ", id_, " has started again under its id");
    }
    /// Returns the names of the tasks that run.
    std::vector<std::string> running_tasks() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::string> names;
        for (const auto& [key, run] : running_)
            names.push_back(key.first);
        return names;
    }
    bool has_lapsed() const
    {
        return lapsed_;
    }

private:
    using run_key = std::pair<std::string, std::uint32_t>;
    struct running_task
    {
        steady::time_point arrived_at;
        std::optional<steady::time_point> ends_at;
        std::string how;
        std::string gang; ///< Empty: no member of a gang.
        std::int64_t work_ms = 0;
        bool stopping = false;
    };
    struct listed_end
    {
        std::uint64_t number = 0;
        run_key key;
        std::string how;
    };

    std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() -
                                                        born_at_)
                   .count() +
               1000;
    }

    void write_row()
    {
        json row;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            row = {{"service", service_},
                   {"address", server_.address()},
                   {"zone", zone_},
                   {"version", "1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"sequence", ++sequence_},
                   {"born", born_unix_ms_},
                   {"capacity",
                    {{"cpu", kind_.cpu}, {"mem_mb", kind_.mem_mb}, {"gpu", 0}}},
                   {"labels", kind_.labels}};
        }
        store_.put("servers", id_, row);
        next_row_at_ = steady::now() + heartbeat_interval;
    }

    void tick_all()
    {
        while (!ended_)
        {
            sleep_for(5ms);
            if (!dead_ && steady::now() >= next_row_at_)
                write_row();
            const std::lock_guard<std::mutex> lock(mutex_);
            end_due_runs();
        }
    }

    /// Requires the lock.
    void end_due_runs()
    {
        const auto now = steady::now();
        const bool lapsed =
            lease_until_ms_ > 0 && clock_ms() >= lease_until_ms_;
        for (auto it = running_.begin(); it != running_.end();)
        {
            auto& run = it->second;
            if (!run.gang.empty() && !run.stopping && !run.ends_at)
            {
                const auto complete_at = gangs_.complete_at(run.gang);
                if (complete_at)
                    run.ends_at = *complete_at + milliseconds(run.work_ms);
                else if (now >= run.arrived_at + gang_wait)
                {
                    run.ends_at = now;
                    run.how = "alone";
                }
            }
            if (lapsed)
            {
                run.how = "lapsed";
                lapsed_ = true;
            }
            if (!lapsed && (!run.ends_at || now < *run.ends_at))
            {
                ++it;
                continue;
            }
            add_end(it->first, run.how);
            it = running_.erase(it);
        }
    }

    /// Requires the lock.
    void add_end(const run_key& key, const std::string& how)
    {
        ends_.push_back({next_end_++, key, how});
        auto& last = last_ended_[key.first];
        last = std::max(last, key.second);
        log_.add({run_event::type::end, 0, id_, key.first, key.second, how});
        note("worker ", id_, " ends ", key.first, " run ", key.second, ": ",
             how);
        news_.notify_all();
    }

    http_reply handle(const http_request& request)
    {
        if (request.path == "/health")
            return {200, json::object()};
        const auto intended = request.headers.find("expect-instance");
        if (intended != request.headers.end() && intended->second != id_)
            return {421, json::object()};
        const auto body = json::parse(request.body);
        const auto token = body.value("fencing_token", std::uint64_t{0});
        const auto is_held = [this, token] { return is_cut_off(token); };
        if (is_held())
            return {0, json::object(), is_held};
        auto reply = carry_out(request, body, token);
        if (is_held())
            reply.is_held = is_held;
        return reply;
    }

    bool is_cut_off(std::uint64_t token) const
    {
        return (lost_token_ != 0 && token == lost_token_) ||
               (only_token_ != 0 && token != only_token_);
    }

    http_reply carry_out(const http_request& request, const json& body,
                         std::uint64_t token)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        if (token < fence_)
            return refuse("fence");
        fence_ = token;
        if (request.path == "/run-start")
            return start(body);
        if (request.path == "/run-stop")
            return stop(body);
        if (request.path == "/hold")
            return hold(body, lock);
        return {404, json::object()};
    }

    http_reply refuse(const std::string& reason) const
    {
        return {409,
                {{"clock_ms", clock_ms()},
                 {"born", born_unix_ms_},
                 {"reason", reason}}};
    }

    void extend_lease(const json& body)
    {
        if (!body.contains("deadline_ms"))
            return;
        const auto until = std::min(body["deadline_ms"].get<std::int64_t>(),
                                    clock_ms() + max_lease_ms);
        lease_until_ms_ = std::max(lease_until_ms_, until);
    }

    http_reply start(const json& body)
    {
        const run_key key{body.at("task").get<std::string>(),
                          body.at("run").get<std::uint32_t>()};
        if (refusing_)
        {
            note("worker ", id_, " refuses the start of ", key.first);
            return {503, {{"clock_ms", clock_ms()}, {"born", born_unix_ms_}}};
        }
        if (body.contains("deadline_ms") &&
            body["deadline_ms"].get<std::int64_t>() < clock_ms())
            return refuse("late");
        extend_lease(body);
        const http_reply accepted{
            200, {{"clock_ms", clock_ms()}, {"born", born_unix_ms_}}};
        if (running_.count(key))
            return accepted;
        const auto last = last_ended_.find(key.first);
        if (last != last_ended_.end() && key.second <= last->second)
            return refuse("old");
        const auto spec = json::parse(body.at("spec").get<std::string>());
        running_task run;
        run.arrived_at = steady::now();
        run.work_ms = spec.value("ms", 1000);
        run.how = spec.value("how", std::string("done"));
        if (spec.contains("first_how") &&
            log_.count(run_event::type::start, key.first) == 0)
        {
            run.how = spec["first_how"].get<std::string>();
            run.work_ms = spec.value("first_ms", run.work_ms);
        }
        if (spec.contains("gang"))
        {
            run.gang = concat(key.first.substr(0, key.first.rfind('.')), "/",
                              key.second);
            gangs_.add(run.gang, spec["gang"].get<std::size_t>());
        }
        else
            run.ends_at = run.arrived_at + milliseconds(run.work_ms);
        running_.emplace(key, run);
        log_.add({run_event::type::start, 0, id_, key.first, key.second, ""});
        note("worker ", id_, " starts ", key.first, " run ", key.second,
             " token ", fence_);
        return accepted;
    }

    http_reply stop(const json& body)
    {
        const run_key key{body.at("task").get<std::string>(),
                          body.at("run").get<std::uint32_t>()};
        const auto found = running_.find(key);
        if (found == running_.end())
        {
            auto& last = last_ended_[key.first];
            last = std::max(last, key.second);
        }
        else if (!found->second.stopping)
        {
            note("worker ", id_, " is told to stop ", key.first, " run ",
                 key.second);
            found->second.stopping = true;
            found->second.how = "stopped";
            found->second.ends_at = steady::now() + stop_time_;
        }
        return {200, {{"clock_ms", clock_ms()}, {"born", born_unix_ms_}}};
    }

    http_reply hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        const auto cursor = body.value("ack_cursor", std::uint64_t{0});
        while (!ends_.empty() && ends_.front().number <= cursor)
        {
            const auto& end = ends_.front();
            log_.add({run_event::type::ack, 0, id_, end.key.first,
                      end.key.second, end.how});
            ends_.pop_front();
        }
        extend_lease(body);
        if (body.value("wait_ms", 0) >= 900)
            ++long_polls_;
        const auto until =
            steady::now() + milliseconds(body.value("wait_ms", 0));
        while (ends_.empty() && steady::now() < until && !ended_)
            news_.wait_until(lock, std::min(until, steady::now() + 50ms));
        http_reply reply{200,
                         {{"clock_ms", clock_ms()}, {"born", born_unix_ms_}}};
        reply.body["running"] = json::array();
        reply.body["finished"] = json::array();
        for (const auto& [key, run] : running_)
            reply.body["running"].push_back({key.first, key.second, "", 50, 0});
        for (const auto& end : ends_)
        {
            if (reply.body["finished"].size() == max_listed_ends)
                break;
            reply.body["finished"].push_back(
                {end.number, end.key.first, end.key.second, end.how, ""});
        }
        return reply;
    }

    std::string id_;
    std::string zone_;
    std::string service_;
    worker_kind kind_;
    metadata_store& store_;
    run_log& log_;
    gang_registry& gangs_;
    milliseconds stop_time_;
    mutable std::mutex mutex_;
    std::condition_variable news_;
    std::int64_t born_unix_ms_ = unix_ms();
    steady::time_point born_at_ = steady::now();
    std::map<run_key, running_task> running_;
    std::deque<listed_end> ends_;
    std::map<std::string, std::uint32_t> last_ended_;
    std::uint64_t next_end_ = 1;
    std::uint64_t fence_ = 0;
    std::int64_t lease_until_ms_ = 0;
    std::uint64_t sequence_ = 0;
    steady::time_point next_row_at_;
    std::atomic<bool> ended_{false};
    std::atomic<bool> refusing_{false};
    std::atomic<bool> dead_{false};
    std::atomic<unsigned> long_polls_{0};
    std::atomic<std::uint64_t> lost_token_{0};
    std::atomic<std::uint64_t> only_token_{0};
    std::atomic<bool> lapsed_{false};
    http_server server_;
    std::thread ticker_;
};

// ------------------------------------------------------------- entry hosts

/// One entry host, started with the command of the deploy file.
class entry_host
{
public:
    entry_host(int number, std::string zone, std::string folder,
               metadata_store& store)
        : name_(concat("edge-", zone, "-", number)), zone_(std::move(zone)),
          // Cases that run at the same time use different addresses.
          ip_(concat("127.", 1 + ::getpid() / 250 % 250, ".", ::getpid() % 250,
                     ".", 10 + number)),
          folder_(std::move(folder)), front_(free_port(ip_)),
          ready_(free_port(ip_)), control_(free_port(ip_)),
          peer_(free_port(ip_)),
          store_server_("127.0.0.1",
                        [this, number, &store](const http_request& request)
                        { return translate(store.handle(number, request)); })
    {
        write_settings();
    }
    ~entry_host()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    void start()
    {
        pid_ = ::fork();
        if (pid_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto log = folder_ + "/" + name_ + ".log";
            const int fd =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::setenv("CAROBCOURSE_CONFIG", settings_path().c_str(), 1);
            ::execl("target/carobcourse", "target/carobcourse", "cell",
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        note("host ", name_, " started, pid ", pid_);
    }
    void send_signal(int number)
    {
        note("host ", name_, " gets signal ", number);
        ::kill(pid_, number);
    }
    /// Waits for the end of the process, and starts it again after `delay`.
    void restart_after_end(milliseconds delay)
    {
        ::waitpid(pid_, nullptr, 0);
        note("host ", name_, " has ended");
        sleep_for(delay);
        start();
    }
    /// Cuts the host off from the store.
    void set_store_cut(bool cut)
    {
        note("host ", name_, cut ? " is cut off from" : " reaches",
             " the store");
        store_server_.set_silent(cut);
    }
    /// In rows of the table of hosts that this host reads from the store,
    /// replaces addresses, as an address translation on the way would.
    /// Precondition: the host has not started.
    void translate_addresses(std::map<std::string, std::string> translated)
    {
        translated_ = std::move(translated);
    }
    const std::string& ip() const
    {
        return ip_;
    }
    std::uint16_t peer_port() const
    {
        return peer_;
    }
    bool is_ready() const
    {
        return http_call(ip_, ready_, "GET", "/readiness", {{"Host", ip_}}, "",
                         500ms)
                   .status == 200;
    }
    client_answer call(const std::string& method, const std::string& path,
                       const std::string& key, const std::string& body) const
    {
        return http_call(ip_, front_, method, path,
                         {{"Host", "desk.example"},
                          {"Content-Type", "application/json"},
                          {"Authorization", "Token " + key},
                          {"Request-Deadline", "3000"}},
                         body, 3500ms);
    }
    const std::string& name() const
    {
        return name_;
    }

private:
    http_reply translate(http_reply reply) const
    {
        if (translated_.empty() || !reply.body.contains("rows"))
            return reply;
        for (auto& row : reply.body["rows"])
        {
            if (row.value("table", std::string()) != "member" ||
                !row.contains("value"))
                continue;
            auto bytes = from_base64(row["value"].get<std::string>());
            for (const auto& [address, other] : translated_)
            {
                const auto at = bytes.find('"' + address + '"');
                if (at != std::string::npos)
                    bytes.replace(at + 1, address.size(), other);
            }
            row["value"] = to_base64(bytes);
        }
        return reply;
    }

    std::string settings_path() const
    {
        return folder_ + "/" + name_ + ".toml";
    }

    void write_settings() const
    {
        std::ofstream out(settings_path());
        out << "node_name = \"" << name_ << "\"\nrole = \"entry\"\n"
            << "machine_class = \"edge\"\nroles_served = [\"edge\"]\n"
            << "ip = \"" << ip_ << "\"\nzone = \"" << zone_
            << "\"\nregion = \"almaty-reg\"\nport_range = [" << peer_ << ","
            << peer_ << "]\nseeds = []\nbootstrap = true\n"
            << "in_fault_budget = false\ndiscovery = \"platform\"\n"
            << "entry = \"vip\"\nheartbeat_ms = 1500\n"
            << "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
               "\"sched\",\"tenants\",\"quota\",\"places\",\"platform\"]\n"
            << "control_mode = \"request\"\n"
            << "[bind_addrs]\nfront = \"" << ip_ << ":" << front_
            << "\"\nready = \"" << ip_ << ":" << ready_ << "\"\ncontrol = \""
            << ip_ << ":" << control_ << "\"\n"
            << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
            << "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
            << "[policy_params]\ntouch_ms = 3000\nack_ms = 4000\n"
            << "drain_ms = 2000\ngrace_s = 6\nlost_ms = 200\n"
            << "config_ms = 2000\nrevoke_ms = 5000\nstrict_revoke = true\n"
            << "quota_over = 0.1\nevac_ms = 5000\nhold_max_ms = 6000\n"
            << "stop_ms = 900\ngang_ms = 3000\ncancel_ms = 3000\n"
            << "visible_ms = 3000\nfinish_s = 14\nstatus_s = 120\n"
            << "[platform]\naddress = \"" << store_server_.address()
            << "\"\nform = \"table\"\nwrites_per_s = 600\n"
            << "reads_per_s = 2000\ntx_ms = 4.0\nrow_bytes = 65536\n"
            << "across = true\nhistory_s = 20\n";
    }

    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string folder_;
    std::uint16_t front_;
    std::uint16_t ready_;
    std::uint16_t control_;
    std::uint16_t peer_;
    std::map<std::string, std::string> translated_;
    http_server store_server_;
    pid_t pid_ = -1;
};

// ------------------------------------------------------------------- world

/// A tenant of the configuration.
struct tenant
{
    std::string name = "wardens";
    std::string key = "key-wardens";
    std::int64_t cap_cpu = 0; ///< 0: no limit.
};

/// A deployment: the store, workers, entry hosts and clients.
class world
{
public:
    explicit world(const std::string& record_path)
        : record_(record_path), trouble_(read_trouble())
    {
        record_slot() = &record_;
        std::signal(SIGPIPE, SIG_IGN);
        std::string name = (std::filesystem::temp_directory_path() /
                            "carobcourse-review-XXXXXX")
                               .string();
        if (!::mkdtemp(name.data()))
            throw std::runtime_error("no temporary folder");
        folder_ = name;
        note("trouble=", trouble_);
    }
    ~world()
    {
        hosts.clear();
        workers.clear();
        const char* kept = std::getenv("KEEP_LOGS");
        if (kept)
            note("logs of the hosts are in ", folder_);
        else
            std::filesystem::remove_all(folder_);
    }
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    metadata_store store;
    run_log runs;
    gang_registry gangs;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<entry_host>> hosts;

    /// False with TROUBLE=0: the case goes without its disruption.
    bool trouble() const
    {
        return trouble_;
    }
    std::int64_t now_ms() const
    {
        return record_.now_ms();
    }

    worker& add_worker(const std::string& id, const std::string& zone,
                       worker_kind kind = {{"a", "r1-1"}},
                       milliseconds stop_time = 20ms)
    {
        workers.push_back(std::make_unique<worker>(id, zone, "climb-desk",
                                                   std::move(kind), store, runs,
                                                   gangs, stop_time));
        return *workers.back();
    }

    static json route(const std::string& name, const std::string& prefix,
                      int attempts = 3)
    {
        return {{"name", name},      {"host", "desk.example"},
                {"prefix", prefix},  {"service", "climb-desk"},
                {"priority", 1},     {"attempts", attempts},
                {"stretch", 4.0},    {"slo_ms", 3000},
                {"timeout_ms", 3000}};
    }

    void write_config(std::uint64_t version, const json& routes,
                      const std::vector<tenant>& tenants)
    {
        json config{{"version", version},
                    {"routes", routes},
                    {"services",
                     {{{"name", "climb-desk"}, {"enforces_capacity", false}}}},
                    {"limits", json::object()},
                    {"tenants", json::array()}};
        for (const auto& each : tenants)
            config["tenants"].push_back(
                {{"name", each.name},
                 {"weight", 1000},
                 {"cap", {{"cpu", each.cap_cpu}, {"mem_mb", 0}, {"gpu", 0}}},
                 {"api_keys", {each.key}}});
        store.put("op", "config", config);
        note("operator: version ", version, " of the configuration, routes ",
             routes.size());
    }

    /// Starts hosts, spread over the zones, and waits until all of them are
    /// ready. `before_start` is called before they start.
    void start_hosts(std::size_t count = 3,
                     const std::function<void()>& before_start = {})
    {
        static const std::array<const char*, 4> zones{"zenkov", "medeu",
                                                      "talgar", "kok-tobe"};
        for (std::size_t i = 0; i < count; ++i)
            hosts.push_back(std::make_unique<entry_host>(
                static_cast<int>(i) + 1, zones[i % zones.size()], folder_,
                store));
        if (before_start)
            before_start();
        for (const auto& each : hosts)
            each->start();
        wait_until_ready();
    }

    void wait_until_ready()
    {
        const bool ready = eventually(20s,
                                      [this]
                                      {
                                          for (const auto& each : hosts)
                                              if (!each->is_ready())
                                                  return false;
                                          return true;
                                      });
        if (!ready)
            throw std::runtime_error("the hosts are not ready");
        sleep_for(1s);
        note("all hosts are ready");
    }

    /// Returns the host that last wrote to the store under a condition.
    entry_host& owner()
    {
        const auto number = store.last_conditional_writer();
        if (number < 1)
            throw std::runtime_error("no owner");
        return *hosts.at(static_cast<std::size_t>(number - 1));
    }
    /// Returns the index of a host that is not the owner.
    std::size_t other_host_number()
    {
        return hosts[0].get() == &owner() ? 1 : 0;
    }

    template <class Check>
    static bool eventually(steady::duration time, const Check& check)
    {
        const auto end = steady::now() + time;
        while (steady::now() < end)
        {
            if (check())
                return true;
            sleep_for(10ms);
        }
        return check();
    }

    static json step(std::uint32_t count, std::int64_t cpu,
                     std::int64_t estimate_ms)
    {
        return {{"count", count},
                {"cpu", cpu},
                {"mem_mb", 50},
                {"estimate_ms", estimate_ms}};
    }

    /// Submits a job, again under the same id until a 2xx answer arrives.
    /// Throws when there is none.
    void submit(const entry_host& host, const std::string& path,
                const std::string& key, const json& spec, const json& steps,
                const json& more = json::object())
    {
        json body{{"spec", spec.dump()}, {"steps", steps}};
        body.update(more);
        for (int i = 0; i < 5; ++i)
        {
            note("client: POST ", path, " to ", host.name());
            const auto answer = host.call("POST", path, key, body.dump());
            note("client: answer to POST ", path, ": ", answer.status);
            if (answer.status / 100 == 2)
                return;
            sleep_for(500ms);
        }
        throw std::runtime_error("the job was not accepted");
    }

    client_answer get(const entry_host& host, const std::string& path,
                      const std::string& key)
    {
        const auto answer = host.call("GET", path, key, "");
        note("client: GET ", path, " at ", host.name(), ": ", answer.status,
             " ", answer.body.dump());
        return answer;
    }

private:
    static bool read_trouble()
    {
        const char* value = std::getenv("TROUBLE");
        return !value || std::string(value) != "0";
    }

    event_record record_;
    bool trouble_;
    std::string folder_;
};

/// Runs `check` in a world; it returns true when the rule held.
inline int run_case(int argc, char** argv,
                    const std::function<bool(world&)>& check)
{
    if (argc != 2)
    {
        std::cerr << "usage: case RECORD\n";
        return exit_not_run;
    }
    try
    {
        world place(argv[1]);
        try
        {
            const bool held = check(place);
            note(held ? "RESULT: the rule held" : "RESULT: the rule is broken");
            std::cout << (held ? "held" : "broken") << std::endl;
            return held ? exit_held : exit_broken;
        }
        catch (const std::exception& e)
        {
            note("RESULT: the case could not run: ", e.what());
            std::cerr << e.what() << std::endl;
            return exit_not_run;
        }
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << std::endl;
        return exit_not_run;
    }
}

} // namespace review
