#include "request_service_p.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carobcourse
{

namespace
{

constexpr char ticket_prefix[] = "tk1.";
constexpr char ticket_name_prefix[] = "t:";
constexpr char key_name_prefix[] = "k:";
/// Assumed slot time of a request until its service has been measured.
constexpr auto default_cost = std::chrono::milliseconds(10);
/// Weight of a new sample in the moving average of the service time.
constexpr double sample_weight = 0.125;

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::uint64_t fingerprint(const std::string& service, const std::string& body)
{
    const auto seed = XXH3_64bits(service.data(), service.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

bool is_valid_idempotency_key(const std::string& key)
{
    return key.size() <= config::max_idempotency_key_bytes &&
           std::all_of(key.begin(), key.end(),
                       [](char c) { return c > ' ' && c <= '~' && c != '/'; });
}

} // namespace

request_service::request_service(core_context& context,
                                 const config_service& config)
    : context_(context), config_(config), executors_(context), ledger_(context),
      claims_(context), rows_(context),
      retry_credit_(config::max_saved_retries * config::requests_per_retry)
{
}

// ------------------------------------------------------------------- calls

bool request_service::on_call(time_point now, const api_call& call)
{
    const std::string prefix = "/v1/services/";
    const std::string suffix = "/requests";
    const auto& path = call.path;
    if (path == "/v1/tickets")
    {
        if (call.method == "POST")
            issue_ticket(now, call);
        else
            context_.refuse(call.id, {result_code::method_not_allowed, ""});
        return true;
    }
    if (!starts_with(path, prefix))
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

void request_service::issue_ticket(time_point now, const api_call& call)
{
    // A ticket can only be used while its issuer runs.
    if (refuse_from_)
    {
        context_.refuse(call.id, {result_code::stopping, ""});
        return;
    }
    if (const auto usable = config_.check_usable(now); !usable)
    {
        context_.refuse(call.id, usable.error());
        return;
    }
    const auto team = config_.current().authenticate(call.key);
    if (!team)
    {
        context_.refuse(call.id, team.error());
        return;
    }
    const auto valid =
        std::chrono::milliseconds(config::ticket_validity).count();
    context_.counters.count("carobcourse_tickets_issued_total");
    context_.reply(call.id, 200,
                   nlohmann::json{{"ticket", ledger_.issue_ticket(now, *team)},
                                  {"valid_ms", valid}}
                       .dump());
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
    request.reply_to.call = call.id;
    request.service = service;
    request.body = call.body;
    request.input = call.input;
    request.accepted_at = now;
    if (const auto why = check_call(call, request))
    {
        context_.refuse(call.id, *why);
        return;
    }
    // Tickets and idempotency keys belong to a team, so a request that uses one
    // must be authenticated even if the service is open.
    if (!entry.queue->open || !request.name.empty())
    {
        const auto team = authorize(call, entry);
        if (!team)
        {
            context_.refuse(call.id, team.error());
            return;
        }
        request.team = *team;
    }
    admit(now, std::move(request));
}

tl::expected<std::string, error>
request_service::authorize(const api_call& call,
                           const configuration::service_entry& entry) const
{
    auto team = config_.current().authenticate(call.key);
    if (!team || entry.queue->open || *team == entry.owner->team)
        return team;
    const auto& allowed = entry.queue->submitters;
    if (std::find(allowed.begin(), allowed.end(), *team) == allowed.end())
        return tl::make_unexpected(
            error{result_code::key_wrong_team, entry.queue->name});
    return team;
}

std::optional<error> request_service::check_call(const api_call& call,
                                                 request_record& request) const
{
    std::int64_t deadline_ms =
        std::chrono::milliseconds(config::default_request_deadline).count();
    const auto max_deadline_ms =
        std::chrono::milliseconds(config::max_request_deadline).count();
    const auto deadline_parameter = call.query.find("deadline_ms");
    if (deadline_parameter != call.query.end())
    {
        const auto& text = deadline_parameter->second;
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, deadline_ms);
        if (parsed.ec != std::errc() || parsed.ptr != end || deadline_ms < 1 ||
            deadline_ms > max_deadline_ms)
            return error{result_code::bad_request,
                         fmt::format("deadline_ms must be from 1 to {}",
                                     max_deadline_ms)};
    }
    request.deadline =
        request.accepted_at + std::chrono::milliseconds(deadline_ms);
    const auto idempotent = call.query.find("idempotent");
    request.idempotent =
        idempotent != call.query.end() && idempotent->second == "true";
    const auto& key = call.idempotency_key;
    // A header with an empty key is an error, not a missing key: the caller
    // relies on at most one run.
    if (key.empty() && call.headers.count("idempotency-key") == 0)
        return std::nullopt;
    if (key.empty() || !is_valid_idempotency_key(key))
        return error{result_code::bad_request,
                     "Idempotency-Key must be 1 to 128 visible characters "
                     "without '/'"};
    const bool is_ticket = starts_with(key, ticket_prefix);
    if (is_ticket && !parse_ticket(key))
        return error{result_code::ticket_invalid, ""};
    request.name = (is_ticket ? ticket_name_prefix : key_name_prefix) + key;
    return std::nullopt;
}

void request_service::refuse_unaccepted(const request_record& request,
                                        const error& why)
{
    bool may_have_run = false;
    if (starts_with(request.name, ticket_name_prefix))
    {
        const auto ticket = parse_ticket(request.name.substr(2));
        may_have_run = !ledger_.is_own_ticket(*ticket, request.team) ||
                       ledger_.may_have_run(request.team, request.name);
    }
    else if (!request.name.empty())
    {
        may_have_run = ledger_.may_have_run(request.team, request.name);
    }
    if (may_have_run && info(why.code).ran_state == ran::not_run)
        refuse(request.reply_to,
               {result_code::outcome_unknown,
                fmt::format("not run again: {}", to_string(why.code))});
    else
        refuse(request.reply_to, why);
}

void request_service::admit(time_point now, request_record request)
{
    if (refuse_from_ && now >= *refuse_from_)
    {
        refuse_unaccepted(request, {result_code::stopping, ""});
        return;
    }
    if (!request.team.empty())
    {
        if (const auto usable = config_.check_usable(now); !usable)
        {
            refuse_unaccepted(request, usable.error());
            return;
        }
    }
    request_ledger::begin_result begun;
    if (!request.name.empty())
    {
        if (!check_ticket(now, request))
            return;
        const auto fresh = begin(now, request);
        if (!fresh)
            return;
        begun = *fresh;
    }
    if (const auto why = check_capacity(now, request))
    {
        ledger_.mark_not_run(request.team, request.name);
        refuse(request.reply_to, *why);
        return;
    }
    const auto entry = config_.current().find_service(request.service);
    request.priority = entry.queue ? entry.queue->priority : 0;
    request.sequence = ++sequence_;
    request.id = fmt::format("{}-{}-{}", context_.identity.host,
                             context_.identity.incarnation, request.sequence);
    request.cost =
        std::max(expected_time(now, request.service).value_or(default_cost),
                 duration(1));
    request.current_stage = stage::claiming;
    ++waiting_by_team_[request.team];
    deadlines_.emplace(request.deadline, request.id);
    if (request.reply_to.peer.empty())
        request_by_call_[request.reply_to.call] = request.id;
    else
        active_forwards_.emplace(request.reply_to.origin,
                                 request.reply_to.forward);
    retry_credit_ = std::min(retry_credit_ + 1, config::max_saved_retries *
                                                    config::requests_per_retry);
    context_.counters.count("carobcourse_requests_accepted_total");
    const auto id = request.id;
    auto& accepted = requests_.emplace(id, std::move(request)).first->second;
    if (starts_with(accepted.name, key_name_prefix))
    {
        claims_.add({id, accepted.team + "/" + accepted.name.substr(2),
                     begun.claim, begun.use});
        claims_.flush();
        return;
    }
    enqueue(accepted);
    dispatch(now);
}

bool request_service::check_ticket(time_point now,
                                   const request_record& request)
{
    const bool known = ledger_.contains(request.team, request.name);
    if (!starts_with(request.name, ticket_name_prefix))
    {
        // A key is forwarded to the host that claimed its row. If that host has
        // no entry for it, the entry was removed and the outcome is unknown.
        if (!request.forwarded || known)
            return true;
        refuse(request.reply_to,
               {result_code::outcome_unknown,
                "the host that holds the idempotency key has no "
                "record of the request"});
        return false;
    }
    const auto ticket = parse_ticket(request.name.substr(2));
    if (ticket->incarnation != context_.identity.incarnation)
    {
        if (request.forwarded || ticket->host == context_.identity.host)
            refuse(request.reply_to,
                   {result_code::outcome_unknown,
                    "the process that issued the ticket has ended"});
        else
            send_forward(now, request, ticket->host);
        return false;
    }
    if (!ledger_.is_own_ticket(*ticket, request.team))
    {
        refuse(request.reply_to, {result_code::ticket_invalid, ""});
        return false;
    }
    // The entry of an expired ticket may have been removed, so a missing entry
    // does not mean that the request has not run.
    if (!known && now >= request_ledger::expiry_of(*ticket))
    {
        refuse(request.reply_to,
               {result_code::outcome_unknown, "the ticket has expired"});
        return false;
    }
    return true;
}

std::optional<request_ledger::begin_result>
request_service::begin(time_point now, const request_record& request)
{
    auto expires = now + config::idempotency_memory;
    if (starts_with(request.name, ticket_name_prefix))
        expires =
            request_ledger::expiry_of(*parse_ticket(request.name.substr(2)));
    const auto begun =
        ledger_.begin(request.team, request.name,
                      fingerprint(request.service, request.body), expires);
    switch (begun.verdict)
    {
    case ledger_verdict::fresh:
        return begun;
    case ledger_verdict::recorded:
        context_.counters.count("carobcourse_repeats_answered_total");
        answer(request.reply_to, begun.answer->http_status,
               begun.answer->content_type, begun.answer->body);
        break;
    case ledger_verdict::in_progress:
        refuse(request.reply_to, {result_code::request_in_progress, ""});
        break;
    case ledger_verdict::unknown:
        refuse(request.reply_to, {result_code::outcome_unknown, ""});
        break;
    case ledger_verdict::mismatch:
        refuse(request.reply_to, {result_code::idempotency_mismatch, ""});
        break;
    case ledger_verdict::full:
        refuse(request.reply_to, {result_code::ledger_full, ""});
        break;
    }
    return std::nullopt;
}

std::optional<error>
request_service::check_capacity(time_point now,
                                const request_record& request) const
{
    if (!executors_.serves(request.service))
        return error{result_code::no_backend_server, request.service};
    const auto waiting = waiting_by_team_.find(request.team);
    if (waiting != waiting_by_team_.end() &&
        waiting->second >= config::team_queue_capacity)
        return error{result_code::team_queue_full, ""};
    const auto expected = expected_time(now, request.service);
    if (!expected)
        return std::nullopt;
    const auto entry = config_.current().find_service(request.service);
    const auto ahead = queue_.min_requests_ahead(
        request.team, request.service, entry.queue ? entry.queue->priority : 0,
        request.deadline);
    const auto rounds = static_cast<std::int64_t>(
        1 + ahead / executors_.usable_slots(now, request.service));
    if (now + *expected * rounds <= request.deadline)
        return std::nullopt;
    return error{
        result_code::deadline_unreachable,
        fmt::format("expected to take {} ms, past the deadline",
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        *expected * rounds)
                        .count())};
}

std::int64_t request_service::weight_of(const std::string& team) const
{
    const auto* document =
        team.empty() ? nullptr : config_.current().find_team(team);
    return document ? document->weight : 1;
}

// ------------------------------------------------------------------- queue

queued_request request_service::queue_item(const request_record& request) const
{
    return {request.priority, request.deadline, request.sequence,
            request.id,       request.service,  request.cost};
}

void request_service::set_stage(request_record& request, stage next)
{
    const auto is_waiting = [](stage s)
    { return s != stage::in_flight && s != stage::ended; };
    if (is_waiting(request.current_stage) && !is_waiting(next))
    {
        const auto found = waiting_by_team_.find(request.team);
        if (--found->second == 0)
            waiting_by_team_.erase(found);
    }
    else if (!is_waiting(request.current_stage) && is_waiting(next))
    {
        ++waiting_by_team_[request.team];
    }
    request.current_stage = next;
}

void request_service::enqueue(request_record& request)
{
    set_stage(request, stage::queued);
    queue_.push(request.team, weight_of(request.team), queue_item(request));
}

void request_service::dispatch(time_point now)
{
    while (!delayed_.empty() && delayed_.begin()->first <= now)
    {
        const auto id = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        enqueue(requests_.at(id));
    }
    queue_.drain([this, now](const queued_request& item)
                 { return try_dispatch(now, item); });
}

bool request_service::try_dispatch(time_point now, const queued_request& item)
{
    auto& request = requests_.at(item.id);
    const auto expected = expected_time(now, request.service);
    if (now + expected.value_or(duration(1)) > request.deadline)
    {
        set_stage(request, stage::ended);
        refuse(request, {result_code::deadline_unreachable, ""});
        return true;
    }
    const auto executor = executors_.acquire(
        now, {request.id, request.attempt + 1, request.service,
              request.last_executor, request.idempotent});
    if (!executor)
        return false;
    send(now, request, *executor);
    return true;
}

void request_service::send(time_point now, request_record& request,
                           const executor_choice& executor)
{
    set_stage(request, stage::in_flight);
    ++request.attempt;
    request.sent_at = now;
    request.last_executor = executor.executor;
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

void request_service::expire_deadlines(time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        auto& request = requests_.at(deadlines_.begin()->second);
        refuse(request, {result_code::deadline_unreachable, ""});
    }
    while (!forward_deadlines_.empty() &&
           forward_deadlines_.begin()->first <= now)
        fail_forward(forward_deadlines_.begin()->second);
}

void request_service::record_service_time(time_point now,
                                          const request_record& request)
{
    auto& known = service_times_[request.service];
    const auto taken = static_cast<double>((now - request.sent_at).count());
    if (known.samples == 0 || now - known.last > config::service_time_validity)
        known = {taken, 0, now};
    known.mean_us += sample_weight * (taken - known.mean_us);
    known.last = now;
    ++known.samples;
}

std::optional<duration>
request_service::expected_time(time_point now, const std::string& service) const
{
    // Ignores old measurements: after a slow period they would refuse every
    // request with a short deadline, and no new measurement would be made.
    const auto found = service_times_.find(service);
    if (found == service_times_.end() ||
        found->second.samples < config::service_time_samples ||
        now - found->second.last > config::service_time_validity)
        return std::nullopt;
    return duration(static_cast<std::int64_t>(found->second.mean_us));
}

// ------------------------------------------------------------------ results

void request_service::on_execute_result(time_point now,
                                        const execute_result& result)
{
    const auto found = requests_.find(result.request);
    const bool is_current = found != requests_.end() &&
                            found->second.current_stage == stage::in_flight &&
                            found->second.attempt == result.attempt;
    const bool timed_out = !is_current || now >= found->second.deadline;
    const bool outstanding = executors_.release(now, result, timed_out);
    if (!outstanding || !is_current)
    {
        context_.counters.count("carobcourse_answers_dropped_total",
                                outstanding ? "late" : "duplicate");
        dispatch(now);
        return;
    }
    auto& request = found->second;
    const bool is_matching_answer = result.answered_request == request.id &&
                                    result.answered_attempt == request.attempt;
    if (result.no_slot)
    {
        // Not charged to the retry budget: the pool pauses the server, which
        // limits the rate of these retries.
        context_.counters.count_retry("no_slot");
        enqueue(request);
    }
    else if (result.status == send_status::answered && is_matching_answer)
    {
        record_service_time(now, request);
        context_.counters.observe("carobcourse_request_seconds",
                                  now - request.accepted_at);
        finish(request, result);
    }
    else
    {
        if (result.status == send_status::answered)
        {
            context_.counters.count("carobcourse_answers_dropped_total",
                                    "foreign");
            context_.log(log_code::answer_dropped, request.id);
        }
        on_failed_attempt(now, request, result.status == send_status::not_sent);
    }
    dispatch(now);
}

void request_service::on_failed_attempt(time_point now, request_record& request,
                                        bool certainly_not_run)
{
    ++request.failed_attempts;
    request.may_have_run = request.may_have_run || !certainly_not_run;
    // Leaves `in_flight`, so that `refuse` decides by `may_have_run` alone.
    set_stage(request, stage::delayed);
    if (request.may_have_run && !request.idempotent)
    {
        refuse(request, {result_code::outcome_unknown, ""});
        return;
    }
    if (request.failed_attempts >= config::max_failed_attempts)
    {
        refuse(request, {result_code::backend_unreachable, ""});
        return;
    }
    if (!consume_retry_credit())
    {
        refuse(request, {result_code::retry_budget_spent, ""});
        return;
    }
    context_.counters.count_retry(certainly_not_run ? "not_sent" : "no_answer");
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    const auto wait = duration(config::retry_backoff) *
                      (1U << (request.failed_attempts - 1)) *
                      jitter(context_.random);
    request.ready_at = now + std::chrono::duration_cast<duration>(wait);
    delayed_.emplace(request.ready_at, request.id);
}

bool request_service::consume_retry_credit()
{
    if (retry_credit_ < config::requests_per_retry)
        return false;
    retry_credit_ -= config::requests_per_retry;
    return true;
}

void request_service::on_tick(time_point now)
{
    expire_deadlines(now);
    ledger_.expire(now);
    claims_.flush();
    announce_leaving(now);
    if (!refuse_from_)
        rows_.on_tick(now);
    dispatch(now);
}

void request_service::on_hosts(time_point now,
                               const std::vector<host_entry>& hosts)
{
    executors_.update_hosts(now, hosts);
    const host_entry* scan_host = nullptr;
    local_entry_hosts_.clear();
    for (const auto& host : hosts)
    {
        if (host.kind == host_kind::entry &&
            host.data_centre == context_.identity.data_centre &&
            host.id != context_.identity.host)
            local_entry_hosts_.push_back(host.id);
        if (host.kind == host_kind::entry && host.state == host_state::live &&
            (!scan_host || host.id < scan_host->id))
            scan_host = &host;
    }
    rows_.set_scanning(scan_host && scan_host->id == context_.identity.host);
    dispatch(now);
}

void request_service::on_store_result(time_point now,
                                      const store_result& result)
{
    if (rows_.on_store_result(now, result))
        return;
    for (const auto& outcome : claims_.on_store_result(result))
        on_claim(now, outcome);
    claims_.flush();
    dispatch(now);
}

void request_service::on_claim(time_point now, const claim_outcome& outcome)
{
    if (outcome.status == claim_status::taken && outcome.version > 0)
        rows_.add_own_row(now, outcome.key, outcome.version);
    const auto found = requests_.find(outcome.request);
    if (found == requests_.end() ||
        found->second.current_stage != stage::claiming)
        return;
    auto& request = found->second;
    switch (outcome.status)
    {
    case claim_status::taken:
        enqueue(request);
        break;
    case claim_status::held_by_other:
        if (request.forwarded || outcome.holder.empty() ||
            outcome.holder == context_.identity.host)
        {
            refuse(request, {result_code::outcome_unknown,
                             "the process that claimed the idempotency key has "
                             "ended"});
            break;
        }
        ledger_.mark_not_run(request.team, request.name);
        send_forward(now, request, outcome.holder);
        remove(request);
        break;
    case claim_status::unavailable:
        refuse(request, {result_code::store_unavailable,
                         "the idempotency key could not be stored; a ticket "
                         "from POST /v1/tickets needs no stored row"});
        break;
    }
}

void request_service::on_call_abandoned(const call_abandoned& call)
{
    for (auto& [id, forward] : forwards_)
        forward.abandoned = forward.abandoned || forward.call == call.id;
    const auto found = request_by_call_.find(call.id);
    if (found == request_by_call_.end())
        return;
    auto& request = requests_.at(found->second);
    request.abandoned = true;
    context_.counters.count("carobcourse_calls_abandoned_total");
    // A request that may have run continues if it has a ticket or key, since
    // the caller may repeat the call to get the answer. A request that has
    // certainly not run is dropped, and a repeat may run it.
    if (request.current_stage == stage::in_flight ||
        (request.may_have_run && !request.name.empty()))
        return;
    context_.counters.count("carobcourse_calls_abandoned_dropped_total");
    ledger_.mark_not_run(request.team, request.name);
    remove(request);
}

// --------------------------------------------------------------------- stop

void request_service::stop(time_point refuse_from)
{
    refuse_from_ = refuse_from;
}

std::size_t request_service::answer_remaining()
{
    const auto count = requests_.size() + forwards_.size();
    while (!requests_.empty())
        refuse(requests_.begin()->second, {result_code::stopping, ""});
    while (!forwards_.empty())
        fail_forward(forwards_.begin()->first);
    return count;
}

// ------------------------------------------------------------------ answers

void request_service::finish(request_record& request,
                             const execute_result& result)
{
    if (!request.name.empty())
        ledger_.record(request.team, request.name,
                       {result.http_status, result.content_type, result.body});
    if (!request.abandoned)
        answer(request.reply_to, result.http_status, result.content_type,
               result.body);
    remove(request);
}

void request_service::refuse(request_record& request, error why)
{
    if ((request.may_have_run || request.current_stage == stage::in_flight) &&
        info(why.code).ran_state == ran::not_run)
        why = {result_code::outcome_unknown, to_string(why.code)};
    const bool not_run = info(why.code).ran_state == ran::not_run;
    if (!not_run)
        context_.log(log_code::request_unknown, request.id);
    if (not_run)
        ledger_.mark_not_run(request.team, request.name);
    else
        ledger_.mark_unknown(request.team, request.name);
    if (!request.abandoned)
        refuse(request.reply_to, why);
    remove(request);
}

void request_service::remove(const request_record& request)
{
    const auto found = requests_.find(request.id);
    auto& record = found->second;
    if (record.current_stage == stage::queued)
        queue_.remove(record.team, queue_item(record));
    if (record.current_stage == stage::delayed)
        delayed_.erase({record.ready_at, record.id});
    set_stage(record, stage::ended);
    deadlines_.erase({record.deadline, record.id});
    if (record.reply_to.peer.empty())
        request_by_call_.erase(record.reply_to.call);
    else
        active_forwards_.erase(
            {record.reply_to.origin, record.reply_to.forward});
    requests_.erase(found);
}

void request_service::refuse(const reply_address& to, const error& why)
{
    context_.counters.count_refusal(why.code);
    answer(to, info(why.code).http_status, "application/json", error_body(why));
}

} // namespace carobcourse
