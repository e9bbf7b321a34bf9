// Tests the commits of the cell's owner when answers are late or lost
// or the store refuses them.
#include <catch2/catch.hpp>
#include <map>
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

    void append(const std::string& job, const std::string& text,
                cell_journal::callback on_durable = {})
    {
        journal.append(now, {log_entry_kind::job, job, text},
                       std::move(on_durable));
    }
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
        fixture.append("a", "x");
        const auto commit = fixture.wait_for_commit(milliseconds(50));
        REQUIRE(commit);
        fixture.now += milliseconds(5);
        CHECK(fixture.confirm(*commit) == cell_journal::outcome::committed);
    }
    bool durable = false;
    fixture.append("a", "y", [&] { durable = true; });
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
    fixture.append("a", "x");
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
    fixture.append("a", "x");
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
        fixture.append("a", "x");
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

TEST_CASE("A commit takes all entries that wait")
{
    // Guards against a limit of rows a commit, behind which final phases wait.
    journal_fixture fixture;
    std::size_t durable = 0;
    for (int i = 0; i < 3000; ++i)
        fixture.append(std::to_string(i), std::string(100, 'x'),
                       [&] { ++durable; });
    const auto commit = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(commit);
    // The service accepts 100 rows of 64 KiB in base64.
    CHECK(commit->writes.size() <= 100);
    for (const auto& write : commit->writes)
        CHECK(write.value->size() <= std::size_t{48} * 1024);
    CHECK(fixture.confirm(*commit) == cell_journal::outcome::committed);
    CHECK(durable == 3000);
}

TEST_CASE("A final phase replaces the progress that waits")
{
    // Guards against a backlog of progress of jobs that have ended meanwhile.
    journal_fixture fixture;
    fixture.journal.append(fixture.now, {log_entry_kind::progress, "a", "x"});
    bool acknowledged = false;
    fixture.journal.when_durable([&] { acknowledged = true; });
    fixture.journal.append(fixture.now, {log_entry_kind::ended, "a", "y"});
    const auto commit = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(commit);
    REQUIRE(commit->writes.size() == 2);
    CHECK(commit->writes[1].value == "e a y\n");
    CHECK_FALSE(acknowledged);
    fixture.confirm(*commit);
    CHECK(acknowledged);
}

TEST_CASE("An end is not acknowledged before the final phase that replaces its "
          "progress is stored")
{
    // Guards against a task that runs again: its worker has forgotten the end
    // and the store never had it.
    journal_fixture fixture;
    fixture.append("b", "x");
    const auto first = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(first);
    fixture.journal.append(fixture.now, {log_entry_kind::progress, "a", "x"});
    bool acknowledged = false;
    fixture.journal.when_durable([&] { acknowledged = true; });
    fixture.journal.append(fixture.now, {log_entry_kind::ended, "a", "y"});
    fixture.confirm(*first);
    CHECK_FALSE(acknowledged);
    const auto second = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(second);
    REQUIRE(second->writes.size() == 2);
    CHECK(second->writes[1].value == "e a y\n");
    fixture.confirm(*second);
    CHECK(acknowledged);
}

TEST_CASE("A job that is submitted again after it was forgotten is kept")
{
    // Guards against an accepted job that the next owner does not find.
    journal_fixture fixture;
    fixture.journal.forget("a");
    fixture.append("a", "x");
    const auto commit = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(commit);
    fixture.confirm(*commit);
    std::size_t jobs = 0;
    fixture.journal.log().for_each([&](const log_entry& entry)
                                   { jobs += entry.text == "x" ? 1 : 0; });
    CHECK(jobs == 1);
}

TEST_CASE("A submission that is dropped does not hold back what waits for it")
{
    // Guards against acknowledgements that were lost with the queued write
    // that they were attached to.
    journal_fixture fixture;
    fixture.append("a", "x");
    bool acknowledged = false;
    fixture.journal.when_durable([&] { acknowledged = true; });
    fixture.journal.cancel_queued(log_entry_kind::job, "a");
    const auto commit = fixture.wait_for_commit(milliseconds(500));
    REQUIRE(commit);
    CHECK(commit->writes.size() == 1);
    fixture.confirm(*commit);
    CHECK(acknowledged);
}

