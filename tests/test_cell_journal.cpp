// Tests the commits of the cell's owner when answers are late or lost
// or the store refuses them.
#include <catch2/catch.hpp>
#include <optional>

#include "cell_journal_p.hpp"

using namespace carobcourse;
using std::chrono::milliseconds;

namespace
{

struct journal_fixture
{
    time_point now = time_point(std::chrono::hours(1));
    cell_journal journal{owner_row{1, "h", "i", "a", 0, false}, 5, now};
    std::uint64_t next_op = 1;
    std::uint64_t version = 5;

    std::optional<store_commit> next_commit()
    {
        return journal.next_commit(now, op_id{component::config, next_op++});
    }
    /// Advances the clock in steps of 1 ms until a commit is due.
    std::optional<store_commit> wait_for_commit(milliseconds timeout)
    {
        const auto end = now + timeout;
        while (now < end)
        {
            now += milliseconds(1);
            if (auto commit = next_commit())
                return commit;
        }
        return std::nullopt;
    }
    cell_journal::outcome confirm(const store_commit& commit)
    {
        store_result result;
        result.op = commit.op;
        result.status = store_status::ok;
        result.versions.assign(commit.writes.size(), ++version);
        return journal.on_result(now, result);
    }
};

} // namespace

TEST_CASE("A commit whose answer is lost is sent again within 100 ms")
{
    // A third of the answers can be lost for seconds. Waiting a second for
    // each of them would stop the cell.
    journal_fixture fixture;
    for (int i = 0; i < 20; ++i)
    {
        fixture.journal.write(fixture.now, "job", "a", "x");
        const auto commit = fixture.wait_for_commit(milliseconds(50));
        REQUIRE(commit);
        fixture.now += milliseconds(5);
        CHECK(fixture.confirm(*commit) == cell_journal::outcome::committed);
    }
    bool durable = false;
    fixture.journal.write(fixture.now, "job", "a", "y",
                          [&] { durable = true; });
    const auto first = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(first);
    const auto sent = fixture.now;
    const auto copy = fixture.wait_for_commit(milliseconds(1000));
    REQUIRE(copy);
    CHECK(fixture.now - sent <= milliseconds(100));
    REQUIRE(copy->writes.size() == first->writes.size());
    for (std::size_t i = 0; i < copy->writes.size(); ++i)
    {
        CHECK(copy->writes[i].expect == first->writes[i].expect);
        CHECK(copy->writes[i].value == first->writes[i].value);
    }
    // The first copy took effect, so the second one finds a conflict.
    store_result taken;
    taken.op = copy->op;
    taken.status = store_status::conflict;
    taken.rows.push_back(
        {owner_key, 99, to_text(fixture.journal.owner()), cell_table::owner});
    CHECK(fixture.journal.on_result(fixture.now, taken) ==
          cell_journal::outcome::committed);
    CHECK(durable);
    // A late answer to the first copy is not taken for the next commit's.
    CHECK_FALSE(fixture.journal.is_in_flight(first->op));
}

TEST_CASE("An unanswered commit has at most three copies, sent at growing "
          "intervals")
{
    journal_fixture fixture;
    fixture.journal.write(fixture.now, "job", "a", "x");
    std::vector<time_point> sent;
    for (int ms = 0; ms < 900; ++ms)
    {
        fixture.now += milliseconds(1);
        if (fixture.next_commit())
            sent.push_back(fixture.now);
    }
    REQUIRE(sent.size() == 3);
    CHECK(sent[2] - sent[1] > sent[1] - sent[0]);
}

TEST_CASE("The store counts as failing when a commit has no effect for half a "
          "second")
{
    journal_fixture fixture;
    fixture.journal.write(fixture.now, "job", "a", "x");
    const auto first = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(first);
    const auto sent = fixture.now;
    auto commit = first;
    while (fixture.now < sent + milliseconds(490))
    {
        store_result refused;
        refused.status = store_status::unavailable;
        if (commit)
        {
            refused.op = commit->op;
            fixture.journal.on_result(fixture.now, refused);
        }
        CHECK_FALSE(fixture.journal.is_store_failing(fixture.now));
        fixture.now += milliseconds(10);
        commit = fixture.next_commit();
    }
    fixture.now = sent + milliseconds(510);
    CHECK(fixture.journal.is_store_failing(fixture.now));
    if (!commit)
        commit = fixture.wait_for_commit(milliseconds(600));
    REQUIRE(commit);
    fixture.confirm(*commit);
    CHECK_FALSE(fixture.journal.is_store_failing(fixture.now));
}

TEST_CASE("A store that becomes slow is not flooded with copies of commits")
{
    journal_fixture fixture;
    const auto answer_after = [&fixture](milliseconds time)
    {
        fixture.journal.write(fixture.now, "job", "a", "x");
        const auto commit = fixture.wait_for_commit(milliseconds(50));
        REQUIRE(commit);
        int copies = 0;
        const auto end = fixture.now + time;
        while (fixture.now < end)
        {
            fixture.now += milliseconds(1);
            copies += fixture.next_commit() ? 1 : 0;
        }
        fixture.confirm(*commit);
        return copies;
    };
    for (int i = 0; i < 20; ++i)
        CHECK(answer_after(milliseconds(5)) == 0);
    CHECK(answer_after(milliseconds(240)) <= 1);
    for (int i = 0; i < 10; ++i)
        CHECK(answer_after(milliseconds(480)) == 0);
}

TEST_CASE("Lazy removals only fill the space that writes leave in a commit")
{
    journal_fixture fixture;
    for (int i = 0; i < 60; ++i)
        fixture.journal.remove_lazily(fixture.now, "job", std::to_string(i));
    for (int i = 0; i < 70; ++i)
        fixture.journal.write(fixture.now, "job", std::to_string(1000 + i),
                              "x");
    const auto first = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(first);
    // The owner's row, 70 writes and 26 of the 60 removals.
    CHECK(first->writes.size() == 97);
    CHECK(first->writes[70].value);
    CHECK_FALSE(first->writes[71].value);
    fixture.confirm(*first);
    fixture.journal.write(fixture.now, "job", "a", "x");
    const auto second = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(second);
    CHECK(second->writes.size() == 36);
}
