#include "membership_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char member_table[] = "member";
constexpr std::size_t member_scan_limit = 10000;
constexpr auto announce_period = milliseconds(200);
constexpr auto request_period = milliseconds(500);
constexpr auto leave_timeout = milliseconds(1000);
/// Heartbeats that an answer may still name.
constexpr std::size_t sent_kept = 16;
constexpr std::size_t replaced_kept = 8;

std::string text_of(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

/// Returns 0 when the number is absent, negative or no whole number.
std::uint64_t number_of(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

/// A length of time from a peer, at most `most`.
duration length_of(const json& body, const char* name, duration most)
{
    const auto limit = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(most).count());
    return milliseconds(std::min(number_of(body, name), limit));
}

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

member_entry member_of(const json& body)
{
    return {text_of(body, "incarnation"), text_of(body, "data_centre"),
            text_of(body, "peer_address")};
}

} // namespace

membership::membership(core_context& context, config_service& config)
    : context_(context), config_(config)
{
}

void membership::on_tick(time_point now)
{
    context_.grants.on_tick(now);
    if (state_ == registration::absent && now >= next_action_)
        read_own_row(now);
    if (state_ != registration::registered)
        return;
    if (!scan_op_ && now >= next_scan_)
        scan(now);
    if (!scanned_)
        return;
    if (now >= next_heartbeat_)
        send_heartbeats(now);
    announce_change(now);
}

// -------------------------------------------------------------- own row

void membership::read_own_row(time_point now)
{
    state_ = registration::reading;
    next_action_ = now + config::heartbeat_period;
    op_ = context_.next_op(component::members);
    context_.out.emplace_back(
        store_read{*op_, member_table, context_.identity.host});
}

void membership::on_store_result(time_point now, const store_result& result)
{
    if (scan_op_ && result.op == *scan_op_)
    {
        scan_op_.reset();
        if (result.status == store_status::ok &&
            state_ == registration::registered)
            on_scan(now, result);
        return;
    }
    if (!op_ || !(result.op == *op_))
        return;
    op_.reset();
    if (state_ == registration::reading)
        on_own_row(now, result);
    else if (state_ == registration::writing)
        on_written(now, result);
}

void membership::on_own_row(time_point now, const store_result& result)
{
    state_ = registration::absent;
    if (result.status != store_status::ok)
        return;
    std::uint64_t expect = 0;
    if (!result.rows.empty())
    {
        const auto& row = result.rows.front();
        const auto value = json::parse(row.value, nullptr, false);
        expect = row.version;
        if (value.is_object() &&
            text_of(value, "incarnation") == context_.identity.incarnation)
        {
            // The reply to an earlier write was lost.
            state_ = registration::writing;
            on_written(now, {{}, store_status::ok, 0, {row.version}, {}});
            return;
        }
    }
    state_ = registration::writing;
    op_ = context_.next_op(component::members);
    store_commit commit;
    commit.op = *op_;
    const json value{{"incarnation", context_.identity.incarnation},
                     {"data_centre", context_.identity.data_centre},
                     {"peer_address", context_.identity.peer_address}};
    commit.writes = {
        {member_table, context_.identity.host, expect, value.dump()}};
    context_.out.emplace_back(std::move(commit));
}

void membership::on_written(time_point now, const store_result& result)
{
    state_ = registration::absent;
    if (result.status != store_status::ok)
        return;
    own_version_ = result.versions.empty() ? 0 : result.versions.front();
    state_ = registration::registered;
    next_scan_ = now;
    context_.log(log_code::member_registered, context_.identity.incarnation);
}

void membership::give_up(registration state)
{
    state_ = state;
    scanned_ = false;
    context_.grants.set_unregistered();
}

void membership::leave(time_point now)
{
    if (state_ == registration::leaving)
        return;
    const bool registered = state_ == registration::registered;
    give_up(registration::leaving);
    op_.reset();
    leave_until_ = now;
    if (!registered)
        return;
    leave_until_ = now + leave_timeout;
    op_ = context_.next_op(component::members);
    store_commit commit;
    commit.op = *op_;
    commit.writes = {
        {member_table, context_.identity.host, own_version_, std::nullopt}};
    context_.out.emplace_back(std::move(commit));
}

bool membership::has_left(time_point now) const
{
    return state_ == registration::leaving && (!op_ || now >= leave_until_);
}

// ------------------------------------------------------------- other rows

void membership::scan(time_point now)
{
    scan_started_ = now;
    next_scan_ = now + config::member_scan_period;
    scan_op_ = context_.next_op(component::members);
    context_.out.emplace_back(
        store_scan{*scan_op_, member_table, "", "", member_scan_limit});
}

