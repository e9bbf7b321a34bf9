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

/// Type of the peer messages that carry the items of the cell.
constexpr char message_type[] = "cell";
/// An owner whose commits have failed for longer reports that its store fails,
/// so that a host that reaches the store takes the cell over.
constexpr auto max_store_failure_time = std::chrono::milliseconds(1200);
/// A stopping host keeps answering for this time at least, so that callers
/// learn from its answers that it stops.
constexpr auto stop_notice_period = std::chrono::milliseconds(3200);
/// The owner decides for all hosts, so those with a larger processor share
/// claim the cell sooner. A share above this one is of no further use to it.
constexpr double max_useful_processor_share = 0.5;
/// Delay of the claim of a host with a processor share of zero; the delay
/// falls linearly to none at `max_useful_processor_share`.
constexpr auto max_claim_delay = std::chrono::milliseconds(250);

/// A heartbeat that is due is sent with the next timer tick, or without one
/// after this time.
constexpr auto max_heartbeat_delay = std::chrono::milliseconds(40);

/// Longest time for which the owner holds a call until it has the configuration
/// that the sender of the call has applied.
constexpr auto max_item_hold_time = std::chrono::milliseconds(300);

/// Calls that are still pending this long before the time limit of a stop get
/// their final answer then.
constexpr auto final_answer_period = std::chrono::milliseconds(400);

/// Returns nothing when the field is missing or is no integer.
std::optional<std::int64_t> find_integer(const json& item, const char* name)
{
    const auto found = item.find(name);
    if (found == item.end() || !found->is_number_integer())
        return std::nullopt;
    return found->get<std::int64_t>();
}

/// Returns the version of the configuration that the sender of the item has
/// applied, or nothing when the item does not name it.
std::optional<std::uint64_t> find_version(const json& item)
{
    const auto version = find_integer(item, "cv");
    if (!version || *version < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(*version);
}

duration claim_delay(const cell_identity& identity)
{
    const auto missing = std::clamp(
        1 - identity.processor_share / max_useful_processor_share, 0.0, 1.0);
    return std::chrono::duration_cast<duration>(max_claim_delay * missing);
}

} // namespace

cell_host::cell_host(cell_identity identity, std::uint64_t seed,
                     entropy_source& entropy,
                     const external_row_reader& external_rows)
    : context_(std::move(identity), seed, entropy, external_rows),
      config_watcher_(context_), frontend_(context_, config_watcher_),
      election_(context_.identity.host, context_.identity.incarnation,
                context_.identity.peer_address, claim_delay(context_.identity),
                seed)
{
}

cell_effects cell_host::handle(time_point now,
                               const std::vector<cell_event>& events,
                               bool continues_batch)
{
    if (!continues_batch)
    {
        if (owner_)
            owner_->record_batch_time(now - last_handled_at_);
        last_handled_at_ = now;
    }
    if (!first_handled_at_)
        first_handled_at_ = now;
    handling_at_ = now;
    for (const auto& event : events)
    {
        // The last line of defence against input that no decoder refused: the
        // event is dropped, the process goes on.
        try
        {
            std::visit([&](const auto& each) { on_event(now, each); }, event);
        }
        catch (const std::exception& e)
        {
            context_.counters.count("carobcourse_events_failed_total");
            context_.log(log_code::cell_event_failed,
                         fmt::format("event={} {}", event.index(), e.what()));
        }
    }
    if (owner_)
    {
        // The next timer tick may wait for the rest of a long batch.
        if (now >= next_heartbeat_at_ + max_heartbeat_delay)
            send_heartbeats(now);
        owner_->finish_batch(now, last_handled_at_);
        if (owner_->has_lost_ownership())
            lose_ownership(now, "another host has claimed the cell");
        else if (owner_->is_released())
        {
            announce_release();
            lose_ownership(now, "released");
        }
    }
    for (const auto& item : std::exchange(local_answers_, {}))
        frontend_.on_answer(now, context_.identity.host, item);
    for (auto& [host, items] : outbox_)
        send_items(host, items);
    outbox_.clear();
    return std::exchange(context_.effects, {});
}

// -------------------------------------------------------------------- events

