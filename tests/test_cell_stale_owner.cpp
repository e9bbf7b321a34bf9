// Tests what an owner that has been replaced without knowing it tells callers.
#include "cell_harness.hpp"

using namespace cell_test;

TEST_CASE("An owner that wakes after a pause does not deny a job that its "
          "successor has accepted")
{
    // Guards against a cancel that is answered with "no such job" from old
    // memory, while the job runs on, and against the same answer to a question
    // for its phase.
    const auto verb = GENERATE(caller_verb::cancel, caller_verb::status);
    constexpr unsigned job = 1;
    cell_with_owner cell(3, 4);
    cell.plan = [](const cell_task_id&, std::uint32_t) {
        return fake_run{time_point(milliseconds(5000)), end_kind::done, {}};
    };
    const auto first = cell.owner();
    cell.hosts[first].paused = true;
    // The owner hears of its successor only after it has taken the call.
    for (const auto& [name, slot] : cell.hosts)
        if (name != first)
            cell.cut_links.insert({first, name});
    REQUIRE(cell.run_until(milliseconds(3000),
                           [&] { return !cell.owner().empty(); }));
    const auto accepted = cell.submit(cell.owner(), job, cell.make_work(1, 1));
    cell.run(milliseconds(300));
    REQUIRE(cell.code_of(accepted) == result_code::ok);
    const auto call = cell.call(first, verb, "/batch/" + cell.job_id(job));
    cell.cut_links.clear();
    cell.hosts[first].paused = false;
    REQUIRE(cell.run_until(milliseconds(2500),
                           [&] { return cell.answers.count(call) > 0; }));
    CHECK(cell.code_of(call) == result_code::ok);
    cell.run(milliseconds(8000));
    CHECK(cell.phase(job) ==
          (verb == caller_verb::cancel ? "cancelled" : "completed"));
    CHECK(cell.first_violation() == "none");
}

TEST_CASE("An owner that is confirmed denies an unknown job at once")
{
    // Guards against a commit that each call for an unknown job waits for.
    cell_with_owner cell;
    for (int i = 0; i < 20; ++i)
    {
        const auto call = cell.call(cell.owner(), caller_verb::status,
                                    "/batch/" + cell.job_id(1));
        cell.run(milliseconds(37));
        CHECK(cell.code_of(call) == result_code::job_unknown);
    }
}
