#include "shard_balance_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <iterator>

namespace carobcourse
{

namespace
{

/// Several heartbeats, so that lost ones do not remove a peer.
constexpr auto peer_validity = 5 * config::heartbeat_period;
/// A new host hears its peers in this time, and they hear of it.
constexpr auto settling_period = 3 * config::heartbeat_period;
/// Two polls of the others. With the lease and the own polls a takeover still
/// ends before the leases of the workers.
constexpr auto extra_take_delay = 2 * config::ownership_renew_period;
/// Hysteresis: a handover stops starts in its shard for some seconds, so a
/// host that restarts or is cut off for a moment causes none.
constexpr auto handover_delay = std::chrono::seconds(10);

} // namespace

void shard_balance::on_tick(time_point now, bool takes_part)
{
    if (!takes_part)
        takes_part_since_.reset();
    else if (!takes_part_since_)
        takes_part_since_ = now;
    for (auto it = peers_.begin(); it != peers_.end();)
        it = now >= it->second.heard_at + peer_validity ? peers_.erase(it)
                                                        : std::next(it);
    const auto part = fair_part(now);
    const bool over =
        part > 0 && held_.size() > part &&
        std::any_of(peers_.begin(), peers_.end(),
                    [&](const auto& item) { return item.second.owned < part; });
    if (!over)
        surplus_since_.reset();
    else if (!surplus_since_)
        surplus_since_ = now;
    surplus_ = over && now >= *surplus_since_ + handover_delay;
}

void shard_balance::on_peer(time_point now, const std::string& host,
                            std::uint64_t owned)
{
    peers_[host] = {owned, now};
}

std::optional<std::uint64_t> shard_balance::stated() const
{
    if (count_ == 1 || !takes_part_since_)
        return std::nullopt;
    return held_.size();
}

std::size_t shard_balance::fair_part(time_point now) const
{
    if (!takes_part_since_ || now < *takes_part_since_ + settling_period)
        return 0;
    const auto hosts = peers_.size() + 1;
    return (count_ + hosts - 1) / hosts;
}

bool shard_balance::may_take(time_point now, time_point since) const
{
    if (count_ == 1 || held_.size() < fair_part(now))
        return true;
    // Counted from when the peers are known, so that the first host of a
    // data centre does not take every shard while it settles.
    auto from = since;
    if (takes_part_since_)
        from = std::max(from, *takes_part_since_ + settling_period);
    return now >= from + extra_take_delay;
}

void shard_balance::note_handed_over(time_point now)
{
    surplus_since_ = now;
    surplus_ = false;
}

} // namespace carobcourse
