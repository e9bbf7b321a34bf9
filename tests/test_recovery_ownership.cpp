// Ownership of a shard when replies of the table are delayed.
#include "core_harness.hpp"
#include "ownership_p.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

/// Drives one `ownership` object against a table, step by step.
class ownership_driver
{
public:
    ownership_driver()
        : context_({"north-1", "north", "i1", "", "", 1s}, 1, entropy_)
    {
    }

    /// Ticks the object and returns the commit that it sends, if any. Reads are
    /// answered from the table at once.
    std::optional<store_commit> tick()
    {
        aggregate.on_tick(now);
        return take_commit();
    }

    /// Delivers the result of a commit and returns the next commit, if any.
    std::optional<store_commit> reply(const store_result& result)
    {
        aggregate.on_store_result(now, result);
        return take_commit();
    }

    /// Applies the commit to the table.
    store_result execute(const store_commit& commit)
    {
        return commit_result(commit.op, table.commit(commit_body(commit)));
    }

    /// Acquires the shard in epoch 1.
    void acquire()
    {
        const auto first = tick();
        REQUIRE(first);
        reply(execute(*first));
        REQUIRE(aggregate.is_owner(now));
        REQUIRE(aggregate.epoch() == 1);
    }

    std::uint64_t fence_in_table() const
    {
        return table.read(fence_table, "north.0").body["row"]["version"];
    }

    time_point now{1h};
    standin::table_store table;

private:
    std::optional<store_commit> take_commit()
    {
        std::optional<store_commit> sent;
        for (const auto& each : std::exchange(context_.out, {}))
        {
            if (const auto* commit = std::get_if<store_commit>(&each))
                sent = *commit;
            const auto* read = std::get_if<store_read>(&each);
            if (read == nullptr)
                continue;
            store_result result;
            result.op = read->op;
            result.status = store_status::ok;
            const auto answer = table.read(read->table, read->key);
            if (answer.status == 200)
                result.rows.push_back({answer.body["row"]["key"],
                                       answer.body["row"]["version"],
                                       answer.body["row"]["value"]});
            aggregate.on_store_result(now, result);
            sent = take_commit();
        }
        return sent;
    }

    seeded_entropy entropy_{1};
    core_context context_;

public:
    ownership aggregate{context_, "north.0"};
};

} // namespace

TEST_CASE("a renewal confirmed after the lease has expired starts a new epoch")
{
    // Guards against an owner that resumes its old epoch. Its jobs were dropped
    // when the lease expired, and a delayed commit of that epoch, such as the
    // move of a job to another shard, may take effect after they are read
    // again: the job would run in both shards.
    ownership_driver fixture;
    fixture.acquire();
    fixture.now += 9500ms; // The table was down; the lease ends after 9.7 s.
    const auto renewal = fixture.tick();
    REQUIRE(renewal);
    const auto result = fixture.execute(*renewal);
    store_commit late;
    late.writes = {{fence_table, "north.0", fixture.aggregate.fence_version(),
                    fence_value(1, "late")}};
    fixture.now += 400ms;
    fixture.aggregate.on_tick(fixture.now);
    REQUIRE_FALSE(fixture.aggregate.is_owner(fixture.now));
    const auto next = fixture.reply(result);
    CHECK_FALSE(fixture.aggregate.is_owner(fixture.now));
    REQUIRE(next);
    fixture.reply(fixture.execute(*next));
    CHECK(fixture.aggregate.is_owner(fixture.now));
    CHECK(fixture.aggregate.epoch() == 2);
    CHECK(fixture.aggregate.fence_version() == fixture.fence_in_table());
    CHECK(fixture.execute(late).status == store_status::conflict);
}

TEST_CASE("a renewal confirmed after stepping down starts a new epoch")
{
    // Guards against an owner that steps down because the table or a worker
    // reports a newer owner, and then regains the same epoch by a renewal that
    // was still in transit.
    ownership_driver fixture;
    fixture.acquire();
    fixture.now += 3s;
    const auto renewal = fixture.tick();
    REQUIRE(renewal);
    const auto result = fixture.execute(*renewal);
    fixture.aggregate.step_down(fixture.now);
    const auto next = fixture.reply(result);
    CHECK_FALSE(fixture.aggregate.is_owner(fixture.now));
    REQUIRE(next);
    fixture.reply(fixture.execute(*next));
    CHECK(fixture.aggregate.epoch() == 2);
    CHECK(fixture.aggregate.fence_version() == fixture.fence_in_table());
}

TEST_CASE("a renewal confirmed in time keeps the epoch and the fence")
{
    // Guards against a new epoch, and with it a recovery of the whole shard, at
    // every renewal.
    ownership_driver fixture;
    fixture.acquire();
    for (int i = 0; i < 5; ++i)
    {
        fixture.now += 3s;
        const auto renewal = fixture.tick();
        REQUIRE(renewal);
        CHECK(renewal->writes.size() == 1);
        fixture.reply(fixture.execute(*renewal));
        CHECK(fixture.aggregate.is_owner(fixture.now));
        CHECK(fixture.aggregate.epoch() == 1);
        CHECK(fixture.aggregate.fence_version() == fixture.fence_in_table());
    }
}
