#include "cell_frontend_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

#include "cell_codec_p.hpp"
#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Time after which a call without an answer is sent to the owner again; it
/// doubles with each repetition, so that a busy owner is not flooded.
constexpr auto resend_period = std::chrono::milliseconds(600);
/// Length of a job id in hexadecimal digits.
constexpr std::size_t job_id_bytes = 16;
/// Longest time for which a call is held until a newer configuration arrives.
constexpr auto max_hold_time = std::chrono::milliseconds(300);

bool is_job_id(const std::string& text)
{
    return text.size() == job_id_bytes &&
           text.find_first_not_of("0123456789abcdefABCDEF") ==
               std::string::npos;
}

/// Value of the field "k" of the item that carries a call to the owner.
const char* item_kind_of(caller_verb verb)
{
    switch (verb)
    {
    case caller_verb::submit:
        return "submit";
    case caller_verb::cancel:
        return "cancel";
    case caller_verb::status:
    case caller_verb::other:
        break;
    }
    return "status";
}

/// Returns the description of the submitted job as the owner stores it, or why
/// the job can not be accepted by any host.
tl::expected<std::string, error> describe_work(const caller_request& request)
{
    if (!request.work)
        return tl::make_unexpected(error{result_code::bad_request, ""});
    const auto& work = *request.work;
    if (!work)
        return tl::make_unexpected(work.error());
    if (auto why = validate_job(*work))
        return tl::make_unexpected(*std::move(why));
    auto text = to_json(*work).dump();
    if (text.size() > config::cell_max_entry_bytes)
        return tl::make_unexpected(
            error{result_code::bad_request,
                  fmt::format("the job takes {} bytes in a row, expected at "
                              "most {}",
                              text.size(), config::cell_max_entry_bytes)});
    return text;
}

} // namespace

void cell_frontend::answer(caller_answer answer)
{
    answer.close_connection = answer.close_connection || connections_closing_;
    context_.effects.emplace_back(std::move(answer));
}

void cell_frontend::refuse(time_point now, const caller_request& request,
                           result_code code,
                           std::optional<std::int64_t> retry_after_ms,
                           bool close_connection)
{
    context_.counters.count_refusal(code);
    context_.log(
        log_code::cell_call_refused,
        fmt::format("path={} verb={} code={} config={} config_known={} "
                    "config_age_ms={} confirmed_by={}",
                    request.path, item_kind_of(request.verb), to_string(code),
                    config_.version(), config_.known_version(),
                    (now - config_.confirmed_at()).count() / 1000,
                    config_.confirmed_by()));
    caller_answer reply;
    reply.id = request.id;
    reply.code = code;
    reply.retry_after_ms = retry_after_ms;
    reply.close_connection = close_connection;
    answer(std::move(reply));
}

void cell_frontend::refuse_submission(time_point now,
                                      const caller_request& request,
                                      const error& why)
{
    context_.counters.count_refusal(why.code);
    context_.counters.count("carobcourse_submissions_invalid_total");
    context_.log_limited(now, log_code::cell_submission_invalid,
                         fmt::format("path={} {}", request.path, why.detail));
    caller_answer reply;
    reply.id = request.id;
    reply.code = why.code;
    reply.detail = why.detail;
    answer(std::move(reply));
}

void cell_frontend::refuse_locally(time_point now,
                                   const caller_request& request,
                                   result_code code)
{
    refuse(now, request, code, retry_after_ms(), !store_failing_);
}

void cell_frontend::refuse_by_config(time_point now,
                                     const caller_request& request,
                                     result_code code)
{
    if (config_.is_confirmed(now, config::cell_max_refusal_config_age))
        refuse(now, request, code);
    else
        refuse_locally(now, request, result_code::configuration_stale);
}

std::int64_t cell_frontend::retry_after_ms() const
{
    return store_failing_ ? config::cell_retry_after.count() : 0;
}

