#include "shell_http_server_p.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <carobcourse/config.hpp>
#include <cctype>
#include <fmt/format.h>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <set>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core_context_p.hpp"

namespace carobcourse
{

namespace
{

/// Reads of unread input before a connection is closed.
constexpr int max_discarded_reads = 64;

/// Counts refused input by reason. Thread safe.
class refusal_counter
{
public:
    void count(const std::string& reason)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_[reason];
    }
    std::map<std::string, std::uint64_t> take()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return std::exchange(counts_, {});
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

/// What a connection has received. Used by the thread of its connection, but
/// for the number of calls.
struct input_state
{
    bool partial = false; ///< Bytes arrived that are no whole request yet.
    bool ended = false;   ///< The caller closed its side, or failed.
    /// Requests whose answer is not written yet.
    std::atomic<int> calls{0};
};

using input_state_handle = std::shared_ptr<input_state>;

/// RESTinio closes a connection without an answer when the input is no
/// request. It reports to the logger and closes the socket next, in the same
/// thread; these pass the reason and the counter of the server on.
thread_local std::string parser_error;
thread_local refusal_counter* current_counter = nullptr;
/// State of the connection whose input is being handled in this thread.
thread_local input_state_handle current_input;

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
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                       info(input.code).http_status, info(input.code).name,
                       body.size(), body);
}

/// Socket that answers input that is no request before it is closed.
class caller_socket : public asio::ip::tcp::socket
{
public:
    using base = asio::ip::tcp::socket;
    using base::base;

    template <class Buffers, class Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        // The acceptor uses a socket that was moved from for the next
        // connection, so the state may be absent.
        if (!state_)
            state_ = std::make_shared<input_state>();
        const auto executor =
            asio::get_associated_executor(handler, get_executor());
        base::async_read_some(
            buffers,
            asio::bind_executor(
                executor,
                [state = state_, handler = std::decay_t<Handler>(
                                     std::forward<Handler>(handler))](
                    const asio::error_code& error, std::size_t count) mutable
                {
                    state->partial = state->partial || count > 0;
                    state->ended = state->ended || error;
                    current_input = state;
                    handler(error, count);
                    current_input.reset();
                }));
    }

    void shutdown(shutdown_type what, asio::error_code& error)
    {
        if (state_)
            answer_bad_input();
        base::shutdown(what, error);
    }

private:
    void answer_bad_input()
    {
        const auto error = std::exchange(parser_error, {});
        const auto input = judge_input(error, *state_);
        if (!input || !current_counter)
            return;
        current_counter->count(input->reason);
        // The error must not be taken for the answer to an earlier request.
        if (state_->calls > 0)
            return;
        const auto bytes = raw_answer(*input);
        ::send(native_handle(), bytes.data(), bytes.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
        // A close with unread input would reset the connection before the
        // caller has read the answer. More than this is not waited for.
        std::array<char, 4096> unread{};
        for (int i = 0; i < max_discarded_reads; ++i)
        {
            if (::recv(native_handle(), unread.data(), unread.size(),
                       MSG_DONTWAIT) <= 0)
                break;
        }
    }

    input_state_handle state_;
};

/// Hands parser errors to the socket that is closed next.
class parser_error_logger
{
public:
    explicit parser_error_logger(refusal_counter& counter) : counter_(counter)
    {
    }

    /// Called before each close, among others.
    template <class Builder>
    void trace(Builder&&)
    {
        current_counter = &counter_;
    }
    template <class Builder>
    void info(Builder&&)
    {
    }
    template <class Builder>
    void warn(Builder&&)
    {
    }
    template <class Builder>
    void error(Builder&& builder)
    {
        const std::string text = builder();
        const auto at = text.find("parser error ");
        if (at != std::string::npos)
            parser_error = text.substr(at);
    }

private:
    refusal_counter& counter_;
};

/// Passes on the numbers of connections that were closed.
class close_listener
{
public:
    explicit close_listener(
        std::function<void(restinio::connection_id_t)> on_close)
        : on_close_(std::move(on_close))
    {
    }

    void state_changed(const restinio::connection_state::notice_t& notice)
    {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(
                notice.cause()))
            on_close_(notice.connection_id());
    }

