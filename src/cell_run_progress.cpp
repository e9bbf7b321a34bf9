#include "cell_run_progress_p.hpp"

#include <chrono>

namespace carobcourse
{

namespace
{

constexpr int max_percent = 100;
/// Two reports show the pace of a run when they are this far apart, because
/// percentages are whole numbers.
constexpr int min_gain_percent = 3;

} // namespace

std::optional<run_progress> run_progress::with_report(time_point now,
                                                      int percent) const
{
    if (percent < 0 || percent > max_percent ||
        (has_report_ && percent < latest_percent_))
        return std::nullopt;
    auto next = *this;
    // Nothing is known about the time before the task began to work.
    if (!has_report_ || (latest_percent_ == 0 && first_percent_ == 0))
    {
        next.has_report_ = true;
        next.first_at_ = now;
        next.first_percent_ = percent;
    }
    if (!has_report_ || percent > latest_percent_)
    {
        next.latest_at_ = now;
        next.latest_percent_ = percent;
    }
    return next;
}

std::optional<double> run_progress::percent_per_second() const
{
    const auto gain = latest_percent_ - first_percent_;
    const std::chrono::duration<double> taken = latest_at_ - first_at_;
    if (gain < min_gain_percent || taken.count() <= 0)
        return std::nullopt;
    return gain / taken.count();
}

std::optional<time_point> run_progress::expected_end() const
{
    const auto pace = percent_per_second();
    if (!pace)
        return std::nullopt;
    const std::chrono::duration<double> remaining(
        (max_percent - latest_percent_) / *pace);
    return latest_at_ + std::chrono::duration_cast<duration>(remaining);
}

} // namespace carobcourse
