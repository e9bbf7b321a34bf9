#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr int backlog = 512;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int open_listener(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = loopback(port);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(descriptor, backlog) != 0)
    {
        close(descriptor);
        throw std::runtime_error("can not open a port");
    }
    return descriptor;
}

int port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decoded(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), {}, 16));
            i += 2;
        }
        else
            out += text[i] == '+' ? ' ' : text[i];
    }
    return out;
}

/// Reads from `descriptor` until `buffer` holds `size` bytes, or, with size 0,
/// the end of a header. Returns false when the connection ends before.
bool read_until(int descriptor, std::string& buffer, std::size_t size,
                std::optional<steady::time_point> deadline)
{
    const auto complete = [&]
    {
        return size > 0 ? buffer.size() >= size
                        : buffer.find("\r\n\r\n") != std::string::npos;
    };
    while (!complete())
    {
        if (deadline)
        {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    *deadline - steady::now());
            pollfd item{descriptor, POLLIN, 0};
            if (left.count() <= 0 ||
                poll(&item, 1, static_cast<int>(left.count())) <= 0)
                return false;
        }
        char bytes[16384];
        const auto count = recv(descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return true;
}

bool send_all(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = send(descriptor, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Takes the header from `buffer`. Returns its first line.
std::string take_header(std::string& buffer,
                        std::map<std::string, std::string>& headers)
{
    const auto end = buffer.find("\r\n\r\n");
    std::istringstream lines(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string first;
    std::getline(lines, first);
    std::string line;
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers[lower(line.substr(0, colon))] = value;
    }
    return first;
}

/// Reads the next request of a connection. Returns nothing at its end.
std::optional<http_message> read_request(int descriptor, std::string& buffer)
{
    if (!read_until(descriptor, buffer, 0, std::nullopt))
        return std::nullopt;
    http_message request;
    std::istringstream first(take_header(buffer, request.headers));
    std::string target;
    first >> request.method >> target;
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos)
    {
        std::istringstream items(target.substr(question + 1));
        std::string item;
        while (std::getline(items, item, '&'))
        {
            const auto equals = item.find('=');
            if (equals != std::string::npos)
                request.query[item.substr(0, equals)] =
                    decoded(item.substr(equals + 1));
        }
    }
    const auto length = request.headers.find("content-length");
    const std::size_t size =
        length == request.headers.end() ? 0 : std::stoul(length->second);
    if (size > 0 && !read_until(descriptor, buffer, size, std::nullopt))
        return std::nullopt;
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return request;
}

} // namespace

http_service::http_service(http_handler handler) : handler_(std::move(handler))
{
    start();
}

http_service::~http_service()
{
    stop();
    while (threads_ > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void http_service::start()
{
    const int listener = open_listener(port_);
    port_ = port_of(listener);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        listener_ = listener;
    }
    acceptor_ = std::thread([this, listener] { accept_all(listener); });
}

void http_service::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (listener_ < 0)
            return;
        ::shutdown(listener_, SHUT_RDWR);
        // The peer gets a reset, as from a process that was killed.
        const linger reset{1, 0};
        for (const auto each : connections_)
        {
            setsockopt(each, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(each, SHUT_RDWR);
        }
    }
    acceptor_.join();
    const std::lock_guard<std::mutex> lock(mutex_);
    close(listener_);
    listener_ = -1;
}

void http_service::accept_all(int listener)
{
    for (;;)
    {
        const int descriptor =
            accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        const int one = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.insert(descriptor);
        ++threads_;
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void http_service::serve(int descriptor)
{
    std::string buffer;
    while (auto request = read_request(descriptor, buffer))
    {
        const auto reply = handler_(*request);
        if (reply.status == 0)
            break;
        std::ostringstream out;
        out << "HTTP/1.1 " << reply.status
            << " -\r\nContent-Type: application/json\r\nContent-Length: "
            << reply.body.size() << "\r\n\r\n"
            << reply.body;
        if (!send_all(descriptor, out.str()))
            break;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.erase(descriptor);
        close(descriptor);
    }
    --threads_;
}

int free_port()
{
    const int descriptor = open_listener(0);
    const int port = port_of(descriptor);
    close(descriptor);
    return port;
}

http_reply http_call(int port, const std::string& method,
                     const std::string& path,
                     const std::map<std::string, std::string>& headers,
                     const std::string& body, std::chrono::milliseconds timeout)
{
    const auto deadline = steady::now() + timeout;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    http_reply reply{0, ""};
    std::ostringstream out;
    out << method << ' ' << path << " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        out << name << ": " << value << "\r\n";
    out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0 &&
        send_all(descriptor, out.str()))
    {
        std::string buffer;
        std::map<std::string, std::string> received;
        if (read_until(descriptor, buffer, 0, deadline))
        {
            std::istringstream first(take_header(buffer, received));
            std::string version;
            int status = 0;
            first >> version >> status;
            const auto length = received.find("content-length");
            const std::size_t size =
                length == received.end() ? 0 : std::stoul(length->second);
            if (size == 0 || read_until(descriptor, buffer, size, deadline))
                reply = {status, buffer.substr(0, size)};
        }
    }
    close(descriptor);
    return reply;
}

} // namespace review
