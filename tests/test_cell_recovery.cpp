// Tests the recovery of the cell from the loss of owners, hosts, workers, the
// store and its answers, on fakes.
#include "cell_harness.hpp"

using namespace cell_test;

namespace
{

struct recovery_test_cell : cell_with_owner
{
    using cell_with_owner::cell_with_owner;

    std::string non_owner() const
    {
        const auto own = owner();
        for (const auto& [name, slot] : hosts)
            if (name != own)
                return name;
        return {};
    }
    /// Submits jobs `first` to `first + count - 1` of two tasks each.
    void submit_jobs(unsigned first, unsigned count,
                     const std::string& entry_host)
    {
        for (unsigned i = 0; i < count; ++i)
            calls[first + i] =
                submit(entry_host, first + i, make_work(2, 1000, 800));
    }
    void check_all_done(unsigned first, unsigned count)
    {
        for (unsigned i = first; i < first + count; ++i)
        {
            INFO("job " << i);
            CHECK(phase(i) == "completed");
        }
        CHECK(violations.empty());
    }
    std::map<unsigned, call_id> calls;
};

} // namespace

TEST_CASE("When the owner dies another host takes over and no task runs twice")
{
    recovery_test_cell cell;
    const auto first = cell.owner();
    cell.submit_jobs(1, 6, cell.non_owner());
    cell.run(milliseconds(400));
    cell.kill_host(first);
    REQUIRE(cell.run_until(milliseconds(2500),
                           [&] { return !cell.owner().empty(); }));
    CHECK(cell.owner() != first);
    cell.run(milliseconds(4000));
    cell.check_all_done(1, 6);
}

TEST_CASE("No acknowledged job is lost when all hosts die at once")
{
    recovery_test_cell cell;
    cell.submit_jobs(1, 4, cell.non_owner());
    REQUIRE(cell.run_until(milliseconds(500), [&]
                           { return cell.answers.count(cell.calls[4]) > 0; }));
    for (const auto* name : {"h0", "h1", "h2"})
        cell.kill_host(name);
    cell.run(milliseconds(600));
    for (const auto* name : {"h0", "h1", "h2"})
        cell.start_host(name, "dc0");
    cell.run(milliseconds(9000));
    cell.check_all_done(1, 4);
}

TEST_CASE("An owner that resumes after a pause and takeover writes and starts "
          "nothing")
{
    recovery_test_cell cell;
    const auto first = cell.owner();
    cell.submit_jobs(1, 4, cell.non_owner());
    cell.run(milliseconds(300));
    cell.hosts[first].paused = true;
    REQUIRE(cell.run_until(milliseconds(4000),
                           [&] { return !cell.owner().empty(); }));
    const auto second = cell.owner();
    cell.hosts[first].paused = false;
    cell.run(milliseconds(3000));
    CHECK(cell.owner() == second);
    CHECK_FALSE(cell.hosts[first].host->is_owner());
    cell.check_all_done(1, 4);
}

TEST_CASE("An owner that can not reach the store is replaced")
{
    recovery_test_cell cell;
    const auto first = cell.owner();
    cell.hosts[first].reaches_store = false;
    REQUIRE(cell.run_until(
        milliseconds(5000),
        [&] { return !cell.owner().empty() && cell.owner() != first; }));
    cell.submit_jobs(1, 4, cell.owner());
    cell.run(milliseconds(3500));
    cell.check_all_done(1, 4);
}

TEST_CASE("An owner that workers refuse for its epoch stops at once")
{
    // Guards against an owner without the store that goes on calling workers
    // and is refused thousands of times, at the cost of its successor.
    recovery_test_cell cell(4, 12);
    const auto first = cell.owner();
    cell.hosts[first].reaches_store = false;
    REQUIRE(cell.run_until(milliseconds(5000),
                           [&]
                           {
                               for (const auto& [name, slot] : cell.hosts)
                                   if (name != first && slot.host->is_owner())
                                       return true;
                               return false;
                           }));
    cell.run(milliseconds(300));
    CHECK_FALSE(cell.hosts[first].host->is_owner());
    const auto refusals =
        std::count_if(cell.log.begin(), cell.log.end(),
                      [](const log_record& record)
                      { return record.code == log_code::cell_fenced; });
    CHECK(refusals <= 1);
}

