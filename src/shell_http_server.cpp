#include "shell_http_server_p.hpp"

#include <algorithm>
#include <atomic>
#include <carobcourse/config.hpp>
#include <cctype>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "core_context_p.hpp"

namespace carobcourse
{

namespace
{

struct server_traits : public restinio::default_traits_t
{
    static constexpr bool use_connection_count_limiter = true;
};

using server_type = restinio::http_server_t<server_traits>;

constexpr auto handle_timeout = std::chrono::seconds(330);
constexpr auto write_timeout = std::chrono::seconds(30);
// Above the project's own limit, so that the caller gets a numbered error.
constexpr std::uint64_t hard_body_limit = 4 * config::max_body_bytes;
constexpr std::size_t max_field_name_bytes = 256;
constexpr std::size_t max_field_count = 100;

std::string bearer_key(const restinio::request_handle_t& request)
{
    const auto value = request->header().get_field_or(
        restinio::http_field::authorization, std::string());
    const std::string scheme = "Bearer ";
    if (value.compare(0, scheme.size(), scheme) != 0)
        return {};
    return value.substr(scheme.size());
}

std::map<std::string, std::string>
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
        result.clear();
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
    server(const http_server_options& options, call_sink sink)
        : sink_(std::move(sink))
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
            .read_next_http_message_timelimit(config::idle_timeout)
            .write_http_response_timelimit(write_timeout)
            .handle_request_timeout(handle_timeout)
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
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const
    {
        return port_;
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
            request = std::move(found->second);
            waiting_.erase(found);
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
        call.query = parse_query(request);
        call.key = bearer_key(request);
        call.idempotency_key =
            request->header().get_field_or("Idempotency-Key", std::string());
        for (const auto& field : request->header())
            call.headers.emplace(lower_case(field.name()), field.value());
        call.body = request->body();
        if (call.body.size() > config::max_body_bytes)
        {
            refuse(request, call.id, result_code::body_too_large);
            return restinio::request_accepted();
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            waiting_.emplace(call.id, request);
        }
        const auto id = call.id;
        if (!sink_(std::move(call)))
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            waiting_.erase(id);
            refuse(request, id, result_code::request_ring_full);
        }
        return restinio::request_accepted();
    }

    static void refuse(const restinio::request_handle_t& request, call_id id,
                       result_code code)
    {
        respond(request,
                api_reply{id, info(code).http_status, "application/json",
                          error_body({code, ""})},
                {});
    }

    static void respond(const restinio::request_handle_t& request,
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
            response.append_header(name, value);
        response.set_body(reply.body);
        response.done();
    }

    call_sink sink_;
    std::atomic<call_id> sequence_{0};
    std::atomic<std::uint16_t> port_{0};
    std::mutex mutex_;
    std::unordered_map<call_id, restinio::request_handle_t> waiting_;
    restinio::running_server_handle_t<server_traits> running_;
};

http_server::http_server(const http_server_options& options, call_sink sink)
    : server_(std::make_unique<server>(options, std::move(sink)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return server_->port();
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
