#include "cell_speeds_p.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;
using seconds = std::chrono::duration<double>;

constexpr double min_speed = 0.1;
constexpr double max_speed = 10;
const double max_log_speed = std::log(max_speed);
const double class_width = std::log(1.15);

/// Variances of logarithms. Sizes of tasks that differ by half within a step
/// have a deviation of about 0.33.
constexpr double run_variance = 0.11;
constexpr double prior_variance = 0.25;
constexpr double min_worker_variance = 0.004;
constexpr double min_step_variance = 0.002;
/// Growth of the variance of a worker in a second, which makes old samples
/// count less: the prior is reached after eight minutes.
constexpr double variance_per_second = 0.0005;
/// The same while a worker lags. It gets few tasks then and must recover by
/// them.
constexpr double lagging_variance_per_second = 0.02;
/// Time in which the logarithm of a speed without samples falls to a third.
constexpr double fade_seconds = 600;
constexpr double lagging_fade_seconds = 60;

/// A speed matters from this many standard deviations on.
constexpr double known_deviations = 2;
/// A worker lags below this logarithm: a speed of 0.37. The slowest ordinary
/// workers have 0.6.
constexpr double lagging_log_speed = -1;
constexpr auto try_interval = std::chrono::seconds(10);

/// Residuals are limited to this, since some tasks take seven times as long as
/// the others of their step.
constexpr double max_residual = 1;
constexpr double outlier_weight = 0.25;
/// This many runs in a row of different jobs that are this far off in the same
/// direction show that the speed has changed. Where 3% of the tasks take seven
/// times as long, chance gives three in a row once in 37,000 runs.
constexpr int surprising_runs = 3;
constexpr double surprising_residual = 0.9;
constexpr double ordinary_residual = 0.5;
constexpr double max_shift = 1.6;
/// Variance after a change, which later samples correct soon.
constexpr double shifted_variance = 0.1;
/// Pace below that of the step's other runs which counts as slow.
constexpr double slow_residual = -0.2;
/// Further samples of one job say nothing new about a worker.
constexpr unsigned max_samples_of_job = 8;

/// A sample covers at least this gain, because percentages are whole numbers
/// and rough, and this time, because answers to polls are late.
constexpr int min_gain_percent = 8;
constexpr double min_interval_seconds = 0.3;
/// A run stands still when the others of its step gain this much in the time,
/// and it gains less than a quarter of that.
constexpr double standstill_percent = 30;
constexpr double standstill_part = 0.25;

/// Steps that are remembered; about 30 s of the load of a large customer.
constexpr std::size_t max_steps = 4096;
/// Stored speeds older than this are not taken.
constexpr std::int64_t max_stored_age_ms = 120000;
constexpr double min_restored_variance = 0.01;

/// Rank of workers on which a job misses its objective.
constexpr int late_rank = 100;
/// Rank of workers that lag.
constexpr int lagging_rank = 1000;
/// Sizes of tasks differ by half within a step.
constexpr double size_margin = 1.5;

} // namespace

// --------------------------------------------------------------------- samples

std::pair<run_pace, worker_speeds::outcome>
worker_speeds::on_progress(time_point now, worker_number worker,
                           const sampled_step& step, const run_pace& run,
                           int percent)
{
    auto next = run;
    if (!run.has_report)
    {
        next.has_report = true;
        next.interval_at = now;
        next.interval_percent = percent;
    }
    const auto gain = percent - next.interval_percent;
    const auto taken = seconds(now - next.interval_at).count();
    if (gain < 0)
    {
        next.interval_at = now;
        next.interval_percent = percent;
        return {next, outcome::refused};
    }
    if (taken < min_interval_seconds)
        return {next, outcome::none};
    if (gain < min_gain_percent && !stands_still(worker, step, taken, gain))
        return {next, outcome::none};
    const auto result =
        add_sample(now, worker, step, std::max(gain, 1) / taken, next);
    const auto found = steps_.find(step.step);
    if (found != steps_.end() && gain >= min_gain_percent)
        found->second.has_progress = true;
    next.interval_at = now;
    next.interval_percent = percent;
    return {next, result};
}

worker_speeds::outcome worker_speeds::on_end(time_point now,
                                             worker_number worker,
                                             const sampled_step& step,
                                             const run_pace& run)
{
    if (run.started_at == time_point())
        return outcome::none;
    constexpr double whole_percent = 100;
    auto ended = run;
    return add_sample(now, worker, step,
                      whole_percent / seconds(now - run.started_at).count(),
                      ended);
}

bool worker_speeds::stands_still(worker_number worker, const sampled_step& step,
                                 double seconds, int gain) const
{
    const auto found = steps_.find(step.step);
    // Without a gain of another run, the percentages may not be reported.
    if (found == steps_.end() || !found->second.has_progress ||
        (!found->second.several_workers &&
         found->second.first_worker == worker))
        return false;
    const auto typical_gain = std::exp(found->second.mean) * seconds;
    return typical_gain >= standstill_percent &&
           gain < standstill_part * typical_gain;
}

