// Grants between entry hosts and the admission of changes, without the rest of
// the core.
#include <carobcourse/config.hpp>
#include <catch2/catch.hpp>

#include "peer_grants_p.hpp"

using namespace carobcourse;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point(std::chrono::hours(1));

/// This host is "a"; "b" is in its data centre, "c" in another.
peer_grants make_registered_grants(time_point now)
{
    peer_grants grants;
    grants.set_members(
        now, {{"b", {"b1", "north", "b"}}, {"c", {"c1", "south", "c"}}});
    grants.on_known_to("b");
    grants.on_known_to("c");
    grants.on_tick(now);
    return grants;
}

held_grant make_grant(const std::string& incarnation, time_point requested_at,
                      std::uint64_t round = 0, std::uint64_t version = 1)
{
    return {incarnation, round, version, requested_at, 4000ms, 4000ms};
}

} // namespace

TEST_CASE("a change waits for grants that are neither expired nor acknowledged")
{
    // Guards against a change that the holder of a grant misses.
    auto grants = make_registered_grants(start);
    const auto later = start + 10s;
    CHECK(grants.issue_grant(later, "b", true) == 4000ms);
    CHECK(grants.issue_grant(later, "c", true) == 4000ms);
    CHECK_FALSE(grants.may_change(later)); // Not announced.
    grants.begin_change();
    CHECK_FALSE(grants.may_change(later));
    CHECK(grants.unacknowledged() == std::set<std::string>{"b", "c"});
    CHECK(grants.issue_grant(later, "b", true) == 0ms);
    SECTION("all acknowledge")
    {
        grants.on_change_acknowledged("b", grants.round());
        CHECK_FALSE(grants.may_change(later));
        grants.on_change_acknowledged("c", grants.round() - 1); // Old round.
        CHECK_FALSE(grants.may_change(later));
        grants.on_change_acknowledged("c", grants.round());
        CHECK(grants.may_change(later));
    }
    SECTION("nobody answers")
    {
        CHECK_FALSE(grants.may_change(later + 4s));
        CHECK_FALSE(grants.may_change(later + 4239ms));
        CHECK(grants.may_change(later + 4240ms));
    }
    SECTION("a holder is removed")
    {
        // An issued grant outlives the membership of its holder.
        grants.set_members(later, {});
        CHECK_FALSE(grants.may_change(later + 4s));
        CHECK(grants.may_change(later + 4240ms));
    }
    SECTION("another change needs new acknowledgements")
    {
        grants.on_change_acknowledged("b", grants.round());
        grants.on_change_acknowledged("c", grants.round());
        grants.end_change();
        CHECK(grants.issue_grant(later, "b", true) == 4000ms);
        grants.begin_change();
        CHECK_FALSE(grants.may_change(later));
    }
}

TEST_CASE(
    "a host makes no change just after a restart or while unknown to a peer")
{
    // Guards against a change while a peer relies on a grant of the previous
    // incarnation or does not know this host.
    peer_grants grants;
    grants.begin_change();
    CHECK_FALSE(grants.may_change(start)); // Not registered.
    grants.set_members(start, {{"b", {"b1", "north", "b"}}});
    CHECK_FALSE(grants.may_change(start + 1h)); // b does not know this host.
    grants.on_known_to("b");
    CHECK_FALSE(grants.may_change(start + 4999ms));
    CHECK(grants.may_change(start + 5s));
    CHECK_FALSE(grants.begin_takeover(start + 4999ms, "north.0", "b"));
    CHECK(grants.begin_takeover(start + 5s, "north.0", "b"));
    // The new incarnation of b does not know this host.
    grants.set_members(start + 6s, {{"b", {"b2", "north", "b"}}});
    CHECK_FALSE(grants.may_change(start + 1h));
    // The row of b has been removed.
    grants.set_members(start + 7s, {});
    CHECK(grants.may_change(start + 7s));
}

TEST_CASE("a host without peers may make a change at once")
{
    peer_grants grants;
    grants.set_members(start, {});
    grants.begin_change();
    CHECK(grants.may_change(start));
}

TEST_CASE("only recent grants of all members confirm the configuration")
{
    // Guards against freshness while some host may be writing a change.
    auto grants = make_registered_grants(start);
    CHECK_FALSE(grants.confirmed_until());
    grants.on_grant("b", make_grant("b1", start));
    CHECK_FALSE(grants.confirmed_until());
    grants.on_grant("c", make_grant("c1", start + 500ms, 0, 7));
    grants.on_tick(start + 1s);
    CHECK(grants.confirmed_until() == start + 3s);
    CHECK(grants.highest_config_version() == 7);
    SECTION("an answer to an older request does not replace a newer one")
    {
        grants.on_grant("b", make_grant("b1", start - 1s));
        CHECK(grants.confirmed_until() == start + 3s);
    }
    SECTION("a peer that issues no grant")
    {
        auto none = make_grant("b1", start + 1s);
        none.config_duration = 0ms;
        grants.on_grant("b", none);
        CHECK_FALSE(grants.confirmed_until());
    }
    SECTION("an announced change also voids an older grant that arrives later")
    {
        grants.on_peer_change("b", 1);
        CHECK_FALSE(grants.confirmed_until());
        grants.on_grant("b", make_grant("b1", start + 1s, 0));
        CHECK_FALSE(grants.confirmed_until());
        grants.on_grant("b", make_grant("b1", start + 1s, 1));
        CHECK(grants.confirmed_until());
        // The shard grant is not affected.
        CHECK(grants.shards_granted_until("north"));
    }
    SECTION("a grant of an earlier incarnation does not count")
    {
        grants.set_members(start + 1s, {{"b", {"b2", "north", "b"}},
                                        {"c", {"c1", "south", "c"}}});
        CHECK(grants.last_member_removal() == start + 1s);
        grants.on_grant("b", make_grant("b1", start + 1s));
        CHECK_FALSE(grants.confirmed_until());
        grants.on_grant("b", make_grant("b2", start + 1s));
        CHECK(grants.confirmed_until());
    }
    SECTION("a change of this host ends the confirmation")
    {
        grants.begin_change();
        CHECK_FALSE(grants.confirmed_until());
    }
    SECTION("a new member has not issued a grant yet")
    {
        grants.set_members(start + 1s, {{"b", {"b1", "north", "b"}},
                                        {"c", {"c1", "south", "c"}},
                                        {"d", {"d1", "south", "d"}}});
        CHECK_FALSE(grants.confirmed_until());
    }
}

