#include "membership_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "config_tables_p.hpp"
#include "peer_codec_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;
using config_tables::member_table;
using std::chrono::milliseconds;

constexpr std::size_t member_scan_limit = 10000;
constexpr auto announce_period = milliseconds(200);
constexpr auto request_period = milliseconds(500);
constexpr auto leave_timeout = milliseconds(1000);
/// Heartbeats that an answer may still name.
constexpr std::size_t sent_kept = 64;
constexpr std::size_t replaced_kept = 8;

/// Returns 0 when the number is absent, negative or no whole number.
std::uint64_t number_of(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

/// Relayed grants as an array: remaining milliseconds, highest version, and
/// the round of each granter. An array without names is a third of the size.
json to_json(time_point now, const relayed_grants& grants)
{
    json array{
        std::chrono::duration_cast<milliseconds>(grants.until - now).count(),
        grants.config_version};
    for (const auto round : grants.rounds)
        array.push_back(round);
    return array;
}

/// Counts the remaining time from before the question. Empty when the array
/// is malformed.
std::optional<relayed_grants>
grants_from(const json& array, std::uint64_t member_set, time_point asked_at)
{
    if (!array.is_array() || array.size() < 3 ||
        !std::all_of(array.begin(), array.end(),
                     [](const auto& each)
                     { return each.is_number_unsigned(); }))
        return std::nullopt;
    relayed_grants grants;
    grants.member_set = member_set;
    grants.until =
        asked_at +
        milliseconds(std::min(
            array[0].get<std::uint64_t>(),
            static_cast<std::uint64_t>(config::grant_freshness_bound.count())));
    grants.config_version = array[1].get<std::uint64_t>();
    for (std::size_t i = 2; i < array.size(); ++i)
        grants.rounds.push_back(array[i].get<std::uint64_t>());
    return grants;
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
    const auto& identity = context.identity;
    context_.grants.set_own(
        identity.host,
        {identity.incarnation, identity.data_centre, identity.peer_address});
}

void membership::on_tick(time_point now)
{
    context_.grants.on_tick(now);
    if (state_ == registration::absent && now >= next_action_)
        read_own_row(now);
    if (state_ != registration::registered)
        return;
    const bool row_unknown =
        !context_.member_row && now >= scan_started_ + config::row_retry_period;
    if (!scan_op_ && (now >= next_scan_ || row_unknown))
        scan(now);
    if (!scanned_)
        return;
    if (!is_full_mesh() && is_table_silent(now))
        next_heartbeat_ =
            std::min(next_heartbeat_, last_heartbeat_ + config::relay_period);
    if (now >= next_heartbeat_)
        send_heartbeats(now);
    greet_connected(now);
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
            written_value_ = row.value;
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
    written_value_ = value.dump();
    commit.writes = {
        {member_table, context_.identity.host, expect, written_value_}};
    context_.out.emplace_back(std::move(commit));
}

void membership::on_written(time_point now, const store_result& result)
{
    state_ = registration::absent;
    if (result.status != store_status::ok || result.versions.empty())
        return;
    own_version_ = result.versions.front();
    context_.member_row =
        row{context_.identity.host, own_version_, written_value_};
    state_ = registration::registered;
    next_scan_ = now;
    context_.log(log_code::member_registered, context_.identity.incarnation);
}

void membership::give_up(registration state)
{
    state_ = state;
    scanned_ = false;
    if (context_.member_row)
        own_version_ = context_.member_row->version;
    context_.member_row.reset();
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
        {
            // A scan may be older than a commit that rewrote the row.
            if (!context_.member_row ||
                context_.member_row->version < row.version)
                context_.member_row = row;
            continue;
        }
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
    remove_unlisted(now);
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
            heard_at_.erase(host);
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
    ++lists_read_;
    listed_now_.clear();
    for (const auto& host : hosts)
    {
        if (host.kind == host_kind::entry)
            listed_now_.insert(host.id);
    }
    listed_.insert(listed_now_.begin(), listed_now_.end());
}

/// True when the host list had the host and no longer has it: such a host is
/// permanently gone. One that was never listed may just be new. It counts as
/// gone when it stays unlisted and silent for long; its row would otherwise
/// block changes for ever where nobody is left who saw it listed. Removing the
/// row of a live host is safe, as each commit of a change requires that row.
bool membership::is_gone(time_point now, const std::string& host,
                         std::uint64_t version)
{
    if (listed_now_.count(host) != 0)
    {
        unlisted_.erase(host);
        return false;
    }
    if (listed_.count(host) != 0)
        return true;
    auto& row = unlisted_[host];
    const auto heard = heard_at_.find(host);
    const bool restart = row.version != version || (heard != heard_at_.end() &&
                                                    heard->second >= row.since);
    if (restart)
        row = {version, now, lists_read_};
    return now >= row.since + config::unlisted_member_timeout &&
           lists_read_ - row.lists_read >= config::unlisted_member_lists;
}

void membership::remove_unlisted(time_point now)
{
    for (auto at = unlisted_.begin(); at != unlisted_.end();)
        at = row_versions_.count(at->first) == 0 ? unlisted_.erase(at)
                                                 : std::next(at);
    for (const auto& [host, version] : row_versions_)
    {
        if (!is_gone(now, host, version))
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

bool membership::is_full_mesh() const
{
    return context_.grants.members().size() + 1 <=
           context_.identity.full_mesh_hosts;
}

bool membership::is_table_silent(time_point now) const
{
    const auto read = config_.own_read_at();
    return !read || now >= *read + config::table_silence;
}

std::uint64_t membership::next_sequence(time_point now)
{
    sent_.emplace_back(++sequence_, now);
    if (sent_.size() > sent_kept)
        sent_.pop_front();
    return sequence_;
}

/// When this incarnation asked what `answer` answers; empty when it did not,
/// or too long ago.
std::optional<time_point> membership::asked_at(const json& answer) const
{
    if (text_of(answer, "to") != context_.identity.incarnation)
        return std::nullopt;
    const auto sequence = number_of(answer, "seq");
    const auto sent =
        std::find_if(sent_.begin(), sent_.end(),
                     [&](const auto& each) { return each.first == sequence; });
    return sent == sent_.end() ? std::nullopt
                               : std::optional<time_point>(sent->second);
}

json membership::heartbeat_body(std::uint64_t sequence) const
{
    json body{{"incarnation", context_.identity.incarnation},
              {"data_centre", context_.identity.data_centre},
              {"peer_address", context_.identity.peer_address},
              {"seq", sequence},
              {"version", config_.current().version()}};
    if (const auto shards = context_.balance.advertised_count())
        body["shards"] = *shards;
    return body;
}

/// Above the limit of the full mesh only the own data centre and hosts that
/// do not know this one yet are asked directly. What a host asks for depends
/// on its own view; it answers every question, so views may differ.
void membership::send_heartbeats(time_point now)
{
    const bool mesh = is_full_mesh();
    const bool all = !mesh && is_table_silent(now);
    // Near the limit, views of the cell that differ about the mode are likely
    // and relayed grants then fail; asking directly is still cheap there.
    const bool near_mesh = context_.grants.members().size() + 1 <=
                           2 * context_.identity.full_mesh_hosts;
    last_heartbeat_ = now;
    next_heartbeat_ = now + config::heartbeat_period;
    const auto sequence = next_sequence(now);
    auto body = heartbeat_body(sequence);
    if (all)
        body["all"] = true;
    for (const auto& [host, member] : context_.grants.members())
    {
        if (mesh || member.data_centre == context_.identity.data_centre ||
            !context_.grants.is_introduced(host) ||
            (all && near_mesh &&
             context_.grants.granted_until(host).value_or(time_point{}) <=
                 now + config::relay_reserve))
            send(host, "heartbeat", body);
    }
    if (!mesh)
        ask_data_centres(now, sequence, all);
}

/// Sends a heartbeat at once over a new link where one would be sent.
void membership::greet_connected(time_point now)
{
    if (connected_.empty())
        return;
    const auto body = heartbeat_body(next_sequence(now));
    for (const auto& host : std::exchange(connected_, {}))
    {
        const auto member = context_.grants.members().find(host);
        if (member != context_.grants.members().end() &&
            (is_full_mesh() ||
             member->second.data_centre == context_.identity.data_centre ||
             !context_.grants.is_introduced(host)))
            send(host, "heartbeat", body);
    }
}

/// Asks for the grants and the version of the other data centres that fall to
/// this host. The hosts that were heard recently divide them by rank; where
/// views differ a data centre is asked twice, or not until they agree.
void membership::ask_data_centres(time_point now, std::uint64_t sequence,
                                  bool all)
{
    const auto& own = context_.identity;
    std::set<std::string> heard{own.host};
    std::map<std::string, std::vector<std::string>> hosts_of;
    hosts_of[own.data_centre];
    for (const auto& [host, member] : context_.grants.members())
    {
        hosts_of[member.data_centre].push_back(host);
        const auto at = heard_at_.find(host);
        if (member.data_centre == own.data_centre && at != heard_at_.end() &&
            now < at->second + config::reporter_timeout)
            heard.insert(host);
    }
    const auto rank = static_cast<std::size_t>(
        std::distance(heard.begin(), heard.find(own.host)));
    const auto place = static_cast<std::size_t>(
        std::distance(hosts_of.begin(), hosts_of.find(own.data_centre)));
    json body{{"incarnation", own.incarnation},
              {"seq", sequence},
              {"version", config_.current().version()}};
    if (all)
        body["all"] = true;
    std::size_t index = 0;
    for (const auto& [data_centre, hosts] : hosts_of)
    {
        if (data_centre == own.data_centre)
            continue;
        auto& watched = watched_[data_centre];
        const bool assigned = index++ % heard.size() == rank;
        if (!all)
        {
            watched.failures = 0;
            watched.asked_at = now;
        }
        if (!assigned && !(all && needs_grants(now, data_centre)))
            continue;
        watched.asked_at = now;
        if (now >= watched.answered_at + config::summary_timeout)
            ++watched.shift;
        // Starting at the place of the own data centre spreads the questions
        // over the hosts that are asked.
        send(hosts[(place + watched.shift) % hosts.size()], "summary_request",
             body);
    }
}

/// True when peers have not relayed grants of the data centre in time, for
/// instance because the one that should has paused or sees a smaller cell.
bool membership::needs_grants(time_point now,
                              const std::string& data_centre) const
{
    const auto until = context_.grants.relayed_until(data_centre);
    const auto& watched = watched_.at(data_centre);
    const auto asked_at = watched.asked_at;
    if (until && now < *until)
        return now >= *until - config::relay_reserve &&
               now >= asked_at + config::heartbeat_period;
    return now >= asked_at + std::min<duration>((watched.failures + 1) *
                                                    config::heartbeat_period,
                                                config::relay_retry_most);
}

void membership::add_age(time_point now, json& body) const
{
    const auto confirmed = config_.confirmed_at();
    if (confirmed && now < *confirmed + config::config_freshness_bound)
        body["age_ms"] = to_ms(now - *confirmed) + 1;
}

/// The answer was written after `asked_at`, so the age counted from there is
/// never too small.
void membership::take_age(time_point asked_at, const json& body)
{
    if (body.contains("age_ms"))
        config_.on_peer_confirmation(
            number_of(body, "version"),
            asked_at -
                length_of(body, "age_ms", config::config_freshness_bound));
}

/// Asks the peers to give their grants up, until all have or the change is
/// over. Repeated, as messages may be lost.
void membership::announce_change(time_point now)
{
    if (!context_.grants.is_changing())
    {
        next_announcement_ = now;
        // Peers need not wait up to a period for the new version.
        if (std::exchange(was_changing_, false))
            next_heartbeat_ = now;
        return;
    }
    was_changing_ = true;
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
        {
            heard_at_[message.from] = now;
            on_heartbeat(now, message.from, body);
        }
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
    heard_at_[message.from] = now;
    const json own{{"incarnation", context_.identity.incarnation}};
    if (message.type == "heartbeat_ack")
    {
        on_heartbeat_ack(now, message.from, body);
    }
    else if (message.type == "summary_request")
    {
        on_summary_request(now, message.from, body);
    }
    else if (message.type == "summary")
    {
        on_summary(now, message.from, body);
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
    auto& grants = context_.grants;
    const auto grant = grants.promise(now, host, config_.has_read_table());
    const auto shards = context_.grants.promise_shards(now, host);
    json reply{{"incarnation", context_.identity.incarnation},
               {"to", text_of(body, "incarnation")},
               {"seq", number_of(body, "seq")},
               {"version", config_.current().version()},
               {"grant_ms", to_ms(grant)},
               {"shards_ms", to_ms(shards)},
               {"round", grants.round()}};
    add_age(now, reply);
    if (body.value("all", json()) == json(true) &&
        grants.promise_to_all(now, config_.has_read_table()) > duration(0))
    {
        reply["set"] = grants.member_set();
        auto relayed = json::object();
        for (const auto& [data_centre, each] : grants.relayable(now))
            relayed[data_centre] = to_json(now, each);
        if (!relayed.empty())
            reply["relayed"] = std::move(relayed);
    }
    send(host, "heartbeat_ack", reply);
    if (body.contains("shards") &&
        text_of(body, "data_centre") == context_.identity.data_centre)
        context_.balance.on_peer_count(now, host, number_of(body, "shards"));
    on_peer_version(now, host, number_of(body, "version"));
}

void membership::on_heartbeat_ack(time_point now, const std::string& host,
                                  const json& body)
{
    const auto asked = asked_at(body);
    if (!asked)
        return;
    const auto version = number_of(body, "version");
    held_grant grant;
    grant.incarnation = text_of(body, "incarnation");
    grant.round = number_of(body, "round");
    grant.config_version = version;
    grant.asked_at = *asked;
    grant.member_set = number_of(body, "set");
    grant.length = length_of(body, "grant_ms", config::grant_promise);
    grant.shards = length_of(body, "shards_ms", config::grant_promise);
    context_.grants.on_grant(host, grant);
    context_.grants.on_introduced(host);
    on_peer_version(now, host, version);
    take_age(*asked, body);
    const auto relayed = body.find("relayed");
    if (relayed == body.end() || !relayed->is_object())
        return;
    for (const auto& [data_centre, array] : relayed->items())
    {
        if (auto each = grants_from(array, grant.member_set, *asked))
            context_.grants.on_relayed(data_centre, std::move(*each));
    }
}

void membership::on_summary_request(time_point now, const std::string& host,
                                    const json& body)
{
    json reply{{"incarnation", context_.identity.incarnation},
               {"to", text_of(body, "incarnation")},
               {"seq", number_of(body, "seq")},
               {"version", config_.current().version()}};
    add_age(now, reply);
    if (body.value("all", json()) == json(true))
    {
        const auto grants = context_.grants.grants_here(
            now, config_.has_read_table(), config_.current().version());
        if (grants)
        {
            reply["set"] = grants->member_set;
            reply["grants"] = to_json(now, *grants);
        }
    }
    send(host, "summary", reply);
    on_peer_version(now, host, number_of(body, "version"));
}

void membership::on_summary(time_point now, const std::string& host,
                            const json& body)
{
    const auto asked = asked_at(body);
    if (!asked)
        return;
    const auto& data_centre = context_.grants.members().at(host).data_centre;
    auto& watched = watched_[data_centre];
    watched.answered_at = now;
    on_peer_version(now, host, number_of(body, "version"));
    take_age(*asked, body);
    const auto found = body.find("grants");
    if (found == body.end())
    {
        // Another host of it may hold the grants that this one misses.
        if (is_table_silent(now))
        {
            ++watched.shift;
            ++watched.failures;
        }
        return;
    }
    if (auto grants = grants_from(*found, number_of(body, "set"), *asked))
    {
        watched.failures = 0;
        grants->asked_here = true;
        context_.grants.on_relayed(data_centre, std::move(*grants));
    }
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
        connected_.insert(state.host);
}

} // namespace carobcourse