TEST_CASE("A new owner counts runs that no worker has reported yet against "
          "the limit of their customer")
{
    // The customer uses all of its limit on a worker that the new owner can
    // not reach. Guards against starts beyond the limit meanwhile.
    recovery_test_cell cell(3, 2);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    const auto runs_of_customer = [&cell]
    { return cell.workers["w0"].runs.size() + cell.workers["w1"].runs.size(); };
    cell.workers["w1"].reachable = false;
    cell.run(milliseconds(700));
    cell.submit(cell.non_owner(), 1, cell.make_work(4, 1000), "batch",
                "key-small");
    REQUIRE(cell.run_until(milliseconds(1000),
                           [&] { return runs_of_customer() == 4; }));
    cell.run(milliseconds(300));
    cell.workers["w0"].reachable = false;
    cell.workers["w1"].reachable = true;
    cell.kill_host(cell.owner());
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return !cell.owner().empty(); }));
    const auto entry_host = cell.owner();
    cell.submit(entry_host, 2, cell.make_work(4, 1000), "batch", "key-small");
    cell.submit(entry_host, 3, cell.make_work(4, 1000));
    cell.run(milliseconds(1500));
    // The other customer is not held up.
    CHECK(cell.starts.count({cell.job_id(3), 0, 0, 0}) == 1);
    CHECK(cell.starts.count({cell.job_id(2), 0, 0, 0}) == 0);
    cell.workers["w0"].reachable = true;
    cell.run(milliseconds(2000));
    CHECK(cell.starts.count({cell.job_id(2), 0, 0, 0}) == 0);
    CHECK(cell.starts[{cell.job_id(1), 0, 0, 0}] == 1);
}

TEST_CASE("A new owner stops a gang of which not all members were started")
{
    // The owner dies while starts of a gang are on their way. Guards against
    // members that wait for the others until the worker gives them up.
    recovery_test_cell cell(3, 4);
    cell.workers["w0"].drops_call = [](const worker_call& call)
    { return call.command == worker_command::start; };
    auto work = cell.make_work(8, 4000);
    work.steps.front().gang = true;
    cell.submit(cell.non_owner(), 1, work);
    const auto running = [&cell]
    {
        std::size_t count = 0;
        for (const auto& [id, worker] : cell.workers)
            count += worker.runs.size();
        return count;
    };
    REQUIRE(cell.run_until(milliseconds(500), [&] { return running() == 6; }));
    cell.kill_host(cell.owner());
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    for (auto& [id, worker] : cell.workers)
        for (auto& [key, run] : worker.runs)
            run.ends_at = cell.now + std::chrono::hours(1);
    cell.workers["w0"].drops_call = {};
    REQUIRE(cell.run_until(milliseconds(2500),
                           [&] { return !cell.owner().empty(); }));
    cell.run(milliseconds(1500));
    // All members run again, with one run number.
    CHECK(running() == 8);
    std::set<std::uint32_t> numbers;
    for (const auto& [id, worker] : cell.workers)
        for (const auto& [key, run] : worker.runs)
            numbers.insert(key.second);
    CHECK(numbers.size() == 1);
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("Odd rows of other writers stop no host and hide no job")
{
    // Guards against an exception that ends each process which reads the row.
    recovery_test_cell cell;
    const auto first = cell.owner();
    cell.submit_jobs(1, 2, cell.non_owner());
    cell.run(milliseconds(200));
    const std::string deep(30000, '[');
    for (const auto* table : {cell_table::log, cell_table::member})
    {
        cell.store.put(table, "x1", R"({"address":7,"p":7,"t":"a","c":1})");
        cell.store.put(table, "x2", deep);
        cell.store.put(table, "x3", deep + std::string(30000, ']'));
        cell.store.put(table, "x4", "7");
        cell.store.put(table, std::string(20, '9'), "j a {}");
    }
    // Odd lines in a row of the log, the last one with the end of a job that
    // can not be read.
    std::string lines = "j\nj \n\nq a {}\n7\n" + deep + "\n";
    for (const auto* kind : {"j", "p", "e"})
        for (const auto& text :
             {std::string("7"), deep, std::string("{\"p\":7,\"t\":\"a\"}"),
              std::string("{\"p\":\"completed\",\"t\":\"a\"}")})
            lines += std::string(kind) + " x5 " + text + "\n";
    lines += "e " + cell.job_id(1) + " {\"p\":\"completed\"}";
    cell.store.put(cell_table::log, std::string(20, '0'), lines);
    cell.run(milliseconds(1500));
    cell.kill_host(first);
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return !cell.owner().empty(); }));
    cell.run(milliseconds(3000));
    cell.check_all_done(1, 2);
}

