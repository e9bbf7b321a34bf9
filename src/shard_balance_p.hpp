/// Distribution of a data centre's shards over its entry hosts.
#pragma once

#include <carobcourse/types.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace carobcourse
{

/// Tracks the shards that this host owns or is acquiring, and the numbers of
/// shards that the other entry hosts of the data centre advertise. It only
/// decides how the shards are distributed; `ownership` ensures that a shard
/// has one owner. With a single shard per data centre every acquisition is
/// allowed. Not thread safe.
class shard_balance
{
public:
    /// `count` is the number of shards per data centre, at least 1.
    explicit shard_balance(std::uint32_t count) : shard_count_(count) {}

    /// Drops peers that were not heard from recently and updates the surplus.
    /// `is_eligible` is true while this host is registered and may own shards.
    void on_tick(time_point now, bool is_eligible);
    /// Records the number of shards that another entry host of this data
    /// centre, one that may own shards, advertised.
    void on_peer_count(time_point now, const std::string& host,
                       std::uint64_t owned);
    /// Records that this host owns the shard or tries to acquire it.
    void note_held(const std::string& shard)
    {
        held_shards_.insert(shard);
    }
    /// Records that this host no longer owns or tries to acquire the shard.
    void note_released(const std::string& shard)
    {
        held_shards_.erase(shard);
    }
    /// Number of shards to advertise to the peers. Empty with a single shard
    /// per data centre and while this host may not own shards.
    std::optional<std::uint64_t> advertised_count() const;

    /// Returns whether this host may acquire a shard that has had no owner
    /// since `since`. Shards up to the fair share may be acquired at once,
    /// further ones after a delay in which the other hosts can acquire them.
    bool may_acquire(time_point now, time_point since) const;
    /// Returns whether this host should hand over a shard: it has held more
    /// than its fair share for some seconds and a peer has less than that
    /// share. Updated by `on_tick`.
    bool has_surplus() const
    {
        return surplus_;
    }
    /// Restarts the delay before the next handover.
    void note_handed_over(time_point now);

private:
    struct peer
    {
        std::uint64_t owned = 0;
        time_point received_at;
    };
    /// Number of shards divided by the number of live hosts, rounded up. Zero
    /// until the peers have had time to advertise their shards.
    std::size_t fair_share(time_point now) const;

    std::uint32_t shard_count_;
    std::set<std::string> held_shards_;
    std::map<std::string, peer> peers_;
    std::optional<time_point> eligible_since_;
    std::optional<time_point> surplus_since_;
    bool surplus_ = false;
};

} // namespace carobcourse