private:
    std::function<void(restinio::connection_id_t)> on_close_;
};

struct server_traits : public restinio::default_traits_t
{
    static constexpr bool use_connection_count_limiter = true;
    using connection_state_listener_t = close_listener;
    using stream_socket_t = caller_socket;
    using logger_t = parser_error_logger;
};

using server_type = restinio::http_server_t<server_traits>;

constexpr auto handle_timeout = std::chrono::seconds(330);
constexpr auto write_timeout = std::chrono::seconds(30);
// Above the project's own limit, so that the caller gets a numbered error.
constexpr std::uint64_t hard_body_limit = 4 * config::max_body_bytes;
constexpr std::size_t max_field_name_bytes = 256;
constexpr std::size_t max_field_count = 100;
// RESTinio reads on while a request is being handled only if there is room for
// another one. Without that read it does not see the caller's close.
constexpr std::size_t max_pipelined_requests = 2;

std::string bearer_key(const restinio::request_handle_t& request)
{
    const auto value = request->header().get_field_or(
        restinio::http_field::authorization, std::string());
    const std::string scheme = "Bearer ";
    if (value.compare(0, scheme.size(), scheme) != 0)
        return {};
    return value.substr(scheme.size());
}

/// Returns nothing when the query is malformed.
std::optional<std::map<std::string, std::string>>
parse_query(const restinio::request_handle_t& request)
{
    std::map<std::string, std::string> result;
    try
    {
        const auto query = restinio::parse_query(request->header().query());
        for (const auto& item : query)
            result.emplace(std::string(item.first), std::string(item.second));
    }
    catch (const restinio::exception_t&)
    {
        return std::nullopt;
    }
    return result;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace

class http_server::server
{
public:
    server(const http_server_options& options, call_sink sink,
           abandon_sink abandoned)
        : sink_(std::move(sink)), abandoned_(std::move(abandoned))
    {
        restinio::server_settings_t<server_traits> settings;
        settings.address(options.address)
            .port(options.port)
            .max_parallel_connections(config::max_connections)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(config::max_url_bytes)
                    .max_field_name_size(max_field_name_bytes)
                    .max_field_value_size(config::max_header_bytes)
                    .max_field_count(max_field_count)
                    .max_body_size(hard_body_limit))
            .read_next_http_message_timelimit(options.idle_timeout)
            .logger(refusals_)
            .write_http_response_timelimit(write_timeout)
            .handle_request_timeout(handle_timeout)
            .max_pipelined_requests(max_pipelined_requests)
            .connection_state_listener(std::make_shared<close_listener>(
                [this](restinio::connection_id_t id) { on_close(id); }))
            .cleanup_func([] {})
            .acceptor_post_bind_hook(
                [this](restinio::asio_ns::ip::tcp::acceptor& acceptor)
                { port_ = acceptor.local_endpoint().port(); })
            .request_handler([this](const restinio::request_handle_t& request)
                             { return on_request(request); });
        running_ = restinio::run_async<server_traits>(
            restinio::own_io_context(), std::move(settings), options.threads);
    }

    ~server()
    {
        running_->stop();
        running_->wait();
        // Requests refer to the I/O context that `running_` owns.
        waiting_.clear();
        by_connection_.clear();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    std::map<std::string, std::uint64_t> take_refusals()
    {
        return refusals_.take();
    }

    bool is_writing() const
    {
        return writing_ > 0;
    }

    void reply(const api_reply& reply,
               const std::map<std::string, std::string>& headers)
    {
        restinio::request_handle_t request;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = waiting_.find(reply.id);
            if (found == waiting_.end())
                return;
            request = found->second;
            forget(found);
        }
        respond(request, reply, headers);
    }

private:
    restinio::request_handling_status_t
    on_request(const restinio::request_handle_t& request)
    {
        api_call call;
        call.id = ++sequence_;
        call.method = request->header().method().c_str();
        call.path = std::string(request->header().path());
        const auto query = parse_query(request);
        if (query)
            call.query = *query;
        call.key = bearer_key(request);
        call.idempotency_key =
            request->header().get_field_or("Idempotency-Key", std::string());
        bool ambiguous = false;
        for (const auto& field : request->header())
        {
            const auto name = lower_case(field.name());
            const auto added = call.headers.emplace(name, field.value());
            ambiguous = ambiguous || (name == "idempotency-key" &&
                                      added.first->second != field.value());
        }
        call.body = request->body();
        note_call(request);
        if (!query || ambiguous)
        {
            refuse(request, call.id, result_code::bad_request);
            return restinio::request_accepted();
        }
        if (call.body.size() > config::max_body_bytes)
        {
            refuse(request, call.id, result_code::body_too_large);
            return restinio::request_accepted();
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            waiting_.emplace(call.id, request);
            by_connection_.emplace(request->connection_id(), call.id);
        }
        const auto id = call.id;
        if (!sink_(std::move(call)))
        {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                forget(waiting_.find(id));
            }
            refuse(request, id, result_code::request_ring_full);
        }
        return restinio::request_accepted();
    }

    using waiting_calls =
        std::unordered_map<call_id, restinio::request_handle_t>;

    /// Notes that a whole request has arrived, and that its answer is due.
    void note_call(const restinio::request_handle_t& request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& input = inputs_[request->connection_id()];
        if (!input)
            input =
                current_input ? current_input : std::make_shared<input_state>();
        input->partial = false;
        ++input->calls;
    }

    void note_written(restinio::connection_id_t connection)
    {
        --writing_;
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = inputs_.find(connection);
        if (found != inputs_.end())
            --found->second->calls;
    }

    /// Requires the lock.
    void forget(waiting_calls::iterator call)
    {
        by_connection_.erase({call->second->connection_id(), call->first});
        waiting_.erase(call);
    }

    void on_close(restinio::connection_id_t connection)
    {
        std::vector<call_id> lost;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            inputs_.erase(connection);
            auto at = by_connection_.lower_bound({connection, 0});
            for (; at != by_connection_.end() && at->first == connection;
                 at = by_connection_.erase(at))
            {
                lost.push_back(at->second);
                waiting_.erase(at->second);
            }
        }
        if (!abandoned_)
            return;
        for (const auto id : lost)
            abandoned_(id);
    }

    void refuse(const restinio::request_handle_t& request, call_id id,
                result_code code)
    {
        respond(request,
                api_reply{id, info(code).http_status, "application/json",
                          error_body({code, ""})},
                {});
    }

    void respond(const restinio::request_handle_t& request,
                 const api_reply& reply,
                 const std::map<std::string, std::string>& headers)
    {
        const auto code =
            static_cast<restinio::http_status_code_t>(reply.http_status);
        auto response =
            request->create_response(restinio::http_status_line_t{code, ""});
        response.append_header(restinio::http_field::content_type,
                               reply.content_type);
        for (const auto& [name, value] : headers)
        {
            if (name == "Connection" && value == "close")
                response.connection_close();
            else
                response.append_header(name, value);
        }
        response.set_body(reply.body);
        ++writing_;
        response.done([this, id = request->connection_id()](const auto&)
                      { note_written(id); });
    }

    call_sink sink_;
    abandon_sink abandoned_;
    std::atomic<call_id> sequence_{0};
    std::atomic<std::size_t> writing_{0};
    refusal_counter refusals_;
    std::atomic<std::uint16_t> port_{0};
    std::mutex mutex_;
    waiting_calls waiting_;
    std::unordered_map<restinio::connection_id_t, input_state_handle> inputs_;
    std::set<std::pair<restinio::connection_id_t, call_id>> by_connection_;
    restinio::running_server_handle_t<server_traits> running_;
};

http_server::http_server(const http_server_options& options, call_sink sink,
                         abandon_sink abandoned)
    : server_(std::make_unique<server>(options, std::move(sink),
                                       std::move(abandoned)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return server_->port();
}

std::map<std::string, std::uint64_t> http_server::take_refusals()
{
    return server_->take_refusals();
}

bool http_server::is_writing() const
{
    return server_->is_writing();
}

void http_server::reply(const api_reply& reply)
{
    server_->reply(reply, {});
}

void http_server::reply(const api_reply& reply,
                        const std::map<std::string, std::string>& headers)
{
    server_->reply(reply, headers);
}

} // namespace carobcourse