TEST_CASE("A new owner writes over no row of the log that it has not read")
{
    // Guards against an accepted job that is lost when an owner commits between
    // two pages of the log.
    recovery_test_cell cell;
    for (const auto* host : {"h0", "h1", "h2"})
        cell.kill_host(host);
    const cell_job job(
        cell.job_id(1), "big", "batch", cell.make_work(1, 1000),
        cell.unix_offset_ms + cell.now.time_since_epoch() / milliseconds(1), 1);
    // The second page ends before row 1001, and a log of this size is
    // rewritten.
    for (std::uint64_t row = 1; row <= 1300; ++row)
        cell.store.put(
            cell_table::log, log_row_key(row),
            row == 1001
                ? to_line({log_entry_kind::job, job.id(), job.spec_text()})
                : to_line({log_entry_kind::progress, "x", "{}"}));
    cell.store_delay = milliseconds(300);
    for (const auto* host : {"h0", "h1", "h2"})
        cell.start_host(host, "dc0");
    REQUIRE(cell.run_until(milliseconds(8000),
                           [&] { return !cell.owner().empty(); }));
    cell.kill_host(cell.owner());
    cell.store_delay = milliseconds(4);
    REQUIRE(cell.run_until(milliseconds(8000),
                           [&] { return !cell.owner().empty(); }));
    REQUIRE(
        cell.run_until(milliseconds(9000), [&]
                       { return cell.stored_phase(job.id()).has_value(); }));
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("While the store is down accepted jobs run on and new jobs are "
          "refused and never run")
{
    recovery_test_cell cell;
    const auto owner = cell.owner();
    cell.submit_jobs(1, 4, owner);
    cell.run(milliseconds(100));
    cell.store_down = true;
    cell.run(milliseconds(600));
    const auto refused = cell.submit(owner, 50, cell.make_work(1, 1000));
    cell.run(milliseconds(100));
    CHECK(cell.code_of(refused) == result_code::store_unavailable);
    CHECK(cell.answers[refused].retry_after_ms > 0);
    cell.run(milliseconds(2000));
    CHECK(cell.completions.size() == 8);
    CHECK(cell.phase(1) == "running"); // Its end is not durable yet.
    cell.store_down = false;
    cell.run(milliseconds(2000));
    cell.check_all_done(1, 4);
    CHECK(cell.phase(50) == to_string(result_code::job_unknown));
    CHECK(cell.starts.count({cell.job_id(50), 0, 0, 0}) == 0);
}

TEST_CASE("Commits whose answers are lost are confirmed from the owner's row")
{
    recovery_test_cell cell;
    cell.store_drops_answers = true;
    const auto owner = cell.owner();
    cell.submit_jobs(1, 4, owner);
    cell.run(milliseconds(1500));
    cell.store_drops_answers = false;
    cell.run(milliseconds(3500));
    cell.check_all_done(1, 4);
    CHECK(cell.owner() == owner);
    for (const auto& [job, call] : cell.calls)
        CHECK(cell.code_of(call) == result_code::ok);
}

TEST_CASE(
    "A task whose start has no answer runs again only after the start has "
    "expired")
{
    // The start reaches the worker 3 s late, when its time is over.
    recovery_test_cell cell(3, 2);
    cell.workers["w0"].start_delay_ms = 3000;
    cell.submit_jobs(1, 8, cell.owner());
    cell.run(milliseconds(9000));
    cell.check_all_done(1, 8);
}

TEST_CASE("A run whose start had no answer is adopted and not started again")
{
    recovery_test_cell cell(3, 2);
    cell.workers["w0"].start_delay_ms = 200;
    cell.submit_jobs(1, 4, cell.owner());
    cell.run(milliseconds(6000));
    cell.check_all_done(1, 4);
    for (const auto& [task, count] : cell.starts)
        CHECK(count == 1);
}

TEST_CASE(
    "Tasks of an unreachable worker run elsewhere only after its lease ends")
{
    recovery_test_cell cell(3, 2);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    cell.submit_jobs(1, 4, cell.owner());
    cell.run(milliseconds(500));
    cell.workers["w0"].reachable = false;
    cell.run(milliseconds(5000));
    CHECK(cell.violations.empty());
    // After the lease all tasks run on the other worker.
    cell.run(milliseconds(4000));
    CHECK(cell.workers["w1"].runs.size() == 8);
    CHECK(cell.violations.empty());
}

TEST_CASE("A partitioned owner does not start tasks that run beyond its "
          "partition")
{
    // The owner and half of the workers are cut off from the store, the other
    // hosts and the other workers. Guards against an owner that takes the
    // leases of unreachable workers for expired although its successor has
    // received their end reports.
    recovery_test_cell cell(3, 8);
    const auto first = cell.owner();
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(1500)), end_kind::done, {}};
    };
    cell.submit_jobs(1, 14, cell.non_owner());
    cell.run(milliseconds(400));
    cell.hosts[first].reaches_store = false;
    for (const auto& [name, slot] : cell.hosts)
        if (name != first)
            cell.cut_links.insert({first, name});
    // Workers w0 to w3 are in the owner's partition.
    cell.partition_of = [first](const std::string& name)
    {
        if (name[0] == 'h')
            return name == first ? 1 : 2;
        return name < "w4" ? 1 : 2;
    };
    cell.run(milliseconds(7500));
    CHECK(cell.first_violation() == "none");
    cell.partition_of = nullptr;
    cell.cut_links.clear();
    cell.hosts[first].reaches_store = true;
    cell.run(milliseconds(9000));
    cell.check_all_done(1, 14);
}

