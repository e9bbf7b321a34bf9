// Takeover of a shard: which tasks the new owner starts, delays or stops.
#include "recovery_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

TEST_CASE("after a takeover a task waits for an unreachable worker's lease")
{
    // Guards against a second start while the first worker is disconnected but
    // still runs the task (I2), against a task that is never restarted, and
    // against new jobs that also wait for that worker.
    recovery_cell fixture(101);
    fixture.submit("north-1", job_body("j1", 1, 40000, 3000));
    REQUIRE(fixture.wait_for_starts("j1", 1, 5s));
    fixture.cell.run_for(2s);
    const auto worker = fixture.worker_of("j1");
    const auto dead = fixture.owner();
    fixture.cell.worker_faults[worker].cut = true;
    fixture.cell.kill(dead);
    const auto next = fixture.other_host(dead);
    REQUIRE(
        fixture.cell.run_until(20s, [&] { return fixture.owner() == next; }));
    fixture.submit(next, job_body("j2", 1, 1000));
    CHECK(fixture.wait_for_starts("j2", 1, 2s));
    CHECK(fixture.cell.count_starts("j1") == 1);
    fixture.cell.run_for(60s);
    CHECK(fixture.cell.count_starts("j1") == 2);
    CHECK(fixture.cell.overlapping_tasks().empty());
}

TEST_CASE(
    "a start that was not written to the table is not repeated at a takeover")
{
    // Guards against two concurrent attempts when the table was down between a
    // start and the owner's death, so that the row still says "waiting".
    for (std::uint64_t seed = 111; seed < 116; ++seed)
    {
        recovery_cell fixture(seed);
        const auto dead = fixture.owner();
        fixture.cell.at(fixture.cell.now(), [] {});
        fixture.submit(dead, job_body("j1", 1, 40000));
        REQUIRE(fixture.wait_for_starts("j1", 1, 5s));
        fixture.cell.store.down = true;
        fixture.cell.run_for(3s);
        const auto worker = fixture.worker_of("j1");
        fixture.cell.worker_faults[worker].cut = true;
        fixture.cell.kill(dead);
        fixture.cell.store.down = false;
        fixture.cell.run_for(25s);
        fixture.cell.worker_faults[worker].cut = false;
        fixture.cell.run_for(80s);
        INFO("seed " << seed);
        CHECK(fixture.cell.overlapping_tasks().empty());
        CHECK(fixture.state_in_table("j1") == "succeeded");
    }
}

TEST_CASE("a running attempt of an ended job is stopped by the new owner")
{
    // Guards against capacity that is occupied forever by an attempt without a
    // row.
    recovery_cell fixture(121);
    fixture.submit("north-1", job_body("j1", 1, 600000));
    REQUIRE(fixture.wait_for_starts("j1", 1, 5s));
    fixture.cell.run_for(2s);
    fixture.cell.kill(fixture.owner());
    const auto row =
        fixture.cell.table().read("jobs", "north.0/j1").body["row"];
    auto job = *job_record_from_json(row["value"].get<std::string>());
    job.tasks[0].state = task_state::cancelled;
    fixture.cell.table().commit(json{{"ops",
                                      {{{"table", "jobs"},
                                        {"key", "north.0/j1"},
                                        {"value", to_json_text(job)}}}}});
    REQUIRE(fixture.cell.run_until(25s,
                                   [&]
                                   {
                                       const auto all =
                                           fixture.cell.task_record();
                                       return all.back()["what"] == "end";
                                   }));
    CHECK(fixture.cell.task_record().back()["detail"] == "stopped");
}

TEST_CASE("an owner that was paused during a takeover starts nothing")
{
    // Guards against a resumed owner that still acts in its old epoch.
    recovery_cell fixture(131);
    fixture.submit("north-1", job_body("j1", 4, 30000));
    REQUIRE(fixture.wait_for_starts("j1", 4, 5s));
    const auto paused = fixture.owner();
    fixture.cell.pause(paused);
    fixture.cell.run_for(20s);
    CHECK(fixture.owner() == fixture.other_host(paused));
    fixture.cell.resume(paused);
    fixture.cell.run_for(60s);
    CHECK(fixture.cell.count_starts("j1") == 4);
    CHECK(fixture.cell.overlapping_tasks().empty());
    CHECK(fixture.state_in_table("j1") == "succeeded");
}

