#include "request_service_p.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace carobcourse
{

namespace
{

constexpr std::uint32_t max_attempts = 3;

} // namespace

request_service::request_service(core_context& context,
                                 const config_service& config)
    : context_(context), config_(config), executors_(context)
{
}

bool request_service::on_call(time_point now, const api_call& call)
{
    const std::string prefix = "/v1/services/";
    const std::string suffix = "/requests";
    const auto& path = call.path;
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    if (path.size() <= prefix.size() + suffix.size() ||
        path.compare(path.size() - suffix.size(), suffix.size(), suffix) != 0)
        context_.refuse(call.id, {result_code::not_found, path});
    else if (call.method != "POST")
        context_.refuse(call.id, {result_code::method_not_allowed, ""});
    else
        accept(now, call,
               path.substr(prefix.size(),
                           path.size() - prefix.size() - suffix.size()));
    return true;
}

void request_service::accept(time_point now, const api_call& call,
                             const std::string& service)
{
    const auto& configuration = config_.current();
    if (!configuration.is_loaded())
    {
        context_.refuse(call.id, {result_code::no_configuration, ""});
        return;
    }
    const auto entry = configuration.find_service(service);
    if (!entry.queue)
    {
        context_.refuse(call.id, {result_code::not_found, service});
        return;
    }
    request_record request;
    if (!entry.queue->open)
    {
        if (const auto usable = config_.check_usable(now); !usable)
        {
            context_.refuse(call.id, usable.error());
            return;
        }
        const auto team = configuration.authenticate(call.key);
        if (!team)
        {
            context_.refuse(call.id, team.error());
            return;
        }
        const auto& allowed = entry.queue->submitters;
        if (*team != entry.owner->team &&
            std::find(allowed.begin(), allowed.end(), *team) == allowed.end())
        {
            context_.refuse(call.id, {result_code::key_wrong_team, service});
            return;
        }
        request.team = *team;
    }
    if (!executors_.serves(service))
    {
        context_.refuse(call.id, {result_code::no_backend_server, service});
        return;
    }
    auto& queue = queues_[request.team];
    if (queue.size() >= config::team_queue_capacity)
    {
        context_.refuse(call.id, {result_code::team_queue_full, ""});
        return;
    }
    std::int64_t deadline_ms =
        std::chrono::milliseconds(config::default_request_deadline).count();
    const auto asked = call.query.find("deadline_ms");
    if (asked != call.query.end())
    {
        const auto& text = asked->second;
        const auto parsed = std::from_chars(
            text.data(), text.data() + text.size(), deadline_ms);
        const auto most =
            std::chrono::milliseconds(config::max_request_deadline).count();
        if (parsed.ec != std::errc() ||
            parsed.ptr != text.data() + text.size() || deadline_ms < 1 ||
            deadline_ms > most)
        {
            context_.refuse(
                call.id,
                {result_code::bad_request,
                 fmt::format("deadline_ms must be from 1 to {}", most)});
            return;
        }
    }
    const auto idempotent = call.query.find("idempotent");
    request.id = fmt::format("{}-{}-{}", context_.identity.host,
                             context_.identity.incarnation, ++sequence_);
    request.call = call.id;
    request.service = service;
    request.body = call.body;
    request.idempotent =
        idempotent != call.query.end() && idempotent->second == "true";
    request.accepted_at = now;
    request.deadline = now + std::chrono::milliseconds(deadline_ms);
    queue.push_back(request.id);
    requests_.emplace(request.id, std::move(request));
    context_.counters.count("carobcourse_requests_accepted_total");
    dispatch(now);
}

void request_service::on_hosts(time_point now,
                               const std::vector<host_entry>& hosts)
{
    executors_.update_hosts(hosts);
    dispatch(now);
}

void request_service::on_tick(time_point now)
{
    expire(now);
    dispatch(now);
}

void request_service::expire(time_point now)
{
    std::vector<std::string> overdue;
    for (const auto& [id, request] : requests_)
    {
        if (now >= request.deadline && !request.in_flight)
            overdue.push_back(id);
    }
    for (const auto& id : overdue)
        refuse(id, {result_code::deadline_unreachable, ""});
}

void request_service::dispatch(time_point now)
{
    for (auto& [team, queue] : queues_)
    {
        while (!queue.empty())
        {
            const auto found = requests_.find(queue.front());
            if (found == requests_.end())
            {
                queue.pop_front();
                continue;
            }
            const auto executor = executors_.acquire(found->second.service);
            if (!executor)
                break;
            queue.pop_front();
            send(now, found->second, *executor);
        }
    }
}

void request_service::send(time_point, request_record& request,
                           const executor_choice& executor)
{
    request.in_flight = true;
    ++request.attempt;
    execute_request out;
    out.request = request.id;
    out.attempt = request.attempt;
    out.executor = executor.executor;
    out.address = executor.address;
    out.service = request.service;
    out.body = request.body;
    out.deadline = request.deadline;
    context_.out.emplace_back(std::move(out));
}

void request_service::on_execute_result(time_point now,
                                        const execute_result& result)
{
    executors_.release(result);
    const auto found = requests_.find(result.request);
    if (found == requests_.end() || !found->second.in_flight ||
        found->second.attempt != result.attempt)
    {
        context_.counters.count("carobcourse_late_answers_total");
        dispatch(now);
        return;
    }
    auto& request = found->second;
    const bool own_answer = result.answered_request == request.id &&
                            result.answered_attempt == request.attempt;
    if (result.status == send_status::answered && own_answer)
    {
        context_.counters.observe("carobcourse_request_seconds",
                                  now - request.accepted_at);
        finish(request.id, result.http_status, result.content_type,
               result.body);
        dispatch(now);
        return;
    }
    const bool certain = result.status == send_status::not_sent;
    if ((certain || request.idempotent) && request.attempt < max_attempts &&
        now < request.deadline)
    {
        context_.counters.count_retry(certain ? "not_sent" : "no_answer");
        request.in_flight = false;
        queues_[request.team].push_front(request.id);
    }
    else if (certain)
    {
        refuse(request.id, {result_code::backend_unreachable, ""});
    }
    else
    {
        context_.log(log_code::request_unknown, request.id);
        refuse(request.id, {result_code::outcome_unknown, ""});
    }
    dispatch(now);
}

bool request_service::on_store_result(time_point, const store_result&)
{
    return false;
}

void request_service::on_call_abandoned(const call_abandoned&) {}

void request_service::finish(const std::string& id, int http_status,
                             const std::string& content_type,
                             const std::string& body)
{
    const auto found = requests_.find(id);
    context_.out.emplace_back(
        api_reply{found->second.call, http_status, content_type, body});
    requests_.erase(found);
}

void request_service::refuse(const std::string& id, const error& why)
{
    const auto found = requests_.find(id);
    context_.refuse(found->second.call, why);
    requests_.erase(found);
}

} // namespace carobcourse