TEST_CASE(
    "An idle owner whose commit answers are lost for 700 ms keeps the cell")
{
    recovery_test_cell cell;
    const auto owner = cell.owner();
    cell.store_drops_answers = true;
    cell.run(milliseconds(700));
    cell.store_drops_answers = false;
    cell.run(milliseconds(1500));
    CHECK(cell.owner() == owner);
    CHECK(cell.hosts[owner].host->owner()->row().epoch == 1);
}

TEST_CASE("A refused submission stays refused when a copy of it arrives late")
{
    // A host repeats a call until it has an answer. Guards against a copy that
    // is accepted after the caller was told that the job never runs.
    recovery_test_cell cell;
    const auto owner = cell.owner();
    const auto other = cell.non_owner();
    // Every message to the owner is delivered a second time, later.
    cell.duplicates_messages_to = [owner](const std::string& to)
    { return to == owner; };
    cell.store_down = true;
    cell.run(milliseconds(400));
    const auto refused = cell.submit(other, 1, cell.make_work(1, 1000));
    cell.run(milliseconds(300));
    REQUIRE(cell.code_of(refused) == result_code::store_unavailable);
    cell.store_down = false;
    cell.run(milliseconds(4000));
    CHECK(cell.starts.empty());
}

TEST_CASE("A gang is stopped and restarted when the start of a member has no "
          "answer")
{
    recovery_test_cell cell(3, 3);
    cell.workers["w0"].start_delay_ms = 5000;
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(8000)), end_kind::done, {}};
    };
    auto gang = cell.make_work(20, 1000);
    gang.steps.front().gang = true;
    cell.submit(cell.owner(), 1, gang);
    cell.run(milliseconds(300));
    REQUIRE(cell.workers["w1"].runs.size() + cell.workers["w2"].runs.size() >
            0);
    // The gang is restarted before the platform ends members that have waited
    // for 3 s.
    cell.run(milliseconds(2000));
    for (const auto& [id, worker] : cell.workers)
        for (const auto& [key, run] : worker.runs)
            CHECK(key.second > 1);
}

TEST_CASE(
    "A planned stop of the owner passes the cell on and answers every call")
{
    recovery_test_cell cell;
    const auto first = cell.owner();
    cell.submit_jobs(1, 4, first);
    cell.run(milliseconds(20));
    cell.hosts[first].inbox.emplace_back(stop_request{});
    CHECK(cell.run_until(
        milliseconds(2000),
        [&] { return !cell.owner().empty() && cell.owner() != first; }));
    CHECK_FALSE(cell.hosts[first].ready);
    cell.run(milliseconds(200));
    for (const auto& [job, call] : cell.calls)
        CHECK(cell.code_of(call) == result_code::ok);
    // Calls on open connections are served until the host has stopped.
    const auto late = cell.submit(first, 20, cell.make_work(1, 1000));
    cell.run(milliseconds(300));
    CHECK(cell.code_of(late) == result_code::ok);
    CHECK(cell.answers[late].close_connection);
    cell.run(milliseconds(6000));
    CHECK(cell.hosts[first].stopped);
    cell.check_all_done(1, 4);
}