TEST_CASE("a planned stop hands the shard over before its lease expires")
{
    // Guards against a shard that stays without an owner until the lease of a
    // host that has announced its stop expires.
    recovery_cell fixture(141);
    const auto owner = fixture.owner();
    const auto next = fixture.other_host(owner);
    fixture.submit("north-1", job_body("j1", 2, 20000));
    REQUIRE(fixture.wait_for_starts("j1", 2, 5s));
    fixture.cell.request_stop(owner);
    CHECK(fixture.cell.run_until(4s, [&] { return fixture.owner() == next; }));
    fixture.submit(next, job_body("j2", 1, 500));
    CHECK(fixture.wait_for_starts("j2", 1, 2s));
    CHECK(fixture.cell.run_until(2s, [&]
                                 { return fixture.cell.is_stopped(owner); }));
    fixture.cell.run_for(30s);
    CHECK(fixture.cell.count_starts("j1") == 2);
    CHECK(fixture.state_in_table("j1") == "succeeded");
}

TEST_CASE("an owner steps down when a worker reports a newer epoch")
{
    // Guards against an owner that keeps placing tasks on other workers when
    // one of them has already accepted a newer owner.
    recovery_cell fixture(151);
    worker_sync message;
    message.epoch = 40;
    message.owner = "another";
    fixture.cell.worker("w1").sync(
        standin::steady::time_point(std::chrono::nanoseconds(
            std::chrono::duration_cast<std::chrono::nanoseconds>(
                fixture.cell.now().time_since_epoch()))),
        message);
    fixture.cell.run_for(5s);
    const auto stepped_down =
        std::any_of(fixture.cell.logs.begin(), fixture.cell.logs.end(),
                    [](const auto& item) {
                        return item.second.code == log_code::owner_contradicted;
                    });
    CHECK(stepped_down);
    // Later epochs exceed that of the worker, and tasks start again.
    fixture.submit("north-1", job_body("j1", 4, 500));
    CHECK(fixture.wait_for_starts("j1", 4, 240s));
}

TEST_CASE(
    "at a takeover only jobs of the previous owner wait for a lost worker")
{
    // Guards against a job that was submitted after the owner's death but waits
    // for the lease of an unreachable worker. Also guards against a job of the
    // previous owner that starts before that lease has expired, or never: an
    // earlier start of it may be missing in its row (I2).
    recovery_cell fixture(161);
    fixture.submit("north-1", job_body("j1", 1, 60000, 4000));
    fixture.submit("north-1", job_body("j2", 1, 16000, 4000));
    REQUIRE(fixture.wait_for_starts("j1", 1, 5s));
    REQUIRE(fixture.wait_for_starts("j2", 1, 5s));
    fixture.submit("north-1", job_body("taken-on", 1, 1000));
    fixture.cell.run_for(2s);
    fixture.cell.worker_faults[fixture.worker_of("j1")].cut = true;
    const auto dead = fixture.owner();
    const auto next = fixture.other_host(dead);
    fixture.cell.kill(dead);
    fixture.cell.run_for(1s);
    fixture.submit(next, job_body("new", 1, 1000));
    REQUIRE(
        fixture.cell.run_until(20s, [&] { return fixture.owner() == next; }));
    const auto taken = fixture.cell.now();
    const auto wait = [&](const std::string& job)
    {
        CHECK(fixture.wait_for_starts(job, 1, 60s));
        return std::chrono::duration<double>(fixture.cell.now() - taken)
            .count();
    };
    const auto new_wait = wait("new");
    const auto taken_on_wait = wait("taken-on");
    // The end of the second job frees the other worker, possibly only after the
    // takeover. Only the wait after that is caused by the new owner.
    const auto freed =
        std::chrono::duration<double>(fixture.end_time_of("j2") - taken);
    WARN("started after " << new_wait << " s and " << taken_on_wait
                          << " s, room after " << freed.count() << " s");
    CHECK(new_wait <= std::max(freed.count() + 2, 5.0));
    CHECK(taken_on_wait >= 30);
    CHECK(taken_on_wait <= 30.5 + 1);
    fixture.cell.run_for(90s);
    CHECK(fixture.cell.count_starts("new") == 1);
    CHECK(fixture.cell.count_starts("taken-on") == 1);
    CHECK(fixture.cell.overlapping_tasks().empty());
}