worker_speeds::outcome worker_speeds::add_sample(time_point now,
                                                 worker_number worker_key,
                                                 const sampled_step& step,
                                                 double percent_per_second,
                                                 run_pace& run)
{
    if (!std::isfinite(percent_per_second) || percent_per_second <= 0)
        return outcome::refused;
    const auto sample_of_run = ++run.samples;
    const auto observed = std::log(percent_per_second);
    const auto added = workers_.try_emplace(worker_key);
    auto& worker = added.first->second;
    if (added.second)
    {
        worker.variance = prior_variance;
        worker.at = now;
    }
    worker = aged(worker, now);
    if (steps_.find(step.step) == steps_.end())
    {
        if (steps_by_age_.size() >= max_steps)
        {
            steps_.erase(steps_by_age_.front());
            steps_by_age_.pop_front();
        }
        steps_by_age_.push_back(step.step);
        steps_[step.step] = {observed - worker.mean,
                             run_variance + worker.variance, worker_key, false,
                             false};
        return outcome::taken;
    }
    auto& pace = steps_[step.step];
    // Runs of one worker alone say nothing about it.
    if (pace.first_worker == worker_key && !pace.several_workers)
        return outcome::taken;
    pace.several_workers = true;
    const auto repeated = count_sample(worker, step.job);
    if (repeated > max_samples_of_job)
        return outcome::taken;
    auto residual = observed - pace.mean - worker.mean;
    auto noise = run_variance * sample_of_run * repeated;
    if (std::abs(residual) > max_residual)
        noise /= outlier_weight;
    if (observed - pace.mean < slow_residual &&
        worker.slow_jobs.front() != step.job)
        worker.slow_jobs = {step.job, worker.slow_jobs.front()};
    note_surprise(worker, residual, step.job, run);
    residual = observed - pace.mean - worker.mean;
    const auto limited = std::clamp(residual, -max_residual, max_residual);
    const auto total = pace.variance + worker.variance + noise;
    const auto worker_gain = worker.variance / total;
    const auto step_gain = pace.variance / total;
    worker.mean = std::clamp(worker.mean + worker_gain * limited,
                             -max_log_speed, max_log_speed);
    worker.variance =
        std::max(min_worker_variance, worker.variance * (1 - worker_gain));
    pace.mean += step_gain * limited;
    pace.variance =
        std::max(min_step_variance, pace.variance * (1 - step_gain));
    return outcome::taken;
}

unsigned worker_speeds::count_sample(worker_estimate& worker, std::uint64_t job)
{
    for (auto& each : worker.jobs)
        if (each.second > 0 && each.first == job)
            return ++each.second;
    worker.jobs.at(worker.next_job) = {job, 1};
    worker.next_job = (worker.next_job + 1) % worker.jobs.size();
    worker.job_count = std::min(2U, worker.job_count + 1);
    return 1;
}

void worker_speeds::note_surprise(worker_estimate& worker, double residual,
                                  std::uint64_t job, run_pace& run)
{
    if (std::abs(residual) < ordinary_residual)
        worker.surprises = 0;
    if (std::abs(residual) < surprising_residual || run.has_surprised)
        return;
    run.has_surprised = true;
    const int sign = residual > 0 ? 1 : -1;
    if (worker.surprises * sign <= 0)
    {
        worker.surprises = sign;
        worker.surprising_job = job;
        worker.several_surprising_jobs = false;
        return;
    }
    worker.surprises += sign;
    worker.several_surprising_jobs =
        worker.several_surprising_jobs || job != worker.surprising_job;
    if (worker.surprises * sign < surprising_runs ||
        !worker.several_surprising_jobs)
        return;
    worker.mean += std::clamp(residual, -max_shift, max_shift);
    worker.variance = shifted_variance;
    worker.surprises = 0;
}

void worker_speeds::on_start(time_point now, worker_number worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && lags(aged(found->second, now)))
        found->second.next_try_at = now + try_interval;
}

// -------------------------------------------------------------------- answers

worker_speeds::worker_estimate worker_speeds::aged(worker_estimate worker,
                                                   time_point now)
{
    const auto age = std::max(0.0, seconds(now - worker.at).count());
    const bool lagging = worker.mean < lagging_log_speed;
    worker.variance = std::max(
        worker.variance,
        std::min(prior_variance,
                 worker.variance + age * (lagging ? lagging_variance_per_second
                                                  : variance_per_second)));
    worker.mean *=
        std::exp(-age / (lagging ? lagging_fade_seconds : fade_seconds));
    worker.at = now;
    return worker;
}

bool worker_speeds::lags(const worker_estimate& worker)
{
    return worker.mean < lagging_log_speed && worker.slow_jobs.back() != 0;
}

int worker_speeds::class_of(const worker_estimate& worker)
{
    const bool known =
        worker.mean < 0 ? worker.slow_jobs.back() != 0 : worker.job_count > 1;
    if (!known ||
        std::abs(worker.mean) < known_deviations * std::sqrt(worker.variance))
        return 0;
    return static_cast<int>(std::lround(worker.mean / class_width));
}