void cell_host::on_event(time_point now, const timer_tick&)
{
    config_watcher_.tick(now);
    if (const auto host = config_watcher_.next_row_request(now))
        post(*host, {{"k", "config_request"}});
    fetch_secret(now);
    update_membership(now);
    run_election(now);
    if (owner_)
    {
        run_owner_duties(now);
        owner_->tick(now, last_handled_at_);
    }
    else
        check_owner_silence(now);
    update_peers(now);
    release_held_items(now);
    frontend_.tick(now, make_owner_sender(now));
    report_readiness(now);
    check_stop(now);
}

void cell_host::on_event(time_point, const wall_clock& clock)
{
    context_.wall_clock_ms = clock.unix_ms;
}

void cell_host::on_event(time_point now, const caller_request& request)
{
    frontend_.on_request(now, request, make_owner_sender(now));
}

void cell_host::on_event(time_point, const call_abandoned& call)
{
    frontend_.on_abandoned(call.id);
}

void cell_host::on_event(time_point now, const store_result& result)
{
    if (config_watcher_.on_store(now, result))
    {
        after_config_event(now);
        config_watcher_.tick(now);
        return;
    }
    if (election_op_ && *election_op_ == result.op)
    {
        election_op_.reset();
        if (election_op_is_claim_)
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
        on_secret_result(now, result);
        return;
    }
    if (member_op_ && *member_op_ == result.op)
    {
        member_op_.reset();
        on_member_result(now, result);
        return;
    }
    if (owner_)
        owner_->on_store(now, result);
}

void cell_host::on_event(time_point now, const watch_result& result)
{
    if (config_watcher_.on_watch(now, result))
    {
        after_config_event(now);
        config_watcher_.tick(now);
        return;
    }
    if (owner_)
        owner_->on_watch(now, result);
}

void cell_host::on_event(time_point now, const worker_answer& answer)
{
    const auto found = relayed_calls_.find(answer.id);
    if (found == relayed_calls_.end())
        return;
    const auto call = found->second;
    relayed_calls_.erase(found);
    auto reply = answer;
    reply.id = call.id;
    if (call.host != context_.identity.host)
        post(call.host, {{"k", "reply"}, {"v", to_json(reply)}});
    else if (owner_)
        owner_->on_answer(now, reply);
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
        connected_hosts_.insert(state.host);
        context_.log(log_code::peer_connected, state.host);
    }
    else if (connected_hosts_.erase(state.host) > 0)
        context_.log(log_code::peer_lost, state.host);
    const auto found = members_.find(state.host);
    if (found != members_.end())
    {
        found->second.connected = state.connected;
        found->second.connected_at = now;
        found->second.clock_us.reset();
        found->second.clock_offset_us.reset();
        if (!state.connected)
            found->second.last_ack_at = {};
    }
    if (owner_)
        return;
    if (state.host != election_.owner())
        return;
    if (state.connected)
    {
        owner_connected_at_ = now;
        last_ack_confirmed_at_ = now;
        frontend_.resend(make_owner_sender(now));
    }
    else
        election_.on_owner_gone(state.host);
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
    stop_requested_at_ = now;
    context_.log(log_code::stop_requested,
                 fmt::format("owner={} pending={}", owner_ != nullptr,
                             frontend_.pending_count()));
    frontend_.set_connections_closing();
    election_.stop();
    if (owner_)
        owner_->release();
    report_readiness(now);
}

// ------------------------------------------------------------------ messages

void cell_host::send_items(const std::string& host, message_items& items)
{
    if (items.count == 0)
        return;
    peer_send message;
    message.to = host;
    message.type = message_type;
    message.payload = cbor_array_head(items.count) + items.encoded;
    context_.effects.emplace_back(std::move(message));
    items = {};
}

void cell_host::post(const std::string& host, const json& item)
{
    auto& items = outbox_[host];
    ++items.count;
    json::to_cbor(item, items.encoded);
    if (items.encoded.size() >= config::cell_message_bytes)
        send_items(host, items);
}

void cell_host::send_call(const std::string& host, const worker_call& call)
{
    if (host != context_.identity.host)
    {
        auto& items = outbox_[host];
        ++items.count;
        std::optional<std::int64_t> deadline_us;
        const auto found = members_.find(host);
        if (found != members_.end() && found->second.clock_offset_us)
        {
            // The owner gives the call up then.
            const time_point deadline =
                handling_at_ + std::chrono::milliseconds(call.timeout_ms) +
                config::cell_relay_timeout_margin;
            deadline_us = deadline.time_since_epoch().count() +
                          *found->second.clock_offset_us;
        }
        append_call_item(call, items.encoded, deadline_us);
        if (items.encoded.size() >= config::cell_message_bytes)
            send_items(host, items);
        return;
    }
    auto own = call;
    own.id = context_.next_call_id();
    relayed_calls_[own.id] = {host, call.id};
    context_.effects.emplace_back(std::move(own));
}