TEST_CASE("An owner that stops is replaced before its heartbeats are missed")
{
    // Guards against a pause of the whole cell at each planned restart.
    recovery_test_cell cell(5);
    const auto first = cell.owner();
    cell.hosts[first].inbox.emplace_back(stop_request{});
    CHECK(cell.run_until(
        std::chrono::duration_cast<milliseconds>(
            config::cell_heartbeat_timeout),
        [&] { return !cell.owner().empty() && cell.owner() != first; }));
}

TEST_CASE("A host that stops while the owner is silent answers every call")
{
    recovery_test_cell cell;
    const auto host = cell.non_owner();
    cell.hosts[cell.owner()].paused = true;
    for (auto& [name, slot] : cell.hosts)
        if (name != host)
            slot.paused = true;
    cell.store_down = true;
    cell.hosts[host].inbox.emplace_back(stop_request{});
    std::vector<call_id> calls;
    while (!cell.hosts[host].stopped)
    {
        calls.push_back(cell.submit(host,
                                    static_cast<unsigned>(100 + calls.size()),
                                    cell.make_work(1, 1)));
        cell.run(milliseconds(100));
        REQUIRE(calls.size() < 100);
    }
    CHECK(calls.size() > 30);
    for (const auto call : calls)
        CHECK(cell.answers.count(call) == 1);
}

TEST_CASE("A new owner that is still loading does not undercount waiting jobs")
{
    recovery_test_cell cell;
    // One task fills a worker, so the other tasks wait.
    for (unsigned i = 1; i <= 10; ++i)
        cell.submit("h0", i, cell.make_work(4, 8000, 800));
    cell.run(milliseconds(1000));
    cell.store_delay = milliseconds(150);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    cell.kill_host(cell.owner());
    for (int i = 0; i < 40; ++i)
    {
        std::vector<call_id> calls;
        for (const auto& [name, slot] : cell.hosts)
            if (slot.host)
                calls.push_back(
                    cell.call(name, caller_verb::status, "/batch/"));
        cell.run(milliseconds(50));
        for (const auto call : calls)
        {
            const auto found = cell.answers.find(call);
            if (found != cell.answers.end() && found->second.waiting_jobs)
                CHECK(*found->second.waiting_jobs >= 4);
        }
    }
}

TEST_CASE("Runs of an ended job hold their resources until they have stopped")
{
    // The owner dies after a cancellation is durable and before the stops are
    // sent. Guards against a new owner that counts the resources of these runs
    // as free.
    recovery_test_cell cell(3, 1);
    cell.workers["w0"].stop_delay_ms = 700;
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(20000)), end_kind::done, {}};
    };
    for (unsigned job : {1U, 2U})
        cell.amounts[cell.job_id(job)] = {2000, 100, 0};
    cell.submit(cell.non_owner(), 1, cell.make_work(4, 2000));
    cell.run(milliseconds(500));
    REQUIRE(cell.workers["w0"].runs.size() == 4);
    cell.call(cell.non_owner(), caller_verb::cancel,
              "/batch/" + cell.job_id(1));
    REQUIRE(cell.run_until(
        milliseconds(300),
        [&] { return cell.stored_phase(cell.job_id(1)).has_value(); }));
    cell.kill_host(cell.owner());
    const auto entry_host = cell.hosts["h0"].host ? "h0" : "h1";
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return !cell.owner().empty(); }));
    cell.submit(entry_host, 2, cell.make_work(4, 2000));
    cell.run(milliseconds(3000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.workers["w0"].runs.size() == 4);
}

