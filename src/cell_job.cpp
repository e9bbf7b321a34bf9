#include "cell_job_p.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell_codec_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Size of the range of run numbers that an owner uses for a task.
constexpr std::uint64_t run_numbers_per_epoch = 4096;

/// Assumed duration of a task without an estimate.
constexpr std::int64_t default_task_ms = 1000;

std::int64_t estimated_task_ms(const step_spec& step)
{
    return step.estimate_ms > 0 ? step.estimate_ms : default_task_ms;
}

/// A limit of 0 allows one run.
bool is_exhausted(const std::set<std::uint32_t>& failed_runs,
                  std::uint32_t max_attempts)
{
    return failed_runs.size() >= std::max<std::uint32_t>(1, max_attempts);
}

bool is_before(const step_advice::worker_advice& advice, worker_number worker)
{
    return advice.worker < worker;
}

} // namespace

const step_advice::worker_advice* step_advice::find(worker_number worker) const
{
    const auto found =
        std::lower_bound(by_worker.begin(), by_worker.end(), worker, is_before);
    return found == by_worker.end() || found->worker != worker ? nullptr
                                                               : &*found;
}

step_advice::worker_advice& step_advice::at(worker_number worker)
{
    auto found =
        std::lower_bound(by_worker.begin(), by_worker.end(), worker, is_before);
    if (found == by_worker.end() || found->worker != worker)
    {
        found = by_worker.insert(found, worker_advice());
        found->worker = worker;
    }
    return *found;
}

cell_job::cell_job(std::string id, std::string customer, std::string queue,
                   job_spec spec, std::int64_t accepted_unix_ms,
                   std::uint64_t accepted_epoch)
    : id_(std::move(id)), customer_(std::move(customer)),
      queue_(std::move(queue)), spec_(std::move(spec)),
      accepted_unix_ms_(accepted_unix_ms), accepted_epoch_(accepted_epoch)
{
}

job_phase cell_job::phase() const
{
    if (cancelled_)
        return job_phase::cancelled;
    if (failed_)
        return job_phase::failed;
    if (all_ended())
        return job_phase::completed;
    return started_ ? job_phase::running : job_phase::queued;
}

bool cell_job::all_ended() const
{
    const auto total = std::max<std::uint32_t>(1, spec_.occurrences);
    return occurrences_done_ == total;
}

occurrence_state& cell_job::occurrence_at(std::uint32_t number)
{
    auto& run = occurrences_[number];
    if (run.steps.empty())
    {
        remaining_core_ms_.reset();
        for (const auto& step : spec_.steps)
        {
            step_state each;
            each.tasks.resize(step.count);
            each.key = stable_hash(
                id_, number, static_cast<std::uint32_t>(run.steps.size()));
            run.steps.push_back(std::move(each));
        }
    }
    return run;
}

void cell_job::add_due_occurrences(std::int64_t unix_ms)
{
    for (auto due = next_due_ms(); due && *due <= unix_ms; due = next_due_ms())
        occurrence_at(next_occurrence_++);
}

void cell_job::add_occurrences_through(std::uint32_t number)
{
    while (next_occurrence_ <= number && next_due_ms())
        occurrence_at(next_occurrence_++);
}

std::optional<std::int64_t> cell_job::next_due_ms() const
{
    if (spec_.occurrences == 0)
    {
        if (next_occurrence_ == 0)
            return 0;
        return std::nullopt;
    }
    if (next_occurrence_ >= spec_.occurrences)
        return std::nullopt;
    return due_ms(next_occurrence_);
}

step_state* cell_job::find_step(std::uint32_t occurrence, std::uint32_t step)
{
    const auto found = occurrences_.find(occurrence);
    if (found == occurrences_.end() || step >= found->second.steps.size())
        return nullptr;
    return &found->second.steps[step];
}

cell_task* cell_job::find(const cell_task_id& task)
{
    auto* step = find_step(task.occurrence, task.step);
    if (!step || task.index >= step->tasks.size())
        return nullptr;
    return &step->tasks[task.index];
}