void membership::on_scan(time_point now, const store_result& result)
{
    member_map members;
    bool own_row = false;
    row_versions_.clear();
    for (const auto& row : result.rows)
    {
        const auto value = json::parse(row.value, nullptr, false);
        if (!value.is_object())
            continue;
        auto member = member_of(value);
        if (row.key != context_.identity.host)
        {
            row_versions_[row.key] = row.version;
            members[row.key] = std::move(member);
            continue;
        }
        own_row = true;
        if (member.incarnation == context_.identity.incarnation)
            continue;
        context_.log(log_code::member_superseded, member.incarnation);
        give_up(registration::superseded);
        context_.out.emplace_back(set_peers{});
        return;
    }
    if (!own_row)
    {
        // Registers again, as a new host that nobody knows.
        give_up(registration::absent);
        return;
    }
    for (const auto& [host, learned] : learned_at_)
    {
        const auto known = context_.grants.members().find(host);
        if (learned >= scan_started_ &&
            known != context_.grants.members().end())
            members[host] = known->second;
    }
    for (auto at = learned_at_.begin(); at != learned_at_.end();)
        at = at->second < scan_started_ ? learned_at_.erase(at) : std::next(at);
    if (!scanned_)
        next_heartbeat_ = now;
    scanned_ = true;
    update_members(now, std::move(members));
    remove_unlisted();
}

void membership::update_members(time_point now, member_map members)
{
    const auto before = context_.grants.members();
    const bool first = !context_.grants.is_registered();
    if (!first && before == members)
        return;
    for (const auto& [host, member] : before)
    {
        const auto found = members.find(host);
        if (found == members.end())
        {
            replaced_.erase(host);
            context_.log(log_code::member_left, host);
        }
        else if (found->second.incarnation != member.incarnation)
        {
            auto& replaced = replaced_[host];
            if (replaced.size() >= replaced_kept)
                replaced.clear();
            replaced.insert(member.incarnation);
            replaced.erase(found->second.incarnation);
        }
    }
    set_peers peers;
    for (const auto& [host, member] : members)
    {
        peers.peers.push_back({host, member.peer_address});
        const auto found = before.find(host);
        if (found == before.end() ||
            found->second.incarnation != member.incarnation)
            context_.log(
                log_code::member_joined,
                fmt::format("{} incarnation {}", host, member.incarnation));
    }
    context_.counters.gauge("carobcourse_members",
                            static_cast<double>(members.size() + 1));
    context_.grants.set_members(now, std::move(members));
    context_.out.emplace_back(std::move(peers));
}

void membership::on_hosts(const std::vector<host_entry>& hosts)
{
    listed_now_.clear();
    for (const auto& host : hosts)
    {
        if (host.kind == host_kind::entry)
            listed_now_.insert(host.id);
    }
    listed_.insert(listed_now_.begin(), listed_now_.end());
}

/// Removes rows of hosts that the host list had and no longer has: such a
/// host is permanently gone. One that was never listed may just be new.
void membership::remove_unlisted()
{
    for (const auto& [host, version] : row_versions_)
    {
        if (listed_.count(host) == 0 || listed_now_.count(host) != 0)
            continue;
        store_commit commit;
        commit.op = context_.next_op(component::members);
        commit.writes = {{member_table, host, version, std::nullopt}};
        context_.out.emplace_back(std::move(commit));
        context_.counters.count("carobcourse_member_removals_total");
    }
}

// --------------------------------------------------------------- messages

void membership::send(const std::string& to, const char* type, const json& body)
{
    context_.out.emplace_back(peer_send{to, type, body.dump()});
}

void membership::send_heartbeats(time_point now)
{
    next_heartbeat_ = now + config::heartbeat_period;
    sent_.emplace_back(++sequence_, now);
    if (sent_.size() > sent_kept)
        sent_.pop_front();
    json body{{"incarnation", context_.identity.incarnation},
              {"data_centre", context_.identity.data_centre},
              {"peer_address", context_.identity.peer_address},
              {"seq", sequence_},
              {"version", config_.current().version()}};
    if (const auto shards = context_.balance.stated())
        body["shards"] = *shards;
    for (const auto& [host, member] : context_.grants.members())
        send(host, "heartbeat", body);
}

/// Asks the peers to give their grants up, until all have or the change is
/// over. Repeated, as messages may be lost.
void membership::announce_change(time_point now)
{
    if (!context_.grants.is_changing())
    {
        next_announcement_ = now;
        return;
    }
    if (now < next_announcement_)
        return;
    next_announcement_ = now + announce_period;
    const json body{{"incarnation", context_.identity.incarnation},
                    {"round", context_.grants.round()}};
    for (const auto& host : context_.grants.unacknowledged())
        send(host, "change", body);
}

/// Learns members from their messages and refuses those of incarnations that
/// a newer one has replaced.
bool membership::check_incarnation(time_point now, const std::string& host,
                                   const json& body)
{
    const auto incarnation = text_of(body, "incarnation");
    const auto& members = context_.grants.members();
    const auto known = members.find(host);
    if (known != members.end() && known->second.incarnation == incarnation)
        return true;
    const auto replaced = replaced_.find(host);
    const bool stale =
        replaced != replaced_.end() && replaced->second.count(incarnation) != 0;
    const auto member = member_of(body);
    if (stale || incarnation.empty() || member.peer_address.empty())
    {
        context_.counters.count("carobcourse_peer_refusals_total",
                                "incarnation");
        return false;
    }
    // It registered before it sent this, so a later scan shows its row.
    auto with = members;
    with[host] = member;
    learned_at_[host] = now;
    update_members(now, std::move(with));
    return true;
}

