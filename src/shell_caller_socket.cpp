#include "shell_caller_socket_p.hpp"

#include <algorithm>
#include <array>
#include <carobcourse/result_code.hpp>
#include <chrono>
#include <fmt/format.h>
#include <optional>
#include <sys/socket.h>

#include "core_context_p.hpp"
#include "http_status_p.hpp"

namespace carobcourse
{

thread_local std::string parser_error;
thread_local socket_context* current_context = nullptr;
thread_local input_state_handle current_input;

namespace
{

/// A caller that still sends is read from for so long, so that it sees the
/// answer. A close with unread input would reset the connection before.
constexpr auto linger_time = std::chrono::seconds(2);
constexpr std::size_t max_linger_bytes = std::size_t{16} * 1024 * 1024;
/// More connections than this, or than a part of those that may be open, are
/// closed at once.
constexpr std::size_t most_lingering = 128;
constexpr std::size_t lingering_divisor = 4;

struct bad_input
{
    const char* reason; ///< Label of the metric.
    result_code code;
    const char* detail;
};

/// Judges the input of a connection that is being closed. Returns nothing when
/// it had no unfinished request.
std::optional<bad_input> judge_input(const std::string& error,
                                     const input_state& state)
{
    const auto names = [&error](const char* part)
    { return error.find(part) != std::string::npos; };
    if (state.no_room)
        return bad_input{"no_room", result_code::request_ring_full,
                         "no room for more unfinished input"};
    // The declared length is checked behind the header.
    if (names("HPE_CB_headers_complete") || names("HPE_CB_body"))
        return bad_input{"body_too_large", result_code::body_too_large, ""};
    // A callback of the parser fails where a limit is passed.
    if (names("HPE_CB_") || names("HPE_HEADER_OVERFLOW"))
        return bad_input{"over_limit", result_code::bad_request,
                         "the URL or a header field is too long"};
    if (!error.empty())
        return bad_input{"malformed", result_code::bad_request, "no HTTP/1.1"};
    if (!state.partial)
        return std::nullopt;
    if (state.ended)
        return bad_input{"cut_short", result_code::bad_request,
                         "the connection ended within the request"};
    return bad_input{"too_slow", result_code::request_too_slow, ""};
}

std::string raw_answer(const bad_input& input)
{
    const auto body = error_body({input.code, input.detail});
    const auto status = info(input.code).http_status;
    const auto retry = status == http_status::unavailable
                           ? fmt::format("Retry-After: {}\r\n", retry_after_s)
                           : std::string();
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\n{}Connection: close\r\n\r\n{}",
                       status, info(input.code).name, body.size(), retry, body);
}

std::atomic<std::size_t> lingering{0};

/// Reads and drops what a refused caller still sends, then closes.
class lingering_socket : public std::enable_shared_from_this<lingering_socket>
{
public:
    explicit lingering_socket(asio::ip::tcp::socket socket)
        : socket_(std::move(socket)), timer_(socket_.get_executor())
    {
        ++lingering;
    }
    ~lingering_socket()
    {
        --lingering;
    }
    lingering_socket(const lingering_socket&) = delete;
    lingering_socket& operator=(const lingering_socket&) = delete;

    void start()
    {
        timer_.expires_after(linger_time);
        timer_.async_wait(
            [self = shared_from_this()](const asio::error_code&)
            {
                asio::error_code ignored;
                self->socket_.close(ignored);
            });
        read();
    }

private:
    void read()
    {
        socket_.async_wait(asio::ip::tcp::socket::wait_read,
                           [self = shared_from_this()](asio::error_code error)
                           {
                               if (!error && self->drop_input())
                                   self->read();
                               else
                                   self->timer_.cancel();
                           });
    }

    bool drop_input()
    {
        std::array<char, 16384> unread{};
        const auto count = ::recv(socket_.native_handle(), unread.data(),
                                  unread.size(), MSG_DONTWAIT);
        dropped_ += count > 0 ? static_cast<std::size_t>(count) : 0;
        return count > 0 && dropped_ < max_linger_bytes;
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::size_t dropped_ = 0;
};

} // namespace

void refusal_counter::count(const std::string& reason)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_[reason];
}

std::map<std::string, std::uint64_t> refusal_counter::take()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(counts_, {});
}

void input_state::attach(int descriptor)
{
    descriptor_ = descriptor;
    number_ = context_.gate->open(
        [weak = weak_from_this()]
        {
            if (const auto state = weak.lock())
                state->evict();
        });
}

void input_state::detach()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        descriptor_ = -1;
    }
    context_.gate->close(number_);
}

bool input_state::take(const char* bytes, std::size_t count)
{
    const bool granted =
        context_.gate->take(number_, parser_cost(bytes, count));
    no_room = no_room || !granted;
    return granted;
}

bool input_state::begin_call()
{
    return context_.gate->begin_call(number_);
}

bool input_state::give_answer(std::size_t bytes)
{
    return context_.gate->give_answer(number_, bytes);
}

void input_state::end_call()
{
    context_.gate->end_call(number_);
}

std::size_t input_state::max_lingering() const
{
    return std::min(most_lingering, context_.gate->limits().max_connections /
                                        lingering_divisor);
}

void input_state::evict()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    // Without calls the thread of the connection still answers that the
    // unfinished request did not run. It reads nothing while answers wait.
    if (descriptor_ >= 0)
        ::shutdown(descriptor_, calls > 0 ? SHUT_RDWR : SHUT_RD);
}

void caller_socket::shutdown(shutdown_type what, asio::error_code& error)
{
    auto& state = owner_.get();
    if (!state)
    {
        base::shutdown(what, error);
        return;
    }
    const bool answered = answer_bad_input(*state);
    state->detach();
    if (!answered || lingering >= state->max_lingering())
    {
        base::shutdown(what, error);
        return;
    }
    base::shutdown(shutdown_send, error);
    const auto protocol = local_endpoint(error).protocol();
    const auto descriptor = release(error);
    if (error)
        return;
    base rest(get_executor(), protocol, descriptor);
    std::make_shared<lingering_socket>(std::move(rest))->start();
}

bool caller_socket::answer_bad_input(input_state& state)
{
    const auto error = std::exchange(parser_error, {});
    const auto input = judge_input(error, state);
    if (!input)
        return false;
    state.refusals().count(input->reason);
    // The error must not be taken for the answer to an earlier request.
    if (state.calls > 0)
        return false;
    const auto bytes = raw_answer(*input);
    ::send(native_handle(), bytes.data(), bytes.size(),
           MSG_NOSIGNAL | MSG_DONTWAIT);
    return true;
}

} // namespace carobcourse
