/// Expected end of a run, from the percentages that its worker reports.
#pragma once

#include <carobcourse/types.hpp>
#include <optional>
#include <tuple>

namespace carobcourse
{

/// What the reports about one run have shown. Estimates of customers are off by
/// up to nine tenths, and some tasks take seven times as long as others of
/// their step, so the reported progress is preferred to them. An immutable
/// value; thread safe.
class run_progress
{
public:
    run_progress() = default;

    /// Returns the progress after a report of `percent` that arrived at `now`.
    /// Returns `std::nullopt` when the report makes no sense: a percentage
    /// outside 0 to 100, or below an earlier one.
    std::optional<run_progress> with_report(time_point now, int percent) const;

    /// Returns when the run is expected to end. Returns `std::nullopt` until
    /// the reports show the pace of the run.
    std::optional<time_point> expected_end() const;

    /// Returns the percentages that the run gains in a second. Returns
    /// `std::nullopt` until the reports show it.
    std::optional<double> percent_per_second() const;

    /// Returns the time of the first report of the highest percentage. Returns
    /// the epoch of the clock before the first report.
    time_point latest_gain_at() const
    {
        return latest_at_;
    }

    friend bool operator==(const run_progress& a, const run_progress& b)
    {
        return std::tie(a.first_at_, a.first_percent_, a.latest_at_,
                        a.latest_percent_, a.has_report_) ==
               std::tie(b.first_at_, b.first_percent_, b.latest_at_,
                        b.latest_percent_, b.has_report_);
    }

private:
    time_point first_at_;
    int first_percent_ = 0;
    time_point latest_at_;
    int latest_percent_ = 0;
    bool has_report_ = false;
};

} // namespace carobcourse
