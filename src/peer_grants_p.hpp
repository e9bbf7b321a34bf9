/// Promises between entry hosts: what this host granted to others, what the
/// others granted to it, and the gate that its own changes go through.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace carobcourse
{

/// Margin for clock drift over a lease of this length.
duration drift_margin(duration lease);

/// A registered entry host.
struct member_entry
{
    std::string incarnation;
    std::string data_centre;
    std::string peer_address;

    friend bool operator==(const member_entry& a, const member_entry& b)
    {
        return a.incarnation == b.incarnation &&
               a.data_centre == b.data_centre &&
               a.peer_address == b.peer_address;
    }
    friend bool operator!=(const member_entry& a, const member_entry& b)
    {
        return !(a == b);
    }
};

/// Registered entry hosts by id, without this host.
using member_map = std::map<std::string, member_entry>;

/// A promise of a peer: "I have no change in progress and start none for the
/// length of the promise unless you have acknowledged it".
struct held_grant
{
    std::string incarnation;
    /// Counts the granter's changes. A grant of an older round than the last
    /// announced change is void, so one that was overtaken by the
    /// announcement on another connection has no effect.
    std::uint64_t round = 0;
    std::uint64_t config_version = 0;
    /// When this host sent the request that the grant answers.
    time_point asked_at;
    duration length = duration(0); ///< No change of the configuration.
    duration shards = duration(0); ///< No takeover of the holder's shards.
};

/// Aggregate. Rules: no change starts while a peer may rely on a promise
/// against it; a promise given is counted from when it is given, one held
/// from before it was asked for. Not thread safe.
class peer_grants
{
public:
    // ------------------------------------------------------------ membership

    /// States that this host is registered and that `members` are all
    /// others. Peers that are gone or have a new incarnation lose their
    /// grants, and `removed_at` becomes `now`.
    void set_members(time_point now, member_map members);
    /// States that this host is not, or no longer, registered.
    void set_unregistered();
    bool is_registered() const
    {
        return registered_;
    }
    const member_map& members() const
    {
        return members_;
    }
    /// When a member was last seen to be gone or replaced. A change that it
    /// committed last may be known to nobody, so grants of the others count
    /// only after a read of the store that began later.
    time_point removed_at() const
    {
        return removed_at_;
    }
    void on_tick(time_point now);

    // ----------------------------------------------------------- as granter

    /// Promises a member to change no configuration; returns the length of
    /// the promise, zero when none can be given. `able` states that this host
    /// has read the store itself since its start; before it, it may not know
    /// its own last change.
    duration promise(time_point now, const std::string& host, bool able);
    /// Promises a member not to take over its shards. Apart from the other
    /// promise, so that a change with an unknown outcome costs no ownership.
    duration promise_shards(time_point now, const std::string& host);
    std::uint64_t round() const
    {
        return round_;
    }

    // -------------------------------------------------------- gate of changes

    /// Announces a change: no promise is given until `end_change`.
    void begin_change();
    void end_change();
    bool is_changing() const
    {
        return changing_;
    }
    /// True when the announced change may be written: every promise is over
    /// or its holder has acknowledged the change.
    bool may_change(time_point now) const;
    /// Peers that have not acknowledged the announced change.
    std::set<std::string> unacknowledged() const;
    void on_change_acknowledged(const std::string& host, std::uint64_t round);
    /// A member's current incarnation knows that this host is registered.
    void on_introduced(const std::string& host);

    /// Starts a takeover of `shard` from `owner`: it gets no promise until
    /// `end_takeover`. False, and no effect, while it may rely on one or
    /// while this host may change nothing.
    bool begin_takeover(time_point now, const std::string& shard,
                        const std::string& owner);
    void end_takeover(const std::string& shard);

    // ------------------------------------------------------------ as holder

    void on_grant(const std::string& host, const held_grant& grant);
    /// A peer announced a change of `round`: its earlier grants are void.
    void on_peer_change(const std::string& host, std::uint64_t round);

    /// Until when grants of all members confirm the configuration; empty
    /// when there is none from someone.
    std::optional<time_point> confirmed_until() const;
    /// Highest configuration version that a member has stated in a grant.
    std::uint64_t highest_version() const;
    /// Until when grants of all members of `data_centre` keep the shards of
    /// this host with it.
    std::optional<time_point>
    shards_until(const std::string& data_centre) const;

private:
    bool is_quiet(time_point now) const;
    void void_old_round(const std::string& host);

    bool registered_ = false;
    member_map members_;
    time_point removed_at_;
    time_point ticked_at_;
    std::optional<time_point> quiet_until_;
    std::set<std::string> introduced_;

    /// Also of hosts that are no longer members, until the promise is over.
    std::map<std::string, time_point> promised_until_;
    std::map<std::string, time_point> shards_promised_until_;
    bool changing_ = false;
    std::uint64_t round_ = 0;
    std::set<std::string> acknowledged_;
    /// Owners by the shard that is being taken from them. A promise covers
    /// all shards of its holder, so one takeover withholds it.
    std::map<std::string, std::string> taking_from_;

    std::map<std::string, held_grant> held_;
    std::map<std::string, std::uint64_t> least_round_;
};

} // namespace carobcourse
