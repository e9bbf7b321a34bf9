#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin3
{

namespace
{

constexpr int poll_ms = 50;
constexpr int backlog = 256;
constexpr std::size_t buffer_bytes = 65536;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listen_on(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, backlog) != 0)
    {
        close(fd);
        throw std::runtime_error("port " + std::to_string(port) +
                                 " can not be listened on");
    }
    return fd;
}

int port_of(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string()
                                      : text.substr(first, last - first + 1);
}

std::string decode(const std::string& text)
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
            out += text[i];
    }
    return out;
}

/// Head and body of a message, once all of it has arrived.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Takes a whole message from the start of `bytes`.
std::optional<message> take_message(std::string& bytes)
{
    const auto head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return std::nullopt;
    message result;
    const auto line_end = bytes.find("\r\n");
    result.first_line = bytes.substr(0, line_end);
    for (auto at = line_end + 2; at < head_end + 2;)
    {
        const auto end = bytes.find("\r\n", at);
        const auto line = bytes.substr(at, end - at);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            result.headers[lower(line.substr(0, colon))] =
                trim(line.substr(colon + 1));
        at = end + 2;
    }
    const auto length = result.headers.find("content-length");
    const auto size =
        length == result.headers.end() ? 0 : std::stoul(length->second);
    const auto begin = head_end + 4;
    if (bytes.size() < begin + size)
        return std::nullopt;
    result.body = bytes.substr(begin, size);
    bytes.erase(0, begin + size);
    return result;
}

http_request to_request(const message& from)
{
    http_request result;
    const auto space = from.first_line.find(' ');
    const auto end = from.first_line.rfind(' ');
    result.method = from.first_line.substr(0, space);
    auto target = from.first_line.substr(space + 1, end - space - 1);
    const auto mark = target.find('?');
    result.path = decode(target.substr(0, mark));
    if (mark != std::string::npos)
    {
        auto rest = target.substr(mark + 1) + "&";
        for (auto at = rest.find('&'); at != std::string::npos;
             at = rest.find('&'))
        {
            const auto item = rest.substr(0, at);
            rest.erase(0, at + 1);
            const auto equals = item.find('=');
            if (equals != std::string::npos)
                result.query[decode(item.substr(0, equals))] =
                    decode(item.substr(equals + 1));
        }
    }
    result.headers = from.headers;
    result.body = from.body;
    return result;
}

bool send_all(int fd, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();)
    {
        const auto count =
            send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void close_with_reset(int fd)
{
    const linger abort{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close(fd);
}

} // namespace

struct http_server::state
{
    handler handle;
    int listener = -1;
    int port = 0;
    std::atomic<bool> stopping{false};
    std::thread acceptor;
    std::mutex mutex;
    std::vector<std::thread> connections;

    void accept_all()
    {
        while (!stopping)
        {
            pollfd waiting{listener, POLLIN, 0};
            if (poll(&waiting, 1, poll_ms) <= 0)
                continue;
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard<std::mutex> lock(mutex);
            connections.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        std::string bytes;
        std::vector<char> buffer(buffer_bytes);
        while (!stopping)
        {
            pollfd waiting{fd, POLLIN, 0};
            if (poll(&waiting, 1, poll_ms) <= 0)
                continue;
            const auto count = recv(fd, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            bytes.append(buffer.data(), static_cast<std::size_t>(count));
            bool open = true;
            while (open)
            {
                const auto next = take_message(bytes);
                if (!next)
                    break;
                const auto answer = handle(to_request(*next));
                open =
                    answer && !stopping &&
                    send_all(fd, "HTTP/1.1 " + std::to_string(answer->status) +
                                     " X\r\nContent-Type: application/json"
                                     "\r\nContent-Length: " +
                                     std::to_string(answer->body.size()) +
                                     "\r\n\r\n" + answer->body);
            }
            if (!open)
                break;
        }
        close_with_reset(fd);
    }
};

http_server::http_server(handler handle, int port)
    : state_(std::make_shared<state>())
{
    state_->handle = std::move(handle);
    state_->listener = listen_on(port);
    state_->port = port_of(state_->listener);
    state_->acceptor = std::thread([s = state_.get()] { s->accept_all(); });
}

http_server::~http_server()
{
    state_->stopping = true;
    state_->acceptor.join();
    close(state_->listener);
    for (auto& each : state_->connections)
        each.join();
}

int http_server::port() const
{
    return state_->port;
}

std::optional<http_response>
http_call(int port, const std::string& method, const std::string& path,
          const std::map<std::string, std::string>& headers,
          const std::string& body, std::chrono::milliseconds timeout)
{
    const auto deadline = steady::now() + timeout;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    {
        close(fd);
        return std::nullopt;
    }
    auto text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    std::optional<http_response> result;
    if (send_all(fd, text + body))
    {
        std::string bytes;
        std::vector<char> buffer(buffer_bytes);
        while (!result && steady::now() < deadline)
        {
            pollfd waiting{fd, POLLIN, 0};
            if (poll(&waiting, 1, poll_ms) <= 0)
                continue;
            const auto count = recv(fd, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            bytes.append(buffer.data(), static_cast<std::size_t>(count));
            if (const auto whole = take_message(bytes))
                result = http_response{std::stoi(whole->first_line.substr(
                                           whole->first_line.find(' ') + 1)),
                                       whole->body};
        }
    }
    close(fd);
    return result;
}

int free_port()
{
    // Below the ports that the system gives to outgoing connections, which
    // could take one before it is listened on.
    constexpr int first = 20000;
    constexpr int count = 12000;
    static std::atomic<int> next{getpid() * 97 % count};
    for (int i = 0; i < count; ++i)
    {
        const int port = first + next++ % count;
        try
        {
            close(listen_on(port));
            return port;
        }
        catch (const std::runtime_error&)
        {
            continue;
        }
    }
    throw std::runtime_error("no free port");
}

namespace
{

constexpr char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

std::string to_base64(const std::string& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group << 8U |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > bytes.size() ? '='
                                        : digits[group >> (18 - 6 * j) & 63U];
    }
    return out;
}

std::string from_base64(const std::string& text)
{
    std::array<int, 256> values{};
    values.fill(-1);
    for (int i = 0; i < 64; ++i)
        values.at(static_cast<unsigned char>(digits[i])) = i;
    std::string out;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const unsigned char c : text)
    {
        const auto value = values.at(c);
        if (value < 0)
            continue;
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255U);
        }
    }
    return out;
}

} // namespace standin3