bool cell_job::is_ready(const occurrence_state& occurrence,
                        std::uint32_t step) const
{
    const auto& run = occurrence.steps[step];
    if (run.done == run.tasks.size())
        return false;
    const auto& depends_on = spec_.steps[step].depends_on;
    return std::all_of(depends_on.begin(), depends_on.end(),
                       [&occurrence](std::uint32_t before)
                       {
                           const auto& earlier = occurrence.steps[before];
                           return earlier.done == earlier.tasks.size();
                       });
}

std::uint32_t cell_job::next_run_number(std::uint32_t last, std::uint64_t epoch,
                                        std::uint64_t accepted_epoch)
{
    const auto base = (epoch - accepted_epoch) * run_numbers_per_epoch;
    return std::max(last + 1, static_cast<std::uint32_t>(base) + 1);
}

void cell_job::mark_done(const cell_task_id& id)
{
    auto* step = find_step(id.occurrence, id.step);
    if (!step || id.index >= step->tasks.size() ||
        spec_.steps[id.step].long_running)
        return;
    // Workers report ends again to a new owner, and each member of a gang
    // reports its own. The step counts towards its occurrence once.
    if (step->done == step->tasks.size())
        return;
    remaining_core_ms_.reset();
    const auto finish_task = [step](cell_task& task)
    {
        if (task.state == cell_task_state::done)
            return;
        if (task.state != cell_task_state::waiting)
            --step->active;
        task.state = cell_task_state::done;
        ++step->done;
    };
    if (spec_.steps[id.step].gang)
        for (auto& task : step->tasks)
            finish_task(task);
    else
        finish_task(step->tasks[id.index]);
    auto& occurrence = occurrences_[id.occurrence];
    if (step->done != step->tasks.size())
        return;
    step->advice = {};
    const bool all_done = std::all_of(
        occurrence.steps.begin(), occurrence.steps.end(),
        [](const step_state& each) { return each.done == each.tasks.size(); });
    if (all_done)
        ++occurrences_done_;
}

bool cell_job::mark_failed(const cell_task_id& id, std::uint32_t run,
                           std::optional<std::uint32_t> max_attempts)
{
    auto* step = find_step(id.occurrence, id.step);
    auto* task = find(id);
    if (!step || !task)
        return false;
    const auto& spec = spec_.steps[id.step];
    if (spec.long_running)
        return false;
    auto& failed = spec.gang ? step->gang_failed_runs : task->failed_runs;
    failed.insert(run);
    if (!max_attempts || !is_exhausted(failed, *max_attempts))
        return false;
    failed_ = true;
    return true;
}

bool cell_job::apply_attempt_limit(std::uint32_t max_attempts)
{
    const auto has_failed = [max_attempts](const step_state& step)
    {
        return step.done < step.tasks.size() &&
               (is_exhausted(step.gang_failed_runs, max_attempts) ||
                std::any_of(step.tasks.begin(), step.tasks.end(),
                            [max_attempts](const cell_task& task)
                            {
                                return task.state != cell_task_state::done &&
                                       is_exhausted(task.failed_runs,
                                                    max_attempts);
                            }));
    };
    for (const auto& [number, occurrence] : occurrences_)
        failed_ = failed_ || std::any_of(occurrence.steps.begin(),
                                         occurrence.steps.end(), has_failed);
    return failed_;
}

std::string cell_job::spec_text() const
{
    return json{{"c", customer_},
                {"q", queue_},
                {"t", accepted_unix_ms_},
                {"e", accepted_epoch_},
                {"w", to_json(spec_)}}
        .dump();
}

std::unique_ptr<cell_job> cell_job::from_text(const std::string& id,
                                              const std::string& spec)
{
    const auto value = json::parse(spec, nullptr, false);
    try
    {
        return std::make_unique<cell_job>(id, value.at("c").get<std::string>(),
                                          value.at("q").get<std::string>(),
                                          work_from_json(value.at("w")),
                                          value.at("t").get<std::int64_t>(),
                                          value.at("e").get<std::uint64_t>());
    }
    catch (const json::exception&)
    {
        return nullptr;
    }
}

