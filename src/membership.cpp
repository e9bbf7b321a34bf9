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
constexpr auto announce_interval = milliseconds(200);
constexpr auto config_request_interval = milliseconds(500);
constexpr auto leave_timeout = milliseconds(1000);
/// Requests that are remembered for matching replies; a reply to an older one
/// is ignored.
constexpr std::size_t max_sent_requests = 64;
/// Replaced incarnations that are remembered per host.
constexpr std::size_t max_replaced_incarnations = 8;

/// Returns 0 when the field is absent, negative or not an integer.
std::uint64_t unsigned_field(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

/// Encodes relayed grants as an array of the remaining milliseconds, the
/// highest configuration version and the round of each granter. Without field
/// names the encoding takes a third of the space.
json to_json(time_point now, const relayed_grants& grants)
{
    json array{
        std::chrono::duration_cast<milliseconds>(grants.until - now).count(),
        grants.config_version};
    for (const auto round : grants.rounds)
        array.push_back(round);
    return array;
}

/// Decodes relayed grants. The remaining time counts from `requested_at`, when
/// the request was sent. Empty when the array is malformed.
std::optional<relayed_grants> parse_relayed_grants(const json& array,
                                                   std::uint64_t member_digest,
                                                   time_point requested_at)
{
    if (!array.is_array() || array.size() < 3 ||
        !std::all_of(array.begin(), array.end(),
                     [](const auto& each)
                     { return each.is_number_unsigned(); }))
        return std::nullopt;
    relayed_grants grants;
    grants.member_digest = member_digest;
    grants.until =
        requested_at +
        milliseconds(std::min(
            array[0].get<std::uint64_t>(),
            static_cast<std::uint64_t>(config::grant_freshness_bound.count())));
    grants.config_version = array[1].get<std::uint64_t>();
    for (std::size_t i = 2; i < array.size(); ++i)
        grants.rounds.push_back(array[i].get<std::uint64_t>());
    return grants;
}

/// Reads a duration in milliseconds from a message and limits it to `max`.
duration duration_field(const json& body, const char* name, duration max)
{
    const auto limit = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(max).count());
    return milliseconds(std::min(unsigned_field(body, name), limit));
}

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

member_entry parse_member(const json& body)
{
    return {text_field(body, "incarnation"), text_field(body, "data_centre"),
            text_field(body, "peer_address")};
}

} // namespace

membership::membership(core_context& context, config_service& config)
    : context_(context), config_(config)
{
    const auto& identity = context.identity;
    context_.grants.set_own_member(
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
        scan_members(now);
    if (!has_scanned_)
        return;
    if (!is_full_mesh() && is_table_read_overdue(now))
        next_heartbeat_ =
            std::min(next_heartbeat_, last_heartbeat_ + config::relay_period);
    if (now >= next_heartbeat_)
        send_heartbeats(now);
    send_heartbeats_to_connected(now);
    announce_change(now);
}

// ------------------------------------------------------------- own row

void membership::read_own_row(time_point now)
{
    state_ = registration::reading;
    next_action_ = now + config::heartbeat_period;
    row_op_ = context_.next_op(component::members);
    context_.out.emplace_back(
        store_read{*row_op_, member_table, context_.identity.host});
}

void membership::on_store_result(time_point now, const store_result& result)
{
    if (scan_op_ && result.op == *scan_op_)
    {
        scan_op_.reset();
        if (result.status == store_status::ok &&
            state_ == registration::registered)
            on_members_scanned(now, result);
        return;
    }
    if (!row_op_ || !(result.op == *row_op_))
        return;
    row_op_.reset();
    if (state_ == registration::reading)
        on_own_row_read(now, result);
    else if (state_ == registration::writing)
        on_own_row_written(now, result);
}

void membership::on_own_row_read(time_point now, const store_result& result)
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
            text_field(value, "incarnation") == context_.identity.incarnation)
        {
            // An earlier write succeeded, but its reply was lost.
            state_ = registration::writing;
            written_value_ = row.value;
            on_own_row_written(now,
                               {{}, store_status::ok, 0, {row.version}, {}});
            return;
        }
    }
    state_ = registration::writing;
    row_op_ = context_.next_op(component::members);
    store_commit commit;
    commit.op = *row_op_;
    const json value{{"incarnation", context_.identity.incarnation},
                     {"data_centre", context_.identity.data_centre},
                     {"peer_address", context_.identity.peer_address}};
    written_value_ = value.dump();
    commit.writes = {
        {member_table, context_.identity.host, expect, written_value_}};
    context_.out.emplace_back(std::move(commit));
}

void membership::on_own_row_written(time_point now, const store_result& result)
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

