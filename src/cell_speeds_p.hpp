/// Relative speeds of workers, learned from the runs on them. Free of input and
/// output.
#pragma once

#include <array>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// What is known about the pace of one run since its start: the interval that
/// the next sample covers. A comparable value that the run keeps.
struct run_pace
{
    /// When the start was sent; the epoch of the clock when it is unknown, as
    /// for a run of an earlier owner.
    time_point started_at;
    time_point interval_at; ///< Start of the interval.
    int interval_percent = 0;
    bool has_report = false;
    unsigned samples = 0; ///< Samples that the run has given.
    /// A sample was far from the estimates. Further ones say nothing new.
    bool has_surprised = false;

    friend bool operator==(const run_pace& a, const run_pace& b)
    {
        return std::tie(a.started_at, a.interval_at, a.interval_percent,
                        a.has_report, a.samples, a.has_surprised) ==
               std::tie(b.started_at, b.interval_at, b.interval_percent,
                        b.has_report, b.samples, b.has_surprised);
    }
};

/// Identifies the step of a run and its job by the values of `stable_hash`.
struct sampled_step
{
    std::uint64_t step = 0;
    std::uint64_t job = 0;

    friend bool operator==(const sampled_step& a, const sampled_step& b)
    {
        return std::tie(a.step, a.job) == std::tie(b.step, b.job);
    }
};

/// What placement needs to know about a worker.
struct speed_class
{
    /// Classes of 15%; 0: about the speed of most, or not known well enough.
    int number = 0;
    /// Far slower than the others: its runs stand still or nearly so.
    bool lags = false;
    /// A worker that lags may get one task, to see whether it has recovered.
    bool may_try = false;

    friend bool operator==(const speed_class& a, const speed_class& b)
    {
        return std::tie(a.number, a.lags, a.may_try) ==
               std::tie(b.number, b.lags, b.may_try);
    }
};

/// An incarnation of a worker that the owner knows.
struct worker_incarnation
{
    worker_number number = 0;
    std::string id;
    /// Start of the incarnation as the worker reports it; 0: not known.
    std::int64_t start_ms = 0;

    friend bool operator==(const worker_incarnation& a,
                           const worker_incarnation& b)
    {
        return std::tie(a.number, a.id, a.start_ms) ==
               std::tie(b.number, b.id, b.start_ms);
    }
};

/// Estimates how fast each incarnation of a worker is, relative to the others.
///
/// Load: 350 workers of speeds 0.6, 1.0 and 1.6; tasks whose sizes differ by
/// half within a step, of which 3% take seven times as long; steps of two to
/// 150 tasks whose estimates are off by up to nine tenths; about one sample of
/// each worker a second. Therefore runs of one step are compared with one
/// another: the logarithm of a run's pace is the pace of its step plus the
/// speed of its worker plus noise. Both are updated from each sample in
/// proportion to their variance. The work per sample is constant.
///
/// Core thread only. Precondition of all functions: `now` never decreases.
class worker_speeds
{
public:
    /// What became of a sample.
    enum class outcome : std::uint8_t
    {
        none,   ///< There was no sample.
        taken,  ///< The sample counts.
        refused ///< The pace makes no sense: not above 0, or not finite.
    };

    /// Handles a report of `percent` (0 to 100) about a run on `worker` and
    /// returns what the run keeps until the next one. A run that gains nothing
    /// while others of its step do gives a sample as well.
    std::pair<run_pace, outcome> on_progress(time_point now,
                                             worker_number worker,
                                             const sampled_step& step,
                                             const run_pace& run, int percent);
    /// Handles the end of a run as done. Precondition: the run has done the
    /// whole task, without a checkpoint from before.
    outcome on_end(time_point now, worker_number worker,
                   const sampled_step& step, const run_pace& run);
    /// Takes note of a start on the worker.
    void on_start(time_point now, worker_number worker);

    /// Returns the speed relative to the others, 0.1 to 10; 1 when it is not
    /// known well enough to matter.
    double speed(worker_number worker, time_point now) const;
    /// Returns the class of the speed.
    speed_class classify(worker_number worker, time_point now) const;
    /// Returns the time that a whole task of the step takes on a worker of
    /// speed 1. Returns `std::nullopt` when nothing is known about the step.
    std::optional<duration> typical_duration(std::uint64_t step) const;