std::string cell_job::progress_text(bool with_failed_runs) const
{
    json occurrences = json::array();
    for (const auto& [number, run] : occurrences_)
    {
        json steps = json::array();
        for (std::size_t s = 0; s < run.steps.size(); ++s)
        {
            const auto& step = run.steps[s];
            std::string done;
            json failures = json::object();
            for (std::size_t i = 0; i < step.tasks.size(); ++i)
            {
                const auto& task = step.tasks[i];
                done += task.state == cell_task_state::done ? '1' : '0';
                if (with_failed_runs && !task.failed_runs.empty())
                    failures[std::to_string(i)] = task.failed_runs;
            }
            if (step.done == step.tasks.size())
                done = "*";
            else if (step.done == 0)
                done.clear();
            steps.push_back({{"d", done}});
            if (!failures.empty())
                steps.back()["f"] = failures;
            if (!step.gang_failed_runs.empty())
                steps.back()["g"] = step.gang_failed_runs;
        }
        occurrences.push_back({{"k", number}, {"s", steps}});
    }
    json value{{"n", next_occurrence_}, {"o", occurrences}};
    if (started_)
        value["r"] = true;
    if (cancelled_)
        value["x"] = true;
    if (failed_)
        value["y"] = true;
    return value.dump();
}

bool cell_job::read_progress(const std::string& text)
{
    const auto value = json::parse(text, nullptr, false);
    try
    {
        next_occurrence_ = value.at("n").get<std::uint32_t>();
        started_ = value.value("r", false);
        cancelled_ = value.value("x", false);
        failed_ = value.value("y", false);
        for (const auto& item : value.at("o"))
        {
            const auto number = item.at("k").get<std::uint32_t>();
            auto& run = occurrence_at(number);
            const auto& steps = item.at("s");
            for (std::size_t s = 0; s < run.steps.size() && s < steps.size();
                 ++s)
            {
                auto& step = run.steps[s];
                const auto done = steps[s].at("d").get<std::string>();
                if (steps[s].contains("g"))
                    step.gang_failed_runs =
                        steps[s]["g"].get<std::set<std::uint32_t>>();
                for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
                {
                    if (done == "*" || (i < done.size() && done[i] == '1'))
                    {
                        if (step.tasks[i].state != cell_task_state::done)
                            mark_done({id_, number,
                                       static_cast<std::uint32_t>(s), i});
                    }
                }
                if (!steps[s].contains("f"))
                    continue;
                for (const auto& [index, runs] : steps[s]["f"].items())
                {
                    const auto i = std::stoul(index);
                    if (i < step.tasks.size())
                        step.tasks[i].failed_runs =
                            runs.get<std::set<std::uint32_t>>();
                }
            }
        }
        return true;
    }
    catch (const std::exception&)
    {
        return false;
    }
}

void cell_job::mark_unresolved(std::uint32_t first)
{
    for (auto it = occurrences_.lower_bound(first); it != occurrences_.end();
         ++it)
    {
        auto& run = it->second;
        for (auto& step : run.steps)
        {
            for (auto& task : step.tasks)
            {
                if (task.state != cell_task_state::waiting)
                    continue;
                task.state = cell_task_state::unresolved;
                ++step.active;
            }
        }
    }
}

double cell_job::remaining_core_ms() const
{
    if (!remaining_core_ms_)
        remaining_core_ms_ = compute_remaining_core_ms();
    return *remaining_core_ms_;
}

double cell_job::compute_remaining_core_ms() const
{
    double work = 0;
    for (const auto& [number, run] : occurrences_)
    {
        for (std::size_t s = 0; s < run.steps.size(); ++s)
        {
            const auto& spec = spec_.steps[s];
            const auto left = run.steps[s].tasks.size() - run.steps[s].done;
            work += static_cast<double>(left) *
                    static_cast<double>(spec.amount.cpu_millis) / 1000.0 *
                    static_cast<double>(estimated_task_ms(spec));
        }
    }
    return work;
}

std::int64_t cell_job::critical_path_ms() const
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const auto& step : spec_.steps)
    {
        std::int64_t start = 0;
        for (const auto before : step.depends_on)
            start = std::max(start, ends[before]);
        ends.push_back(start + estimated_task_ms(step));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace carobcourse
