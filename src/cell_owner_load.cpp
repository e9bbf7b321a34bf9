// Reads the state of the cell when this host becomes the owner.
#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Row of table `cell` with the ids of the workers that may hold a lease.
constexpr char leased_workers_key[] = "leases";

/// A result is useless to the caller after this many times the response time
/// that the objective allows.
constexpr int late_end_factor = 3;

} // namespace

/// Returns nothing when the text of the entry can not be read.
std::optional<cell_owner::ended_job>
cell_owner::parse_ended_job(const std::string& text)
{
    const auto value = json::parse(text, nullptr, false);
    try
    {
        const auto phase = parse_job_phase(value.at("p").get<std::string>());
        if (phase)
            return ended_job{*phase, value.at("t").get<std::int64_t>()};
    }
    catch (const json::exception&)
    {
        // The caller logs the row.
    }
    return std::nullopt;
}

std::string cell_owner::table_name(state_table table) const
{
    switch (table)
    {
    case state_table::owner:
        return cell_table::owner;
    case state_table::log:
        return cell_table::log;
    case state_table::workers:
    case state_table::count:
        break;
    }
    return context_.external_rows.worker_table();
}

void cell_owner::request_page(table_page page)
{
    const auto op = context_.request_scan(table_name(page.table), page.after,
                                          page_limit_.rows());
    pending_pages_.emplace(op, std::move(page));
}

void cell_owner::on_page_failed(time_point now, const table_page& page,
                                const store_result& result)
{
    const bool is_late = result.status == store_status::unknown;
    context_.counters.count("carobcourse_scan_pages_failed_total",
                            table_name(page.table));
    context_.log(log_code::store_down,
                 fmt::format("a page was not read table={} after={} rows={} "
                             "late={} loaded={}",
                             table_name(page.table), page.after,
                             page_limit_.rows(), is_late, loaded_));
    if (is_late)
        page_limit_.on_page_late();
    failed_pages_.emplace_back(now + config::cell_store_retry_delay, page);
}

void cell_owner::repeat_failed_pages(time_point now)
{
    for (auto& [at, page] : std::exchange(failed_pages_, {}))
    {
        if (now < at)
            failed_pages_.emplace_back(at, std::move(page));
        else
            request_page(std::move(page));
    }
}

void cell_owner::on_page(time_point now, const table_page& page,
                         const store_result& result)
{
    if (result.status != store_status::ok)
    {
        on_page_failed(now, page, result);
        return;
    }
    page_limit_.on_page_read();
    const auto table = page.table;
    if (table == state_table::workers)
        worker_scan_.add(result);
    else
        load_rows(now, table, result.rows);
    if (result.more && !result.rows.empty())
    {
        request_page({table, result.rows.back().key});
        return;
    }
    if (table == state_table::workers && !finish_worker_scan(now))
        return;
    loaded_tables_.insert(table);
    if (!loaded_ &&
        loaded_tables_.size() == static_cast<std::size_t>(state_table::count))
        finish_load(now);
}

bool cell_owner::finish_worker_scan(time_point now)
{
    const auto scan = std::exchange(worker_scan_, {});
    if (scan.version() < worker_version_)
    {
        context_.report_read_behind(context_.external_rows.worker_table(),
                                    scan.version(), worker_version_);
        reread_workers_ = true;
        next_worker_watch_ = now + config::cell_store_retry_delay;
        return false;
    }
    std::set<std::string> listed;
    for (const auto& row : scan.rows())
        listed.insert(row.key);
    std::vector<std::string> unlisted;
    for (const auto& [id, worker] : workers_.all())
        if (listed.count(id) == 0)
            unlisted.push_back(id);
    for (const auto& id : unlisted)
        on_worker_unlisted(now, id);
    load_rows(now, state_table::workers, scan.rows());
    if (loaded_)
        write_leased_workers();
    worker_version_ = scan.version();
    worker_watch_.reset();
    next_worker_watch_ = now;
    return true;
}

void cell_owner::load_rows(time_point now, state_table table,
                           const std::vector<carobcourse::row>& rows)
{
    for (const auto& row : rows)
        load_row(now, table, row);
}

void cell_owner::load_row(time_point now, state_table table,
                          const carobcourse::row& row)
{
    try
    {
        switch (table)
        {
        case state_table::owner:
        {
            const auto value = row.key == leased_workers_key
                                   ? json::parse(row.value, nullptr, false)
                                   : json();
            if (value.is_array())
            {
                for (const auto& id : value)
                    if (id.is_string())
                        unresolved_workers_.insert(id.get<std::string>());
                leased_workers_ = unresolved_workers_;
            }
            if (row.key == worker_speeds_key)
                load_speeds(row);
            break;
        }
        case state_table::log:
            load_log_row(row);
            break;
        case state_table::workers:
        case state_table::count:
            apply_worker_row(now, row.key, row.value);
            break;
        }
    }
    catch (const json::exception& e)
    {
        context_.log(
            log_code::cell_row_unreadable,
            fmt::format("table={} key={} {}", row.table, row.key, e.what()));
    }
}

