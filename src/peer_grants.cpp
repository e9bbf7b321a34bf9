#include "peer_grants_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <utility>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carobcourse
{

duration drift_margin(duration lease)
{
    return config::drift_margin_fixed + lease / config::drift_margin_divisor;
}

// ---------------------------------------------------------------- membership

void peer_grants::set_own_member(std::string host, member_entry own)
{
    own_host_ = std::move(host);
    own_ = std::move(own);
}

std::uint64_t peer_grants::digest_members() const
{
    auto all = members_;
    all[own_host_] = own_;
    std::string text;
    for (const auto& [host, member] : all)
    {
        for (const auto* part :
             {&host, &member.incarnation, &member.data_centre})
        {
            text += *part;
            text += '\0';
        }
    }
    return XXH3_64bits(text.data(), text.size());
}

void peer_grants::set_members(time_point now, member_map members)
{
    for (const auto& [host, before] : members_)
    {
        const auto found = members.find(host);
        if (found != members.end() &&
            found->second.incarnation == before.incarnation)
            continue;
        last_member_removal_ = now;
        held_grants_.erase(host);
        min_round_.erase(host);
        known_to_.erase(host);
        acknowledged_.erase(host);
    }
    members_ = std::move(members);
    registered_ = true;
    const auto member_digest = digest_members();
    if (member_digest != member_digest_)
    {
        relayed_grants_.clear();
        granter_index_.clear();
        std::map<std::string, std::size_t> count;
        for (const auto& [host, member] : members_)
            granter_index_[host] = count[member.data_centre]++;
    }
    member_digest_ = member_digest;
    // The previous incarnation of this host may have issued grants. Only
    // registered hosts can rely on them, so no wait is needed without members.
    if (!change_blocked_until_)
        change_blocked_until_ =
            members_.empty() ? now : now + config::restart_quiet_period;
}

void peer_grants::set_unregistered()
{
    registered_ = false;
    change_blocked_until_.reset();
    known_to_.clear();
    relayed_grants_.clear();
}

void peer_grants::on_tick(time_point now)
{
    last_tick_ = now;
    for (auto* issued : {&grants_issued_until_, &shard_grants_issued_until_})
    {
        for (auto at = issued->begin(); at != issued->end();)
            at = at->second <= now ? issued->erase(at) : std::next(at);
    }
}

// ---------------------------------------------------------------- as granter

namespace
{

/// Extends the expiry on the granter's side, which includes the drift margin,
/// and returns the duration that the holder may rely on.
duration extend_grant(time_point now, time_point& until)
{
    constexpr duration length = config::grant_promise;
    until = std::max(until, now + length + drift_margin(length));
    return length;
}

} // namespace

duration peer_grants::issue_grant(time_point now, const std::string& host,
                                  bool has_read_table)
{
    if (!registered_ || !has_read_table || changing_ ||
        members_.count(host) == 0)
        return duration(0);
    return extend_grant(now, grants_issued_until_[host]);
}

duration peer_grants::issue_grant_to_all(time_point now, bool has_read_table)
{
    if (!registered_ || !has_read_table || changing_)
        return duration(0);
    for (const auto& [host, member] : members_)
        extend_grant(now, grants_issued_until_[host]);
    return config::grant_promise;
}

duration peer_grants::issue_shard_grant(time_point now, const std::string& host)
{
    const bool is_taking_over =
        std::any_of(takeover_owners_.begin(), takeover_owners_.end(),
                    [&](const auto& item) { return item.second == host; });
    if (!registered_ || is_taking_over || members_.count(host) == 0)
        return duration(0);
    return extend_grant(now, shard_grants_issued_until_[host]);
}

// ---------------------------------------------------------- change admission

void peer_grants::begin_change()
{
    if (changing_)
        return;
    changing_ = true;
    ++round_;
    acknowledged_.clear();
}

void peer_grants::end_change()
{
    changing_ = false;
    acknowledged_.clear();
}

bool peer_grants::is_change_blocked(time_point now) const
{
    if (!registered_ || !change_blocked_until_ || now < *change_blocked_until_)
        return true;
    return std::any_of(members_.begin(), members_.end(),
                       [this](const auto& member)
                       { return known_to_.count(member.first) == 0; });
}

bool peer_grants::may_change(time_point now) const
{
    if (!changing_ || is_change_blocked(now))
        return false;
    return std::all_of(grants_issued_until_.begin(), grants_issued_until_.end(),
                       [&](const auto& issued) {
                           return issued.second <= now ||
                                  acknowledged_.count(issued.first) != 0;
                       });
}

std::set<std::string> peer_grants::unacknowledged() const
{
    std::set<std::string> hosts;
    if (!changing_)
        return hosts;
    for (const auto& [host, member] : members_)
    {
        if (grants_issued_until_.count(host) != 0 &&
            acknowledged_.count(host) == 0)
            hosts.insert(host);
    }
    return hosts;
}

void peer_grants::on_change_acknowledged(const std::string& host,
                                         std::uint64_t round)
{
    if (changing_ && round == round_)
        acknowledged_.insert(host);
}

void peer_grants::on_known_to(const std::string& host)
{
    if (members_.count(host))
        known_to_.insert(host);
}

bool peer_grants::begin_takeover(time_point now, const std::string& shard,
                                 const std::string& owner)
{
    const auto issued = shard_grants_issued_until_.find(owner);
    if (is_change_blocked(now) ||
        (issued != shard_grants_issued_until_.end() && now < issued->second))
        return false;
    takeover_owners_[shard] = owner;
    return true;
}

void peer_grants::end_takeover(const std::string& shard)
{
    takeover_owners_.erase(shard);
}

// ----------------------------------------------------------------- as holder

void peer_grants::on_grant(const std::string& host, const held_grant& grant)
{
    const auto member = members_.find(host);
    if (member == members_.end() ||
        member->second.incarnation != grant.incarnation)
        return;
    const auto found = held_grants_.find(host);
    if (found != held_grants_.end() &&
        grant.requested_at < found->second.requested_at)
        return;
    held_grants_[host] = grant;
    void_outdated_grant(host);
}

bool peer_grants::has_outdated_round(const std::string& data_centre,
                                     const relayed_grants& grants) const
{
    return std::any_of(
        min_round_.begin(), min_round_.end(),
        [&](const auto& min_round)
        {
            const auto member = members_.find(min_round.first);
            return member != members_.end() &&
                   member->second.data_centre == data_centre &&
                   grants.rounds[granter_index_.at(min_round.first)] <
                       min_round.second;
        });
}

void peer_grants::on_relayed_grants(const std::string& data_centre,
                                    relayed_grants grants)
{
    const auto granters = static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [&](const auto& member)
                      { return member.second.data_centre == data_centre; }));
    if (!registered_ || grants.member_digest != member_digest_ ||
        data_centre == own_.data_centre || grants.rounds.size() != granters ||
        has_outdated_round(data_centre, grants))
        return;
    const auto found = relayed_grants_.find(data_centre);
    // All grants that are not void are valid, so the one that expires last is
    // kept.
    if (found != relayed_grants_.end() && found->second.until >= grants.until &&
        !has_outdated_round(data_centre, found->second))
        return;
    relayed_grants_[data_centre] = std::move(grants);
}