    /// Returns the known speeds of the workers as JSON text of at most
    /// `max_bytes`, those that differ most from the others first. Returns an
    /// empty text when none is known.
    std::string to_text(const std::vector<worker_incarnation>& workers,
                        time_point now, std::int64_t unix_ms,
                        std::size_t max_bytes) const;
    /// Takes the text that an earlier owner has written, unless it is too old
    /// at the Unix time `unix_ms`. Returns false when a part can not be read;
    /// the rest counts.
    bool load(const std::string& text, std::int64_t unix_ms);
    /// Gives the worker the loaded speed of the same incarnation. A worker that
    /// has restarted since is unknown.
    void restore(time_point now, const worker_incarnation& worker);
    /// Forgets all workers but these.
    void retain(const std::vector<worker_incarnation>& workers);

private:
    /// Estimate of the logarithm of a worker's speed.
    struct worker_estimate
    {
        double mean = 0;
        double variance = 0;
        time_point at; ///< Of the estimate, which ages from then on.
        /// The latest jobs that gave samples, with the number of these.
        std::array<std::pair<std::uint64_t, unsigned>, 4> jobs{};
        std::size_t next_job = 0;
        unsigned job_count = 0; ///< Different jobs, counted up to two.
        /// The latest two jobs whose runs here were slower than their others.
        std::array<std::uint64_t, 2> slow_jobs{};
        /// Runs in a row that were far slower (negative) or faster.
        int surprises = 0;
        std::uint64_t surprising_job = 0; ///< Of the first of these.
        bool several_surprising_jobs = false;
        time_point next_try_at; ///< See `speed_class::may_try`.
    };
    /// Estimate of the logarithm of the pace of a step, in percent a second, on
    /// a worker of speed 1.
    struct step_estimate
    {
        double mean = 0;
        double variance = 0;
        worker_number first_worker = 0;
        bool several_workers = false;
        bool has_progress = false; ///< A run has reported a gain.
    };
    struct stored_speed
    {
        std::int64_t incarnation_start_ms = 0;
        double mean = 0;
        double deviation = 0;
    };

    static worker_estimate aged(worker_estimate worker, time_point now);
    static bool lags(const worker_estimate& worker);
    static int class_of(const worker_estimate& worker);
    /// Returns how often the job has given a sample of the worker, with this.
    static unsigned count_sample(worker_estimate& worker, std::uint64_t job);
    /// Moves the estimate when several runs of different jobs are far off in
    /// the same direction.
    static void note_surprise(worker_estimate& worker, double residual,
                              std::uint64_t job, run_pace& run);
    outcome add_sample(time_point now, worker_number worker,
                       const sampled_step& step, double percent_per_second,
                       run_pace& run);
    bool stands_still(worker_number worker, const sampled_step& step,
                      double seconds, int gain) const;

    std::unordered_map<worker_number, worker_estimate> workers_;
    std::unordered_map<std::uint64_t, step_estimate> steps_;
    std::deque<std::uint64_t> steps_by_age_; ///< Keys of `steps_`.
    std::map<std::string, stored_speed> loaded_;
};

/// What a task needs of the speed of its worker.
struct speed_need
{
    bool urgent = false; ///< Goes where it ends soonest.
    /// Time that the task takes on a worker of speed 1; zero: unknown.
    duration typical{};
    duration available{}; ///< Time until the job's objective.

    friend bool operator==(const speed_need& a, const speed_need& b)
    {
        return std::tie(a.urgent, a.typical, a.available) ==
               std::tie(b.urgent, b.typical, b.available);
    }
};

/// Returns the preference for a worker; a smaller one is preferred. Urgent
/// tasks prefer fast workers. Others leave these free: they prefer the slowest
/// that end in time, and the fastest when none does. Workers that lag come last
/// for all. Equal for all workers of the same class. Thread safe.
int speed_rank(const speed_need& need, const speed_class& worker);

/// Returns the speed in the middle of a class. Thread safe.
double speed_of_class(int number);

} // namespace carobcourse
