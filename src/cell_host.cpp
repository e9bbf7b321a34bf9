#include "cell_host_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

#include "cell_codec_p.hpp"
#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char message_type[] = "cell";
/// An owner whose commits fail for longer is taken over by a host that reaches
/// the store.
constexpr auto owner_store_patience = std::chrono::milliseconds(1200);
/// Time in which callers learn that a host stops, before it closes.
constexpr auto stop_notice = std::chrono::milliseconds(3200);
/// The owner's time goes to decisions for all, so hosts with a larger processor
/// share claim sooner, up to the share that an owner can use...
constexpr double full_share = 0.5;
/// ...and one without any by this much later.
constexpr auto weak_claim_delay = std::chrono::milliseconds(250);

/// Before the last moment of a stop, calls get their final answer in this time.
constexpr auto last_answers = std::chrono::milliseconds(400);

duration claim_delay(const cell_identity& identity)
{
    const auto missing =
        std::clamp(1 - identity.processor_share / full_share, 0.0, 1.0);
    return std::chrono::duration_cast<duration>(weak_claim_delay * missing);
}

} // namespace

cell_host::cell_host(cell_identity identity, std::uint64_t seed,
                     entropy_source& entropy, const outside_rows& outside)
    : context_(std::move(identity), seed, entropy, outside),
      operator_(context_), front_(context_),
      election_(context_.identity.host, context_.identity.incarnation,
                context_.identity.peer_address, claim_delay(context_.identity),
                seed)
{
}

cell_effects cell_host::handle(time_point now,
                               const std::vector<cell_event>& events)
{
    for (const auto& event : events)
        std::visit([&](const auto& each) { on_event(now, each); }, event);
    if (owner_)
    {
        owner_->finish_batch(now);
        if (owner_->is_deposed())
            lose_ownership(now, "another host has claimed it");
        else if (owner_->is_released())
            lose_ownership(now, "released");
    }
    for (const auto& item : std::exchange(own_answers_, {}))
        front_.on_answer(now, context_.identity.host, item);
    for (auto& [host, items] : outbox_)
    {
        peer_send message;
        message.to = host;
        message.type = message_type;
        json::to_cbor(json(std::move(items)), message.payload);
        context_.out.emplace_back(std::move(message));
    }
    outbox_.clear();
    return std::exchange(context_.out, {});
}

// -------------------------------------------------------------------- events

void cell_host::on_event(time_point now, const timer_tick&)
{
    operator_.tick(now);
    front_.set_confirmed(operator_.confirmed_at());
    fetch_secret(now);
    register_member(now);
    run_election(now);
    if (owner_)
    {
        lead(now);
        owner_->tick(now);
        if (owner_->has_counted())
            front_.set_waiting(now, owner_->waiting());
    }
    else
        follow(now);
    connect(now);
    front_.tick(now, to_owner(now));
    report_ready(now);
    check_stop(now);
}

void cell_host::on_event(time_point, const wall_clock& clock)
{
    context_.unix_ms = clock.unix_ms;
}

void cell_host::on_event(time_point now, const caller_request& request)
{
    front_.on_request(now, request, to_owner(now));
}

void cell_host::on_event(time_point, const call_abandoned& call)
{
    front_.on_abandoned(call.id);
}

void cell_host::on_event(time_point now, const store_result& result)
{
    if (operator_.on_store(now, result))
    {
        front_.set_confirmed(operator_.confirmed_at());
        operator_.tick(now);
        return;
    }
    if (election_op_ && *election_op_ == result.op)
    {
        election_op_.reset();
        if (election_claims_)
        {
            if (const auto version = election_.on_claim_result(now, result))
                become_owner(now, *version);
        }
        else if (result.status != store_status::ok)
            election_.on_read_failed(now);
        else
            election_.on_read(now,
                              result.rows.empty()
                                  ? std::nullopt
                                  : std::make_optional(result.rows.front()));
        run_election(now);
        return;
    }
    if (secret_op_ && *secret_op_ == result.op)
    {
        secret_op_.reset();
        on_secret(now, result);
        return;
    }
    if (member_op_ && *member_op_ == result.op)
    {
        member_op_.reset();
        on_members(now, result);
        return;
    }
    if (owner_)
        owner_->on_store(now, result);
}

void cell_host::on_event(time_point now, const watch_result& result)
{
    if (operator_.on_watch(now, result))
    {
        front_.set_confirmed(operator_.confirmed_at());
        operator_.tick(now);
        return;
    }
    if (owner_)
        owner_->on_watch(now, result);
}

