#include "shell_platform_p.hpp"

#include <carobcourse/config.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec_p.hpp"
#include "http_status_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr http_client_limits store_limits{512, 16};
constexpr http_client_limits host_list_limits{4, 1};
constexpr http_client_limits worker_limits{8192, 2};
constexpr http_client_limits executor_limits{8192,
                                             config::executor_connections};

json write_to_json(const row_write& write)
{
    json item{{"table", write.table}, {"key", write.key}};
    if (write.expect)
        item["expect"] = *write.expect;
    item["value"] = write.value ? json(*write.value) : json();
    return item;
}

row row_from_json(const json& value)
{
    return row{value.at("key").get<std::string>(),
               value.at("version").get<std::uint64_t>(),
               value.at("value").get<std::string>()};
}

void read_answer(const http_response& response, store_result& result)
{
    const auto body = json::parse(response.body);
    if (response.http_status == http_status::conflict)
    {
        result.status = store_status::conflict;
        result.conflict_index = body.value("conflict", std::size_t{0});
        return;
    }
    if (body.contains("versions"))
        result.versions = body["versions"].get<std::vector<std::uint64_t>>();
    if (body.contains("row"))
        result.rows.push_back(row_from_json(body["row"]));
    if (body.contains("rows"))
    {
        for (const auto& item : body["rows"])
            result.rows.push_back(row_from_json(item));
    }
    result.status = store_status::ok;
}

/// Whether a 404 is an answer: one row can be absent, a path of the service
/// can not.
enum class absence : std::uint8_t
{
    is_answer,
    is_failure
};

store_result to_store_result(const op_id& op, const http_response& response,
                             absence missing)
{
    store_result result;
    result.op = op;
    if (response.status == send_status::not_sent)
    {
        result.status = store_status::not_sent;
        return result;
    }
    if (response.status == send_status::unknown)
        return result;
    switch (response.http_status)
    {
    case http_status::not_found:
        result.status = missing == absence::is_answer
                            ? store_status::ok
                            : store_status::unavailable;
        return result;
    case http_status::unavailable:
        result.status = store_status::unavailable;
        return result;
    case http_status::ok:
    case http_status::conflict:
        try
        {
            read_answer(response, result);
        }
        catch (const json::exception&)
        {
            result.status = store_status::unknown;
        }
        return result;
    default:
        // A request that the service refuses, for instance as too large, has
        // no effect; after any other status the effect is unknown.
        if (response.http_status >= http_status::first_client_error &&
            response.http_status < http_status::first_server_error)
            result.status = store_status::unavailable;
        return result;
    }
}

/// True for a server's own refusal: status 503 and the body
/// `{"error": "no slot"}`. Any other 503 may come from a part that did pass
/// the request on.
bool is_no_slot(const http_response& response)
{
    if (response.status != send_status::answered ||
        response.http_status != http_status::unavailable)
        return false;
    const auto body = json::parse(response.body, nullptr, false);
    return body.is_object() && body.contains("error") &&
           body["error"] == "no slot";
}

template <class Number>
Number header_number(const http_response& response, const char* name)
{
    Number value = 0;
    const auto found = response.headers.find(name);
    if (found != response.headers.end())
        std::from_chars(found->second.data(),
                        found->second.data() + found->second.size(), value);
    return value;
}

std::string header_text(const http_response& response, const char* name)
{
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? std::string() : found->second;
}

} // namespace

// ------------------------------------------------------------- table service

http_table_service::http_table_service(std::string base_url, event_sink sink)
    : base_url_(std::move(base_url)), sink_(std::move(sink)),
      client_(store_limits)
{
}

void http_table_service::send(const op_id& op, http_request request,
                              bool reads_one_row)
{
    const auto missing =
        reads_one_row ? absence::is_answer : absence::is_failure;
    client_.send(std::move(request),
                 [this, op, missing](const http_response& response)
                 { sink_(to_store_result(op, response, missing)); });
}

void http_table_service::commit(const store_commit& operation)
{
    json ops = json::array();
    for (const auto& write : operation.writes)
        ops.push_back(write_to_json(write));
    auto request =
        timed_request("POST", base_url_ + "/v1/commit", config::store_timeout);
    request.body = json{{"ops", ops}}.dump();
    send(operation.op, std::move(request), false);
}

