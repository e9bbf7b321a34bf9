#include "cell_workers_p.hpp"

#include <algorithm>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// Readings of a worker's clock and the bounds of their time are whole
/// milliseconds.
constexpr std::int64_t clock_rounding_ms = 2;

std::int64_t milliseconds_of(duration time)
{
    return time / std::chrono::milliseconds(1);
}

} // namespace

resources allocated_resources(const cell_run& run)
{
    auto amount = run.amount;
    if (run.uses_spare_cpu)
        amount.cpu_millis = 0;
    return amount;
}

cell_run* cell_worker::find(const run_key& key)
{
    const auto found = runs_.find(key);
    return found == runs_.end() ? nullptr : &found->second;
}

std::uint32_t cell_worker::runs_of_step(std::uint64_t step_key) const
{
    const auto found = runs_by_step_.find(step_key);
    return found == runs_by_step_.end() ? 0 : found->second;
}

void cell_worker::update_clock(time_point sent_at, time_point now,
                               std::int64_t clock_ms)
{
    // Answers can arrive out of order; an older reading is less exact.
    if (clock_ms < clock_ms_)
        return;
    clock_ms_ = clock_ms;
    clock_asked_at_ = sent_at;
    clock_read_at_ = now;
}

bool cell_worker::is_plausible_clock(time_point sent_at, time_point now,
                                     std::int64_t clock_ms) const
{
    if (!has_clock())
        return true;
    // Either clock may be the slow one, and readings are whole milliseconds.
    const auto most = milliseconds_of(now - clock_asked_at_) *
                          (100 + config::cell_max_clock_drift_percent) / 100 +
                      clock_rounding_ms;
    const auto least_passed = milliseconds_of(sent_at - clock_read_at_);
    const auto drift = least_passed > 0
                           ? -2 * config::cell_max_clock_drift_percent
                           : config::cell_max_clock_drift_percent;
    const auto least = least_passed * (100 + drift) / 100 - clock_rounding_ms;
    return clock_ms >= clock_ms_ + least && clock_ms <= clock_ms_ + most;
}

void cell_worker::doubt_incarnation(time_point now, duration longest_lease)
{
    doubted_at_ = now;
    record_call_in_doubt(now, longest_lease);
}

void cell_worker::record_call_in_doubt(time_point now, duration longest_lease)
{
    if (doubted_at_)
        unknown_lease_expires_at_ = now + longest_lease;
}

void cell_worker::confirm_incarnation(time_point sent_at)
{
    if (!doubted_at_ || sent_at < *doubted_at_)
        return;
    doubted_at_.reset();
    unknown_lease_expires_at_ = {};
    restart_suspected_ = false;
}

std::int64_t cell_worker::clock_lower_bound_ms(time_point now) const
{
    return clock_ms_ + milliseconds_of(now - clock_read_at_) *
                           (100 - config::cell_max_clock_drift_percent) / 100;
}

time_point cell_worker::lease_expires_at() const
{
    if (clock_ms_ < 0 || lease_until_ms_ == 0)
        return std::max(unknown_lease_expires_at_,
                        first_seen + config::cell_max_worker_lease_with_drift);
    const auto left = std::max<std::int64_t>(0, lease_until_ms_ - clock_ms_);
    return std::max(
        unknown_lease_expires_at_,
        clock_read_at_ +
            std::chrono::milliseconds(
                left * 100 / (100 - config::cell_max_clock_drift_percent) + 1));
}

cell_worker* cell_workers::find(const std::string& id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

cell_worker& cell_workers::add(worker_report report)
{
    const auto id = report.id;
    return workers_
        .emplace(id, cell_worker(std::move(report), next_number_++,
                                 worker_fence(first_fence_)))
        .first->second;
}

void cell_workers::remove(const std::string& id)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return;
    first_fence_ = std::max(first_fence_, found->second.fence.last() + 1);
    workers_.erase(found);
}

void cell_workers::restart(cell_worker& worker)
{
    cell_worker next(std::move(worker.report_), next_number_++, worker.fence);
    next.fence.begin_incarnation();
    next.listed = worker.listed;
    next.requested_stops = worker.requested_stops;
    next.unknown_amount_runs_ = worker.unknown_amount_runs_;
    next.runs_ = std::move(worker.runs_);
    next.runs_by_step_ = std::move(worker.runs_by_step_);
    next.used_ = worker.used_;
    next.unknown_lease_expires_at_ = worker.unknown_lease_expires_at_;
    worker = std::move(next);
}

void cell_workers::add_run(cell_worker& worker, const run_key& key,
                           cell_run run)
{
    worker.used_ += allocated_resources(run);
    usage_[run.customer] += run.amount;
    ++worker.runs_by_step_[run.step_key];
    worker.unknown_amount_runs_ += run.amount_unknown ? 1 : 0;
    worker.requested_stops += run.stop_requested ? 1 : 0;
    worker.runs_.emplace(key, std::move(run));
}

void cell_workers::remove_run(cell_worker& worker, const run_key& key)
{
    const auto found = worker.runs_.find(key);
    if (found == worker.runs_.end())
        return;
    const auto& run = found->second;
    worker.used_ -= allocated_resources(run);
    usage_[run.customer] -= run.amount;
    worker.unknown_amount_runs_ -= run.amount_unknown ? 1 : 0;
    worker.requested_stops -= run.stop_requested ? 1 : 0;
    if (--worker.runs_by_step_[run.step_key] == 0)
        worker.runs_by_step_.erase(run.step_key);
    worker.runs_.erase(found);
}

resources cell_workers::usage_of(const std::string& customer) const
{
    const auto found = usage_.find(customer);
    return found == usage_.end() ? resources{} : found->second;
}

} // namespace carobcourse