double worker_speeds::speed(worker_number worker, time_point now) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return 1;
    const auto estimate = aged(found->second, now);
    return class_of(estimate) == 0 && !lags(estimate)
               ? 1
               : std::clamp(std::exp(estimate.mean), min_speed, max_speed);
}

speed_class worker_speeds::classify(worker_number worker, time_point now) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return {};
    const auto estimate = aged(found->second, now);
    speed_class result;
    result.number = class_of(estimate);
    result.lags = lags(estimate);
    if (result.lags)
        result.number =
            static_cast<int>(std::lround(estimate.mean / class_width));
    result.may_try = result.lags && now >= estimate.next_try_at;
    return result;
}

std::optional<duration>
worker_speeds::typical_duration(std::uint64_t step) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return std::nullopt;
    constexpr double whole_percent = 100;
    constexpr double max_seconds = 1e6;
    return std::chrono::duration_cast<duration>(seconds(
        std::min(max_seconds, whole_percent / std::exp(found->second.mean))));
}

double speed_of_class(int number)
{
    return std::clamp(std::exp(number * class_width), min_speed, max_speed);
}

int speed_rank(const speed_need& need, const speed_class& worker)
{
    if (worker.lags && (need.urgent || !worker.may_try))
        return lagging_rank - worker.number;
    if (need.urgent)
        return -worker.number;
    if (worker.lags)
        return 0;
    const auto expected = seconds(need.typical).count() * size_margin /
                          speed_of_class(worker.number);
    return expected <= seconds(need.available).count()
               ? worker.number
               : late_rank - worker.number;
}

// --------------------------------------------------------------------- storage

std::string
worker_speeds::to_text(const std::vector<worker_incarnation>& workers,
                       time_point now, std::int64_t unix_ms,
                       std::size_t max_bytes) const
{
    std::vector<std::pair<double, std::string>> entries;
    constexpr double scale = 100;
    for (const auto& each : workers)
    {
        const auto found = workers_.find(each.number);
        if (found == workers_.end() || each.start_ms == 0)
            continue;
        const auto estimate = aged(found->second, now);
        if (class_of(estimate) == 0 && !lags(estimate))
            continue;
        entries.emplace_back(
            -std::abs(estimate.mean),
            json(each.id).dump(-1, ' ', false, json::error_handler_t::replace) +
                ":" +
                json{each.start_ms, std::lround(estimate.mean * scale),
                     std::lround(std::sqrt(estimate.variance) * scale)}
                    .dump());
    }
    if (entries.empty())
        return {};
    std::sort(entries.begin(), entries.end());
    std::string text = "{\"t\":" + std::to_string(unix_ms) + ",\"w\":{";
    const char* separator = "";
    for (const auto& each : entries)
    {
        if (text.size() + each.second.size() + 3 > max_bytes)
            break;
        text += separator + each.second;
        separator = ",";
    }
    return text + "}}";
}

bool worker_speeds::load(const std::string& text, std::int64_t unix_ms)
{
    constexpr double scale = 100;
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("t") || !value.contains("w") ||
        !value.at("t").is_number_integer() || !value.at("w").is_object())
        return false;
    const auto age_ms =
        static_cast<double>(unix_ms) - value.at("t").get<double>();
    if (std::abs(age_ms) > max_stored_age_ms)
        return true;
    bool readable = true;
    for (const auto& [id, entry] : value.at("w").items())
    {
        const bool valid = entry.is_array() && entry.size() == 3 &&
                           std::all_of(entry.begin(), entry.end(),
                                       [](const json& each)
                                       { return each.is_number_integer(); });
        readable = readable && valid;
        if (valid)
            loaded_[id] = {entry[0].get<std::int64_t>(),
                           std::clamp(entry[1].get<double>() / scale,
                                      -max_log_speed, max_log_speed),
                           entry[2].get<double>() / scale};
    }
    return readable;
}

void worker_speeds::restore(time_point now, const worker_incarnation& worker)
{
    const auto loaded = loaded_.extract(worker.id);
    if (loaded.empty() || worker.start_ms == 0 ||
        loaded.mapped().incarnation_start_ms != worker.start_ms)
        return;
    worker_estimate estimate;
    estimate.mean = loaded.mapped().mean;
    estimate.variance =
        std::clamp(loaded.mapped().deviation * loaded.mapped().deviation,
                   min_restored_variance, prior_variance);
    estimate.at = now;
    // The earlier owner had compared several jobs. No job has these values.
    estimate.job_count = 2;
    if (estimate.mean < 0)
        estimate.slow_jobs = {1, 2};
    workers_[worker.number] = estimate;
}

void worker_speeds::retain(const std::vector<worker_incarnation>& workers)
{
    std::set<worker_number> kept;
    for (const auto& each : workers)
        kept.insert(each.number);
    for (auto it = workers_.begin(); it != workers_.end();)
        it = kept.count(it->first) > 0 ? std::next(it) : workers_.erase(it);
}

} // namespace carobcourse
