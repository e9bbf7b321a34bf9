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

void peer_grants::set_own(std::string host, member_entry own)
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
        removed_at_ = now;
        held_.erase(host);
        least_round_.erase(host);
        introduced_.erase(host);
        acknowledged_.erase(host);
    }
    members_ = std::move(members);
    registered_ = true;
    const auto member_set = digest_members();
    if (member_set != member_set_)
    {
        relayed_.clear();
        place_.clear();
        std::map<std::string, std::size_t> count;
        for (const auto& [host, member] : members_)
            place_[host] = count[member.data_centre]++;
    }
    member_set_ = member_set;
    // Only a registered host relies on a promise of the incarnation before
    // this one.
    if (!quiet_until_)
        quiet_until_ =
            members_.empty() ? now : now + config::restart_quiet_period;
}

void peer_grants::set_unregistered()
{
    registered_ = false;
    quiet_until_.reset();
    introduced_.clear();
    relayed_.clear();
}

void peer_grants::on_tick(time_point now)
{
    ticked_at_ = now;
    for (auto* promises : {&promised_until_, &shards_promised_until_})
    {
        for (auto at = promises->begin(); at != promises->end();)
            at = at->second <= now ? promises->erase(at) : std::next(at);
    }
}

// ---------------------------------------------------------------- as granter

namespace
{

duration give(time_point now, time_point& until)
{
    constexpr duration length = config::grant_promise;
    until = std::max(until, now + length + drift_margin(length));
    return length;
}

} // namespace

duration peer_grants::promise(time_point now, const std::string& host,
                              bool able)
{
    if (!registered_ || !able || changing_ || members_.count(host) == 0)
        return duration(0);
    return give(now, promised_until_[host]);
}

duration peer_grants::promise_to_all(time_point now, bool able)
{
    if (!registered_ || !able || changing_)
        return duration(0);
    for (const auto& [host, member] : members_)
        give(now, promised_until_[host]);
    return config::grant_promise;
}

duration peer_grants::promise_shards(time_point now, const std::string& host)
{
    const bool taking =
        std::any_of(taking_from_.begin(), taking_from_.end(),
                    [&](const auto& item) { return item.second == host; });
    if (!registered_ || taking || members_.count(host) == 0)
        return duration(0);
    return give(now, shards_promised_until_[host]);
}

// ----------------------------------------------------------- gate of changes

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

bool peer_grants::is_quiet(time_point now) const
{
    if (!registered_ || !quiet_until_ || now < *quiet_until_)
        return true;
    return std::any_of(members_.begin(), members_.end(),
                       [this](const auto& member)
                       { return introduced_.count(member.first) == 0; });
}

bool peer_grants::may_change(time_point now) const
{
    if (!changing_ || is_quiet(now))
        return false;
    return std::all_of(promised_until_.begin(), promised_until_.end(),
                       [&](const auto& promise) {
                           return promise.second <= now ||
                                  acknowledged_.count(promise.first) != 0;
                       });
}

std::set<std::string> peer_grants::unacknowledged() const
{
    std::set<std::string> hosts;
    if (!changing_)
        return hosts;
    for (const auto& [host, member] : members_)
    {
        if (promised_until_.count(host) != 0 && acknowledged_.count(host) == 0)
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

void peer_grants::on_introduced(const std::string& host)
{
    if (members_.count(host))
        introduced_.insert(host);
}

bool peer_grants::begin_takeover(time_point now, const std::string& shard,
                                 const std::string& owner)
{
    const auto promised = shards_promised_until_.find(owner);
    if (is_quiet(now) ||
        (promised != shards_promised_until_.end() && now < promised->second))
        return false;
    taking_from_[shard] = owner;
    return true;
}

void peer_grants::end_takeover(const std::string& shard)
{
    taking_from_.erase(shard);
}

// ----------------------------------------------------------------- as holder

void peer_grants::on_grant(const std::string& host, const held_grant& grant)
{
    const auto member = members_.find(host);
    if (member == members_.end() ||
        member->second.incarnation != grant.incarnation)
        return;
    const auto found = held_.find(host);
    if (found != held_.end() && grant.asked_at < found->second.asked_at)
        return;
    held_[host] = grant;
    void_old_round(host);
}

bool peer_grants::has_void_round(const std::string& data_centre,
                                 const relayed_grants& grants) const
{
    return std::any_of(least_round_.begin(), least_round_.end(),
                       [&](const auto& least)
                       {
                           const auto member = members_.find(least.first);
                           return member != members_.end() &&
                                  member->second.data_centre == data_centre &&
                                  grants.rounds[place_.at(least.first)] <
                                      least.second;
                       });
}

void peer_grants::on_relayed(const std::string& data_centre,
                             relayed_grants grants)
{
    const auto granters = static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [&](const auto& member)
                      { return member.second.data_centre == data_centre; }));
    if (!registered_ || grants.member_set != member_set_ ||
        data_centre == own_.data_centre || grants.rounds.size() != granters ||
        has_void_round(data_centre, grants))
        return;
    const auto found = relayed_.find(data_centre);
    // Grants that are not void are all sound; the longest is the most useful.
    if (found != relayed_.end() && found->second.until >= grants.until &&
        !has_void_round(data_centre, found->second))
        return;
    relayed_[data_centre] = std::move(grants);
}

