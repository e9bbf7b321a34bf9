// Forwarding of requests to the entry host that holds their ticket or
// idempotency key.
#include <nlohmann/json.hpp>

#include "base64_p.hpp"
#include "request_service_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char leaving_message[] = "executors_leaving";

} // namespace

bool request_service::on_peer(time_point now, const peer_received& message)
{
    if (message.type != "forward_request" && message.type != "forward_answer" &&
        message.type != leaving_message)
        return false;
    try
    {
        if (message.type == "forward_request")
            on_forward_request(now, message);
        else if (message.type == leaving_message)
            on_executors_leaving(message);
        else
            on_forward_answer(message);
    }
    catch (const json::exception&)
    {
        context_.counters.count("carobcourse_forwards_malformed_total");
    }
    return true;
}

void request_service::send_forward(time_point now,
                                   const request_record& request,
                                   const std::string& host)
{
    const auto id = ++forward_sequence_;
    forwards_[id] = forward{request.reply_to.call, host, request.abandoned,
                            request.deadline};
    forward_deadlines_.emplace(request.deadline, id);
    context_.counters.count("carobcourse_requests_forwarded_total");
    context_.out.emplace_back(
        peer_send{host, "forward_request",
                  json{{"id", id},
                       {"origin", context_.identity.incarnation},
                       {"team", request.team},
                       {"service", request.service},
                       {"name", request.name},
                       {"idempotent", request.idempotent},
                       {"remaining_ms", remaining_ms(now, request.deadline)},
                       {"body", to_base64(request.body)}}
                      .dump()});
}

void request_service::on_forward_request(time_point now,
                                         const peer_received& message)
{
    const auto value = json::parse(message.body);
    request_record request;
    request.reply_to.peer = message.from;
    request.reply_to.origin = value.at("origin").get<std::string>();
    request.reply_to.forward = value.at("id").get<std::uint64_t>();
    // Ignores a duplicate delivery of the same forward.
    if (active_forwards_.count(
            {request.reply_to.origin, request.reply_to.forward}))
        return;
    request.team = value.at("team").get<std::string>();
    request.service = value.at("service").get<std::string>();
    request.name = value.at("name").get<std::string>();
    request.idempotent = value.at("idempotent").get<bool>();
    request.forwarded = true;
    request.accepted_at = now;
    request.deadline =
        now +
        std::chrono::milliseconds(std::min<std::int64_t>(
            value.at("remaining_ms").get<std::int64_t>(),
            std::chrono::milliseconds(config::max_request_deadline).count()));
    const auto body = from_base64(value.at("body").get<std::string>());
    const bool is_ticket = request.name.rfind("t:", 0) == 0;
    if (!body || request.team.empty() || request.name.size() < 3 ||
        (is_ticket && !parse_ticket(request.name.substr(2))))
    {
        context_.counters.count("carobcourse_forwards_malformed_total");
        return;
    }
    request.body = *body;
    // The forwarding host has already authorized the caller for the service.
    admit(now, std::move(request));
}

void request_service::on_forward_answer(const peer_received& message)
{
    const auto value = json::parse(message.body);
    const auto found = forwards_.find(value.at("id").get<std::uint64_t>());
    const auto body = from_base64(value.at("body").get<std::string>());
    if (value.at("origin") != context_.identity.incarnation ||
        found == forwards_.end() || found->second.to != message.from || !body)
    {
        context_.counters.count("carobcourse_answers_dropped_total", "forward");
        return;
    }
    if (!found->second.abandoned)
        context_.out.emplace_back(
            api_reply{found->second.call, value.at("status").get<int>(),
                      value.at("content_type").get<std::string>(), *body});
    forward_deadlines_.erase({found->second.deadline, found->first});
    forwards_.erase(found);
}

void request_service::announce_leaving(time_point now)
{
    if (now < next_announcement_)
        return;
    next_announcement_ = now + config::heartbeat_period;
    const auto leaving = executors_.announced_leaving();
    if (leaving.empty())
        return;
    const auto body = json{{"executors", leaving}}.dump();
    for (const auto& peer : local_entry_hosts_)
        context_.out.emplace_back(peer_send{peer, leaving_message, body});
}

void request_service::on_executors_leaving(const peer_received& message)
{
    const auto value = json::parse(message.body);
    for (const auto& executor :
         value.at("executors").get<std::vector<std::string>>())
        executors_.mark_leaving(executor);
}

void request_service::fail_forward(std::uint64_t id)
{
    const auto found = forwards_.find(id);
    const auto forward = found->second;
    forward_deadlines_.erase({forward.deadline, id});
    forwards_.erase(found);
    if (!forward.abandoned)
        context_.refuse(forward.call,
                        {result_code::outcome_unknown,
                         "no answer from entry host " + forward.to});
}

void request_service::answer(const reply_address& to, int http_status,
                             const std::string& content_type,
                             const std::string& body)
{
    if (to.peer.empty())
    {
        context_.out.emplace_back(
            api_reply{to.call, http_status, content_type, body});
        return;
    }
    if (body.size() > config::max_forwarded_answer_bytes)
    {
        context_.counters.count("carobcourse_answers_dropped_total",
                                "too_large");
        refuse(to, {result_code::outcome_unknown,
                    "the answer is too large to be forwarded"});
        return;
    }
    context_.out.emplace_back(peer_send{to.peer, "forward_answer",
                                        json{{"id", to.forward},
                                             {"origin", to.origin},
                                             {"status", http_status},
                                             {"content_type", content_type},
                                             {"body", to_base64(body)}}
                                            .dump()});
}

} // namespace carobcourse
