/// Promises between entry hosts: what this host granted to others, what the
/// others granted to it, and the gate that its own changes go through.
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
    time_point requested_at;
    duration config_duration = duration(0); ///< No change of the configuration.
    duration shard_duration =
        duration(0); ///< No takeover of the holder's shards.
    /// Members to which the promise was given; 0 when only to this host.
    std::uint64_t member_digest = 0;
};

/// Grants of all hosts of one data centre, passed on by one of them. They
/// were given to every host of `member_set`, so a host that has the same
/// members is one of those that the granters wait for.
struct relayed_grants
{
    std::uint64_t member_digest = 0;
    std::uint64_t config_version = 0;  ///< Highest that a granter stated.
    time_point until;                  ///< Counted from before the question.
    std::vector<std::uint64_t> rounds; ///< Of the granters, by host id.
    /// The answer to a question of this host, not of a peer.
    bool received_directly = false;
};

/// Aggregate. Rules: no change starts while a peer may rely on a promise
/// against it; a promise given is counted from when it is given, one held
/// from before it was asked for. Not thread safe.
class peer_grants
{
public:
    // ------------------------------------------------------------ membership

    /// This host's own entry, which is part of the digest of the members.
    void set_own_member(std::string host, member_entry own);
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
    time_point last_member_removal() const
    {
        return last_member_removal_;
    }
    void on_tick(time_point now);

    // ----------------------------------------------------------- as granter

    /// Promises a member to change no configuration; returns the length of
    /// the promise, zero when none can be given. `able` states that this host
    /// has read the store itself since its start; before it, it may not know
    /// its own last change.
    duration issue_grant(time_point now, const std::string& host,
                         bool has_read_table);
    /// Gives the same promise to every member, so that the one who asked may
    /// pass it on.
    duration issue_grant_to_all(time_point now, bool has_read_table);
    /// Promises a member not to take over its shards. Apart from the other
    /// promise, so that a change with an unknown outcome costs no ownership.
    duration issue_shard_grant(time_point now, const std::string& host);
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
    /// Members that hold a promise and have not acknowledged the announced
    /// change.
    std::set<std::string> unacknowledged() const;
    void on_change_acknowledged(const std::string& host, std::uint64_t round);
    /// A member's current incarnation knows that this host is registered.
    void on_known_to(const std::string& host);
    bool is_known_to(const std::string& host) const
    {
        return known_to_.count(host) != 0;
    }

    /// Starts a takeover of `shard` from `owner`: it gets no promise until
    /// `end_takeover`. False, and no effect, while it may rely on one or
    /// while this host may change nothing.
    bool begin_takeover(time_point now, const std::string& shard,
                        const std::string& owner);
    void end_takeover(const std::string& shard);

    // ------------------------------------------------------------ as holder

    void on_grant(const std::string& host, const held_grant& grant);
    /// Takes grants of another data centre. Refused when they were given to
    /// other members than this host knows.
    void on_relayed_grants(const std::string& data_centre,
                           relayed_grants grants);
    /// Digest of all members and this host.
    std::uint64_t member_digest() const
    {
        return member_digest_;
    }
    /// Grants of all hosts of the own data centre, this one included, which
    /// makes its promise to all by it. Empty while one of them is missing.
    std::optional<relayed_grants>
    own_data_centre_grants(time_point now, bool has_read_table,
                           std::uint64_t config_version);
    /// Until when a member's own or relayed grant is held; empty when none is.
    std::optional<time_point> granted_until(const std::string& host) const;
    /// Until when grants of another data centre are held, void or not.
    std::optional<time_point>
    relayed_until(const std::string& data_centre) const;
    /// Valid answers of other data centres to this host, by data centre.
    std::map<std::string, relayed_grants> relayable(time_point now) const;
    /// A peer announced a change of `round`: its earlier grants are void.
    void on_peer_change(const std::string& host, std::uint64_t round);

    /// Until when grants of all members confirm the configuration; empty
    /// when there is none from someone.
    std::optional<time_point> confirmed_until() const;
    /// Highest configuration version that a member has stated in a grant.
    std::uint64_t highest_config_version() const;
    /// Until when grants of all members of `data_centre` keep the shards of
    /// this host with it.
    std::optional<time_point>
    shards_granted_until(const std::string& data_centre) const;

private:
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
    /// Place of each member among those of its data centre.
    std::map<std::string, std::size_t> granter_index_;
    time_point last_member_removal_;
    time_point last_tick_;
    std::optional<time_point> change_blocked_until_;
    std::set<std::string> known_to_;

    /// Also of hosts that are no longer members, until the promise is over.
    std::map<std::string, time_point> grants_issued_until_;
    std::map<std::string, time_point> shard_grants_issued_until_;
    bool changing_ = false;
    std::uint64_t round_ = 0;
    std::set<std::string> acknowledged_;
    /// Owners by the shard that is being taken from them. A promise covers
    /// all shards of its holder, so one takeover withholds it.
    std::map<std::string, std::string> takeover_owners_;

    std::map<std::string, held_grant> held_grants_;
    std::map<std::string, relayed_grants> relayed_grants_; ///< By data centre.
    std::map<std::string, std::uint64_t> min_round_;
};

} // namespace carobcourse
