#include "cell_front_p.hpp"

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

constexpr auto resend_period = std::chrono::milliseconds(600);
/// Age up to which counts of waiting jobs are shown.
constexpr auto count_validity = std::chrono::milliseconds(2000);
constexpr std::size_t job_id_bytes = 16;

bool is_job_id(const std::string& text)
{
    return text.size() == job_id_bytes &&
           text.find_first_not_of("0123456789abcdefABCDEF") ==
               std::string::npos;
}

const char* kind_of(caller_verb verb)
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

} // namespace

bool cell_front::is_config_fresh(time_point now) const
{
    return context_.config &&
           now <= config_confirmed_ + config::cell_key_validity;
}

void cell_front::answer(caller_answer answer)
{
    answer.close_connection = answer.close_connection || closing_;
    context_.out.emplace_back(std::move(answer));
}

void cell_front::refuse(time_point now, const caller_request& request,
                        result_code code,
                        std::optional<std::int64_t> retry_after_ms,
                        bool elsewhere)
{
    context_.counters.count_refusal(code);
    context_.log(
        log_code::cell_call_refused,
        fmt::format("path={} verb={} code={} config={} config_age_ms={}",
                    request.path, kind_of(request.verb), to_string(code),
                    context_.config ? context_.config->version() : 0,
                    (now - config_confirmed_).count() / 1000));
    caller_answer out;
    out.id = request.id;
    out.code = code;
    out.retry_after_ms = retry_after_ms;
    out.close_connection = elsewhere;
    answer(std::move(out));
}

void cell_front::refuse_here(time_point now, const caller_request& request,
                             result_code code)
{
    refuse(now, request, code, retry_after_ms(), !store_failing_);
}

std::int64_t cell_front::retry_after_ms() const
{
    return store_failing_ ? config::cell_retry_after.count() : 0;
}

void cell_front::count_waiting(time_point now, const caller_request& request,
                               const queue_config& queue)
{
    if (now > waiting_at_ + count_validity)
    {
        refuse_here(now, request, result_code::owner_unknown);
        return;
    }
    const auto found = waiting_.find(queue.name);
    caller_answer out;
    out.id = request.id;
    out.waiting_jobs = found == waiting_.end() ? 0 : found->second;
    answer(std::move(out));
}

void cell_front::finish(time_point now)
{
    finishing_ = true;
    for (auto& [id, call] : calls_)
        give_up(now, id, call,
                call.sent_to.empty() ? result_code::stopping
                                     : result_code::outcome_unknown);
    calls_.clear();
}

void cell_front::on_request(time_point now, const caller_request& request,
                            const sender& to_owner)
{
    if (finishing_)
    {
        refuse_here(now, request, result_code::stopping);
        return;
    }
    const auto retry = config::cell_retry_after.count();
    if (!context_.config)
    {
        refuse(now, request, result_code::no_configuration, retry);
        return;
    }
    const auto* queue = context_.config->find_queue(request.host, request.path);
    if (!queue)
    {
        refuse(now, request, result_code::not_found);
        return;
    }
    if (!queue->open && !is_config_fresh(now))
    {
        refuse_here(now, request, result_code::configuration_stale);
        return;
    }
    const auto* customer = context_.config->customer_of_key(request.key);
    if (!queue->open && !customer)
    {
        refuse(now, request,
               request.key.empty() ? result_code::key_missing
                                   : result_code::key_unknown);
        return;
    }
    const auto id = request.path.substr(queue->prefix.size());
    if (request.verb == caller_verb::status && id.empty())
    {
        count_waiting(now, request, *queue);
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
    json item{{"k", kind_of(request.verb)}, {"c", request.id}, {"id", id}};
    if (request.verb == caller_verb::submit)
    {
        const auto* work = request.work ? &*request.work : nullptr;
        if (!work || !*work)
        {
            refuse(now, request, result_code::bad_request);
            return;
        }
        if (check_work(**work))
        {
            refuse(now, request, result_code::bad_request);
            return;
        }
        item["q"] = queue->name;
        item["cu"] = customer ? customer->name : std::string();
        item["w"] = to_json(**work);
    }
    pending_call call;
    call.item = std::move(item);
    call.verb = request.verb;
    call.taken_at = now;
    call.deadline = request.deadline;
    send(call, to_owner);
    call.next_send = now + resend_period;
    calls_.emplace(request.id, std::move(call));
}

void cell_front::send(pending_call& call, const sender& to_owner)
{
    auto owner = to_owner(call.item);
    if (!owner.empty())
        call.sent_to = std::move(owner);
}

void cell_front::on_answer(time_point now, const std::string& from,
                           const json& item)
{
    const auto found = calls_.find(item.value("c", call_id{0}));
    if (found == calls_.end() || found->second.sent_to != from)
        return;
    caller_answer out;
    out.id = found->first;
    out.code = static_cast<result_code>(item.value("code", 0U));
    if (item.contains("retry"))
        out.retry_after_ms = item["retry"].get<std::int64_t>();
    if (item.contains("p"))
        out.phase = job_phase_from(item["p"].get<std::string>());
    context_.counters.observe("carobcourse_call_seconds",
                              now - found->second.taken_at);
    calls_.erase(found);
    answer(std::move(out));
}

void cell_front::on_abandoned(call_id id)
{
    calls_.erase(id);
}

void cell_front::resend(const sender& to_owner)
{
    for (auto& [id, call] : calls_)
        send(call, to_owner);
}

void cell_front::tick(time_point now, const sender& to_owner)
{
    std::vector<std::pair<call_id, result_code>> given_up;
    for (auto& [id, call] : calls_)
    {
        const bool sent = !call.sent_to.empty();
        if (!sent && now >= call.taken_at + config::cell_owner_patience)
            given_up.emplace_back(id, result_code::owner_unknown);
        else if (now + config::cell_answer_margin >= call.deadline)
            given_up.emplace_back(id, sent ? result_code::outcome_unknown
                                           : result_code::owner_unknown);
        else if (now >= call.next_send)
        {
            call.next_send = now + resend_period;
            send(call, to_owner);
        }
    }
    for (const auto& [id, code] : given_up)
    {
        give_up(now, id, calls_[id], code);
        calls_.erase(id);
    }
}

void cell_front::give_up(time_point now, call_id id, const pending_call& call,
                         result_code code)
{
    const bool is_unknown = code == result_code::outcome_unknown;
    context_.counters.count_refusal(code);
    context_.log(is_unknown ? log_code::cell_call_unknown
                            : log_code::cell_call_refused,
                 fmt::format("job={} verb={} code={} sent_to={} age_ms={}",
                             call.item.value("id", std::string()),
                             kind_of(call.verb), to_string(code), call.sent_to,
                             (now - call.taken_at).count() / 1000));
    caller_answer out;
    out.id = id;
    out.code = code;
    out.retry_after_ms =
        is_unknown ? config::cell_retry_after.count() : retry_after_ms();
    out.close_connection = !is_unknown && !store_failing_;
    answer(std::move(out));
}

} // namespace carobcourse