void membership::unregister(registration state)
{
    state_ = state;
    has_scanned_ = false;
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
    unregister(registration::leaving);
    row_op_.reset();
    leave_deadline_ = now;
    if (!registered)
        return;
    leave_deadline_ = now + leave_timeout;
    row_op_ = context_.next_op(component::members);
    store_commit commit;
    commit.op = *row_op_;
    commit.writes = {
        {member_table, context_.identity.host, own_version_, std::nullopt}};
    context_.out.emplace_back(std::move(commit));
}

bool membership::has_left(time_point now) const
{
    return state_ == registration::leaving &&
           (!row_op_ || now >= leave_deadline_);
}

// ------------------------------------------------------------- other rows

void membership::scan_members(time_point now)
{
    scan_started_ = now;
    next_scan_ = now + config::member_scan_period;
    scan_op_ = context_.next_op(component::members);
    context_.out.emplace_back(
        store_scan{*scan_op_, member_table, "", "", member_scan_limit});
}

void membership::on_members_scanned(time_point now, const store_result& result)
{
    member_map members;
    bool own_row = false;
    row_versions_.clear();
    for (const auto& row : result.rows)
    {
        const auto value = json::parse(row.value, nullptr, false);
        if (!value.is_object())
            continue;
        auto member = parse_member(value);
        if (row.key != context_.identity.host)
        {
            row_versions_[row.key] = row.version;
            members[row.key] = std::move(member);
            continue;
        }
        own_row = true;
        if (member.incarnation == context_.identity.incarnation)
        {
            // The scan may predate a commit that rewrote the row.
            if (!context_.member_row ||
                context_.member_row->version < row.version)
                context_.member_row = row;
            continue;
        }
        context_.log(log_code::member_superseded, member.incarnation);
        unregister(registration::superseded);
        context_.out.emplace_back(set_peers{});
        return;
    }
    if (!own_row)
    {
        // The row was deleted, so this host registers again as a new one.
        unregister(registration::absent);
        return;
    }
    for (const auto& [host, learned_at] : learned_at_)
    {
        const auto known = context_.grants.members().find(host);
        if (learned_at >= scan_started_ &&
            known != context_.grants.members().end())
            members[host] = known->second;
    }
    for (auto at = learned_at_.begin(); at != learned_at_.end();)
        at = at->second < scan_started_ ? learned_at_.erase(at) : std::next(at);
    if (!has_scanned_)
        next_heartbeat_ = now;
    has_scanned_ = true;
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
            replaced_incarnations_.erase(host);
            last_message_at_.erase(host);
            context_.log(log_code::member_left, host);
        }
        else if (found->second.incarnation != member.incarnation)
        {
            auto& replaced = replaced_incarnations_[host];
            if (replaced.size() >= max_replaced_incarnations)
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
    ++host_lists_read_;
    currently_listed_.clear();
    for (const auto& host : hosts)
    {
        if (host.kind == host_kind::entry)
            currently_listed_.insert(host.id);
    }
    ever_listed_.insert(currently_listed_.begin(), currently_listed_.end());
}

/// True when a host that was in the host list no longer is, as it has then been
/// removed permanently. A host that was never listed may just be new. It counts
/// as removed once it has been unlisted and silent for
/// `unlisted_member_timeout` and `unlisted_member_lists` reads of the host
/// list; otherwise its row would block changes forever when no remaining host
/// ever saw it listed. Deleting the row of a live host is safe because each
/// commit of a change requires that row.
bool membership::is_permanently_removed(time_point now, const std::string& host,
                                        std::uint64_t version)
{
    if (currently_listed_.count(host) != 0)
    {
        unlisted_rows_.erase(host);
        return false;
    }
    if (ever_listed_.count(host) != 0)
        return true;
    auto& row = unlisted_rows_[host];
    const auto last_message = last_message_at_.find(host);
    const bool restarts_wait =
        row.version != version || (last_message != last_message_at_.end() &&
                                   last_message->second >= row.since);
    if (restarts_wait)
        row = {version, now, host_lists_read_};
    return now >= row.since + config::unlisted_member_timeout &&
           host_lists_read_ - row.host_lists_read >=
               config::unlisted_member_lists;
}

