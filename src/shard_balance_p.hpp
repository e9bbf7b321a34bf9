/// Spread of a data centre's shards over its entry hosts.
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

/// Shards that this host owns or is taking, and what the other entry hosts of
/// the data centre stated about theirs. It decides only how the shards are
/// spread; that a shard has one owner is ensured by `ownership`. With one
/// shard it allows everything. Not thread safe.
class shard_balance
{
public:
    explicit shard_balance(std::uint32_t count) : shard_count_(count) {}

    /// Whether this host is registered and may own shards.
    void on_tick(time_point now, bool is_eligible);
    /// A peer of this data centre that may own shards stated how many it has.
    void on_peer_count(time_point now, const std::string& host,
                       std::uint64_t owned);
    void note_held(const std::string& shard)
    {
        held_shards_.insert(shard);
    }
    void note_released(const std::string& shard)
    {
        held_shards_.erase(shard);
    }
    /// Number to state to the peers, empty when there is nothing to balance.
    std::optional<std::uint64_t> advertised_count() const;

    /// True when this host may take a shard that has had no owner since
    /// `since`: one of its fair part at once, any other after a delay that
    /// gives the other hosts the first chance.
    bool may_acquire(time_point now, time_point since) const;
    /// True when this host should hand a shard over: it has held more than its
    /// fair part for a while and a peer has fewer than that.
    bool has_surplus() const
    {
        return surplus_;
    }
    /// Restarts the wait for a surplus, after a shard was handed over.
    void note_handed_over(time_point now);

private:
    struct peer
    {
        std::uint64_t owned = 0;
        time_point received_at;
    };
    /// Shards by live hosts, rounded up; zero before the peers are known.
    std::size_t fair_share(time_point now) const;

    std::uint32_t shard_count_;
    std::set<std::string> held_shards_;
    std::map<std::string, peer> peers_;
    std::optional<time_point> eligible_since_;
    std::optional<time_point> surplus_since_;
    bool surplus_ = false;
};

} // namespace carobcourse
