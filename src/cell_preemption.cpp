#include "cell_preemption_p.hpp"

#include <algorithm>

#include "cell_limits_p.hpp"
#include "cell_placement_p.hpp"

namespace carobcourse
{

namespace
{

constexpr double millis_per_core = 1000;
/// Time that a start from a checkpoint takes; the longest that workers show.
constexpr auto restore_time = std::chrono::milliseconds(600);
/// A run whose end is expected this soon after the end of a stop is left alone.
constexpr auto min_wait_saved = std::chrono::milliseconds(300);
/// Least time between two stops of a task, so that it makes progress between.
constexpr auto task_stop_interval = std::chrono::seconds(5);
constexpr unsigned max_stops_per_task = 2;
/// Stops of one customer within a second. A gang of 20 tasks of 18 cores needs
/// 50 stops of tasks of 7 cores, spread over the customers of the cell.
constexpr std::uint32_t max_stops_per_customer = 16;
constexpr auto customer_interval = std::chrono::seconds(1);
/// Cores of runs that are being stopped, as a part of the cell's cores. The
/// largest gang of the heaviest load takes a tenth.
constexpr double max_stopped_share = 0.1;
/// A result within the objective has five times the worth of a later one.
constexpr double late_worth = 0.2;
/// A gang waits for ends as long as this part of its slack is enough. Expected
/// ends are too early for gangs, because others wait for the same room.
constexpr int gang_slack_divisor = 4;
/// Limits of one sample of `stop_time_estimator`: a lost call or a worker that
/// is cut off makes a stop look long.
constexpr auto max_stop_time = std::chrono::seconds(2);
constexpr int max_growth_percent = 150;
/// Weight of the known time in `stop_time_estimator` when a stop was faster.
constexpr int stop_time_samples = 16;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Runs on one worker whose stop makes room for further tasks.
struct room_increment
{
    double cost = 0; ///< Lost work for each task.
    std::uint32_t tasks = 0;
    std::vector<const preemption_candidate*> runs;
};

bool may_stop(const preemption_request& request,
              const preemption_candidate& run)
{
    const auto left = request.stops_left.find(run.customer);
    return run.checkpoints && !run.gang && run.priority &&
           *run.priority > request.priority &&
           left != request.stops_left.end() && left->second > 0 &&
           run.stops < max_stops_per_task &&
           (run.stops == 0 ||
            request.now >= run.stopped_at + task_stop_interval) &&
           run.expected_end >= request.now + request.stop_time + min_wait_saved;
}

/// The free room of one worker and the runs there, least lost work first.
class worker_plan
{
public:
    worker_plan(const preemption_request& request, const preemption_room& room)
        : request_(&request), room_(room.room),
          runs_of_step_(room.runs_of_step), tasks_(fit(room_))
    {
    }
    void add(const preemption_candidate& run)
    {
        runs_.push_back(&run);
    }
    void sort()
    {
        std::sort(runs_.begin(), runs_.end(),
                  [this](const auto* a, const auto* b)
                  {
                      const auto cost_a = cost(*a);
                      const auto cost_b = cost(*b);
                      return std::tie(cost_a, a->key) <
                             std::tie(cost_b, b->key);
                  });
    }
    std::uint32_t tasks() const
    {
        return tasks_;
    }
    /// Returns the next stops that make room for at least one more task, and
    /// takes them as made. Returns no runs when there are none.
    room_increment next()
    {
        room_increment result;
        auto room = room_;
        while (next_ < runs_.size() && fit(room) == tasks_)
        {
            room += runs_[next_]->amount;
            result.runs.push_back(runs_[next_++]);
        }
        if (fit(room) == tasks_)
            return {};
        // An early small run may not be needed beside a later large one.
        const auto chosen = result.runs;
        for (auto it = chosen.rbegin(); it != chosen.rend(); ++it)
        {
            if (fit(room - (*it)->amount) == tasks_)
                continue;
            room = room - (*it)->amount;
            result.runs.erase(
                std::find(result.runs.begin(), result.runs.end(), *it));
        }
        result.tasks = fit(room) - tasks_;
        for (const auto* run : result.runs)
            result.cost += cost(*run) / result.tasks;
        room_ = room;
        tasks_ += result.tasks;
        return result;
    }

private:
    std::uint32_t fit(const resources& room) const
    {
        return tasks_that_fit(room, request_->step, runs_of_step_);
    }
    double cost(const preemption_candidate& run) const
    {
        return lost_work(run, request_->now, request_->stop_time);
    }

