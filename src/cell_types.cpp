#include "cell_types_p.hpp"

#include <array>
#include <fmt/format.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carobcourse
{

namespace
{

constexpr std::array<const char*, 5> phase_names = {
    "queued", "running", "completed", "failed", "cancelled"};

} // namespace

std::optional<error> validate_job(const job_spec& spec)
{
    const auto bad = [](std::string detail) {
        return error{result_code::bad_request, std::move(detail)};
    };
    if (spec.steps.empty())
        return bad("the job has no steps, expected at least one");
    if (spec.occurrences > 0 && spec.interval_ms < 0)
        return bad(
            "the interval between occurrences is negative, expected 0 or "
            "more");
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        const auto& step = spec.steps[i];
        if (step.count == 0)
            return bad(
                fmt::format("step {} has no tasks, expected at least one", i));
        if (step.amount.has_negative() || step.estimate_ms < 0)
            return bad(fmt::format(
                "step {} has a negative resource amount or time estimate", i));
        for (const auto before : step.depends_on)
        {
            if (before >= i)
                return bad(fmt::format(
                    "step {} depends on step {}, which does not come before it",
                    i, before));
        }
    }
    return std::nullopt;
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