void membership::remove_unlisted(time_point now)
{
    for (auto at = unlisted_rows_.begin(); at != unlisted_rows_.end();)
        at = row_versions_.count(at->first) == 0 ? unlisted_rows_.erase(at)
                                                 : std::next(at);
    for (const auto& [host, version] : row_versions_)
    {
        if (!is_permanently_removed(now, host, version))
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

bool membership::is_table_read_overdue(time_point now) const
{
    const auto read = config_.own_read_at();
    return !read || now >= *read + config::table_silence;
}

std::uint64_t membership::next_sequence(time_point now)
{
    sent_requests_.emplace_back(++sequence_, now);
    if (sent_requests_.size() > max_sent_requests)
        sent_requests_.pop_front();
    return sequence_;
}

/// Returns when this incarnation sent the request that `answer` replies to;
/// empty when it sent none or the request is no longer remembered.
std::optional<time_point> membership::request_time(const json& answer) const
{
    if (text_field(answer, "to") != context_.identity.incarnation)
        return std::nullopt;
    const auto sequence = unsigned_field(answer, "seq");
    const auto sent =
        std::find_if(sent_requests_.begin(), sent_requests_.end(),
                     [&](const auto& each) { return each.first == sequence; });
    return sent == sent_requests_.end()
               ? std::nullopt
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

/// In a full mesh, every member gets a heartbeat. Above `full_mesh_hosts`, only
/// members of the own data centre and those that do not know this host yet do;
/// summaries cover the others. The mode follows from the sender's own view, and
/// every request is answered, so views of different hosts may differ.
void membership::send_heartbeats(time_point now)
{
    const bool full_mesh = is_full_mesh();
    const bool for_all_members = !full_mesh && is_table_read_overdue(now);
    // Near the limit, hosts are likely to disagree about the mode, and relayed
    // grants then fail. Direct requests are still cheap at this size.
    const bool near_full_mesh = context_.grants.members().size() + 1 <=
                                2 * context_.identity.full_mesh_hosts;
    last_heartbeat_ = now;
    next_heartbeat_ = now + config::heartbeat_period;
    const auto sequence = next_sequence(now);
    auto body = heartbeat_body(sequence);
    if (for_all_members)
        body["all"] = true;
    for (const auto& [host, member] : context_.grants.members())
    {
        if (full_mesh || member.data_centre == context_.identity.data_centre ||
            !context_.grants.is_known_to(host) ||
            (for_all_members && near_full_mesh &&
             context_.grants.granted_until(host).value_or(time_point{}) <=
                 now + config::relay_reserve))
            send(host, "heartbeat", body);
    }
    if (!full_mesh)
        request_summaries(now, sequence, for_all_members);
}

/// Sends a heartbeat at once to newly connected peers, if the periodic
/// heartbeat would go to them.
void membership::send_heartbeats_to_connected(time_point now)
{
    if (newly_connected_.empty())
        return;
    const auto body = heartbeat_body(next_sequence(now));
    for (const auto& host : std::exchange(newly_connected_, {}))
    {
        const auto member = context_.grants.members().find(host);
        if (member != context_.grants.members().end() &&
            (is_full_mesh() ||
             member->second.data_centre == context_.identity.data_centre ||
             !context_.grants.is_known_to(host)))
            send(host, "heartbeat", body);
    }
}

/// Requests summaries with the version, and grants if needed, from the other
/// data centres assigned to this host. The recently active hosts of the own
/// data centre divide them by rank. While their views differ, a data centre may
/// be asked twice or not at all.
void membership::request_summaries(time_point now, std::uint64_t sequence,
                                   bool for_all_members)
{
    const auto& own = context_.identity;
    std::set<std::string> active_hosts{own.host};
    std::map<std::string, std::vector<std::string>> hosts_by_data_centre;
    hosts_by_data_centre[own.data_centre];
    for (const auto& [host, member] : context_.grants.members())
    {
        hosts_by_data_centre[member.data_centre].push_back(host);
        const auto at = last_message_at_.find(host);
        if (member.data_centre == own.data_centre &&
            at != last_message_at_.end() &&
            now < at->second + config::reporter_timeout)
            active_hosts.insert(host);
    }
    const auto rank = static_cast<std::size_t>(
        std::distance(active_hosts.begin(), active_hosts.find(own.host)));
    const auto own_index = static_cast<std::size_t>(
        std::distance(hosts_by_data_centre.begin(),
                      hosts_by_data_centre.find(own.data_centre)));
    json body{{"incarnation", own.incarnation},
              {"seq", sequence},
              {"version", config_.current().version()}};
    if (for_all_members)
        body["all"] = true;
    std::size_t index = 0;
    for (const auto& [data_centre, hosts] : hosts_by_data_centre)
    {
        if (data_centre == own.data_centre)
            continue;
        auto& state = data_centre_states_[data_centre];
        const bool assigned = index++ % active_hosts.size() == rank;
        if (!for_all_members)
        {
            state.failures = 0;
            state.requested_at = now;
        }
        if (!assigned && !(for_all_members && needs_grants(now, data_centre)))
            continue;
        state.requested_at = now;
        if (now >= state.answered_at + config::summary_timeout)
            ++state.host_offset;
        // Starting at the index of the own data centre distributes the requests
        // of several data centres over the hosts that are asked.
        send(hosts[(own_index + state.host_offset) % hosts.size()],
             "summary_request", body);
    }
}

/// True when peers have not relayed the grants of the data centre in time, for
/// instance because the assigned host is paused or knows fewer members.
bool membership::needs_grants(time_point now,
                              const std::string& data_centre) const
{
    const auto until = context_.grants.relayed_until(data_centre);
    const auto& state = data_centre_states_.at(data_centre);
    const auto requested_at = state.requested_at;
    if (until && now < *until)
        return now >= *until - config::relay_reserve &&
               now >= requested_at + config::heartbeat_period;
    return now >=
           requested_at + std::min<duration>((state.failures + 1) *
                                                 config::heartbeat_period,
                                             config::relay_retry_most);
}

void membership::add_config_age(time_point now, json& body) const
{
    const auto confirmed = config_.confirmed_at();
    if (confirmed && now < *confirmed + config::config_freshness_bound)
        body["age_ms"] = to_ms(now - *confirmed) + 1;
}

/// Applies the age of a peer's configuration. The reply was written after
/// `requested_at`, so subtracting the age from that time never makes the
/// configuration look fresher than it is.
void membership::apply_config_age(time_point requested_at, const json& body)
{
    if (body.contains("age_ms"))
        config_.on_peer_confirmation(
            unsigned_field(body, "version"),
            requested_at -
                duration_field(body, "age_ms", config::config_freshness_bound));
}

/// Announces the pending change to the holders of grants, which give them up by
/// an acknowledgement. Repeated until all have acknowledged or the change has
/// ended, because messages may be lost.
void membership::announce_change(time_point now)
{
    if (!context_.grants.is_changing())
    {
        next_announcement_ = now;
        // Tells peers the new version without waiting for the next heartbeat.
        if (std::exchange(was_changing_, false))
            next_heartbeat_ = now;
        return;
    }
    was_changing_ = true;
    if (now < next_announcement_)
        return;
    next_announcement_ = now + announce_interval;
    const json body{{"incarnation", context_.identity.incarnation},
                    {"round", context_.grants.round()}};
    for (const auto& host : context_.grants.unacknowledged())
        send(host, "change", body);
}

/// Adds unknown senders of heartbeats as members. Refuses messages of
/// incarnations that were replaced by a newer one.
bool membership::check_incarnation(time_point now, const std::string& host,
                                   const json& body)
{
    const auto incarnation = text_field(body, "incarnation");
    const auto& members = context_.grants.members();
    const auto known = members.find(host);
    if (known != members.end() && known->second.incarnation == incarnation)
        return true;
    const auto replaced = replaced_incarnations_.find(host);
    const bool stale = replaced != replaced_incarnations_.end() &&
                       replaced->second.count(incarnation) != 0;
    const auto member = parse_member(body);
    if (stale || incarnation.empty() || member.peer_address.empty())
    {
        context_.counters.count("carobcourse_peer_refusals_total",
                                "incarnation");
        return false;
    }
    // A host registers before it sends heartbeats, so a later scan contains its
    // row.
    auto updated = members;
    updated[host] = member;
    learned_at_[host] = now;
    update_members(now, std::move(updated));
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
    if (!has_scanned_ || message.from == context_.identity.host)
        return;
    if (message.type == "heartbeat")
    {
        if (check_incarnation(now, message.from, body))
        {
            last_message_at_[message.from] = now;
            on_heartbeat(now, message.from, body);
        }
        return;
    }
    const auto known = context_.grants.members().find(message.from);
    if (known == context_.grants.members().end() ||
        known->second.incarnation != text_field(body, "incarnation"))
    {
        context_.counters.count("carobcourse_peer_refusals_total",
                                "incarnation");
        return;
    }
    last_message_at_[message.from] = now;
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
        context_.grants.on_peer_change(message.from,
                                       unsigned_field(body, "round"));
        auto reply = own;
        reply["round"] = unsigned_field(body, "round");
        send(message.from, "change_ack", reply);
    }
    else if (message.type == "change_ack")
    {
        context_.grants.on_change_acknowledged(message.from,
                                               unsigned_field(body, "round"));
    }
    else if (message.type == "config_request")
    {
        auto reply = own;
        reply["changes"] =
            config_.recent_changes(unsigned_field(body, "after"));
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
    const auto grant = grants.issue_grant(now, host, config_.has_read_table());
    const auto shards = context_.grants.issue_shard_grant(now, host);
    json reply{{"incarnation", context_.identity.incarnation},
               {"to", text_field(body, "incarnation")},
               {"seq", unsigned_field(body, "seq")},
               {"version", config_.current().version()},
               {"grant_ms", to_ms(grant)},
               {"shards_ms", to_ms(shards)},
               {"round", grants.round()}};
    add_config_age(now, reply);
    if (body.value("all", json()) == json(true) &&
        grants.issue_grant_to_all(now, config_.has_read_table()) > duration(0))
    {
        reply["set"] = grants.member_digest();
        auto relayed = json::object();
        for (const auto& [data_centre, each] : grants.relayable(now))
            relayed[data_centre] = to_json(now, each);
        if (!relayed.empty())
            reply["relayed"] = std::move(relayed);
    }
    send(host, "heartbeat_ack", reply);
    if (body.contains("shards") &&
        text_field(body, "data_centre") == context_.identity.data_centre)
        context_.balance.on_peer_count(now, host,
                                       unsigned_field(body, "shards"));
    on_peer_version(now, host, unsigned_field(body, "version"));
}

void membership::on_heartbeat_ack(time_point now, const std::string& host,
                                  const json& body)
{
    const auto requested_at = request_time(body);
    if (!requested_at)
        return;
    const auto version = unsigned_field(body, "version");
    held_grant grant;
    grant.incarnation = text_field(body, "incarnation");
    grant.round = unsigned_field(body, "round");
    grant.config_version = version;
    grant.requested_at = *requested_at;
    grant.member_digest = unsigned_field(body, "set");
    grant.config_duration =
        duration_field(body, "grant_ms", config::grant_promise);
    grant.shard_duration =
        duration_field(body, "shards_ms", config::grant_promise);
    context_.grants.on_grant(host, grant);
    context_.grants.on_known_to(host);
    on_peer_version(now, host, version);
    apply_config_age(*requested_at, body);
    const auto relayed = body.find("relayed");
    if (relayed == body.end() || !relayed->is_object())
        return;
    for (const auto& [data_centre, array] : relayed->items())
    {
        if (auto each =
                parse_relayed_grants(array, grant.member_digest, *requested_at))
            context_.grants.on_relayed_grants(data_centre, std::move(*each));
    }
}

void membership::on_summary_request(time_point now, const std::string& host,
                                    const json& body)
{
    json reply{{"incarnation", context_.identity.incarnation},
               {"to", text_field(body, "incarnation")},
               {"seq", unsigned_field(body, "seq")},
               {"version", config_.current().version()}};
    add_config_age(now, reply);
    if (body.value("all", json()) == json(true))
    {
        const auto grants = context_.grants.own_data_centre_grants(
            now, config_.has_read_table(), config_.current().version());
        if (grants)
        {
            reply["set"] = grants->member_digest;
            reply["grants"] = to_json(now, *grants);
        }
    }
    send(host, "summary", reply);
    on_peer_version(now, host, unsigned_field(body, "version"));
}

void membership::on_summary(time_point now, const std::string& host,
                            const json& body)
{
    const auto requested_at = request_time(body);
    if (!requested_at)
        return;
    const auto& data_centre = context_.grants.members().at(host).data_centre;
    auto& state = data_centre_states_[data_centre];
    state.answered_at = now;
    on_peer_version(now, host, unsigned_field(body, "version"));
    apply_config_age(*requested_at, body);
    const auto found = body.find("grants");
    if (found == body.end())
    {
        // Another host of that data centre may have the missing grants.
        if (is_table_read_overdue(now))
        {
            ++state.host_offset;
            ++state.failures;
        }
        return;
    }
    if (auto grants = parse_relayed_grants(*found, unsigned_field(body, "set"),
                                           *requested_at))
    {
        state.failures = 0;
        grants->received_directly = true;
        context_.grants.on_relayed_grants(data_centre, std::move(*grants));
    }
}

void membership::on_peer_version(time_point now, const std::string& host,
                                 std::uint64_t version)
{
    if (version <= config_.current().version() ||
        !config_.current().is_loaded() ||
        now < config_requested_at_ + config_request_interval)
        return;
    config_requested_at_ = now;
    send(host, "config_request",
         {{"incarnation", context_.identity.incarnation},
          {"after", config_.current().version()}});
}

void membership::on_peer_state(const peer_state& state)
{
    context_.log(state.connected ? log_code::peer_connected
                                 : log_code::peer_lost,
                 state.host);
    if (state.connected && has_scanned_)
        newly_connected_.insert(state.host);
}

} // namespace carobcourse
