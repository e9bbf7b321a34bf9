#include "shard_balance_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <iterator>

namespace carobcourse
{

namespace
{

/// A peer is dropped when nothing was received from it for this long. Spans
/// several heartbeats, so that a few lost ones do not remove a peer.
constexpr auto peer_validity = 5 * config::heartbeat_period;
/// Time in which a new host and its peers receive heartbeats of each other.
constexpr auto peer_discovery_period = 3 * config::heartbeat_period;
/// Delay before a host acquires a shard beyond its fair share: two polls of the
/// other hosts. Together with the lease and the polls of this host a takeover
/// still completes before the leases of the workers expire.
constexpr auto extra_acquire_delay = 2 * config::ownership_renew_period;
/// A surplus must last this long before a shard is handed over. A handover
/// stops task starts in the shard for some seconds, so a host that restarts or
/// is disconnected for a moment must not cause one.
constexpr auto handover_delay = std::chrono::seconds(10);

} // namespace

void shard_balance::on_tick(time_point now, bool is_eligible)
{
    if (!is_eligible)
        eligible_since_.reset();
    else if (!eligible_since_)
        eligible_since_ = now;
    for (auto it = peers_.begin(); it != peers_.end();)
        it = now >= it->second.received_at + peer_validity ? peers_.erase(it)
                                                           : std::next(it);
    const auto share = fair_share(now);
    const bool above_share = share > 0 && held_shards_.size() > share &&
                             std::any_of(peers_.begin(), peers_.end(),
                                         [&](const auto& item)
                                         { return item.second.owned < share; });
    if (!above_share)
        surplus_since_.reset();
    else if (!surplus_since_)
        surplus_since_ = now;
    surplus_ = above_share && now >= *surplus_since_ + handover_delay;
}

void shard_balance::on_peer_count(time_point now, const std::string& host,
                                  std::uint64_t owned)
{
    peers_[host] = {owned, now};
}

std::optional<std::uint64_t> shard_balance::advertised_count() const
{
    if (shard_count_ == 1 || !eligible_since_)
        return std::nullopt;
    return held_shards_.size();
}

std::size_t shard_balance::fair_share(time_point now) const
{
    if (!eligible_since_ || now < *eligible_since_ + peer_discovery_period)
        return 0;
    const auto hosts = peers_.size() + 1;
    return (shard_count_ + hosts - 1) / hosts;
}

bool shard_balance::may_acquire(time_point now, time_point since) const
{
    if (shard_count_ == 1 || held_shards_.size() < fair_share(now))
        return true;
    // The delay starts only when the peers are known. Otherwise the first host
    // of a data centre would acquire every shard before its peers are seen.
    auto unowned_since = since;
    if (eligible_since_)
        unowned_since =
            std::max(unowned_since, *eligible_since_ + peer_discovery_period);
    return now >= unowned_since + extra_acquire_delay;
}

void shard_balance::note_handed_over(time_point now)
{
    surplus_since_ = now;
    surplus_ = false;
}

} // namespace carobcourse
