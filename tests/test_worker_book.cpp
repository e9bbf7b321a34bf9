// The workers of a shard: capacity, lost messages, restarts and quarantine.
#include <catch2/catch.hpp>

#include "standin_p.hpp"
#include "worker_book_p.hpp"

using namespace carobcourse;
using namespace std::chrono_literals;

namespace
{

class fixed_entropy final : public entropy_source
{
public:
    std::string hex(std::size_t bytes) override
    {
        return std::string(bytes * 2, '0');
    }
};

/// A book with one worker, driven by hand.
class bench
{
public:
    explicit bench(const resources& capacity = {8000, 8000, 2})
        : context_(identity(), 1, entropy_), book(context_),
          worker("w1", capacity)
    {
        book.begin_epoch(now, 5);
        book.update_hosts(now, {entry("a1")});
        exchange();
    }

    static host_entry entry(const std::string& address)
    {
        host_entry host;
        host.id = "w1";
        host.data_centre = "north";
        host.rack = "r1";
        host.address = address;
        return host;
    }

    /// Takes the sync that is due now, if any.
    std::optional<worker_sync> take_sync(bool may_start = true)
    {
        context_.out.clear();
        book.send_due(now, now + 60s, may_start);
        for (const auto& each : context_.out)
        {
            if (const auto* message = std::get_if<worker_sync>(&each))
                return *message;
        }
        return std::nullopt;
    }

    std::vector<attempt_news> answer(const worker_sync& message)
    {
        worker_result result;
        result.worker = message.worker;
        result.sequence = message.sequence;
        result.status = send_status::answered;
        result.reply = deliver(message);
        return book.on_result(now, result);
    }

    std::vector<attempt_news> lose(const worker_sync& message)
    {
        worker_result result;
        result.worker = message.worker;
        result.sequence = message.sequence;
        return book.on_result(now, result);
    }

    sync_reply deliver(const worker_sync& message)
    {
        return sync_reply_from_json(worker.sync(worker_time(), message).body);
    }

    /// Syncs until nothing is due; returns all news.
    std::vector<attempt_news> exchange()
    {
        std::vector<attempt_news> all = book.on_tick(now);
        while (const auto message = take_sync())
        {
            for (const auto& each : answer(*message))
                all.push_back(each);
        }
        return all;
    }

    std::vector<attempt_news> pass(duration time)
    {
        std::vector<attempt_news> all;
        const auto end = now + time;
        while (now < end)
        {
            now += 100ms;
            for (const auto& each : exchange())
                all.push_back(each);
        }
        return all;
    }

    void start(const attempt_id& attempt, const resources& amount,
               std::int64_t run_ms = 600000, bool fails = false)
    {
        start_task task;
        task.attempt = attempt;
        task.amount = amount;
        task.run_ms = run_ms;
        task.payload = fails ? R"({"fail":true})" : "null";
        book.start("w1", task);
    }

    /// Runs a task that fails and acknowledges its result.
    void fail_one(const std::string& job)
    {
        const attempt_id attempt{{job, next_++}, 1};
        start(attempt, {1000, 100, 0}, 100, true);
        pass(3s);
        book.acknowledge("w1", attempt);
        exchange();
    }

    bool takes_work() const
    {
        return book.index().find("w1") != no_worker;
    }
    resources free() const
    {
        return book.index().free(book.index().find("w1"));
    }
    standin::steady::time_point worker_time() const
    {
        return standin::steady::time_point(
            std::chrono::duration_cast<std::chrono::nanoseconds>(
                now.time_since_epoch()));
    }

    time_point now{std::chrono::hours(1)};

private:
    static host_identity identity()
    {
        host_identity identity;
        identity.host = "north-1";
        identity.data_centre = "north";
        identity.incarnation = "1";
        return identity;
    }

    fixed_entropy entropy_;
    core_context context_;
    std::uint32_t next_ = 0;

public:
    worker_book book;
    standin::worker worker;
};

bool has(const std::vector<attempt_news>& news, attempt_news::kind what,
         const attempt_id& attempt)
{
    return std::any_of(news.begin(), news.end(),
                       [&](const attempt_news& each) {
                           return each.what == what && each.attempt == attempt;
                       });
}

const attempt_id first{{"j1", 0}, 1};

} // namespace

