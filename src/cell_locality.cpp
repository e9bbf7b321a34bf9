#include "cell_locality_p.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// An expected time that is exceeded by this part of the wait counts as broken.
constexpr int patience_percent = 150;
/// Polls of workers report an end up to half a second late at worst, and within
/// this time usually.
constexpr auto report_delay = std::chrono::milliseconds(200);
/// Part of the room that a far run takes longer which counts as time of the
/// job, while others wait: they get only a part of that room.
constexpr double contended_room_weight = 0.5;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

locality_durations locality_durations::with_run(bool is_near,
                                                duration time) const
{
    auto result = *this;
    if (time < duration::zero())
        return result;
    auto& samples = is_near ? result.near_ : result.far_;
    samples.sum += time;
    ++samples.count;
    return result;
}

std::optional<locality_times>
expected_locality_times(const locality_durations& durations,
                        std::int64_t estimate_ms, double far_factor)
{
    if (!(far_factor > 1) || !std::isfinite(far_factor))
        return std::nullopt;
    const auto scaled = [](duration time, double factor)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(time) * factor);
    };
    const auto learned_near = durations.mean_near();
    const auto learned_far = durations.mean_far();
    locality_times times;
    if (learned_near)
        times.near_time = *learned_near;
    else if (learned_far)
        times.near_time = scaled(*learned_far, 1 / far_factor);
    else if (estimate_ms > 0)
        times.near_time = std::min<duration>(
            std::chrono::milliseconds(
                std::min(estimate_ms, config::cell_max_locality_time.count())),
            config::cell_max_locality_time);
    times.far_time = learned_far.value_or(scaled(times.near_time, far_factor));
    if (times.near_time <= duration::zero() ||
        times.far_time <= times.near_time)
        return std::nullopt;
    return times;
}

std::int64_t chain_after_ms(const job_spec& spec, std::uint32_t step)
{
    // Steps depend on earlier ones only.
    std::vector<std::int64_t> chains(spec.steps.size(), -1);
    chains[step] = 0;
    std::int64_t longest = 0;
    for (std::size_t s = step + 1; s < spec.steps.size(); ++s)
    {
        for (const auto before : spec.steps[s].depends_on)
        {
            if (before < s && chains[before] >= 0)
                chains[s] = std::max(
                    chains[s],
                    chains[before] +
                        std::max<std::int64_t>(0, spec.steps[s].estimate_ms));
        }
        longest = std::max(longest, chains[s]);
    }
    return longest;
}

std::optional<time_point> choose_locality_wait(const locality_request& request)
{
    const auto& times = request.times;
    const auto extra = times.far_time - times.near_time;
    if (!request.near_at || times.near_time <= duration::zero() ||
        extra <= duration::zero())
        return std::nullopt;
    const auto wait =
        std::max(duration::zero(), *request.near_at - request.now);
    if (wait > duration(config::cell_max_locality_wait))
        return std::nullopt;
    const auto near_end = request.now + wait + times.near_time;
    const auto limit = near_end <= request.objective ? request.objective
                                                     : request.hard_deadline;
    if (near_end > limit)
        return std::nullopt;
    const auto patience =
        std::min<duration>(wait * patience_percent / 100 + report_delay,
                           duration(config::cell_max_locality_wait));
    if (request.now + times.far_time > limit)
        // Only the near place can meet the limit.
        return std::min(request.now + patience, limit - times.near_time);
    const auto until = std::min(request.now + patience, limit - times.far_time);
    if (until < request.now + wait)
        return std::nullopt;
    const auto saved =
        seconds(extra) * (request.others_wait ? 1 + contended_room_weight : 1) -
        seconds(wait);
    const auto broken = std::clamp(request.broken_share, 0.0, 1.0);
    if ((1 - broken) * saved <= broken * seconds(until - request.now))
        return std::nullopt;
    return until;
}

} // namespace carobcourse