std::optional<relayed_grants>
peer_grants::own_data_centre_grants(time_point now, bool has_read_table,
                                    std::uint64_t config_version)
{
    relayed_grants grants;
    grants.member_digest = member_digest_;
    grants.config_version = config_version;
    grants.until = now + config::grant_freshness_bound;
    std::map<std::string, std::uint64_t> rounds{{own_host_, round_}};
    for (const auto& [host, member] : members_)
    {
        if (member.data_centre != own_.data_centre)
            continue;
        const auto held = held_grants_.find(host);
        if (held == held_grants_.end() ||
            held->second.config_duration <= duration(0) ||
            held->second.member_digest != member_digest_)
            return std::nullopt;
        grants.until =
            std::min(grants.until,
                     held->second.requested_at +
                         std::min<duration>(held->second.config_duration,
                                            config::grant_freshness_bound));
        grants.config_version =
            std::max(grants.config_version, held->second.config_version);
        rounds[host] = held->second.round;
    }
    if (grants.until <= now ||
        issue_grant_to_all(now, has_read_table) <= duration(0))
        return std::nullopt;
    for (const auto& [host, round] : rounds)
        grants.rounds.push_back(round);
    return grants;
}

std::optional<time_point>
peer_grants::relayed_until(const std::string& data_centre) const
{
    const auto found = relayed_grants_.find(data_centre);
    return found == relayed_grants_.end()
               ? std::nullopt
               : std::optional<time_point>(found->second.until);
}

