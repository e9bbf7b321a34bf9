#include "cell_config_watcher_p.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

void cell_config_watcher::scan(std::string after)
{
    if (after.empty())
        scanned_rows_.clear();
    pending_op_ = context_.request_scan(context_.external_rows.operator_table(),
                                        std::move(after));
}

void cell_config_watcher::tick(time_point now)
{
    if (pending_op_ || now < next_request_at_)
        return;
    request_sent_at_ = now;
    if (!watching_)
    {
        scan("");
        return;
    }
    pending_op_ = context_.request_watch(
        context_.external_rows.operator_table(), version_);
}

bool cell_config_watcher::on_store(time_point now, const store_result& result)
{
    if (!pending_op_ || !(*pending_op_ == result.op))
        return false;
    pending_op_.reset();
    if (result.status != store_status::ok)
    {
        next_request_at_ = now + config::cell_store_retry_delay;
        return true;
    }
    for (const auto& row : result.rows)
        scanned_rows_[row.key] = row.value;
    if (result.more && !result.rows.empty())
    {
        scan(result.rows.back().key);
        return true;
    }
    const auto evacuated_before = context_.evacuated_data_centres;
    context_.evacuated_data_centres.clear();
    for (const auto& [key, value] : scanned_rows_)
        apply(key, value);
    if (evacuated_before != context_.evacuated_data_centres)
        context_.log(
            log_code::cell_evacuation,
            fmt::format("out=[{}]",
                        fmt::join(context_.evacuated_data_centres, ",")));
    scanned_rows_.clear();
    version_ = result.version;
    watching_ = true;
    confirmed_at_ = request_sent_at_;
    return true;
}

bool cell_config_watcher::on_watch(time_point now, const watch_result& result)
{
    if (!pending_op_ || !(*pending_op_ == result.op))
        return false;
    pending_op_.reset();
    if (result.history_lost)
    {
        watching_ = false;
        return true;
    }
    if (result.status != store_status::ok)
    {
        if (!watch_failing_)
            context_.log(
                log_code::store_down,
                fmt::format("watch of the operator table failed version={}",
                            version_));
        watch_failing_ = true;
        next_request_at_ = now + config::cell_store_retry_delay;
        return true;
    }
    if (watch_failing_)
        context_.log(log_code::store_up,
                     "watch of the operator table succeeds again");
    watch_failing_ = false;
    const auto evacuated_before = context_.evacuated_data_centres;
    for (const auto& row : result.rows)
        apply(row.key, row.value);
    for (const auto& key : result.removed)
        remove(key);
    if (evacuated_before != context_.evacuated_data_centres)
        context_.log(
            log_code::cell_evacuation,
            fmt::format("out=[{}]",
                        fmt::join(context_.evacuated_data_centres, ",")));
    version_ = std::max(version_, result.version);
    confirmed_at_ = request_sent_at_;
    return true;
}

void cell_config_watcher::apply(const std::string& key,
                                const std::string& value)
{
    const auto data_centre = context_.external_rows.evacuated_data_centre(key);
    if (!data_centre.empty())
    {
        context_.evacuated_data_centres.insert(data_centre);
        return;
    }
    auto config = context_.external_rows.read_config(key, value);
    if (!config)
    {
        context_.log(log_code::cell_row_unreadable,
                     fmt::format("row={} {}", key, config.error().detail));
        return;
    }
    if (!*config)
        return;
    // A scan or watch may return the row as it was before a change that is
    // already applied; it must not undo that change.
    if (context_.config && (*config)->version() <= context_.config->version())
        return;
    context_.config = std::move(*config);
    context_.log(log_code::config_applied,
                 fmt::format("version={} queues={}", context_.config->version(),
                             context_.config->queues().size()));
}

void cell_config_watcher::remove(const std::string& key)
{
    const auto data_centre = context_.external_rows.evacuated_data_centre(key);
    if (!data_centre.empty())
        context_.evacuated_data_centres.erase(data_centre);
}

} // namespace carobcourse