void http_table_service::read(const store_read& operation)
{
    send(operation.op,
         timed_request("GET",
                       fmt::format("{}/v1/rows/{}/{}", base_url_,
                                   operation.table, url_encode(operation.key)),
                       config::store_timeout),
         true);
}

void http_table_service::scan(const store_scan& operation)
{
    send(operation.op,
         timed_request(
             "GET",
             fmt::format("{}/v1/rows/{}?prefix={}&after={}&limit={}", base_url_,
                         operation.table, url_encode(operation.prefix),
                         url_encode(operation.after), operation.limit),
             config::store_timeout),
         false);
}

// ----------------------------------------------------------------- host list

http_host_list::http_host_list(std::string base_url, event_sink sink)
    : base_url_(std::move(base_url)), sink_(std::move(sink)),
      client_(host_list_limits)
{
}

void http_host_list::list()
{
    client_.send(
        timed_request("GET", base_url_ + "/v1/hosts", config::store_timeout),
        [this](const http_response& response)
        {
            host_list_result result;
            if (response.status == send_status::answered &&
                response.http_status == http_status::ok)
            {
                try
                {
                    const auto body = json::parse(response.body);
                    for (const auto& item : body.at("hosts"))
                        result.hosts.push_back(host_entry_from_json(item));
                    result.ok = true;
                }
                catch (const json::exception&)
                {
                    result = host_list_result{};
                }
            }
            sink_(std::move(result));
        });
}

// ------------------------------------------------------------------- workers

http_worker_link::http_worker_link(event_sink sink)
    : sink_(std::move(sink)), client_(worker_limits)
{
}

void http_worker_link::sync(const worker_sync& message)
{
    auto request = timed_request("POST", message.address + "/v1/sync",
                                 config::worker_sync_timeout);
    request.send_before = to_boot_time(message.send_before);
    request.body = to_json(message).dump();
    const auto worker = message.worker;
    const auto sequence = message.sequence;
    client_.send(std::move(request),
                 [this, worker, sequence](const http_response& response)
                 {
                     worker_result result;
                     result.worker = worker;
                     result.sequence = sequence;
                     result.status = response.status;
                     if (response.status == send_status::answered)
                     {
                         try
                         {
                             if (response.http_status != http_status::ok)
                                 result.status = send_status::unknown;
                             else
                                 result.reply = sync_reply_from_json(
                                     json::parse(response.body));
                         }
                         catch (const json::exception&)
                         {
                             result.status = send_status::unknown;
                         }
                     }
                     sink_(std::move(result));
                 });
}

// ----------------------------------------------------------------- executors

http_executor_link::http_executor_link(event_sink sink)
    : sink_(std::move(sink)), client_(executor_limits)
{
}

void http_executor_link::execute(const execute_request& execute)
{
    http_request request;
    request.method = "POST";
    request.url = execute.address + "/v1/execute";
    request.deadline = to_boot_time(execute.deadline);
    request.send_before = request.deadline;
    request.headers = {{"X-Request-Id", execute.request},
                       {"X-Attempt", std::to_string(execute.attempt)},
                       {"X-Service", execute.service},
                       {"Content-Type", "application/octet-stream"}};
    request.body = execute.body;
    execute_result result;
    result.request = execute.request;
    result.attempt = execute.attempt;
    result.executor = execute.executor;
    client_.send(
        std::move(request),
        [this, result](const http_response& response) mutable
        {
            result.status = response.status;
            result.http_status = response.http_status;
            result.answered_request = header_text(response, "x-request-id");
            result.answered_attempt =
                header_number<std::uint32_t>(response, "x-attempt");
            result.slots_free =
                header_number<std::uint32_t>(response, "x-slots-free");
            result.leaving = header_text(response, "x-leaving") == "true";
            result.content_type = header_text(response, "content-type");
            result.body = response.body;
            result.no_slot = is_no_slot(response);
            sink_(std::move(result));
        });
}

} // namespace carobcourse