std::map<std::string, relayed_grants>
peer_grants::relayable(time_point now) const
{
    std::map<std::string, relayed_grants> found;
    for (const auto& [data_centre, grants] : relayed_grants_)
    {
        if (grants.received_directly && now < grants.until &&
            !has_outdated_round(data_centre, grants))
            found[data_centre] = grants;
    }
    return found;
}

void peer_grants::on_peer_change(const std::string& host, std::uint64_t round)
{
    auto& min_round = min_round_[host];
    min_round = std::max(min_round, round);
    void_outdated_grant(host);
}

void peer_grants::void_outdated_grant(const std::string& host)
{
    const auto held = held_grants_.find(host);
    const auto min_round = min_round_.find(host);
    if (held != held_grants_.end() && min_round != min_round_.end() &&
        held->second.round < min_round->second)
        held->second.config_duration = duration(0);
}

std::optional<time_point> peer_grants::confirmed_until() const
{
    if (!registered_ || changing_)
        return std::nullopt;
    // A host without peers is confirmed by its own ticks. After a pause it is
    // unconfirmed until the next tick.
    auto until = last_tick_ + config::grant_freshness_bound;
    for (const auto& [host, member] : members_)
    {
        const auto granted = granted_until(host);
        if (!granted)
            return std::nullopt;
        until = std::min(until, *granted);
    }
    return until;
}

std::optional<time_point>
peer_grants::granted_until(const std::string& host) const
{
    const auto member = members_.find(host);
    if (member == members_.end())
        return std::nullopt;
    const auto relayed = relayed_until(host, member->second);
    const auto held = held_grants_.find(host);
    if (held == held_grants_.end() ||
        held->second.config_duration <= duration(0))
        return relayed;
    const auto direct = held->second.requested_at +
                        std::min<duration>(held->second.config_duration,
                                           config::grant_freshness_bound);
    return std::max(relayed.value_or(direct), direct);
}

std::optional<time_point>
peer_grants::relayed_until(const std::string& host,
                           const member_entry& member) const
{
    const auto found = relayed_grants_.find(member.data_centre);
    if (found == relayed_grants_.end())
        return std::nullopt;
    const auto min_round = min_round_.find(host);
    if (min_round != min_round_.end() &&
        found->second.rounds[granter_index_.at(host)] < min_round->second)
        return std::nullopt;
    return found->second.until;
}

std::uint64_t peer_grants::highest_config_version() const
{
    std::uint64_t highest = 0;
    for (const auto& [host, grant] : held_grants_)
        highest = std::max(highest, grant.config_version);
    for (const auto& [data_centre, grants] : relayed_grants_)
        highest = std::max(highest, grants.config_version);
    return highest;
}

std::optional<time_point>
peer_grants::shards_granted_until(const std::string& data_centre) const
{
    if (!registered_)
        return std::nullopt;
    constexpr duration length = config::grant_promise;
    auto until = last_tick_ + length - drift_margin(length);
    for (const auto& [host, member] : members_)
    {
        if (member.data_centre != data_centre)
            continue;
        const auto held = held_grants_.find(host);
        if (held == held_grants_.end() ||
            held->second.shard_duration <= duration(0))
            return std::nullopt;
        until = std::min(until, held->second.requested_at +
                                    held->second.shard_duration -
                                    drift_margin(held->second.shard_duration));
    }
    return until;
}

} // namespace carobcourse