void membership::on_message(time_point now, const peer_received& message)
{
    const auto body = json::parse(message.body, nullptr, false);
    if (!body.is_object())
    {
        context_.counters.count("carobcourse_peer_refusals_total", "malformed");
        return;
    }
    if (!scanned_ || message.from == context_.identity.host)
        return;
    if (message.type == "heartbeat")
    {
        if (check_incarnation(now, message.from, body))
            on_heartbeat(now, message.from, body);
        return;
    }
    const auto known = context_.grants.members().find(message.from);
    if (known == context_.grants.members().end() ||
        known->second.incarnation != text_of(body, "incarnation"))
    {
        context_.counters.count("carobcourse_peer_refusals_total",
                                "incarnation");
        return;
    }
    const json own{{"incarnation", context_.identity.incarnation}};
    if (message.type == "heartbeat_ack")
    {
        on_heartbeat_ack(now, message.from, body);
    }
    else if (message.type == "change")
    {
        context_.grants.on_peer_change(message.from, number_of(body, "round"));
        auto reply = own;
        reply["round"] = number_of(body, "round");
        send(message.from, "change_ack", reply);
    }
    else if (message.type == "change_ack")
    {
        context_.grants.on_change_acknowledged(message.from,
                                               number_of(body, "round"));
    }
    else if (message.type == "config_request")
    {
        auto reply = own;
        reply["changes"] = config_.recent_changes(number_of(body, "after"));
        send(message.from, "config_entries", reply);
    }
    else if (message.type == "config_entries")
    {
        std::vector<std::string> changes;
        if (body.contains("changes") && body["changes"].is_array())
        {
            for (const auto& text : body["changes"])
            {
                if (text.is_string())
                    changes.push_back(text.get<std::string>());
            }
        }
        if (!config_.apply_from_peer(changes))
            config_.poll_soon();
    }
    else
    {
        context_.counters.count("carobcourse_peer_refusals_total", "type");
    }
}

void membership::on_heartbeat(time_point now, const std::string& host,
                              const json& body)
{
    const auto grant =
        context_.grants.promise(now, host, config_.has_read_table());
    const auto shards = context_.grants.promise_shards(now, host);
    json reply{{"incarnation", context_.identity.incarnation},
               {"to", text_of(body, "incarnation")},
               {"seq", number_of(body, "seq")},
               {"version", config_.current().version()},
               {"grant_ms", to_ms(grant)},
               {"shards_ms", to_ms(shards)},
               {"round", context_.grants.round()}};
    const auto confirmed = config_.confirmed_at();
    if (confirmed && now < *confirmed + config::config_freshness_bound)
        reply["age_ms"] = to_ms(now - *confirmed) + 1;
    send(host, "heartbeat_ack", reply);
    if (body.contains("shards") &&
        text_of(body, "data_centre") == context_.identity.data_centre)
        context_.balance.on_peer(now, host, number_of(body, "shards"));
    on_peer_version(now, host, number_of(body, "version"));
}

void membership::on_heartbeat_ack(time_point now, const std::string& host,
                                  const json& body)
{
    if (text_of(body, "to") != context_.identity.incarnation)
        return;
    const auto sequence = number_of(body, "seq");
    const auto sent =
        std::find_if(sent_.begin(), sent_.end(),
                     [&](const auto& each) { return each.first == sequence; });
    if (sent == sent_.end())
        return;
    const auto asked_at = sent->second;
    const auto version = number_of(body, "version");
    held_grant grant;
    grant.incarnation = text_of(body, "incarnation");
    grant.round = number_of(body, "round");
    grant.config_version = version;
    grant.asked_at = asked_at;
    grant.length = length_of(body, "grant_ms", config::grant_promise);
    grant.shards = length_of(body, "shards_ms", config::grant_promise);
    context_.grants.on_grant(host, grant);
    context_.grants.on_introduced(host);
    on_peer_version(now, host, version);
    // The answer was written after the heartbeat was sent, so the age counted
    // from there is never too small.
    if (body.contains("age_ms"))
        config_.on_peer_confirmation(
            version, asked_at - length_of(body, "age_ms",
                                          config::config_freshness_bound));
}

void membership::on_peer_version(time_point now, const std::string& host,
                                 std::uint64_t version)
{
    if (version <= config_.current().version() ||
        !config_.current().is_loaded() || now < requested_at_ + request_period)
        return;
    requested_at_ = now;
    send(host, "config_request",
         {{"incarnation", context_.identity.incarnation},
          {"after", config_.current().version()}});
}

void membership::on_link(const peer_state& state)
{
    context_.log(state.connected ? log_code::peer_connected
                                 : log_code::peer_lost,
                 state.host);
    if (state.connected && scanned_)
        next_heartbeat_ = time_point{};
}

} // namespace carobcourse
