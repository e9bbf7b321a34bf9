// Speeds of workers: what runs report, and what placement and the next owner
// get of it.
#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// Placement uses the speeds of this moment, so that their cost does not grow
/// with the rounds of dispatch.
constexpr auto speed_update_interval = std::chrono::milliseconds(250);
/// A faulty worker may report several such percentages with each poll; the
/// counters have all.
constexpr auto refusal_log_interval = std::chrono::seconds(1);
/// The row may take 16 KB each 5 s, which customers are billed for. Speeds
/// change slowly, so it takes half.
constexpr auto speed_write_interval = std::chrono::seconds(10);
constexpr std::size_t max_speed_row_bytes = 16384;
/// The next owner does not take a row older than 120 s.
constexpr auto speed_row_validity = std::chrono::seconds(60);

std::vector<worker_incarnation> incarnations_of(const cell_workers& workers)
{
    std::vector<worker_incarnation> result;
    result.reserve(workers.all().size());
    for (const auto& [id, worker] : workers.all())
        result.push_back({worker.number(), id, worker.incarnation_start_ms});
    return result;
}

} // namespace

void cell_owner::take_progress(time_point now, const cell_worker& worker,
                               cell_run& run, const running_report& report)
{
    const auto progress =
        run.progress.with_report(now, report.progress_percent);
    if (!progress)
    {
        context_.counters.count("carobcourse_bad_progress_total");
        log_refused_report(now, worker);
        return;
    }
    run.progress = *progress;
    run.expected_end = progress->expected_end().value_or(run.expected_end);
    if (run.gang || run.amount_unknown || run.stop_requested)
        return;
    const sampled_step step{run.step_key, stable_hash(report.task.job, 0, 0)};
    const auto [pace, outcome] = speeds_.on_progress(
        now, worker.number(), step, run.pace, report.progress_percent);
    run.pace = pace;
    count_speed_sample(now, worker, outcome);
}

void cell_owner::take_end(time_point now, cell_worker& worker,
                          const end_report& end)
{
    const auto* run = worker.find({end.task, end.run});
    if (!run || run->gang || run->amount_unknown || end.kind != end_kind::done)
        return;
    const sampled_step step{run->step_key, stable_hash(end.task.job, 0, 0)};
    count_speed_sample(now, worker,
                       speeds_.on_end(now, worker.number(), step, run->pace));
}

void cell_owner::count_speed_sample(time_point now, const cell_worker& worker,
                                    worker_speeds::outcome outcome)
{
    if (outcome == worker_speeds::outcome::none)
        return;
    const bool taken = outcome == worker_speeds::outcome::taken;
    context_.counters.count("carobcourse_speed_samples_total",
                            taken ? "taken" : "refused");
    if (!taken)
        log_refused_report(now, worker);
}

void cell_owner::log_refused_report(time_point now, const cell_worker& worker)
{
    if (now < next_refusal_log_)
        return;
    next_refusal_log_ = now + refusal_log_interval;
    context_.log(log_code::cell_speed_refused,
                 fmt::format("worker={} runs={}", worker.report().id,
                             worker.runs().size()));
}

void cell_owner::note_start(time_point now, const cell_worker& worker)
{
    speeds_.on_start(now, worker.number());
    if (worker.number() < speed_classes_.size())
        speed_classes_[worker.number()].may_try = false;
}

void cell_owner::update_speeds(time_point now)
{
    if (now < next_speed_update_)
        return;
    next_speed_update_ = now + speed_update_interval;
    std::map<int, std::vector<worker_number>, std::greater<>> by_class;
    std::size_t lagging = 0;
    for (const auto& [id, worker] : workers_.all())
    {
        const auto number = worker.number();
        if (number >= speed_classes_.size())
            speed_classes_.resize(number + 1);
        const auto next = speeds_.classify(number, now);
        if (next.lags != speed_classes_[number].lags)
        {
            context_.counters.count("carobcourse_worker_lags_total",
                                    next.lags ? "begun" : "ended");
            context_.log(next.lags ? log_code::cell_worker_lags
                                   : log_code::cell_worker_keeps_up,
                         fmt::format("worker={} speed={:.2f} runs={}", id,
                                     speeds_.speed(number, now),
                                     worker.runs().size()));
        }
        speed_classes_[number] = next;
        lagging += next.lags ? 1 : 0;
        by_class[next.number].push_back(number);
    }
    context_.counters.gauge("carobcourse_lagging_workers",
                            static_cast<double>(lagging));
    workers_by_speed_.clear();
    if (by_class.size() > 1)
        for (auto& [number, workers] : by_class)
            workers_by_speed_.push_back(std::move(workers));
    if (now >= next_speed_write_)
        write_speeds(now);
}

void cell_owner::write_speeds(time_point now)
{
    next_speed_write_ = now + speed_write_interval;
    const auto incarnations = incarnations_of(workers_);
    speeds_.retain(incarnations);
    std::map<std::string, int> classes;
    for (const auto& each : incarnations)
        if (const auto number = speed_classes_[each.number].number)
            classes[each.id] = number;
    const bool expired = !classes.empty() && now >= speed_row_expires_at_;
    if (classes == written_classes_ && !expired)
        return;
    written_classes_ = std::move(classes);
    speed_row_expires_at_ = now + speed_row_validity;
    auto text = speeds_.to_text(incarnations, now, context_.wall_clock_ms,
                                max_speed_row_bytes);
    // Replaces a row whose speeds count no longer.
    if (text.empty())
        text = "{\"t\":0,\"w\":{}}";
    context_.counters.count("carobcourse_speed_row_bytes_total", {},
                            text.size());
    context_.log(log_code::cell_speeds_written,
                 fmt::format("workers={} bytes={} epoch={}",
                             written_classes_.size(), text.size(),
                             row().epoch));
    journal_.write_row(cell_table::owner, worker_speeds_key, std::move(text));
}

void cell_owner::load_speeds(const carobcourse::row& row)
{
    if (!speeds_.load(row.value, context_.wall_clock_ms))
        context_.log(log_code::cell_row_unreadable,
                     fmt::format("table={} key={}", row.table, row.key));
    context_.log(log_code::cell_speeds_read,
                 fmt::format("bytes={}", row.value.size()));
}

const speed_class& cell_owner::class_of(const cell_worker& worker) const
{
    static const speed_class unknown;
    return worker.number() < speed_classes_.size()
               ? speed_classes_[worker.number()]
               : unknown;
}

speed_need cell_owner::speed_need_of(time_point now, const ready_step& ready,
                                     bool urgent) const
{
    const auto& spec = ready.job->spec().steps[ready.step];
    speed_need need;
    need.urgent = urgent;
    need.typical = speeds_.typical_duration(ready.step_key)
                       .value_or(std::chrono::milliseconds(spec.estimate_ms));
    need.available = ready.job->objective - now;
    return need;
}

void cell_owner::visit_workers(
    bool fastest_first, const std::function<bool(const cell_worker&)>& visit)
{
    if (!fastest_first || workers_by_speed_.empty())
    {
        const auto count = eligible_.all.size();
        const auto first = count > 0 ? context_.random() % count : 0;
        for (std::size_t i = 0; i < count; ++i)
            if (!visit(*eligible_.all[(first + i) % count]))
                return;
        return;
    }
    for (const auto& each : workers_by_speed_)
    {
        const auto first = context_.random() % each.size();
        for (std::size_t i = 0; i < each.size(); ++i)
        {
            const auto* worker =
                eligible_.find(each[(first + i) % each.size()]);
            if (worker && !visit(*worker))
                return;
        }
    }
}

} // namespace carobcourse
