#include "cell_types_p.hpp"

#include <array>
#include <fmt/format.h>
#include <utility>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

constexpr std::array<const char*, 5> phase_names = {
    "queued", "running", "completed", "failed", "cancelled"};

std::optional<error> bad_job(std::string detail)
{
    return error{result_code::bad_request, std::move(detail)};
}

bool is_job_time(std::int64_t ms)
{
    return ms >= 0 && ms <= config::cell_max_job_time.count();
}

std::optional<error> find_step_error(const step_spec& step, std::size_t index)
{
    if (step.count == 0)
        return bad_job(
            fmt::format("step {} has no tasks, expected at least one", index));
    if (step.amount.has_negative() || step.estimate_ms < 0)
        return bad_job(fmt::format(
            "step {} has a negative resource amount or time estimate", index));
    const resources most{config::cell_max_worker_amount,
                         config::cell_max_worker_amount,
                         config::cell_max_worker_amount};
    if (!step.amount.fits_in(most) || !is_job_time(step.estimate_ms) ||
        !is_job_time(step.target_ms))
        return bad_job(
            fmt::format("step {} has an amount or a time out of range", index));
    for (const auto* name : {&step.label, &step.data_rack, &step.image})
    {
        if (name->size() > config::cell_max_name_bytes)
            return bad_job(
                fmt::format("step {} has a name of {} bytes, expected at most "
                            "{}",
                            index, name->size(), config::cell_max_name_bytes));
    }
    for (const auto before : step.depends_on)
    {
        if (before >= index)
            return bad_job(fmt::format(
                "step {} depends on step {}, which does not come before it",
                index, before));
    }
    return std::nullopt;
}

/// `tasks` is the number of tasks of one occurrence.
std::optional<error> find_schedule_error(const job_spec& spec,
                                         std::uint64_t tasks)
{
    if (spec.occurrences == 0)
        return std::nullopt;
    if (spec.interval_ms < 0)
        return bad_job("the interval between occurrences is negative, expected "
                       "0 or more");
    if (!is_job_time(spec.interval_ms) || spec.first_due_ms < 0 ||
        spec.first_due_ms > config::cell_max_start_ms)
        return bad_job("the times of the occurrences are out of range");
    if (spec.occurrences > config::cell_max_occurrences ||
        spec.steps.size() * spec.occurrences >
            config::cell_max_scheduled_steps ||
        tasks * spec.occurrences > config::cell_max_scheduled_tasks)
        return bad_job(fmt::format(
            "the job has {} occurrences, expected at most {}, with {} steps "
            "and {} tasks in all",
            spec.occurrences, config::cell_max_occurrences,
            config::cell_max_scheduled_steps,
            config::cell_max_scheduled_tasks));
    return std::nullopt;
}

} // namespace

std::optional<error> validate_job(const job_spec& spec)
{
    if (spec.steps.empty())
        return bad_job("the job has no steps, expected at least one");
    if (spec.steps.size() > config::cell_max_steps)
        return bad_job(fmt::format("the job has {} steps, expected at most {}",
                                   spec.steps.size(), config::cell_max_steps));
    if (spec.payload.size() > config::cell_max_payload_bytes)
        return bad_job(fmt::format("the text has {} bytes, expected at most {}",
                                   spec.payload.size(),
                                   config::cell_max_payload_bytes));
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        if (auto why = find_step_error(spec.steps[i], i))
            return why;
        tasks += spec.steps[i].count;
    }
    if (tasks > config::cell_max_tasks)
        return bad_job(fmt::format("the job has {} tasks, expected at most {}",
                                   tasks, config::cell_max_tasks));
    return find_schedule_error(spec, tasks);
}

std::string to_string(const cell_task_id& task)
{
    return fmt::format("{}.{}.{}.{}", task.job, task.occurrence, task.step,
                       task.index);
}

const char* to_string(job_phase phase)
{
    return phase_names[static_cast<std::size_t>(phase)];
}

std::optional<job_phase> parse_job_phase(const std::string& name)
{
    for (std::size_t i = 0; i < phase_names.size(); ++i)
    {
        if (name == phase_names[i])
            return static_cast<job_phase>(i);
    }
    return std::nullopt;
}

std::uint64_t stable_hash(const std::string& job, std::uint32_t occurrence,
                          std::uint32_t step)
{
    const auto name = fmt::format("{}.{}.{}", job, occurrence, step);
    return XXH64(name.data(), name.size(), 0);
}

} // namespace carobcourse
