/// Decision whether a step waits for a place near its data, or a gang for one
/// rack, while there is room elsewhere. Free of input, output and clock.
///
/// Load pattern: tasks run two to three times as long away from the rack of
/// their data, and that rack is often full while others have room.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>
#include <tuple>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// Durations of the ended runs of one step, near its data and away from it. An
/// immutable value; thread safe.
class locality_durations
{
public:
    locality_durations() = default;

    /// Returns the durations with those of one more run that ended done. A
    /// negative time is left out.
    locality_durations with_run(bool is_near, duration time) const;
    /// Mean of the runs near the data; empty before the first one.
    std::optional<duration> mean_near() const
    {
        return near_.mean();
    }
    /// Mean of the runs away from the data; empty before the first one.
    std::optional<duration> mean_far() const
    {
        return far_.mean();
    }

    friend bool operator==(const locality_durations& a,
                           const locality_durations& b)
    {
        return a.near_ == b.near_ && a.far_ == b.far_;
    }

private:
    struct samples
    {
        duration sum{};
        std::uint32_t count = 0;

        std::optional<duration> mean() const
        {
            if (count == 0)
                return std::nullopt;
            return sum / count;
        }
        friend bool operator==(const samples& a, const samples& b)
        {
            return std::tie(a.sum, a.count) == std::tie(b.sum, b.count);
        }
    };

    samples near_;
    samples far_;
};

/// Expected durations of one task near its data and away from it.
struct locality_times
{
    duration near_time{};
    duration far_time{};

    friend bool operator==(const locality_times& a, const locality_times& b)
    {
        return std::tie(a.near_time, a.far_time) ==
               std::tie(b.near_time, b.far_time);
    }
};

/// Returns the expected durations of a task: from the runs of the step that
/// have ended, then from the estimate in milliseconds. `far_factor` relates
/// both until runs of both kinds have ended. Returns `std::nullopt` when
/// nothing has ended and the estimate is 0 or negative, or when a far run is
/// not longer. Thread safe.
std::optional<locality_times>
expected_locality_times(const locality_durations& durations,
                        std::int64_t estimate_ms, double far_factor);

/// Returns the estimated duration of the longest chain of steps that depend on
/// `step`, in milliseconds and without the step itself. Precondition:
/// `validate_job(spec)` finds no error and `step` is a step of it. Thread safe.
std::int64_t chain_after_ms(const job_spec& spec, std::uint32_t step);

/// State of the cell and of a task on which its wait depends.
struct locality_request
{
    time_point now;
    locality_times times;
    /// When the near place is expected to have room; empty: never.
    std::optional<time_point> near_at;
    time_point objective;     ///< Latest end of the step in time.
    time_point hard_deadline; ///< Its end after this time has no value.
    /// Other steps wait, so the room that a far run takes longer is missed.
    bool others_wait = false;
    /// Share of the expectations about near places that do not come true.
    double broken_share = 0.25;
};

/// Returns the time until which a wait for the near place pays. Returns
/// `std::nullopt` when the task is to start far from it now.
///
/// The wait never costs the objective: at the returned time a far run still
/// meets it, unless a far run that starts now would miss it as well. Thread
/// safe.
std::optional<time_point> choose_locality_wait(const locality_request& request);

} // namespace carobcourse
