// Promises between entry hosts and the gate of changes, on their own.
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

TEST_CASE("a change waits for promises that are not given up")
{
    // Guards against a change that a holder of a promise misses.
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
        grants.on_change_acknowledged("c", grants.round() - 1); // Late.
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
        // Its promise outlives its membership.
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

TEST_CASE("a restarted or unknown host changes nothing")
{
    // Guards against a change while a peer relies on a promise of the
    // incarnation before, or does not know of this host.
    peer_grants grants;
    grants.begin_change();
    CHECK_FALSE(grants.may_change(start)); // Not registered.
    grants.set_members(start, {{"b", {"b1", "north", "b"}}});
    CHECK_FALSE(grants.may_change(start + 1h)); // b does not know it.
    grants.on_known_to("b");
    CHECK_FALSE(grants.may_change(start + 4999ms));
    CHECK(grants.may_change(start + 5s));
    CHECK_FALSE(grants.begin_takeover(start + 4999ms, "north.0", "b"));
    CHECK(grants.begin_takeover(start + 5s, "north.0", "b"));
    // A new incarnation of b does not know it.
    grants.set_members(start + 6s, {{"b", {"b2", "north", "b"}}});
    CHECK_FALSE(grants.may_change(start + 1h));
    // The row of b is gone.
    grants.set_members(start + 7s, {});
    CHECK(grants.may_change(start + 7s));
}

TEST_CASE("a host without others may change at once")
{
    peer_grants grants;
    grants.set_members(start, {});
    grants.begin_change();
    CHECK(grants.may_change(start));
}

TEST_CASE("only unanimous and recent grants confirm")
{
    // Guards against freshness while one host may be writing a change.
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
    SECTION("a peer without a promise")
    {
        auto none = make_grant("b1", start + 1s);
        none.config_duration = 0ms;
        grants.on_grant("b", none);
        CHECK_FALSE(grants.confirmed_until());
    }
    SECTION("an announced change voids the grant, also one that comes late")
    {
        grants.on_peer_change("b", 1);
        CHECK_FALSE(grants.confirmed_until());
        grants.on_grant("b", make_grant("b1", start + 1s, 0));
        CHECK_FALSE(grants.confirmed_until());
        grants.on_grant("b", make_grant("b1", start + 1s, 1));
        CHECK(grants.confirmed_until());
        // The takeover promise is another one.
        CHECK(grants.shards_granted_until("north"));
    }
    SECTION("a grant of an earlier incarnation")
    {
        grants.set_members(start + 1s, {{"b", {"b2", "north", "b"}},
                                        {"c", {"c1", "south", "c"}}});
        CHECK(grants.last_member_removal() == start + 1s);
        grants.on_grant("b", make_grant("b1", start + 1s));
        CHECK_FALSE(grants.confirmed_until());
        grants.on_grant("b", make_grant("b2", start + 1s));
        CHECK(grants.confirmed_until());
    }
    SECTION("an own change")
    {
        grants.begin_change();
        CHECK_FALSE(grants.confirmed_until());
    }
    SECTION("a new member")
    {
        grants.set_members(start + 1s, {{"b", {"b1", "north", "b"}},
                                        {"c", {"c1", "south", "c"}},
                                        {"d", {"d1", "south", "d"}}});
        CHECK_FALSE(grants.confirmed_until());
    }
}

TEST_CASE("shards are kept by the grants of the own data centre")
{
    auto grants = make_registered_grants(start);
    grants.on_grant("b", make_grant("b1", start));
    CHECK(grants.shards_granted_until("north") == start + 4s - 240ms);
    CHECK_FALSE(grants.shards_granted_until("south")); // c has granted nothing.
}

TEST_CASE("no takeover while its owner may rely on a promise")
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

TEST_CASE("a host that has not read the table promises nothing")
{
    // Guards against a restarted host that forgot its own last change.
    auto grants = make_registered_grants(start);
    CHECK(grants.issue_grant(start, "b", false) == 0ms);
    CHECK(grants.issue_grant(start, "x", true) == 0ms); // No member.
}

TEST_CASE("a promise to all holds a change until all have acknowledged")
{
    // Guards against a change that the final holder of a relayed grant misses.
    auto grants = make_registered_grants(start);
    const auto later = start + 10s;
    CHECK(grants.issue_grant_to_all(later, false) == 0ms); // Has read nothing.
    CHECK(grants.issue_grant_to_all(later, true) == 4000ms);
    grants.begin_change();
    CHECK(grants.issue_grant_to_all(later, true) == 0ms);
    CHECK(grants.unacknowledged() == std::set<std::string>{"b", "c"});
    grants.on_change_acknowledged("b", grants.round());
    CHECK_FALSE(grants.may_change(later + 4239ms));
    SECTION("the promise ends")
    {
        CHECK(grants.may_change(later + 4240ms));
    }
    SECTION("the last one acknowledges")
    {
        grants.on_change_acknowledged("c", grants.round());
        CHECK(grants.may_change(later));
    }
}

TEST_CASE("relayed grants count only for the members they were given to")
{
    // Guards against grants of a host that does not know this one and would
    // not wait for it, and of one that has announced a change since.
    auto grants = make_registered_grants(start);
    grants.on_grant("b", make_grant("b1", start));
    grants.on_tick(start);
    relayed_grants relayed;
    relayed.member_digest = grants.member_digest();
    relayed.config_version = 5;
    relayed.until = start + 2s;
    relayed.rounds = {3};
    SECTION("given to the same members")
    {
        grants.on_relayed_grants("south", relayed);
        CHECK(grants.confirmed_until() == start + 2s);
        CHECK(grants.highest_config_version() == 5);
        // An answer that ends sooner does not replace it.
        relayed.until = start + 1s;
        grants.on_relayed_grants("south", relayed);
        CHECK(grants.confirmed_until() == start + 2s);
        SECTION("then a change is announced")
        {
            grants.on_peer_change("c", 4);
            CHECK_FALSE(grants.confirmed_until());
            relayed.until = start + 3s;
            grants.on_relayed_grants("south", relayed); // Was on its way.
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
    SECTION("given to other members")
    {
        relayed.member_digest += 1;
        grants.on_relayed_grants("south", relayed);
        CHECK_FALSE(grants.confirmed_until());
    }
    SECTION("not one round for each granter")
    {
        relayed.rounds = {3, 3};
        grants.on_relayed_grants("south", relayed);
        CHECK_FALSE(grants.confirmed_until());
    }
}
