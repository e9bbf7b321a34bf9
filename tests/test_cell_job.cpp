// State of a job: counting of failures, run numbers, occurrences, and the
// progress that its rows store.
#include <catch2/catch.hpp>

#include "cell_job_p.hpp"

using namespace carobcourse;

namespace
{

job_spec two_tasks(bool gang)
{
    job_spec work;
    step_spec step;
    step.count = 2;
    step.gang = gang;
    work.steps.push_back(step);
    return work;
}

/// Returns `work` with occurrences that are due each 100 ms from 5 ms on.
job_spec scheduled(job_spec work, std::uint32_t occurrences)
{
    work.occurrences = occurrences;
    work.first_due_ms = 5;
    work.interval_ms = 100;
    return work;
}

cell_job job_with(job_spec work)
{
    cell_job job("0000000000000001", "c", "q", std::move(work), 5, 3);
    job.add_due_occurrences(10);
    return job;
}

} // namespace

TEST_CASE("Each failed run counts once, in any order of the reports")
{
    // Guards against a task that is started beyond its attempts because a new
    // owner receives the report of the later failure first.
    auto job = job_with(two_tasks(false));
    const cell_task_id task{job.id(), 0, 0, 1};
    CHECK_FALSE(job.mark_failed(task, 2, 2));
    CHECK_FALSE(job.mark_failed(task, 2, 2));
    CHECK(job.mark_failed(task, 1, 2));
    CHECK(job.phase() == job_phase::failed);
}

TEST_CASE("Failures of a gang count once per run, not once per task")
{
    auto job = job_with(two_tasks(true));
    CHECK_FALSE(job.mark_failed({job.id(), 0, 0, 0}, 1, 2));
    CHECK_FALSE(job.mark_failed({job.id(), 0, 0, 1}, 1, 2));
    CHECK(job.mark_failed({job.id(), 0, 0, 1}, 2, 2));
}

TEST_CASE("A job and its progress can be restored from their rows")
{
    auto job = job_with(two_tasks(false));
    job.mark_done({job.id(), 0, 0, 0});
    CHECK_FALSE(job.mark_failed({job.id(), 0, 0, 1}, 7, 3));
    auto copy = cell_job::from_text(job.id(), job.spec_text());
    REQUIRE(copy);
    CHECK(copy->spec() == job.spec());
    CHECK(copy->accepted_epoch() == 3);
    REQUIRE(copy->read_progress(job.progress_text()));
    CHECK(copy->find({job.id(), 0, 0, 0})->state == cell_task_state::done);
    CHECK_FALSE(copy->mark_failed({job.id(), 0, 0, 1}, 7, 2));
    CHECK(copy->mark_failed({job.id(), 0, 0, 1}, 8, 2));
    CHECK_FALSE(copy->read_progress("{"));
    CHECK(cell_job::from_text("x", "no json") == nullptr);
}

TEST_CASE("Run numbers start at 1 and are above those of earlier owners")
{
    CHECK(cell_job::next_run_number(0, 3, 3) == 1);
    CHECK(cell_job::next_run_number(5, 3, 3) == 6);
    CHECK(cell_job::next_run_number(0, 4, 3) > 4000);
    CHECK(cell_job::next_run_number(0, 5, 3) >
          cell_job::next_run_number(300, 4, 3));
}

TEST_CASE("Occurrences become due by the wall clock and all have to end")
{
    auto work = two_tasks(false);
    work.occurrences = 3;
    work.first_due_ms = 1000;
    work.interval_ms = 500;
    cell_job job("0000000000000001", "c", "q", work, 5, 1);
    job.add_due_occurrences(999);
    CHECK(job.occurrences().empty());
    job.add_due_occurrences(1500);
    CHECK(job.occurrences().size() == 2);
    CHECK(job.next_due_ms() == 2000);
    for (std::uint32_t k = 0; k < 2; ++k)
        for (std::uint32_t i = 0; i < 2; ++i)
            job.mark_done({job.id(), k, 0, i});
    CHECK(job.phase() != job_phase::completed);
    job.add_due_occurrences(9000);
    for (std::uint32_t i = 0; i < 2; ++i)
        job.mark_done({job.id(), 2, 0, i});
    CHECK(job.phase() == job_phase::completed);
}

TEST_CASE("An end that is reported again does not complete further occurrences")
{
    // Guards against a job that is shown as completed before its last
    // occurrence: a new owner receives unacknowledged ends a second time.
    auto job = job_with(scheduled(two_tasks(false), 2));
    job.mark_done({job.id(), 0, 0, 0});
    job.mark_done({job.id(), 0, 0, 1});
    auto restored = cell_job::from_text(job.id(), job.spec_text());
    REQUIRE(restored);
    REQUIRE(restored->read_progress(job.progress_text()));
    for (auto* each : {&job, restored.get()})
    {
        each->mark_done({job.id(), 0, 0, 1});
        CHECK_FALSE(is_final(each->phase()));
        each->add_due_occurrences(105);
        each->mark_done({job.id(), 1, 0, 0});
        CHECK_FALSE(is_final(each->phase()));
        each->mark_done({job.id(), 1, 0, 1});
        CHECK(each->phase() == job_phase::completed);
    }
}

TEST_CASE("The ends of a gang's members complete one occurrence")
{
    // Guards against a scheduled gang that is shown as completed after its
    // first occurrence, whose members all report their end.
    auto job = job_with(scheduled(two_tasks(true), 3));
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence)
    {
        job.add_due_occurrences(5 + 100 * occurrence);
        CHECK_FALSE(is_final(job.phase()));
        job.mark_done({job.id(), occurrence, 0, 0});
        job.mark_done({job.id(), occurrence, 0, 1});
    }
    CHECK(job.phase() == job_phase::completed);
}

TEST_CASE("An end of an earlier step does not complete an occurrence again")
{
    // Guards against the same count when the repeated end belongs to a step
    // that others depend on.
    auto work = two_tasks(false);
    work.steps.push_back(work.steps.front());
    work.steps.back().depends_on = {0};
    auto job = job_with(scheduled(work, 2));
    for (std::uint32_t step = 0; step < 2; ++step)
        for (std::uint32_t i = 0; i < 2; ++i)
            job.mark_done({job.id(), 0, step, i});
    job.mark_done({job.id(), 0, 0, 0});
    CHECK_FALSE(is_final(job.phase()));
}
