// Commits of the owner whose answers are late, lost or refused.
#include <catch2/catch.hpp>
#include <optional>

#include "cell_journal_p.hpp"

using namespace carobcourse;
using std::chrono::milliseconds;

namespace
{

struct journal
{
    time_point now = time_point(std::chrono::hours(1));
    cell_journal commits{owner_row{1, "h", "i", "a", 0, false}, 5, now};
    std::uint64_t next_op = 1;
    std::uint64_t version = 5;

    std::optional<store_commit> next()
    {
        return commits.next(now, op_id{component::config, next_op++});
    }
    /// Time until the next commit goes out, in steps of 1 ms.
    std::optional<store_commit> wait(milliseconds most)
    {
        const auto end = now + most;
        while (now < end)
        {
            now += milliseconds(1);
            if (auto commit = next())
                return commit;
        }
        return std::nullopt;
    }
    cell_journal::verdict answer(const store_commit& commit)
    {
        store_result result;
        result.op = commit.op;
        result.status = store_status::ok;
        result.versions.assign(commit.writes.size(), ++version);
        return commits.on_result(now, result);
    }
};

} // namespace

TEST_CASE("A commit whose answer is lost is sent again within 100 ms")
{
    // A third of the answers is lost for seconds; a wait of a second for each
    // would stop the cell.
    journal at;
    for (int i = 0; i < 20; ++i)
    {
        at.commits.write("job", "a", "x");
        const auto commit = at.wait(milliseconds(50));
        REQUIRE(commit);
        at.now += milliseconds(5);
        CHECK(at.answer(*commit) == cell_journal::verdict::written);
    }
    bool durable = false;
    at.commits.write("job", "a", "y", [&] { durable = true; });
    const auto first = at.wait(milliseconds(50));
    REQUIRE(first);
    const auto sent = at.now;
    const auto copy = at.wait(milliseconds(1000));
    REQUIRE(copy);
    CHECK(at.now - sent <= milliseconds(100));
    REQUIRE(copy->writes.size() == first->writes.size());
    for (std::size_t i = 0; i < copy->writes.size(); ++i)
    {
        CHECK(copy->writes[i].expect == first->writes[i].expect);
        CHECK(copy->writes[i].value == first->writes[i].value);
    }
    // The first copy took effect.
    store_result taken;
    taken.op = copy->op;
    taken.status = store_status::conflict;
    taken.rows.push_back(
        {owner_key, 99, to_text(at.commits.owner()), cell_table::owner});
    CHECK(at.commits.on_result(at.now, taken) ==
          cell_journal::verdict::written);
    CHECK(durable);
    // Its answer comes late and says nothing about the next commit.
    CHECK_FALSE(at.commits.expects(first->op));
}

TEST_CASE("Copies of a commit are few, and the wait for a slow store grows")
{
    journal at;
    at.commits.write("job", "a", "x");
    std::vector<time_point> sent;
    for (int ms = 0; ms < 900; ++ms)
    {
        at.now += milliseconds(1);
        if (at.next())
            sent.push_back(at.now);
    }
    REQUIRE(sent.size() == 3);
    CHECK(sent[2] - sent[1] > sent[1] - sent[0]);
}

TEST_CASE("The store counts as failing after half a second without effect")
{
    journal at;
    at.commits.write("job", "a", "x");
    const auto first = at.wait(milliseconds(50));
    REQUIRE(first);
    const auto sent = at.now;
    auto commit = first;
    while (at.now < sent + milliseconds(490))
    {
        store_result refused;
        refused.status = store_status::unavailable;
        if (commit)
        {
            refused.op = commit->op;
            at.commits.on_result(at.now, refused);
        }
        CHECK_FALSE(at.commits.is_failing(at.now));
        at.now += milliseconds(10);
        commit = at.next();
    }
    at.now = sent + milliseconds(510);
    CHECK(at.commits.is_failing(at.now));
    if (!commit)
        commit = at.wait(milliseconds(600));
    REQUIRE(commit);
    at.answer(*commit);
    CHECK_FALSE(at.commits.is_failing(at.now));
}

TEST_CASE("A store that turns slow is not flooded with copies")
{
    journal at;
    const auto answer_after = [&at](milliseconds time)
    {
        at.commits.write("job", "a", "x");
        const auto commit = at.wait(milliseconds(50));
        REQUIRE(commit);
        int copies = 0;
        const auto end = at.now + time;
        while (at.now < end)
        {
            at.now += milliseconds(1);
            copies += at.next() ? 1 : 0;
        }
        at.answer(*commit);
        return copies;
    };
    for (int i = 0; i < 20; ++i)
        CHECK(answer_after(milliseconds(5)) == 0);
    CHECK(answer_after(milliseconds(240)) <= 1);
    for (int i = 0; i < 10; ++i)
        CHECK(answer_after(milliseconds(480)) == 0);
}

TEST_CASE("Rows that are not needed go only where a commit has space")
{
    journal at;
    for (int i = 0; i < 60; ++i)
        at.commits.discard("job", std::to_string(i));
    for (int i = 0; i < 70; ++i)
        at.commits.write("job", std::to_string(1000 + i), "x");
    const auto first = at.wait(milliseconds(50));
    REQUIRE(first);
    // The owner's row, 70 writes, and 26 of the removals.
    CHECK(first->writes.size() == 97);
    CHECK(first->writes[70].value);
    CHECK_FALSE(first->writes[71].value);
    at.answer(*first);
    at.commits.write("job", "a", "x");
    const auto second = at.wait(milliseconds(50));
    REQUIRE(second);
    CHECK(second->writes.size() == 36);
}
