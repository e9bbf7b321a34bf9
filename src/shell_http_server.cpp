#include "shell_http_server_p.hpp"

#include <algorithm>
#include <atomic>
#include <carobcourse/config.hpp>
#include <cctype>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core_context_p.hpp"
#include "http_status_p.hpp"
#include "shell_caller_socket_p.hpp"

namespace carobcourse
{

namespace
{

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

/// Memory of a call beside that of its connection.
std::size_t size_of(const api_call& call)
{
    constexpr std::size_t overhead = 1024;
    constexpr std::size_t entry_overhead = 128;
    auto bytes = overhead + call.body.size() + call.path.size();
    for (const auto* entries : {&call.headers, &call.query})
        for (const auto& [name, value] : *entries)
            bytes += entry_overhead + name.size() + value.size();
    return bytes;
}

} // namespace

class http_server::server
{
public:
    server(const http_server_options& options, call_sink sink,
           abandon_sink abandoned)
        : sink_(std::move(sink)), abandoned_(std::move(abandoned)),
          input_(options.input ? options.input
                               : std::make_shared<input_gate>(input_limits{})),
          context_{refusals_, input_}
    {
        restinio::server_settings_t<server_traits> settings;
        settings.address(options.address)
            .port(options.port)
            .max_parallel_connections(input_->limits().max_connections +
                                      spare_connections)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(config::max_url_bytes)
                    .max_field_name_size(max_field_name_bytes)
                    .max_field_value_size(config::max_header_bytes)
                    .max_field_count(max_field_count)
                    .max_body_size(options.max_body_bytes))
            .read_next_http_message_timelimit(options.idle_timeout)
            .logger(context_)
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
        const bool is_open = note_call(request);
        call.input = input_->hold(size_of(call));
        if (!is_open || !call.input)
        {
            refuse(request, call.id, result_code::request_ring_full);
            return restinio::request_accepted();
        }
        if (!query || ambiguous)
        {
            refuse(request, call.id, result_code::bad_request);
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
    /// Returns false when its connection is being closed.
    bool note_call(const restinio::request_handle_t& request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& input = inputs_[request->connection_id()];
        if (!input)
            input = current_input ? current_input
                                  : std::make_shared<input_state>(context_);
        input->partial = false;
        ++input->calls;
        return input->begin_call();
    }

    void note_written(restinio::connection_id_t connection)
    {
        --writing_;
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = inputs_.find(connection);
        if (found == inputs_.end())
            return;
        --found->second->calls;
        found->second->end_call();
    }

    /// Closes the connection when there is no room for its answer.
    void note_answer(restinio::connection_id_t connection, std::size_t bytes)
    {
        input_state_handle input;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = inputs_.find(connection);
            if (found != inputs_.end())
                input = found->second;
        }
        if (input && !input->give_answer(bytes))
        {
            refusals_.count("answer_unread");
            input->evict();
        }
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
                info(code).http_status == http_status::unavailable
                    ? std::map<std::string, std::string>{{"Retry-After",
                                                          retry_after_s}}
                    : std::map<std::string, std::string>{});
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
        note_answer(request->connection_id(), reply.body.size());
        ++writing_;
        response.done([this, id = request->connection_id()](const auto&)
                      { note_written(id); });
    }

    call_sink sink_;
    abandon_sink abandoned_;
    std::atomic<call_id> sequence_{0};
    std::atomic<std::size_t> writing_{0};
    refusal_counter refusals_;
    std::shared_ptr<input_gate> input_;
    socket_context context_;
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