void cell_host::send_answer(const std::string& host, json item)
{
    // Answers to callers of this host are delivered at the end of the batch:
    // the frontend may be sending the call and not have recorded it yet.
    if (host == context_.identity.host)
        local_answers_.push_back(std::move(item));
    else
        post(host, item);
}

cell_frontend::sender cell_host::make_owner_sender(time_point now)
{
    return [this, now](const json& item)
    {
        if (owner_)
        {
            owner_->on_caller_request(now, context_.identity.host, item);
            return context_.identity.host;
        }
        const auto& owner = election_.owner();
        // A call on a broken link has an unknown outcome. One that is not sent
        // waits for the next heartbeat, or is refused as not run.
        if (election_.is_heartbeat_overdue(now) ||
            connected_hosts_.count(owner) == 0)
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
    else if (kind == "released")
    {
        if (!owner_ && item.at("e").get<std::uint64_t>() == election_.epoch())
        {
            election_.on_owner_gone(from);
            run_election(now);
        }
    }
    else if (kind == "ack")
    {
        const auto found = members_.find(from);
        if (found != members_.end())
        {
            read_member_clock(now, found->second, item);
            found->second.last_ack_at = now;
            found->second.refuses_calls = false;
            found->second.leaving = item.at("leaving").get<bool>();
            found->second.followed_epoch =
                std::max(found->second.followed_epoch,
                         item.value("e", std::uint64_t{0}));
        }
        if (const auto version = find_version(item))
            config_watcher_.on_version_heard(now, from, *version);
    }
    else if (kind == "call")
    {
        relay_call(now, from, item);
    }
    else if (kind == "reply")
    {
        const auto found = members_.find(from);
        if (found != members_.end() && item.contains("late"))
        {
            found->second.refuses_calls = true;
            found->second.clock_offset_us.reset();
        }
        if (owner_)
            owner_->on_answer(now, worker_answer_from_json(item.at("v")));
    }
    else if (kind == "answer")
        frontend_.on_answer(now, from, item);
    else if (kind == "config_version")
    {
        if (const auto version = find_version(item))
            config_watcher_.on_version_heard(now, from, *version);
    }
    else if (kind == "config_request")
    {
        const auto& [key, value] = config_watcher_.row();
        if (!key.empty())
            post(from, {{"k", "config"}, {"key", key}, {"value", value}});
    }
    else if (kind == "config")
    {
        config_watcher_.on_row_received(item.at("key").get<std::string>(),
                                        item.at("value").get<std::string>());
        after_config_event(now);
    }
    else if (owner_)
        on_owner_item(now, from, item);
}

void cell_host::on_owner_item(time_point now, const std::string& from,
                              const json& item)
{
    const auto version = find_version(item);
    if (version && *version > config_watcher_.version())
    {
        config_watcher_.on_version_heard(now, from, *version);
        held_items_.push_back({from, item, now + max_item_hold_time});
        return;
    }
    owner_->on_caller_request(now, from, item);
}

void cell_host::release_held_items(time_point now)
{
    if (held_items_.empty())
        return;
    for (auto& held : std::exchange(held_items_, {}))
    {
        if (!owner_)
            continue; // The host that sent it sends it to the next owner.
        const auto version = find_version(held.item);
        if (now < held.deadline && version &&
            *version > config_watcher_.version())
            held_items_.push_back(std::move(held));
        else
            owner_->on_caller_request(now, held.from, held.item);
    }
}

void cell_host::after_config_event(time_point now)
{
    if (owner_ && config_watcher_.version() > announced_version_)
    {
        // Before any call to a worker that shows the effect of the version.
        announced_version_ = config_watcher_.version();
        for (const auto& [host, member] : members_)
            if (member.connected)
                post(host,
                     {{"k", "config_version"}, {"cv", announced_version_}});
        owner_->on_config_changed(now);
    }
    release_held_items(now);
    frontend_.release_held(now, make_owner_sender(now));
}

void cell_host::on_heartbeat(time_point now, const std::string& from,
                             const json& item)
{
    const auto epoch = item.at("e").get<std::uint64_t>();
    if (epoch < election_.epoch())
        return;
    if (owner_)
    {
        if (epoch == election_.epoch())
            return;
        lose_ownership(now, "heartbeat of a later owner");
    }
    election_.on_heartbeat(now, epoch, from, item.at("a").get<std::string>(),
                           item.at("ok").get<bool>());
    frontend_.set_store_failing(!item.at("ok").get<bool>());
    if (item.at("seen").get<bool>())
        last_ack_confirmed_at_ = now;
    post(from, {{"k", "ack"},
                {"e", epoch},
                {"leaving", stopping_},
                {"t", now.time_since_epoch().count()},
                {"cv", config_watcher_.version()}});
    if (followed_owner_ != from || followed_epoch_ != epoch)
    {
        followed_owner_ = from;
        followed_epoch_ = epoch;
        context_.log(log_code::cell_owner_heard,
                     fmt::format("owner={} epoch={}", from, epoch));
        update_peers(now);
        frontend_.resend(make_owner_sender(now));
    }
    if (auto counts = read_waiting_counts(now, item))
        frontend_.set_waiting_counts(std::move(*counts));
    read_config_evidence(now, from, item);
}

void cell_host::read_config_evidence(time_point now, const std::string& from,
                                     const json& item)
{
    const auto version = find_version(item);
    if (!version)
        return;
    config_watcher_.on_version_heard(now, from, *version);
    const auto echo = read_echo(now, item);
    const auto age_us = find_integer(item, "ca");
    if (echo && age_us && *age_us >= 0)
        config_watcher_.confirm(*version, *echo - duration(*age_us));
}

/// The time at which a heartbeat is handled does not tell how old its counts
/// are: the owner, the link or this host may have held it up. The owner echoes
/// a reading of this host's clock that it had before it sent the heartbeat, so
/// the counts are older than the reading by their age at the owner at most.
std::optional<waiting_counts>
cell_host::read_waiting_counts(time_point now, const json& item) const
{
    // An owner of the previous build sends counts without evidence of their
    // age.
    const auto echo = read_echo(now, item);
    const auto age_us = find_integer(item, "wa");
    if (!item.contains("w") || !echo || !age_us || *age_us < 0)
        return std::nullopt;
    waiting_counts counts;
    counts.by_queue = item["w"].get<std::map<std::string, std::uint64_t>>();
    counts.as_of = *echo - duration(*age_us);
    counts.epoch = election_.epoch();
    return counts;
}

std::optional<time_point> cell_host::read_echo(time_point now,
                                               const json& item) const
{
    const auto echo_us = find_integer(item, "t");
    if (!echo_us)
        return std::nullopt;
    const time_point echo{duration(*echo_us)};
    if (echo < *first_handled_at_ || echo > now)
        return std::nullopt;
    return echo;
}

// ------------------------------------------------------------------ ownership

void cell_host::run_election(time_point now)
{
    if (election_op_ || owner_)
        return;
    const auto action = election_.next_action(now);
    if (action == cell_election::action::none)
        return;
    const auto op = context_.next_op_id();
    election_op_ = op;
    election_op_is_claim_ = action == cell_election::action::claim;
    if (election_op_is_claim_)
    {
        claim_sent_at_ = now;
        store_commit commit;
        commit.op = op;
        commit.writes.push_back({cell_table::owner, owner_key,
                                 election_.claim_version(),
                                 to_text(election_.claim_row())});
        context_.effects.emplace_back(std::move(commit));
        return;
    }
    context_.effects.emplace_back(store_read{op, cell_table::owner, owner_key});
}

void cell_host::become_owner(time_point now, std::uint64_t version)
{
    context_.log(
        log_code::cell_claimed,
        fmt::format("epoch={} version={}", election_.epoch(), version));
    owner_ = std::make_unique<cell_owner>(
        context_, static_cast<owner_transport&>(*this), election_.claim_row(),
        version, claim_sent_at_, now);
    followed_owner_.clear();
    announced_version_ = config_watcher_.version();
    next_heartbeat_at_ = now;
    next_member_op_at_ = now;
    has_read_members_ = false;
    for (auto& [host, member] : members_)
    {
        member.last_ack_at = {};
        member.clock_us.reset();
    }
    run_owner_duties(now);
    frontend_.resend(make_owner_sender(now));
}

/// Tells the other hosts that the cell has no owner, so that one of them claims
/// it before the heartbeats are missed.
void cell_host::announce_release()
{
    for (const auto& [host, member] : members_)
        if (member.connected)
            post(host, {{"k", "released"}, {"e", election_.epoch()}});
}

void cell_host::lose_ownership(time_point now, const char* reason)
{
    context_.log(
        log_code::cell_owner_lost,
        fmt::format("epoch={} reason={}", owner_->row().epoch, reason));
    owner_.reset();
    election_.on_ownership_lost(now);
}

void cell_host::run_owner_duties(time_point now)
{
    std::vector<call_relay> relays;
    relays.push_back(
        {context_.identity.host, context_.identity.data_centre, false});
    for (const auto& [host, member] : members_)
    {
        if (member.connected &&
            last_handled_at_ <= member.last_ack_at + config::cell_link_timeout)
            relays.push_back({host, member.data_centre,
                              member.leaving || member.refuses_calls});
    }
    owner_->set_relays(now, std::move(relays));
    if (has_read_members_ &&
        std::all_of(members_.begin(), members_.end(),
                    [this](const auto& each) {
                        return each.second.followed_epoch >= election_.epoch();
                    }))
        owner_->on_all_hosts_follow(now);
    if (now >= next_heartbeat_at_)
        send_heartbeats(now);
}

void cell_host::send_heartbeats(time_point now)
{
    next_heartbeat_at_ = now + config::cell_heartbeat_interval;
    const bool store_ok =
        !owner_->is_store_failing() ||
        now <= owner_->last_commit_at() + max_store_failure_time;
    frontend_.set_store_failing(!store_ok);
    // Counted anew for each heartbeat: the tick of a host that was suspended
    // comes before any other work.
    const auto counts = owner_->count_waiting_jobs(now);
    if (counts)
        frontend_.set_waiting_counts(*counts);
    for (const auto& [host, member] : members_)
    {
        if (!member.connected)
            continue;
        json heartbeat{
            {"k", "heartbeat"},
            {"e", election_.epoch()},
            {"a", context_.identity.peer_address},
            {"ok", store_ok},
            {"seen", last_handled_at_ <=
                         member.last_ack_at + config::cell_link_timeout}};
        if (counts)
        {
            heartbeat["w"] = counts->by_queue;
            heartbeat["wa"] = (now - counts->as_of).count();
        }
        if (context_.config)
            heartbeat["cv"] = config_watcher_.version();
        if (context_.config && !config_watcher_.is_superseded())
            heartbeat["ca"] = (now - config_watcher_.confirmed_at()).count();
        if (member.clock_us)
            heartbeat["t"] = *member.clock_us;
        post(host, heartbeat);
    }
}

void cell_host::check_owner_silence(time_point now)
{
    if (followed_owner_.empty() || election_.has_owner_heartbeat(now))
        return;
    context_.log(
        log_code::cell_owner_silent,
        fmt::format("owner={} epoch={}", followed_owner_, followed_epoch_));
    followed_owner_.clear();
}

// ----------------------------------------------------------- readiness, stop

void cell_host::report_readiness(time_point now)
{
    const bool is_owner_reachable =
        owner_ ? owner_->is_loaded()
               : election_.has_owner_heartbeat(now) &&
                     connected_hosts_.count(election_.owner()) > 0;
    const bool ready =
        !stopping_ &&
        config_watcher_.has_followed_store(now, config::cell_max_config_age) &&
        is_owner_reachable;
    if (readiness_reported_ && ready == ready_)
        return;
    ready_ = ready;
    readiness_reported_ = true;
    context_.effects.emplace_back(readiness{ready});
}

void cell_host::check_stop(time_point now)
{
    if (!stopping_ || stopped_)
        return;
    const bool is_drained = !owner_ && frontend_.pending_count() == 0 &&
                            relayed_calls_.empty() &&
                            now >= stop_requested_at_ + stop_notice_period;
    const auto end = stop_requested_at_ + context_.identity.max_stop_time;
    if (is_drained || now >= end - final_answer_period)
        frontend_.shut_down(now);
    if (!is_drained && now < end)
        return;
    stopped_ = true;
    context_.effects.emplace_back(stop_complete{});
}

} // namespace carobcourse