void cell_frontend::answer_waiting_count(time_point now,
                                         const caller_request& request,
                                         const queue_config& queue)
{
    const auto age_ms =
        (now - waiting_counts_.as_of) / std::chrono::milliseconds(1);
    if (now > waiting_counts_.as_of + config::cell_max_waiting_count_age)
    {
        context_.counters.count("carobcourse_waiting_counts_refused_total");
        context_.log(log_code::cell_count_refused,
                     fmt::format("queue={} age_ms={} epoch={}", queue.name,
                                 age_ms, waiting_counts_.epoch));
        refuse_locally(now, request, result_code::owner_unknown);
        return;
    }
    const auto found = waiting_counts_.by_queue.find(queue.name);
    caller_answer reply;
    reply.id = request.id;
    reply.waiting_jobs =
        found == waiting_counts_.by_queue.end() ? 0 : found->second;
    context_.log(log_code::cell_count_answered,
                 fmt::format("queue={} waiting={} age_ms={} epoch={}",
                             queue.name, *reply.waiting_jobs, age_ms,
                             waiting_counts_.epoch));
    answer(std::move(reply));
}

void cell_frontend::shut_down(time_point now)
{
    shut_down_ = true;
    for (auto& [id, call] : calls_)
        fail_call(now, id, call,
                  call.sent_to.empty() ? result_code::stopping
                                       : result_code::outcome_unknown);
    calls_.clear();
    for (const auto& held : std::exchange(held_calls_, {}))
        refuse_locally(now, held.request, result_code::stopping);
}

void cell_frontend::release_held(time_point now, const sender& send_to_owner)
{
    if (config_.is_superseded())
        return;
    for (const auto& held : std::exchange(held_calls_, {}))
        on_request(now, held.request, send_to_owner);
}

void cell_frontend::on_request(time_point now, const caller_request& request,
                               const sender& send_to_owner)
{
    if (shut_down_)
    {
        refuse_locally(now, request, result_code::stopping);
        return;
    }
    const auto retry = config::cell_retry_after.count();
    if (!context_.config)
    {
        refuse(now, request, result_code::no_configuration, retry);
        return;
    }
    if (config_.is_superseded())
    {
        context_.counters.count("carobcourse_calls_held_total");
        held_calls_.push_back(
            {request, std::min<time_point>(now + max_hold_time,
                                           request.deadline -
                                               config::cell_answer_margin)});
        return;
    }
    const auto* queue =
        context_.config->find_queue_by_path(request.host, request.path);
    if (!queue)
    {
        refuse_by_config(now, request, result_code::not_found);
        return;
    }
    if (!queue->allows_anonymous &&
        !config_.has_followed_store(now, config::cell_max_config_age))
    {
        refuse_locally(now, request, result_code::configuration_stale);
        return;
    }
    const auto* customer = context_.config->find_customer_by_key(request.key);
    if (!queue->allows_anonymous && !customer)
    {
        refuse_by_config(now, request,
                         request.key.empty() ? result_code::key_missing
                                             : result_code::key_unknown);
        return;
    }
    const auto id = request.path.substr(queue->prefix.size());
    if (request.verb == caller_verb::status && id.empty())
    {
        answer_waiting_count(now, request, *queue);
        return;
    }
    if (request.verb == caller_verb::other)
    {
        refuse(now, request, result_code::method_not_allowed);
        return;
    }
    if (!is_job_id(id))
    {
        refuse(now, request,
               request.verb == caller_verb::submit ? result_code::bad_request
                                                   : result_code::job_unknown);
        return;
    }
    json item{{"k", item_kind_of(request.verb)},
              {"c", context_.number_of(request.id)},
              {"id", id}};
    if (request.verb == caller_verb::submit)
    {
        auto description = describe_work(request);
        if (!description)
        {
            refuse_submission(now, request, description.error());
            return;
        }
        item["q"] = queue->name;
        item["cu"] = customer ? customer->name : std::string();
        // As text, so that an owner that refuses the job need not read it.
        item["w"] = *std::move(description);
        item["cv"] = config_.version();
    }
    pending_call call;
    call.item = std::move(item);
    call.verb = request.verb;
    call.received_at = now;
    call.deadline = request.deadline;
    call.input = request.input;
    send(call, send_to_owner);
    call.next_send_at = now + resend_period;
    calls_.emplace(request.id, std::move(call));
}