void cell_owner::load_log_row(const carobcourse::row& row)
{
    const auto number = parse_log_row_key(row.key);
    std::size_t unreadable = number ? 0 : 1;
    auto entries = number ? parse_log_row(row.value, unreadable)
                          : std::vector<log_entry>();
    // An end that can not be read must not take the job out of the log.
    const auto last =
        std::remove_if(entries.begin(), entries.end(),
                       [](const log_entry& entry)
                       {
                           return entry.kind == log_entry_kind::ended &&
                                  !parse_ended_job(entry.text);
                       });
    unreadable += static_cast<std::size_t>(entries.end() - last);
    entries.erase(last, entries.end());
    if (unreadable > 0)
        context_.log(log_code::cell_row_unreadable,
                     fmt::format("table={} key={} entries={}", row.table,
                                 row.key, unreadable));
    if (number)
        loaded_log_rows_[*number] = std::move(entries);
}

void cell_owner::load_log_entry(const log_entry& entry)
{
    bool readable = true;
    switch (entry.kind)
    {
    case log_entry_kind::ended:
        if (const auto ended = parse_ended_job(entry.text))
            ended_jobs_[entry.job] = *ended;
        break;
    case log_entry_kind::job:
        if (auto job = cell_job::from_text(entry.job, entry.text))
        {
            job->durable = true;
            job->memory = {job_memory_, job->customer(),
                           estimate_job_bytes(job->spec())};
            jobs_.emplace(entry.job, std::move(job));
        }
        else
            readable = false;
        break;
    case log_entry_kind::progress:
        if (auto* job = find_job(entry.job))
            readable = job->read_progress(entry.text);
        break;
    case log_entry_kind::forgotten:
        break;
    }
    if (!readable)
        context_.log(log_code::cell_row_unreadable,
                     fmt::format("kind={} job={}",
                                 static_cast<char>(entry.kind), entry.job));
}

void cell_owner::finish_load(time_point now)
{
    loaded_ = true;
    // Not before: commits go on meanwhile, and one that knows a part of the log
    // would write over rows that are not read yet.
    for (auto& [number, entries] : std::exchange(loaded_log_rows_, {}))
        journal_.load_log_row(number, std::move(entries));
    journal_.log().for_each([this](const log_entry& entry)
                            { load_log_entry(entry); });
    for (auto& [id, job] : jobs_)
    {
        job->add_due_occurrences(context_.wall_clock_ms);
        job->mark_unresolved();
        set_objective(now, *job);
        settle_by_config(now, *job);
    }
    for (const auto& [id, worker] : workers_.all())
        unresolved_workers_.insert(id);
    context_.log(log_code::cell_loaded,
                 fmt::format("epoch={} jobs={} ended={} workers={} after_us={}",
                             row().epoch, jobs_.size(), ended_jobs_.size(),
                             workers_.all().size(),
                             (now - claimed_at_).count()));
    for (auto& job : jobs_)
        if (is_final(job.second->phase()))
            dirty_jobs_.insert(job.first);
    const auto deferred = std::exchange(deferred_requests_, {});
    for (const auto& [host, item] : deferred)
        on_caller_request(now, host, item);
    write_leased_workers();
    dispatch_due_ = true;
}

void cell_owner::on_config_changed(time_point now)
{
    for (auto& [id, job] : jobs_)
        settle_by_config(now, *job);
}

void cell_owner::settle_by_config(time_point now, cell_job& job)
{
    const auto* queue = find_queue(job);
    if (!queue || is_final(job.phase()))
        return;
    if (!job.has_queue_objective)
        set_objective(now, job);
    if (!job.apply_attempt_limit(queue->max_attempts))
        return;
    dirty_jobs_.insert(job.id());
    stop_job_runs(now, job);
}

void cell_owner::set_objective(time_point now, cell_job& job)
{
    const auto* queue = find_queue(job);
    const auto age = std::max<std::int64_t>(0, context_.wall_clock_ms -
                                                   job.accepted_unix_ms());
    const auto chain = static_cast<double>(job.critical_path_ms());
    const auto response_time = std::chrono::milliseconds(
        queue ? static_cast<std::int64_t>(queue->stretch * chain) +
                    queue->slack_ms
              : static_cast<std::int64_t>(chain));
    const auto start = now - std::chrono::milliseconds(age);
    job.has_queue_objective = queue != nullptr;
    job.objective = start + response_time;
    job.hard_deadline = start + response_time * late_end_factor;
}

void cell_owner::write_leased_workers()
{
    // An earlier owner may have given leases to workers without a row.
    auto ids = unresolved_workers_;
    for (const auto& [id, worker] : workers_.all())
        ids.insert(id);
    if (ids == leased_workers_)
        return;
    leased_workers_ = std::move(ids);
    journal_.write_row(cell_table::owner, leased_workers_key,
                       json(leased_workers_).dump());
}

} // namespace carobcourse