    const preemption_request* request_;
    resources room_;
    std::uint32_t runs_of_step_;
    std::vector<const preemption_candidate*> runs_;
    std::size_t next_ = 0;
    std::uint32_t tasks_; ///< Tasks that fit with the stops so far.
};

/// What the chosen stops use of the bounds of a request.
class used_bounds
{
public:
    explicit used_bounds(const preemption_request& request) : request_(&request)
    {
    }
    /// Returns false, and takes nothing, when the runs exceed a bound.
    bool take(const room_increment& increment)
    {
        auto next = *this;
        for (const auto* run : increment.runs)
        {
            next.lost_ += lost_work(*run, request_->now, request_->stop_time);
            next.cores_ +=
                static_cast<double>(run->amount.cpu_millis) / millis_per_core;
            if (++next.stops_[run->customer] >
                request_->stops_left.at(run->customer))
                return false;
        }
        if (next.lost_ > request_->max_lost ||
            next.cores_ > request_->max_cores)
            return false;
        *this = std::move(next);
        return true;
    }

private:
    const preemption_request* request_;
    double lost_ = 0;
    double cores_ = 0;
    std::map<std::string, std::uint32_t> stops_;
};

std::vector<run_key>
choose_among(const preemption_request& request,
             const std::vector<preemption_candidate>& candidates,
             bool may_endanger)
{
    std::map<worker_number, worker_plan> plans;
    std::uint32_t tasks = 0;
    for (const auto& room : request.rooms)
    {
        const auto added =
            plans.emplace(room.worker, worker_plan(request, room));
        if (added.second)
            tasks += added.first->second.tasks();
    }
    if (tasks >= request.tasks)
        return {};
    for (const auto& run : candidates)
    {
        const auto found = plans.find(run.worker);
        if (found != plans.end() && may_stop(request, run) &&
            (may_endanger || !run.endangers_job))
            found->second.add(run);
    }
    // Increments of one worker depend on each other, so one of each competes.
    std::vector<std::pair<room_increment, worker_plan*>> offers;
    const auto is_dearer = [](const auto& a, const auto& b)
    { return a.first.cost > b.first.cost; };
    const auto offer = [&](worker_plan& plan)
    {
        auto increment = plan.next();
        if (increment.runs.empty())
            return;
        offers.emplace_back(std::move(increment), &plan);
        std::push_heap(offers.begin(), offers.end(), is_dearer);
    };
    for (auto& [number, plan] : plans)
    {
        plan.sort();
        offer(plan);
    }
    used_bounds used(request);
    std::vector<run_key> result;
    while (tasks < request.tasks && !offers.empty())
    {
        std::pop_heap(offers.begin(), offers.end(), is_dearer);
        const auto [increment, plan] = std::move(offers.back());
        offers.pop_back();
        if (!used.take(increment))
            continue;
        tasks += increment.tasks;
        for (const auto* run : increment.runs)
            result.push_back(run->key);
        offer(*plan);
    }
    if (request.all_or_nothing && tasks < request.tasks)
        result.clear();
    return result;
}

} // namespace

double lost_work(const preemption_candidate& run, time_point now,
                 duration stop_time)
{
    const auto unsaved = std::max(duration(0), now - run.saved_at);
    return seconds(unsaved + stop_time + restore_time) *
           static_cast<double>(run.amount.cpu_millis) / millis_per_core;
}

std::vector<run_key>
choose_preemptions(const preemption_request& request,
                   const std::vector<preemption_candidate>& candidates)
{
    auto result = choose_among(request, candidates, false);
    if (result.empty())
        result = choose_among(request, candidates, true);
    return result;
}

double acceptable_loss(const preemption_gain& gain)
{
    if (gain.wait_at <= gain.start_at)
        return 0;
    const auto saved = seconds(gain.wait_at - gain.start_at) * gain.cores;
    const auto latest_start = gain.objective - gain.remaining;
    if (gain.start_at <= latest_start)
    {
        const auto slack = latest_start - gain.now;
        const auto patience = gain.urgent ? slack : slack / gang_slack_divisor;
        return gain.wait_at > gain.now + patience ? saved : 0;
    }
    const auto last_start = gain.hard_deadline - gain.remaining;
    return gain.start_at <= last_start && gain.wait_at > last_start
               ? saved * late_worth
               : 0;
}

void stop_time_estimator::record(duration time)
{
    const auto sample = std::clamp(
        time, duration(0),
        std::min<duration>(max_stop_time, expected_ * max_growth_percent / 100 +
                                              std::chrono::milliseconds(1)));
    expected_ =
        std::max(sample, (expected_ * (stop_time_samples - 1) + sample) /
                             stop_time_samples);
}

std::uint32_t preemption_ledger::stops_left(time_point now,
                                            const std::string& customer)
{
    const auto found = stops_by_customer_.find(customer);
    if (found == stops_by_customer_.end())
        return max_stops_per_customer;
    auto& stops = found->second;
    while (!stops.empty() && now >= stops.front() + customer_interval)
        stops.pop_front();
    const auto left =
        max_stops_per_customer -
        std::min<std::size_t>(max_stops_per_customer, stops.size());
    if (stops.empty())
        stops_by_customer_.erase(found);
    return static_cast<std::uint32_t>(left);
}

double preemption_ledger::cores_left(double cores) const
{
    return std::max(0.0, cores * max_stopped_share - cores_);
}

void preemption_ledger::record(time_point now, const run_key& key,
                               const std::string& customer, double cores)
{
    if (!cores_by_run_.emplace(key, cores).second)
        return;
    cores_ += cores;
    stops_by_customer_[customer].push_back(now);
}

void preemption_ledger::forget(const run_key& key)
{
    const auto found = cores_by_run_.find(key);
    if (found == cores_by_run_.end())
        return;
    cores_ -= found->second;
    cores_by_run_.erase(found);
}

} // namespace carobcourse
