// Reading the state of the cell at a takeover.
#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Row of table `cell` with the ids of the workers that the owner holds.
constexpr char lease_key[] = "leases";

/// A job is worth something until this many times its objective.
constexpr int late_factor = 3;

} // namespace

std::string cell_owner::table_of(load_part part) const
{
    switch (part)
    {
    case load_part::meta:
        return cell_table::owner;
    case load_part::jobs:
        return cell_table::job;
    case load_part::progress:
        return cell_table::progress;
    case load_part::ended:
        return cell_table::ended;
    case load_part::workers:
    case load_part::count:
        break;
    }
    return context_.outside.worker_table();
}

void cell_owner::scan(load_part part, std::string after)
{
    loads_.emplace(context_.scan(table_of(part), std::move(after)), part);
}

void cell_owner::on_loaded(time_point now, load_part part,
                           const store_result& result)
{
    if (result.status != store_status::ok)
    {
        scan(part, "");
        return;
    }
    load_rows(now, part, result.rows);
    if (result.more && !result.rows.empty())
    {
        scan(part, result.rows.back().key);
        return;
    }
    if (part == load_part::workers)
    {
        worker_version_ = result.version;
        worker_watch_.reset();
        next_worker_watch_ = now;
    }
    loaded_parts_.insert(part);
    if (!loaded_ &&
        loaded_parts_.size() == static_cast<std::size_t>(load_part::count))
        finish_load(now);
}

void cell_owner::load_rows(time_point now, load_part part,
                           const std::vector<carobcourse::row>& rows)
{
    for (const auto& row : rows)
    {
        const auto value = json::parse(row.value, nullptr, false);
        switch (part)
        {
        case load_part::meta:
            if (row.key == lease_key && value.is_array())
            {
                for (const auto& id : value)
                    if (id.is_string())
                        unresolved_.insert(id.get<std::string>());
                leased_ = unresolved_;
            }
            break;
        case load_part::jobs:
            if (auto job = cell_job::from_text(row.key, row.value))
            {
                job->durable = true;
                jobs_.emplace(row.key, std::move(job));
            }
            else
                context_.log(log_code::cell_row_unreadable,
                             fmt::format("job={}", row.key));
            break;
        case load_part::progress:
            loaded_progress_[row.key] = row.value;
            break;
        case load_part::ended:
            if (value.is_object())
            {
                const auto phase =
                    job_phase_from(value.value("p", std::string()));
                if (phase)
                    ended_[row.key] = {*phase,
                                       value.value("t", std::int64_t{0})};
            }
            break;
        case load_part::workers:
        case load_part::count:
            apply_worker_row(now, row.key, row.value);
            break;
        }
    }
}

void cell_owner::finish_load(time_point now)
{
    loaded_ = true;
    for (auto at = jobs_.begin(); at != jobs_.end();)
    {
        if (ended_.count(at->first))
        {
            discard_rows(at->first);
            at = jobs_.erase(at);
            continue;
        }
        auto& job = *at->second;
        const auto progress = loaded_progress_.find(job.id());
        if (progress != loaded_progress_.end() &&
            !job.read_progress(progress->second))
            context_.log(log_code::cell_row_unreadable,
                         fmt::format("progress={}", job.id()));
        job.add_due_occurrences(context_.unix_ms);
        job.mark_unresolved();
        set_objective(now, job);
        ++at;
    }
    loaded_progress_.clear();
    for (const auto& [id, worker] : workers_.all())
        unresolved_.insert(id);
    context_.log(log_code::cell_loaded,
                 fmt::format("epoch={} jobs={} ended={} workers={} after_us={}",
                             row().epoch, jobs_.size(), ended_.size(),
                             workers_.all().size(),
                             (now - claimed_at_).count()));
    for (auto& job : jobs_)
        if (is_final(job.second->phase()))
            dirty_.insert(job.first);
    const auto held_back = std::exchange(held_back_, {});
    for (const auto& [host, item] : held_back)
        on_front_call(now, host, item);
    record_leases();
    dispatch_due_ = true;
}

void cell_owner::set_objective(time_point now, cell_job& job)
{
    const auto* queue =
        context_.config ? context_.config->queue_named(job.queue()) : nullptr;
    const auto age =
        std::max<std::int64_t>(0, context_.unix_ms - job.accepted_unix_ms());
    const auto chain = static_cast<double>(job.critical_path_ms());
    const auto aim = std::chrono::milliseconds(
        queue ? static_cast<std::int64_t>(queue->stretch * chain) +
                    queue->slack_ms
              : static_cast<std::int64_t>(chain));
    const auto start = now - std::chrono::milliseconds(age);
    job.objective = start + aim;
    job.hard_deadline = start + aim * late_factor;
}

void cell_owner::record_leases()
{
    std::set<std::string> ids;
    for (const auto& [id, worker] : workers_.all())
        ids.insert(id);
    if (ids == leased_)
        return;
    leased_ = std::move(ids);
    journal_.write(cell_table::owner, lease_key, json(leased_).dump());
}

} // namespace carobcourse
