#include <catch2/catch.hpp>

#include "core_harness.hpp"
#include "executor_pool_p.hpp"

using namespace carobcourse;
using namespace std::chrono_literals;

namespace
{

struct pool_fixture
{
    test::seeded_entropy entropy{1};
    core_context context{
        {"north-1", "north", "inc-1", "", "operator", 30s}, 7, entropy};
    executor_pool pool{context};
    time_point now{std::chrono::hours(1)};
    std::uint32_t attempt = 0;

    static host_entry host(const std::string& id, host_kind kind,
                           host_state state = host_state::live)
    {
        host_entry entry;
        entry.id = id;
        entry.kind = kind;
        entry.data_centre = "north";
        entry.address = id;
        entry.state = state;
        if (kind == host_kind::executor)
            entry.services = {"a"};
        return entry;
    }

    /// Lists the given backend servers and a number of entry hosts.
    void update_hosts(const std::vector<host_entry>& executors,
                      int entry_hosts = 1)
    {
        auto all = executors;
        for (int i = 0; i < entry_hosts; ++i)
            all.push_back(host(std::to_string(i), host_kind::entry));
        pool.update_hosts(now, all);
    }

    std::optional<executor_choice> acquire(bool idempotent = true,
                                           const std::string& avoid = {})
    {
        return pool.acquire(now, {"r", ++attempt, "a", avoid, idempotent});
    }

    execute_result result(const std::string& executor, std::uint32_t number,
                          send_status status = send_status::answered) const
    {
        execute_result value;
        value.request = "r";
        value.attempt = number;
        value.executor = executor;
        value.status = status;
        return value;
    }

    std::size_t acquire_all()
    {
        std::size_t count = 0;
        while (acquire())
            ++count;
        return count;
    }
};

} // namespace

TEST_CASE_METHOD(pool_fixture, "a leaving server gets no attempts even if a "
                               "later list shows it as live")
{
    // Guards against a stale host list that makes a leaving server available
    // again (I9).
    const auto live = host("e1", host_kind::executor);
    update_hosts({live});
    SECTION("announced by the host list")
    {
        update_hosts({host("e1", host_kind::executor, host_state::leaving)});
    }
    SECTION("announced in an answer of the server")
    {
        REQUIRE(acquire());
        auto answer = result("e1", 1);
        answer.leaving = true;
        CHECK(pool.release(now, answer, false));
    }
    update_hosts({live});
    CHECK_FALSE(acquire());
    CHECK_FALSE(pool.serves("a"));
    update_hosts({});
    update_hosts({live});
    CHECK_FALSE(acquire());
}

TEST_CASE_METHOD(pool_fixture, "an attempt holds its slot when its server "
                               "disappears from the list")
{
    // Guards against more attempts than slots at a server that was missing from
    // one host list.
    const auto live = host("e1", host_kind::executor);
    update_hosts({live});
    CHECK(acquire_all() == config::executor_slots);
    update_hosts({});
    CHECK_FALSE(acquire());
    update_hosts({live});
    CHECK_FALSE(acquire());
    CHECK(pool.release(now, result("e1", 1), false));
    CHECK_FALSE(pool.release(now, result("e1", 1), false));
    CHECK(acquire());
    CHECK_FALSE(acquire());
}

TEST_CASE_METHOD(pool_fixture, "slots are shared between entry hosts and "
                               "borrowed after a report of free slots")
{
    // Guards against entry hosts that together overload a server, and against
    // slots that stay unused while the other entry hosts are idle.
    update_hosts({host("e1", host_kind::executor)}, 4);
    CHECK(acquire_all() == 2);
    auto answer = result("e1", 1);
    answer.slots_free = 7;
    CHECK(pool.release(now, answer, false));
    // Of 7 free slots, 1 is in this host's share; it borrows half of the
    // other 6.
    CHECK(acquire_all() == 1 + 3);
    now += config::slot_report_validity;
    auto late = result("e1", 2);
    CHECK(pool.release(now, late, false));
    CHECK_FALSE(acquire());
}

TEST_CASE_METHOD(pool_fixture, "a server without a free slot gets no attempts "
                               "for a while")
{
    // Guards against a tight loop that resends a request to a full server.
    update_hosts({host("e1", host_kind::executor)});
    REQUIRE(acquire());
    auto full = result("e1", 1);
    full.no_slot = true;
    CHECK(pool.release(now, full, false));
    CHECK_FALSE(acquire());
    now += 2 * config::no_slot_pause;
    CHECK(acquire());
}

TEST_CASE_METHOD(pool_fixture, "a circuit opens after failures and closes "
                               "after a successful trial")
{
    // Guards against a failing server that keeps getting attempts, and against
    // a recovered server that gets none.
    update_hosts({host("e1", host_kind::executor)});
    for (std::uint32_t i = 1; i <= config::breaker_failures; ++i)
    {
        REQUIRE(acquire());
        pool.release(now, result("e1", i, send_status::not_sent), false);
    }
    CHECK_FALSE(acquire());
    now += 2 * config::breaker_open_first;
    REQUIRE(acquire());
    const auto trial = attempt;
    CHECK_FALSE(acquire()); // Only one trial at a time.
    pool.release(now, result("e1", trial, send_status::unknown), false);
    now += config::breaker_open_first;
    CHECK_FALSE(acquire()); // The circuit stays open twice as long.
    now += 2 * config::breaker_open_first;
    REQUIRE(acquire());
    pool.release(now, result("e1", attempt), false);
    CHECK(acquire_all() == config::executor_slots);
}

TEST_CASE_METHOD(pool_fixture, "short deadlines do not open a circuit")
{
    // Guards against a caller whose short deadlines make a healthy server
    // unavailable to all others. A timeout after a long wait still counts.
    update_hosts({host("e1", host_kind::executor)});
    for (std::uint32_t i = 0; i < 3 * config::breaker_failures; ++i)
    {
        REQUIRE(acquire());
        pool.release(now, result("e1", attempt, send_status::unknown), true);
    }
    for (std::uint32_t i = 0; i < config::breaker_failures; ++i)
    {
        REQUIRE(acquire());
        const auto sent = attempt;
        now += config::executor_patience;
        pool.release(now, result("e1", sent, send_status::unknown), true);
    }
    CHECK_FALSE(acquire());
}

TEST_CASE_METHOD(pool_fixture, "a request that is not idempotent is a trial "
                               "only as a last resort")
{
    // Guards against an unknown outcome while a healthy server has a free slot.
    update_hosts(
        {host("e1", host_kind::executor), host("e2", host_kind::executor)});
    while (const auto chosen = acquire())
    {
        const bool fails = chosen->executor == "e1";
        pool.release(
            now,
            result(chosen->executor, attempt,
                   fails ? send_status::not_sent : send_status::answered),
            false);
        if (context.counters.counter("carobcourse_breaker_opened_total") > 0)
            break;
    }
    now += 2 * config::breaker_open_first;
    for (int i = 0; i < 50; ++i)
    {
        const auto chosen = acquire(false);
        REQUIRE(chosen);
        CHECK(chosen->executor == "e2");
        pool.release(now, result("e2", attempt), false);
    }
}