TEST_CASE(
    "No invariant breaks when the owner dies between commits of many ends")
{
    // With a slow store the ends of a burst fill several commits. Guards
    // against removing the rows of a job before its final state is stored.
    const auto kill_at = GENERATE(range(0, 12));
    INFO("owner killed 500 ms + " << kill_at << " * 60 ms after the slowdown");
    recovery_test_cell cell(3, 0);
    // One task per worker, so that both ends of a job are reported together.
    for (int i = 0; i < 220; ++i)
        cell.add_worker(fmt::format("w{}", i), "dc0", {1000, 16000, 0});
    cell.run(milliseconds(500));
    cell.plan = [](const cell_task_id& task, std::uint32_t)
    {
        return fake_run{time_point(milliseconds(1500 + 70 * task.index)),
                        end_kind::done,
                        {}};
    };
    cell.configure(cell.default_queues(), {{"big", {"key-big"}, 1000, {}}});
    cell.run(milliseconds(100));
    for (unsigned job = 1; job <= 110; ++job)
        cell.submit(cell.non_owner(), job, cell.make_work(2, 1000));
    cell.run(milliseconds(1000));
    cell.store_delay = milliseconds(100);
    cell.run(milliseconds(500 + 60 * kill_at));
    CHECK(cell.starts.size() == 220);
    cell.kill_host(cell.owner());
    cell.store_delay = milliseconds(4);
    cell.run(milliseconds(8000));
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A job that is submitted repeatedly runs once")
{
    recovery_test_cell cell;
    const auto once = cell.submit("h0", 1, cell.make_work(1, 1000));
    const auto again = cell.submit("h1", 1, cell.make_work(1, 1000));
    cell.run(milliseconds(200));
    CHECK(cell.code_of(once) == result_code::ok);
    CHECK(cell.code_of(again) == result_code::ok);
    cell.run(milliseconds(1500));
    const auto late = cell.submit("h2", 1, cell.make_work(1, 1000));
    cell.run(milliseconds(1500));
    CHECK(cell.code_of(late) == result_code::ok);
    CHECK(cell.starts[{cell.job_id(1), 0, 0, 0}] == 1);
    cell.check_all_done(1, 1);
}

TEST_CASE("Random faults violate no invariant and lose no accepted job")
{
    // Faults: killed and paused hosts, store outages, lost answers, cut links,
    // unreachable workers and late starts. Violations: two runs of a task at
    // once, a start after the task was done, a worker over its capacity, two
    // answers to a call.
    const auto seed = GENERATE(range(1, 9));
    INFO("seed " << seed);
    recovery_test_cell cell(4, 6);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto host = [&] { return "h" + std::to_string(random() % 4); };
    const auto worker = [&] { return "w" + std::to_string(random() % 6); };
    std::map<unsigned, call_id> calls;
    unsigned next = 1;
    for (int round = 0; round < 60; ++round)
    {
        for (int i = 0; i < 3; ++i, ++next)
        {
            const auto entry_host = host();
            if (!cell.hosts[entry_host].host || cell.hosts[entry_host].stopped)
                continue;
            cell.amounts[cell.job_id(next)] = {2000, 100, 0};
            calls[next] =
                cell.submit(entry_host, next, cell.make_work(2, 2000, 800));
        }
        const auto name = host();
        switch (random() % 10)
        {
        case 0:
            cell.kill_host(name);
            cell.after(milliseconds(700),
                       [&cell, name] { cell.start_host(name, "dc0"); });
            break;
        case 1:
            cell.hosts[name].paused = true;
            cell.after(milliseconds(1800),
                       [&cell, name] { cell.hosts[name].paused = false; });
            break;
        case 2:
            cell.store_down = true;
            cell.after(milliseconds(900), [&cell] { cell.store_down = false; });
            break;
        case 3:
            cell.store_drops_answers = true;
            cell.after(milliseconds(600),
                       [&cell] { cell.store_drops_answers = false; });
            break;
        case 4:
        {
            const auto id = worker();
            cell.workers[id].reachable = false;
            cell.after(milliseconds(2500),
                       [&cell, id] { cell.workers[id].reachable = true; });
            break;
        }
        case 5:
        {
            const auto id = worker();
            cell.workers[id].start_delay_ms = 2500;
            cell.after(milliseconds(1000),
                       [&cell, id] { cell.workers[id].start_delay_ms = 0; });
            break;
        }
        case 6:
            cell.hosts[name].reaches_store = false;
            cell.after(milliseconds(2000), [&cell, name]
                       { cell.hosts[name].reaches_store = true; });
            break;
        case 7:
        {
            const std::pair<std::string, std::string> link{name, host()};
            cell.cut_links.insert(link);
            cell.after(milliseconds(1500),
                       [&cell, link] { cell.cut_links.erase(link); });
            break;
        }
        default:
            break;
        }
        cell.run(milliseconds(250));
        REQUIRE(cell.first_violation() == "none");
    }
    cell.run(milliseconds(16000));
    CHECK(cell.first_violation() == "none");
    CHECK(cell.check_accepted_jobs_ended(calls) > 20);
}

TEST_CASE("An owner that is cut off does not take up tasks of an earlier owner")
{
    // Guards against a second run by an owner that waited for the leases of an
    // earlier owner while a later one heard of the end and acknowledged it.
    recovery_test_cell cell(3, 3);
    const auto first = cell.owner();
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(1500)), end_kind::done, {}};
    };
    std::map<std::string, int> side{{first, 1}, {"w0", 1}};
    const auto cut = [&]
    {
        cell.cut_links.clear();
        for (const auto& [name, slot] : cell.hosts)
            for (const auto& [other, each] : cell.hosts)
                if (side[name] != side[other])
                    cell.cut_links.insert({name, other});
        cell.partition_of = [&side](const std::string& name)
        { return side[name]; };
    };
    const auto owner_other_than = [&](const std::set<std::string>& names)
    {
        std::string found;
        cell.run_until(milliseconds(4000),
                       [&]
                       {
                           for (const auto& [name, slot] : cell.hosts)
                               if (names.count(name) == 0 &&
                                   slot.host->is_owner() &&
                                   slot.host->owner()->is_loaded())
                                   found = name;
                           return !found.empty();
                       });
        return found;
    };
    for (unsigned job = 1; job <= 12; ++job)
        cell.submit(first, job, cell.make_work(1, 2000, 1500));
    cell.run(milliseconds(300));
    REQUIRE_FALSE(cell.workers["w0"].runs.empty());
    // The first owner and a worker with runs are cut off.
    cell.hosts[first].reaches_store = false;
    cut();
    const auto second = owner_other_than({first});
    REQUIRE_FALSE(second.empty());
    cell.run(milliseconds(1000));
    // Then the second owner is cut off with another worker, and the others
    // reach the first worker again.
    cell.hosts[first].reaches_store = true;
    cell.hosts[second].reaches_store = false;
    side = {{second, 1}, {"w1", 1}};
    cut();
    REQUIRE_FALSE(owner_other_than({second}).empty());
    cell.run(milliseconds(9000));
    cell.hosts[second].reaches_store = true;
    side.clear();
    cut();
    cell.run(milliseconds(4000));
    CHECK(cell.first_violation() == "none");
    for (unsigned job = 1; job <= 12; ++job)
        CHECK(cell.phase(job) == "completed");
}