void cell_frontend::send(pending_call& call, const sender& send_to_owner)
{
    auto owner = send_to_owner(call.item);
    if (!owner.empty())
        call.sent_to = std::move(owner);
}

void cell_frontend::on_answer(time_point now, const std::string& from,
                              const json& item)
{
    const auto found = calls_.find(
        context_.call_with_number(item.value("c", std::uint64_t{0})));
    if (found == calls_.end() || found->second.sent_to != from)
        return;
    caller_answer reply;
    reply.id = found->first;
    reply.code = static_cast<result_code>(item.value("code", 0U));
    if (item.contains("retry"))
        reply.retry_after_ms = item["retry"].get<std::int64_t>();
    if (item.contains("p"))
        reply.phase = parse_job_phase(item["p"].get<std::string>());
    context_.counters.observe("carobcourse_call_seconds",
                              now - found->second.received_at);
    calls_.erase(found);
    answer(std::move(reply));
}

void cell_frontend::on_abandoned(call_id id)
{
    calls_.erase(id);
    held_calls_.erase(std::remove_if(held_calls_.begin(), held_calls_.end(),
                                     [id](const held_call& held)
                                     { return held.request.id == id; }),
                      held_calls_.end());
}

void cell_frontend::resend(const sender& send_to_owner)
{
    for (auto& [id, call] : calls_)
        send(call, send_to_owner);
}

void cell_frontend::tick(time_point now, const sender& send_to_owner)
{
    for (auto& held : std::exchange(held_calls_, {}))
    {
        if (now < held.deadline)
            held_calls_.push_back(std::move(held));
        else
            refuse_locally(now, held.request, result_code::configuration_stale);
    }
    std::vector<std::pair<call_id, result_code>> failed_calls;
    for (auto& [id, call] : calls_)
    {
        const bool sent = !call.sent_to.empty();
        if (!sent && now >= call.received_at + config::cell_owner_wait_timeout)
            failed_calls.emplace_back(id, result_code::owner_unknown);
        else if (now + config::cell_answer_margin >= call.deadline)
            failed_calls.emplace_back(id, sent ? result_code::outcome_unknown
                                               : result_code::owner_unknown);
        else if (!sent)
            send(call, send_to_owner);
        else if (now >= call.next_send_at)
        {
            call.next_send_at = now + (now - call.received_at);
            send(call, send_to_owner);
        }
    }
    for (const auto& [id, code] : failed_calls)
    {
        fail_call(now, id, calls_[id], code);
        calls_.erase(id);
    }
}

void cell_frontend::fail_call(time_point now, call_id id,
                              const pending_call& call, result_code code)
{
    const bool is_outcome_unknown = code == result_code::outcome_unknown;
    context_.counters.count_refusal(code);
    context_.log(is_outcome_unknown ? log_code::cell_call_unknown
                                    : log_code::cell_call_refused,
                 fmt::format("job={} verb={} code={} sent_to={} age_ms={}",
                             call.item.value("id", std::string()),
                             item_kind_of(call.verb), to_string(code),
                             call.sent_to,
                             (now - call.received_at).count() / 1000));
    caller_answer reply;
    reply.id = id;
    reply.code = code;
    reply.retry_after_ms = is_outcome_unknown ? config::cell_retry_after.count()
                                              : retry_after_ms();
    reply.close_connection = !is_outcome_unknown && !store_failing_;
    answer(std::move(reply));
}

} // namespace carobcourse
