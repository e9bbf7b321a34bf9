/// Grants between entry hosts, which work like leases: a host that grants
/// promises not to change the configuration, or not to take over shards, for a
/// limited time. Tracks the grants that this host has issued, those that it
/// holds, and when it may make a change of its own.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carobcourse
{

/// Returns the margin to allow for clock drift between hosts over a lease of
/// this length. Thread safe.
duration drift_margin(duration lease);

/// Row of a registered entry host.
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

/// The other registered entry hosts by id; this host is not included.
using member_map = std::map<std::string, member_entry>;

/// Grant that this host holds from a peer. The peer promises that it has no
/// change in progress and that, until the grant expires, it starts none that
/// this host has not acknowledged.
struct held_grant
{
    std::string incarnation;
    /// Number of changes that the granter has announced. A grant of an older
    /// round than the last announced change is void. This covers a grant that
    /// arrives after a later announcement sent over another connection.
    std::uint64_t round = 0;
    std::uint64_t config_version = 0;
    /// When this host sent the request that the grant answers. Counting from
    /// here never overestimates the remaining time.
    time_point requested_at;
    /// How long the granter changes no configuration; zero when not granted.
    duration config_duration = duration(0);
    /// How long the granter takes over no shard of the holder; zero when not
    /// granted.
    duration shard_duration = duration(0);
    /// Digest of the members that the grant was issued to; 0 when it was issued
    /// to this host only.
    std::uint64_t member_digest = 0;
};

/// Combined grants of all hosts of one data centre, relayed by one of them.
/// They were issued to every member of `member_digest`, so a host with the same
/// digest is among those whose acknowledgement the granters wait for.
struct relayed_grants
{
    std::uint64_t member_digest = 0;
    std::uint64_t config_version = 0;  ///< Highest version among the granters.
    time_point until;                  ///< Expiry, counted from the request.
    std::vector<std::uint64_t> rounds; ///< Granters' rounds in host id order.
    /// True when this host requested the grants itself, false when a peer in
    /// its data centre passed them on.
    bool received_directly = false;
};

/// Grants issued and held by this host. No change starts while a peer may rely
/// on a grant that excludes it. For this, the time of an issued grant runs from
/// when it is issued, and that of a held grant from when it was requested. With
/// the drift margin, the holder's copy always expires first. Not thread safe.
class peer_grants
{
public:
    // ------------------------------------------------------------ membership

    /// Sets this host's own entry, which is part of the member digest. Must be
    /// called before `set_members`.
    void set_own_member(std::string host, member_entry own);
    /// Records that this host is registered and that `members` are all other
    /// registered hosts. Grants held from hosts that were removed or have a new
    /// incarnation are dropped, and `last_member_removal` becomes `now`.
    void set_members(time_point now, member_map members);
    /// Records that this host is not registered. It then issues no grants,
    /// makes no changes, and treats nothing as confirmed by grants.
    void set_unregistered();
    bool is_registered() const
    {
        return registered_;
    }
    const member_map& members() const
    {
        return members_;
    }
    /// Returns when a member was last found to be removed or replaced. Possibly
    /// no remaining host knows the last change that it committed, so grants of
    /// the others count only after a read of the store that began later.
    time_point last_member_removal() const
    {
        return last_member_removal_;
    }
    /// Drops expired issued grants. Grants are confirmed only for a limited
    /// time after a tick, so that a host that was paused does not rely on them.
    void on_tick(time_point now);

    // ----------------------------------------------------------- as granter

    /// Grants a member that this host changes no configuration. Returns the
    /// duration of the grant, or zero when none can be issued. `has_read_table`
    /// states that this host has itself read the store since it started; before
    /// that it may not know its own last change.
    duration issue_grant(time_point now, const std::string& host,
                         bool has_read_table);
    /// Issues the same grant to every member, so that the member that requested
    /// it may relay it to the others.
    duration issue_grant_to_all(time_point now, bool has_read_table);
    /// Grants a member that this host does not take over its shards. This is
    /// separate from the configuration grant, so that a configuration change
    /// with an unknown outcome does not cost a member the ownership of its
    /// shards. Returns the duration, or zero when no grant can be issued.
    duration issue_shard_grant(time_point now, const std::string& host);
    /// Returns the number of changes that this host has announced.
    std::uint64_t round() const
    {
        return round_;
    }

    // ------------------------------------------------------ change admission

    /// Announces a change. No configuration grant is issued until `end_change`.
    /// Has no effect while a change is announced already.
    void begin_change();
    /// Ends the announced change, whether it was written or not.
    void end_change();
    bool is_changing() const
    {
        return changing_;
    }
    /// Returns true when the announced change may be written: every issued
    /// grant has expired or its holder has acknowledged the change.
    bool may_change(time_point now) const;
    /// Returns the members that hold a grant and have not acknowledged the
    /// announced change; empty when no change is announced.
    std::set<std::string> unacknowledged() const;
    /// Records an acknowledgement. One of another round is ignored.
    void on_change_acknowledged(const std::string& host, std::uint64_t round);
    /// Records that a member's current incarnation knows that this host is
    /// registered. No change starts before every member does.
    void on_known_to(const std::string& host);
    bool is_known_to(const std::string& host) const
    {
        return known_to_.count(host) != 0;
    }

    /// Starts a takeover of `shard` from `owner`, which is issued no shard
    /// grant until `end_takeover`. Returns false, without effect, while `owner`
    /// may rely on a shard grant or while this host may make no change.
    bool begin_takeover(time_point now, const std::string& shard,
                        const std::string& owner);
    /// Ends the takeover of `shard`, whether it succeeded or not.
    void end_takeover(const std::string& shard);

    // ------------------------------------------------------------ as holder

    /// Stores a grant of a peer. Ignored when the peer has another incarnation
    /// or when a grant for a later request is already held.
    void on_grant(const std::string& host, const held_grant& grant);
    /// Stores the grants of another data centre. Ignored when their member
    /// digest differs from that of this host, when they do not have one round
    /// for each granter, when a round is outdated, or when valid grants that
    /// expire no sooner are already stored.
    void on_relayed_grants(const std::string& data_centre,
                           relayed_grants grants);
    /// Returns the digest of all members including this host.
    std::uint64_t member_digest() const
    {
        return member_digest_;
    }
    /// Returns the combined grants of all hosts of the own data centre. This
    /// host is included, and issues its grant to all members by this call.
    /// Empty while the grant of any of the hosts is missing.
    std::optional<relayed_grants>
    own_data_centre_grants(time_point now, bool has_read_table,
                           std::uint64_t config_version);
    /// Returns when the configuration grant of a member expires, direct or
    /// relayed, whichever is later; empty when none is held.
    std::optional<time_point> granted_until(const std::string& host) const;
    /// Returns when the relayed grants of another data centre expire, also when
    /// they are void; empty when none are held.
    std::optional<time_point>
    relayed_until(const std::string& data_centre) const;
    /// Returns the valid grants of other data centres that this host requested
    /// itself and may pass on to peers, by data centre.
    std::map<std::string, relayed_grants> relayable(time_point now) const;
    /// Records that a peer announced the change `round`, which voids the peer's
    /// configuration grants of earlier rounds.
    void on_peer_change(const std::string& host, std::uint64_t round);

    /// Returns until when the grants of all members confirm the configuration;
    /// empty when the grant of any member is missing.
    std::optional<time_point> confirmed_until() const;
    /// Returns the highest configuration version stated in a held or relayed
    /// grant.
    std::uint64_t highest_config_version() const;
    /// Returns until when the shard grants of all members of `data_centre`
    /// ensure that this host keeps its shards; empty when one is missing.
    std::optional<time_point>
    shards_granted_until(const std::string& data_centre) const;

private:
    /// True while this host is unregistered or in the quiet period after a
    /// restart, or while some member does not know that it is registered.
    bool is_change_blocked(time_point now) const;
    void void_outdated_grant(const std::string& host);
    std::uint64_t digest_members() const;
    std::optional<time_point> relayed_until(const std::string& host,
                                            const member_entry& member) const;
    bool has_outdated_round(const std::string& data_centre,
                            const relayed_grants& grants) const;

    std::string own_host_;
    member_entry own_;
    bool registered_ = false;
    member_map members_;
    std::uint64_t member_digest_ = 0;
    /// Index of each member among the members of its data centre. In other data
    /// centres this is also its index in `relayed_grants::rounds`.
    std::map<std::string, std::size_t> granter_index_;
    time_point last_member_removal_;
    time_point last_tick_;
    std::optional<time_point> change_blocked_until_;
    std::set<std::string> known_to_;

    /// Expiry of issued grants by holder. A grant outlives the membership of
    /// its holder.
    std::map<std::string, time_point> grants_issued_until_;
    std::map<std::string, time_point> shard_grants_issued_until_;
    bool changing_ = false;
    std::uint64_t round_ = 0;
    std::set<std::string> acknowledged_;
    /// Owner by shard that is being taken over. A shard grant covers all shards
    /// of its holder, so a single takeover withholds it.
    std::map<std::string, std::string> takeover_owners_;

    std::map<std::string, held_grant> held_grants_;
    std::map<std::string, relayed_grants> relayed_grants_; ///< By data centre.
    /// Oldest round by peer whose grants are still valid.
    std::map<std::string, std::uint64_t> min_round_;
};

} // namespace carobcourse