TEST_CASE("A host on a slow link takes over a cell with long tables")
{
    // Guards against an owner that asks again and again for a page that is too
    // large for its link, and never reads the state of the cell.
    recovery_test_cell cell(2, 100);
    const auto first = cell.owner();
    const auto call = cell.submit(first, 1, cell.make_work(4, 1000, 800));
    cell.run(milliseconds(300));
    REQUIRE(cell.code_of(call) == result_code::ok);
    cell.row_transfer_time = milliseconds(40);
    cell.kill_host(first);
    REQUIRE(cell.run_until(milliseconds(15000),
                           [&] { return !cell.owner().empty(); }));
    cell.run(milliseconds(8000));
    CHECK(cell.phase(1) == "completed");
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("A page of the state that the store refuses is not asked for at once")
{
    // Guards against an owner that asks as fast as the store refuses.
    recovery_test_cell cell(2, 4);
    cell.row_transfer_time = milliseconds(600);
    cell.kill_host(cell.owner());
    const auto has_owner = [&]
    {
        return std::any_of(cell.hosts.begin(), cell.hosts.end(),
                           [](const auto& each) {
                               return each.second.host &&
                                      each.second.host->is_owner();
                           });
    };
    REQUIRE(cell.run_until(milliseconds(5000), has_owner));
    for (auto& [name, slot] : cell.hosts)
        slot.reaches_store = false;
    cell.run(milliseconds(1500));
    cell.page_count = 0;
    cell.run(milliseconds(900));
    REQUIRE(has_owner());
    // Three tables of the owner, the operator's and the members' table.
    constexpr std::uint64_t tables = 5;
    const auto most =
        tables * (milliseconds(900) / config::cell_store_retry_delay);
    CHECK(cell.page_count > 0);
    CHECK(cell.page_count <= most);
}