std::optional<relayed_grants>
peer_grants::grants_here(time_point now, bool able,
                         std::uint64_t config_version)
{
    relayed_grants grants;
    grants.member_set = member_set_;
    grants.config_version = config_version;
    grants.until = now + config::grant_freshness_bound;
    std::map<std::string, std::uint64_t> rounds{{own_host_, round_}};
    for (const auto& [host, member] : members_)
    {
        if (member.data_centre != own_.data_centre)
            continue;
        const auto held = held_.find(host);
        if (held == held_.end() || held->second.length <= duration(0) ||
            held->second.member_set != member_set_)
            return std::nullopt;
        grants.until =
            std::min(grants.until,
                     held->second.asked_at +
                         std::min<duration>(held->second.length,
                                            config::grant_freshness_bound));
        grants.config_version =
            std::max(grants.config_version, held->second.config_version);
        rounds[host] = held->second.round;
    }
    if (grants.until <= now || promise_to_all(now, able) <= duration(0))
        return std::nullopt;
    for (const auto& [host, round] : rounds)
        grants.rounds.push_back(round);
    return grants;
}

std::optional<time_point>
peer_grants::relayed_until(const std::string& data_centre) const
{
    const auto found = relayed_.find(data_centre);
    return found == relayed_.end()
               ? std::nullopt
               : std::optional<time_point>(found->second.until);
}

std::map<std::string, relayed_grants>
peer_grants::relayable(time_point now) const
{
    std::map<std::string, relayed_grants> found;
    for (const auto& [data_centre, grants] : relayed_)
    {
        if (grants.asked_here && now < grants.until &&
            !has_void_round(data_centre, grants))
            found[data_centre] = grants;
    }
    return found;
}

void peer_grants::on_peer_change(const std::string& host, std::uint64_t round)
{
    auto& least = least_round_[host];
    least = std::max(least, round);
    void_old_round(host);
}

void peer_grants::void_old_round(const std::string& host)
{
    const auto held = held_.find(host);
    const auto least = least_round_.find(host);
    if (held != held_.end() && least != least_round_.end() &&
        held->second.round < least->second)
        held->second.length = duration(0);
}

std::optional<time_point> peer_grants::confirmed_until() const
{
    if (!registered_ || changing_)
        return std::nullopt;
    // A host without peers is confirmed by its own activity; one that was
    // paused is not, until its next tick.
    auto until = ticked_at_ + config::grant_freshness_bound;
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
    const auto held = held_.find(host);
    if (held == held_.end() || held->second.length <= duration(0))
        return relayed;
    const auto direct =
        held->second.asked_at +
        std::min<duration>(held->second.length, config::grant_freshness_bound);
    return std::max(relayed.value_or(direct), direct);
}

std::optional<time_point>
peer_grants::relayed_until(const std::string& host,
                           const member_entry& member) const
{
    const auto found = relayed_.find(member.data_centre);
    if (found == relayed_.end())
        return std::nullopt;
    const auto least = least_round_.find(host);
    if (least != least_round_.end() &&
        found->second.rounds[place_.at(host)] < least->second)
        return std::nullopt;
    return found->second.until;
}

std::uint64_t peer_grants::highest_version() const
{
    std::uint64_t highest = 0;
    for (const auto& [host, grant] : held_)
        highest = std::max(highest, grant.config_version);
    for (const auto& [data_centre, grants] : relayed_)
        highest = std::max(highest, grants.config_version);
    return highest;
}

std::optional<time_point>
peer_grants::shards_until(const std::string& data_centre) const
{
    if (!registered_)
        return std::nullopt;
    constexpr duration length = config::grant_promise;
    auto until = ticked_at_ + length - drift_margin(length);
    for (const auto& [host, member] : members_)
    {
        if (member.data_centre != data_centre)
            continue;
        const auto held = held_.find(host);
        if (held == held_.end() || held->second.shards <= duration(0))
            return std::nullopt;
        until = std::min(until, held->second.asked_at + held->second.shards -
                                    drift_margin(held->second.shards));
    }
    return until;
}

} // namespace carobcourse