TEST_CASE("a lost reply keeps the capacity until the worker reports")
{
    // Guards against capacity that is given twice (I1) when a start took
    // effect unseen.
    bench it;
    it.start(first, {3000, 100, 1});
    const auto message = it.take_sync();
    REQUIRE(message);
    it.deliver(*message);
    CHECK(it.lose(*message).empty());
    CHECK(it.free() == resources{5000, 7900, 1});
    it.now += 300ms;
    CHECK(has(it.exchange(), attempt_news::kind::running, first));
    CHECK(it.free() == resources{5000, 7900, 1});
    CHECK(it.worker.record().size() == 1);
}

TEST_CASE("a start that is stopped before it was sent never runs")
{
    // Guards against a worker that takes the stop first and the start after
    // it from one message, so that a cancelled task runs.
    bench it;
    it.start(first, {1000, 100, 0});
    const auto message = it.take_sync();
    REQUIRE(message);
    it.book.stop("w1", first, false);
    it.lose(*message); // Never delivered.
    it.now += 300ms;
    CHECK(has(it.exchange(), attempt_news::kind::lost, first));
    CHECK(it.worker.record().empty());
    // The lost message arrives late; its token is not the latest any more.
    it.deliver(*message);
    CHECK(it.worker.record().empty());
}

TEST_CASE("a worker that shrinks gets nothing until its tasks fit")
{
    // Guards against more than the new capacity in use, accelerators too.
    bench it;
    it.start(first, {4000, 4000, 2});
    it.exchange();
    it.worker.set_capacity({2000, 8000, 1});
    it.pass(3s);
    CHECK(it.free().accelerators == -1);
    CHECK_FALSE(resources{0, 100, 0}.fits_in(it.free()));
    it.book.stop("w1", first, false);
    it.pass(3s);
    CHECK(it.free() == resources{2000, 8000, 1});
}

TEST_CASE("a worker that restarts under its id runs nothing of before")
{
    // Guards against tasks that are held running on a worker which lost
    // them, and against starts that a new process refuses for ever because
    // it does not know the token.
    bench it;
    it.start(first, {1000, 100, 0});
    it.exchange();
    it.worker = standin::worker("w1", {8000, 8000, 2});
    CHECK(has(it.pass(3s), attempt_news::kind::lost, first));
    const attempt_id second{{"j1", 0}, 2};
    it.start(second, {1000, 100, 0});
    CHECK(has(it.pass(3s), attempt_news::kind::running, second));
}

TEST_CASE("a worker that moved keeps what the old process may still run")
{
    // Guards against a second start while the process at the old address is
    // only cut off (I2).
    bench it;
    it.start(first, {1000, 100, 0});
    it.exchange();
    it.book.update_hosts(it.now, {bench::entry("a2")});
    it.worker = standin::worker("w1", {8000, 8000, 2});
    CHECK_FALSE(has(it.pass(20s), attempt_news::kind::lost, first));
    CHECK(it.free().cpu_millis == 7000);
    CHECK(has(it.pass(15s), attempt_news::kind::lost, first));
    CHECK(it.free().cpu_millis == 8000);
}

TEST_CASE("a worker that is listed twice counts once")
{
    // Guards against messages that alternate between two addresses.
    bench it;
    auto leaving = bench::entry("a0");
    it.book.update_hosts(it.now, {leaving, bench::entry("a1")});
    CHECK(it.book.worker_count() == 1);
    it.now += 3s;
    const auto message = it.take_sync();
    REQUIRE(message);
    CHECK(message->address == "a1");
    it.answer(*message);
    leaving.state = host_state::leaving;
    it.book.update_hosts(it.now, {bench::entry("a1"), leaving});
    CHECK_FALSE(it.takes_work());
}

TEST_CASE("an unreachable worker keeps its tasks until its lease is over")
{
    // Guards against a start elsewhere while the worker may still run it.
    bench it;
    it.start(first, {1000, 100, 0});
    it.exchange();
    const auto granted_at = it.now;
    std::vector<attempt_news> news;
    while (it.now < granted_at + 40s && news.empty())
    {
        it.now += 100ms;
        news = it.book.on_tick(it.now);
        if (const auto message = it.take_sync())
            it.lose(*message);
    }
    REQUIRE(has(news, attempt_news::kind::lost, first));
    it.worker.advance(it.worker_time());
    REQUIRE(it.worker.record().size() == 2);
    CHECK(it.worker.record()[1]["detail"] == "lease_expired");
    CHECK(it.now - granted_at <= 31s);
}