void cell_host::on_event(time_point now, const worker_answer& answer)
{
    const auto found = relayed_.find(answer.id);
    if (found == relayed_.end())
        return;
    const auto call = found->second;
    relayed_.erase(found);
    auto out = answer;
    out.id = call.id;
    if (call.host != context_.identity.host)
        post(call.host, {{"k", "reply"}, {"v", to_json(out)}});
    else if (owner_)
        owner_->on_answer(now, out);
}

void cell_host::on_event(time_point now, const peer_received& message)
{
    if (message.type != message_type)
        return;
    const auto items = json::from_cbor(message.payload, true, false);
    if (!items.is_array())
    {
        context_.counters.count("carobcourse_peer_items_refused_total");
        return;
    }
    for (const auto& item : items)
    {
        try
        {
            on_item(now, message.from, item);
        }
        catch (const json::exception&)
        {
            context_.counters.count("carobcourse_peer_items_refused_total");
        }
    }
}

void cell_host::on_event(time_point now, const peer_state& state)
{
    if (state.connected)
    {
        connected_.insert(state.host);
        context_.log(log_code::peer_connected, state.host);
    }
    else if (connected_.erase(state.host) > 0)
        context_.log(log_code::peer_lost, state.host);
    const auto found = members_.find(state.host);
    if (found != members_.end())
    {
        found->second.connected = state.connected;
        found->second.connected_at = now;
        if (!state.connected)
            found->second.heard_at = {};
    }
    if (owner_)
        return;
    if (state.host != election_.owner())
        return;
    if (state.connected)
    {
        owner_connected_at_ = now;
        acks_seen_at_ = now;
        front_.resend(to_owner(now));
    }
    else
        election_.on_link_lost(state.host);
}

void cell_host::on_event(time_point, const peer_refusals& refusals)
{
    for (const auto& [reason, count] : refusals.counts)
        context_.counters.count("carobcourse_peer_refusals_total", reason,
                                count);
}

void cell_host::on_event(time_point now, const stop_request&)
{
    if (stopping_)
        return;
    stopping_ = true;
    stop_asked_ = now;
    context_.log(log_code::stop_requested,
                 fmt::format("owner={} pending={}", owner_ != nullptr,
                             front_.pending()));
    front_.set_closing();
    election_.stop();
    if (owner_)
        owner_->release();
    report_ready(now);
}

// ------------------------------------------------------------------ messages

void cell_host::post(const std::string& host, json item)
{
    outbox_[host].push_back(std::move(item));
}

void cell_host::call(const std::string& host, const worker_call& call)
{
    if (host != context_.identity.host)
    {
        post(host, {{"k", "call"}, {"v", to_json(call)}});
        return;
    }
    auto own = call;
    own.id = context_.next_call();
    relayed_[own.id] = {host, call.id};
    context_.out.emplace_back(std::move(own));
}

void cell_host::answer(const std::string& host, json item)
{
    // Answers to callers of this host wait for the end of the batch: the front
    // may be in the middle of sending.
    if (host == context_.identity.host)
        own_answers_.push_back(std::move(item));
    else
        post(host, std::move(item));
}

cell_front::sender cell_host::to_owner(time_point now)
{
    return [this, now](const json& item)
    {
        if (owner_)
        {
            owner_->on_front_call(now, context_.identity.host, item);
            return context_.identity.host;
        }
        const auto& owner = election_.owner();
        if (!election_.has_owner_heartbeat(now) || connected_.count(owner) == 0)
            return std::string();
        post(owner, item);
        return owner;
    };
}

void cell_host::on_item(time_point now, const std::string& from,
                        const json& item)
{
    const auto kind = item.at("k").get<std::string>();
    if (kind == "heartbeat")
        on_heartbeat(now, from, item);
    else if (kind == "ack")
    {
        const auto found = members_.find(from);
        if (found != members_.end())
        {
            found->second.heard_at = now;
            found->second.leaving = item.at("leaving").get<bool>();
        }
    }
    else if (kind == "call")
    {
        auto call = worker_call_from_json(item.at("v"));
        const auto id = context_.next_call();
        relayed_[id] = {from, call.id};
        call.id = id;
        context_.out.emplace_back(std::move(call));
    }
    else if (kind == "reply")
    {
        if (owner_)
            owner_->on_answer(now, worker_answer_from_json(item.at("v")));
    }
    else if (kind == "answer")
        front_.on_answer(now, from, item);
    else if (owner_)
        owner_->on_front_call(now, from, item);
}

