#include "entry_host_p.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobcourse
{

entry_host::entry_host(host_identity identity, std::uint64_t seed,
                       entropy_source& entropy)
    : context_(std::move(identity), seed, entropy), config_(context_),
      members_(context_, config_), requests_(context_, config_),
      shards_(context_, config_)
{
}

effects entry_host::handle(time_point now, const event& input)
{
    context_.out.clear();
    std::visit([&](const auto& each) { on_event(now, each); }, input);
    return std::exchange(context_.out, {});
}

void entry_host::on_event(time_point now, const timer_tick&)
{
    if (!host_list_in_flight_ && now >= next_host_list_)
    {
        next_host_list_ = now + config::host_list_poll_period;
        host_list_in_flight_ = true;
        context_.out.emplace_back(list_hosts{});
    }
    members_.on_tick(now);
    config_.on_tick(now);
    shards_.on_tick(now);
    requests_.on_tick(now);
    check_drained(now);
}

void entry_host::on_event(time_point now, const api_call& call)
{
    if (call.path == "/healthz" || call.path == "/readyz")
    {
        answer_health(now, call);
        return;
    }
    if (call.path == "/metrics")
    {
        context_.out.emplace_back(api_reply{call.id, 200,
                                            "text/plain; version=0.0.4",
                                            context_.counters.render()});
        return;
    }
    // Handled before the check for a stop: the request service refuses calls
    // itself, since a repeat must not be answered "not run" if the request may
    // have run.
    if (requests_.on_call(now, call))
        return;
    if (stopping_ && now >= refuse_from_)
    {
        context_.refuse(call.id, {result_code::stopping, ""});
        return;
    }
    if (shards_.on_call(now, call) || config_.on_call(now, call))
        return;
    context_.refuse(call.id, {result_code::not_found, call.path});
}

void entry_host::answer_health(time_point now, const api_call& call)
{
    const bool ready = !stopping_ && hosts_known_ &&
                       config_.current().is_loaded() &&
                       !shards_.shard_count_differs();
    const bool healthy = call.path == "/healthz" || ready;
    context_.reply(
        call.id, healthy ? 200 : 503,
        nlohmann::json{{"host", context_.identity.host},
                       {"data_centre", context_.identity.data_centre},
                       {"ready", ready},
                       {"stopping", stopping_},
                       {"shards_differ", shards_.shard_count_differs()},
                       {"config_version", config_.current().version()},
                       {"config_fresh", config_.is_fresh(now)}}
            .dump());
}

void entry_host::on_event(time_point, const call_abandoned& call)
{
    requests_.on_call_abandoned(call);
}

void entry_host::on_event(time_point now, const store_result& result)
{
    switch (result.op.owner)
    {
    case component::config:
        config_.on_store_result(now, result);
        break;
    case component::members:
        members_.on_store_result(now, result);
        break;
    case component::requests:
        requests_.on_store_result(now, result);
        break;
    default:
        shards_.on_store_result(now, result);
        break;
    }
    check_drained(now);
}

void entry_host::on_event(time_point now, const host_list_result& result)
{
    host_list_in_flight_ = false;
    if (!result.ok)
    {
        context_.counters.count("carobcourse_host_list_failures_total");
        return;
    }
    hosts_known_ = true;
    members_.on_hosts(result.hosts);
    shards_.on_hosts(now, result.hosts);
    requests_.on_hosts(now, result.hosts);
}

void entry_host::on_event(time_point now, const worker_result& result)
{
    shards_.on_worker_result(now, result);
}

void entry_host::on_event(time_point now, const execute_result& result)
{
    requests_.on_execute_result(now, result);
    check_drained(now);
}

void entry_host::on_event(time_point now, const peer_received& message)
{
    if (requests_.on_peer(now, message))
        check_drained(now);
    else
        members_.on_message(now, message);
}

void entry_host::on_event(time_point, const peer_state& state)
{
    members_.on_peer_state(state);
}

void entry_host::on_event(time_point, const peer_refusals& refusals)
{
    count_refusals("carobcourse_peer_refusals_total", log_code::peer_refused,
                   refusals.counts);
}

void entry_host::on_event(time_point, const input_refusals& refusals)
{
    count_refusals("carobcourse_input_refusals_total", log_code::input_refused,
                   refusals.counts);
}

void entry_host::count_refusals(
    const std::string& metric, log_code code,
    const std::map<std::string, std::uint64_t>& counts)
{
    std::string detail;
    for (const auto& [reason, count] : counts)
    {
        context_.counters.count(metric, reason, count);
        detail +=
            fmt::format("{}{}={}", detail.empty() ? "" : " ", reason, count);
    }
    context_.log(code, detail);
}

void entry_host::on_event(time_point now, const stop_request&)
{
    if (stopping_)
        return;
    constexpr auto refusal_delay = std::chrono::seconds(1);
    stopping_ = true;
    refuse_from_ = now + refusal_delay;
    drain_deadline_ = now + context_.identity.drain_deadline;
    context_.log(log_code::stop_requested, "");
    requests_.stop(refuse_from_);
    shards_.stop(now);
}

bool entry_host::is_drained() const
{
    return requests_.is_drained() && shards_.is_drained() &&
           config_.is_drained();
}

void entry_host::check_drained(time_point now)
{
    if (!stopping_ || stopped_ || now < refuse_from_)
        return;
    const bool drained = is_drained();
    if (!drained && now < drain_deadline_)
        return;
    members_.leave(now);
    if (!members_.has_left(now))
        return;
    if (!drained)
    {
        context_.log(log_code::drain_deadline, "");
        if (const auto unfinished = requests_.answer_remaining();
            unfinished > 0)
            context_.log(log_code::requests_cut, std::to_string(unfinished));
    }
    stopped_ = true;
    context_.out.emplace_back(stop_complete{});
}

} // namespace carobcourse