TEST_CASE("A store that answers slowly does not count as failing")
{
    // Guards against refused submissions and a change of the owner while a
    // store of 300 ms serves commits one after another.
    journal_fixture fixture;
    for (int i = 0; i < 5; ++i)
    {
        fixture.append("a", "x");
        const auto commit = fixture.wait_for_commit(milliseconds(50));
        REQUIRE(commit);
        const auto end = fixture.now + milliseconds(i == 0 ? 450 : 700);
        while (fixture.now < end)
        {
            fixture.now += milliseconds(1);
            REQUIRE_FALSE(fixture.journal.is_store_failing(fixture.now));
        }
        fixture.confirm(*commit);
    }
    fixture.append("a", "x");
    REQUIRE(fixture.wait_for_commit(milliseconds(50)));
    fixture.now += milliseconds(1210);
    CHECK(fixture.journal.is_store_failing(fixture.now));
}

TEST_CASE("A commit to a slow store is given the time that the store takes")
{
    // Guards against answers that are given up although the commit took
    // effect, and against copies behind which the next commits wait.
    journal_fixture fixture;
    fixture.append("a", "x");
    auto commit = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(commit);
    CHECK(commit->timeout_ms == 1000);
    fixture.now += milliseconds(900);
    fixture.confirm(*commit);
    fixture.append("a", "x");
    commit = fixture.wait_for_commit(milliseconds(50));
    REQUIRE(commit);
    CHECK(commit->timeout_ms == 3000);
    CHECK_FALSE(fixture.wait_for_commit(milliseconds(1800)));
    fixture.confirm(*commit);
}

TEST_CASE("The log stays small and keeps the entries in force")
{
    // Guards against a log that grows with the jobs that have ended, against
    // rows that are removed with entries in force, and against entries that
    // are in force again after a takeover.
    journal_fixture fixture;
    std::map<std::string, std::string> rows;
    const auto commit = [&]
    {
        const auto next = fixture.wait_for_commit(milliseconds(500));
        REQUIRE(next);
        CHECK(next->writes.size() <= 100);
        for (const auto& write : next->writes)
        {
            if (write.table != cell_table::log)
                continue;
            if (write.value)
                rows[write.key] = *write.value;
            else
                CHECK(rows.erase(write.key) == 1);
        }
        fixture.now += milliseconds(5);
        REQUIRE(fixture.confirm(*next) == cell_journal::outcome::committed);
    };
    fixture.append("long", std::string(300, 'l'));
    std::map<std::string, std::string> expected{
        {"j long", std::string(300, 'l')}};
    for (int i = 0; i < 4000; ++i)
    {
        const auto job = std::to_string(i);
        fixture.append(job, std::string(300, 'j'));
        commit();
        fixture.journal.append(fixture.now,
                               {log_entry_kind::ended, job, "end" + job});
        expected["e " + job] = "end" + job;
        if (i >= 500)
        {
            fixture.journal.forget(std::to_string(i - 500));
            expected.erase("e " + std::to_string(i - 500));
        }
        commit();
    }
    std::size_t bytes = 0;
    cell_log loaded;
    for (const auto& [key, text] : rows)
    {
        bytes += text.size();
        std::size_t unreadable = 0;
        loaded.add_row(*parse_log_row_key(key),
                       parse_log_row(text, unreadable));
        CHECK(unreadable == 0);
    }
    std::map<std::string, std::string> found;
    loaded.for_each(
        [&](const log_entry& entry)
        {
            found[std::string(1, static_cast<char>(entry.kind)) + " " +
                  entry.job] = entry.text;
        });
    CHECK(found == expected);
    CHECK(bytes < std::size_t{700} * 1024);
    // A takeover reads 500 rows in a call.
    CHECK(rows.size() < 1500);
}