void cell_host::on_heartbeat(time_point now, const std::string& from,
                             const json& item)
{
    const auto epoch = item.at("e").get<std::uint64_t>();
    if (owner_ || epoch < election_.epoch())
        return;
    election_.on_heartbeat(now, epoch, from, item.at("a").get<std::string>(),
                           item.at("ok").get<bool>());
    if (item.contains("w"))
        front_.set_waiting(
            now, item["w"].get<std::map<std::string, std::uint64_t>>());
    front_.set_store_failing(!item.at("ok").get<bool>());
    if (item.at("seen").get<bool>())
        acks_seen_at_ = now;
    post(from, {{"k", "ack"}, {"leaving", stopping_}});
    if (followed_ != from || followed_epoch_ != epoch)
    {
        followed_ = from;
        followed_epoch_ = epoch;
        context_.log(log_code::cell_owner_heard,
                     fmt::format("owner={} epoch={}", from, epoch));
        connect(now);
        front_.resend(to_owner(now));
    }
}

// ------------------------------------------------------------------ ownership

void cell_host::run_election(time_point now)
{
    if (election_op_ || owner_)
        return;
    const auto action = election_.next_action(now);
    if (action == cell_election::action::none)
        return;
    const auto op = context_.next_op();
    election_op_ = op;
    election_claims_ = action == cell_election::action::claim;
    if (election_claims_)
    {
        claim_sent_ = now;
        store_commit commit;
        commit.op = op;
        commit.writes.push_back({cell_table::owner, owner_key,
                                 election_.claim_version(),
                                 to_text(election_.claim_row())});
        context_.out.emplace_back(std::move(commit));
        return;
    }
    context_.out.emplace_back(store_read{op, cell_table::owner, owner_key});
}

void cell_host::become_owner(time_point now, std::uint64_t version)
{
    context_.log(
        log_code::cell_claimed,
        fmt::format("epoch={} version={}", election_.epoch(), version));
    owner_ = std::make_unique<cell_owner>(
        context_, static_cast<owner_links&>(*this), election_.claim_row(),
        version, claim_sent_, now);
    followed_.clear();
    next_heartbeat_ = now;
    next_member_op_ = now;
    for (auto& [host, member] : members_)
        member.heard_at = {};
    lead(now);
    front_.resend(to_owner(now));
}

void cell_host::lose_ownership(time_point now, const char* reason)
{
    context_.log(
        log_code::cell_owner_lost,
        fmt::format("epoch={} reason={}", owner_->row().epoch, reason));
    owner_.reset();
    election_.on_ownership_lost(now);
}

void cell_host::lead(time_point now)
{
    std::vector<cell_agent> agents;
    agents.push_back(
        {context_.identity.host, context_.identity.data_centre, false});
    for (const auto& [host, member] : members_)
    {
        if (member.connected &&
            now <= member.heard_at + config::cell_link_timeout)
            agents.push_back({host, member.data_centre, member.leaving});
    }
    owner_->set_agents(now, std::move(agents));
    if (now < next_heartbeat_)
        return;
    next_heartbeat_ = now + config::cell_heartbeat_period;
    const bool store_ok = !owner_->is_store_failing() ||
                          now <= owner_->last_written() + owner_store_patience;
    front_.set_store_failing(!store_ok);
    for (const auto& [host, member] : members_)
    {
        if (!member.connected)
            continue;
        json heartbeat{
            {"k", "heartbeat"},
            {"e", election_.epoch()},
            {"a", context_.identity.peer_address},
            {"ok", store_ok},
            {"seen", now <= member.heard_at + config::cell_link_timeout}};
        if (owner_->has_counted())
            heartbeat["w"] = owner_->waiting();
        post(host, std::move(heartbeat));
    }
}

void cell_host::follow(time_point now)
{
    if (followed_.empty() || election_.has_owner_heartbeat(now))
        return;
    context_.log(log_code::cell_owner_silent,
                 fmt::format("owner={} epoch={}", followed_, followed_epoch_));
    followed_.clear();
}

// ----------------------------------------------------------- readiness, stop

void cell_host::report_ready(time_point now)
{
    const bool reaches_owner =
        owner_ ? owner_->is_loaded()
               : election_.has_owner_heartbeat(now) &&
                     connected_.count(election_.owner()) > 0;
    const bool ready =
        !stopping_ && front_.is_config_fresh(now) && reaches_owner;
    if (ready_told_ && ready == ready_)
        return;
    ready_ = ready;
    ready_told_ = true;
    context_.out.emplace_back(readiness{ready});
}

void cell_host::check_stop(time_point now)
{
    if (!stopping_ || stopped_)
        return;
    const bool drained = !owner_ && front_.pending() == 0 && relayed_.empty() &&
                         now >= stop_asked_ + stop_notice;
    const auto end = stop_asked_ + context_.identity.stop_limit;
    if (drained || now >= end - last_answers)
        front_.finish(now);
    if (!drained && now < end)
        return;
    stopped_ = true;
    context_.out.emplace_back(stop_complete{});
}

} // namespace carobcourse
