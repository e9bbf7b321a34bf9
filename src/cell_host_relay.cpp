// The part of cell_host that makes calls to workers for the owner.
#include "cell_host_p.hpp"

#include <algorithm>

#include "cell_codec_p.hpp"
#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// The clocks of two hosts differ in rate by one in this many at most.
constexpr std::int64_t clock_rate_error_divisor = 1000;

} // namespace

/// The reading was made before the answer arrived, so the difference is a lower
/// bound. An answer that was held up gives a low one; the best one counts.
void cell_host::read_member_clock(time_point now, member& member,
                                  const json& item)
{
    const auto reading = item.find("t");
    member.clock_us.reset();
    if (reading == item.end() || !reading->is_number_integer())
        return;
    member.clock_us = reading->get<std::int64_t>();
    const auto offset = *member.clock_us - now.time_since_epoch().count();
    const auto age = (now - member.last_ack_at).count();
    member.clock_offset_us =
        member.clock_offset_us
            ? std::max(offset,
                       *member.clock_offset_us - age / clock_rate_error_divisor)
            : offset;
}

/// A host that goes on after a pause finds calls that have waited for it. Their
/// owner has given them up, and workers may have restarted since. The deadline
/// is on this host's clock, which counts the time for which the machine was
/// suspended, so nothing needs to be known of the owner.
void cell_host::relay_call(time_point now, const std::string& from,
                           const json& item)
{
    auto call = worker_call_from_json(item.at("v"));
    worker_answer refusal;
    refusal.id = call.id;
    if (call.epoch < election_.epoch())
    {
        refusal.status = command_status::fenced;
        post(from, {{"k", "reply"}, {"v", to_json(refusal)}});
        return;
    }
    const auto deadline = item.find("d");
    if (deadline != item.end() && deadline->is_number_integer() &&
        now.time_since_epoch().count() > deadline->get<std::int64_t>())
    {
        refusal.status = command_status::not_sent;
        post(from, {{"k", "reply"}, {"v", to_json(refusal)}, {"late", true}});
        context_.counters.count("carobcourse_late_relayed_calls_total");
        return;
    }
    const auto id = context_.next_call_id();
    relayed_calls_[id] = {from, call.id};
    call.id = id;
    context_.effects.emplace_back(std::move(call));
}

} // namespace carobcourse