TEST_CASE("grants of all members of the own data centre keep the shards")
{
    auto grants = make_registered_grants(start);
    grants.on_grant("b", make_grant("b1", start));
    CHECK(grants.shards_granted_until("north") == start + 4s - 240ms);
    CHECK_FALSE(grants.shards_granted_until("south")); // c has granted nothing.
}

TEST_CASE("no takeover starts while the owner may rely on a shard grant")
{
    // Guards against two owners of a shard.
    auto grants = make_registered_grants(start);
    const auto later = start + 10s;
    CHECK(grants.issue_shard_grant(later, "b") == 4000ms);
    CHECK_FALSE(grants.begin_takeover(later + 4239ms, "north.0", "b"));
    CHECK(grants.issue_shard_grant(later, "b") == 4000ms);
    CHECK(grants.begin_takeover(later + 4240ms, "north.0", "b"));
    CHECK(grants.issue_shard_grant(later + 4240ms, "b") == 0ms);
    CHECK(grants.issue_shard_grant(later + 4240ms, "c") == 4000ms);
    grants.end_takeover("north.0");
    CHECK(grants.issue_shard_grant(later + 5s, "b") == 4000ms);
}

TEST_CASE("a host that has not read the table issues no grant")
{
    // Guards against a restarted host that does not know its own last change.
    auto grants = make_registered_grants(start);
    CHECK(grants.issue_grant(start, "b", false) == 0ms);
    CHECK(grants.issue_grant(start, "x", true) == 0ms); // Not a member.
}

TEST_CASE("a grant to all members delays a change until all have acknowledged")
{
    // Guards against a change that the recipient of a relayed grant misses.
    auto grants = make_registered_grants(start);
    const auto later = start + 10s;
    CHECK(grants.issue_grant_to_all(later, false) == 0ms); // Table not read.
    CHECK(grants.issue_grant_to_all(later, true) == 4000ms);
    grants.begin_change();
    CHECK(grants.issue_grant_to_all(later, true) == 0ms);
    CHECK(grants.unacknowledged() == std::set<std::string>{"b", "c"});
    grants.on_change_acknowledged("b", grants.round());
    CHECK_FALSE(grants.may_change(later + 4239ms));
    SECTION("the grants expire")
    {
        CHECK(grants.may_change(later + 4240ms));
    }
    SECTION("the last holder acknowledges")
    {
        grants.on_change_acknowledged("c", grants.round());
        CHECK(grants.may_change(later));
    }
}

TEST_CASE("relayed grants count only for the members they were issued to")
{
    // Guards against relying on grants of a host that does not know this host
    // and so would not wait for it, or that has announced a change since.
    auto grants = make_registered_grants(start);
    grants.on_grant("b", make_grant("b1", start));
    grants.on_tick(start);
    relayed_grants relayed;
    relayed.member_digest = grants.member_digest();
    relayed.config_version = 5;
    relayed.until = start + 2s;
    relayed.rounds = {3};
    SECTION("issued to the same members")
    {
        grants.on_relayed_grants("south", relayed);
        CHECK(grants.confirmed_until() == start + 2s);
        CHECK(grants.highest_config_version() == 5);
        // Grants that expire sooner do not replace them.
        relayed.until = start + 1s;
        grants.on_relayed_grants("south", relayed);
        CHECK(grants.confirmed_until() == start + 2s);
        SECTION("then a change is announced")
        {
            grants.on_peer_change("c", 4);
            CHECK_FALSE(grants.confirmed_until());
            relayed.until = start + 3s;
            grants.on_relayed_grants("south", relayed); // Sent before it.
            CHECK_FALSE(grants.confirmed_until());
            relayed.rounds = {4};
            relayed.until = start + 1500ms;
            grants.on_relayed_grants("south", relayed);
            CHECK(grants.confirmed_until() == start + 1500ms);
        }
        SECTION("then the membership changes")
        {
            grants.set_members(start, {{"b", {"b1", "north", "b"}},
                                       {"c", {"c2", "south", "c"}}});
            CHECK_FALSE(grants.confirmed_until());
        }
    }
    SECTION("issued to other members")
    {
        relayed.member_digest += 1;
        grants.on_relayed_grants("south", relayed);
        CHECK_FALSE(grants.confirmed_until());
    }
    SECTION("the number of rounds differs from the number of granters")
    {
        relayed.rounds = {3, 3};
        grants.on_relayed_grants("south", relayed);
        CHECK_FALSE(grants.confirmed_until());
    }
}