TEST_CASE("a result is news once and stays until it is acknowledged")
{
    // Guards against a result that is counted twice, or forgotten by the
    // worker before it is durable.
    bench it;
    it.start(first, {1000, 100, 0}, 100);
    it.exchange();
    auto news = it.pass(10s);
    CHECK(std::count_if(news.begin(), news.end(),
                        [](const attempt_news& each) {
                            return each.what == attempt_news::kind::finished;
                        }) == 1);
    it.book.begin_epoch(it.now, 6);
    it.book.update_hosts(it.now, {bench::entry("a1")});
    CHECK(has(it.exchange(), attempt_news::kind::finished, first));
    it.book.acknowledge("w1", first);
    it.exchange();
    it.book.begin_epoch(it.now, 7);
    it.book.update_hosts(it.now, {bench::entry("a1")});
    CHECK_FALSE(has(it.exchange(), attempt_news::kind::finished, first));
}

TEST_CASE("withheld and withdrawn starts")
{
    // Guards against a start that is sent after the configuration went
    // stale, or after the data centre was taken out.
    bench it;
    it.start(first, {1000, 100, 0});
    it.now += 3s;
    auto message = it.take_sync(false);
    REQUIRE(message);
    CHECK(message->starts.empty());
    it.answer(*message);
    const auto news = it.book.withdraw_starts();
    CHECK(has(news, attempt_news::kind::refused, first));
    it.pass(5s);
    CHECK(it.worker.record().empty());
    CHECK(it.free().cpu_millis == 8000);
}

TEST_CASE("a worker that fails everything is put in quarantine")
{
    // Guards against a worker that swallows work by failing it at once, and
    // against quarantine because of one broken job.
    bench it;
    for (int i = 0; i < 8; ++i)
        it.fail_one("broken");
    CHECK(it.takes_work());
    it.fail_one("a");
    CHECK(it.takes_work());
    it.fail_one("b");
    REQUIRE_FALSE(it.takes_work());
    auto quarantined = [&]
    {
        const auto from = it.now;
        while (!it.takes_work())
            it.pass(100ms);
        return it.now - from;
    };
    // fail_one lasts 3 s, of which up to 3 s are part of the quarantine.
    auto length = quarantined();
    CHECK(length >= 27s);
    CHECK(length <= 30s);
    // On trial: one task at a time.
    it.start({{"c", 0}, 1}, {1000, 100, 0}, 600000);
    CHECK_FALSE(it.takes_work());
    it.book.stop("w1", {{"c", 0}, 1}, false);
    it.pass(3s);
    REQUIRE(it.takes_work());
    for (int i = 0; i < 7; ++i)
    {
        it.fail_one("d");
        const auto expected = std::min<duration>(60s * (1 << i), 10min);
        length = quarantined();
        CHECK(length <= expected);
        CHECK(length >= expected - 3s);
    }
    it.start({{"e", 0}, 1}, {1000, 100, 0}, 100);
    it.pass(3s);
    REQUIRE(it.takes_work());
    // A success ends the trial: two tasks at once are possible again.
    it.start({{"f", 0}, 1}, {1000, 100, 0});
    CHECK(it.takes_work());
}

TEST_CASE("lost leases do not count towards quarantine")
{
    // Guards against quarantine of workers whose hosts or owners failed.
    bench it;
    for (std::uint32_t i = 0; i < 6; ++i)
        it.start({{"j" + std::to_string(i), 0}, 1}, {1000, 100, 0});
    it.exchange();
    it.now += 40s; // The lease ends unrenewed.
    it.worker.advance(it.worker_time());
    it.pass(3s);
    CHECK(it.takes_work());
}

TEST_CASE("a start that is held back on its way is not taken")
{
    // Guards against a task that starts long after its data centre was taken
    // out, because a sync with a valid token arrived late (I5).
    const attempt_id attempt{{"j", 0}, 1};
    for (const auto delay : {duration(700ms), duration(900ms), duration(20s)})
    {
        bench b;
        b.now += 1s; // The token is older than the start.
        b.start(attempt, {1000, 100, 0});
        const auto message = b.take_sync();
        REQUIRE(message);
        REQUIRE(message->starts.size() == 1);
        b.now += delay;
        const auto news = b.answer(*message);
        CAPTURE(delay.count());
        if (delay < 800ms)
        {
            CHECK(b.worker.record().size() == 1);
            continue;
        }
        CHECK(b.worker.record().empty());
        REQUIRE(news.size() == 1);
        CHECK(news[0].what == attempt_news::kind::refused);
        CHECK(news[0].detail == "the start is late");
    }
}
