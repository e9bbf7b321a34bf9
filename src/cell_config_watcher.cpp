#include "cell_config_watcher_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>
#include <vector>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// The table is read once more this long after its history was lost or a row
/// could not be read: a read of that time may have been behind.
constexpr auto rescan_delay = std::chrono::seconds(3);
/// A host whose evidence from the owner is older confirms the configuration by
/// itself. Covers the owner's own evidence and two heartbeats.
constexpr auto max_owner_evidence_age = std::chrono::milliseconds(1500);
/// Time for which the store may deliver a version that another host has shown
/// before that host is asked for it.
constexpr auto row_request_delay = std::chrono::milliseconds(100);
/// Time until that host is asked again. All hosts may ask the owner at once
/// while the store is slow.
constexpr auto row_request_repeat_delay = std::chrono::milliseconds(500);

} // namespace

void cell_config_watcher::request_page(std::string after)
{
    if (after.empty())
        scan_.clear();
    pending_op_ = context_.request_scan(context_.external_rows.operator_table(),
                                        std::move(after));
}

void cell_config_watcher::tick(time_point now)
{
    if (pending_op_ || now < next_request_at_)
        return;
    request_sent_at_ = now;
    if (!watching_ || (rescan_at_ && now >= *rescan_at_))
    {
        rescan_at_.reset();
        watching_ = false;
        request_page("");
        return;
    }
    // The age of what a watch confirms reaches twice its wait.
    const bool has_other_evidence =
        now <= owner_evidence_at_ + max_owner_evidence_age;
    pending_op_ = context_.request_watch(
        context_.external_rows.operator_table(), version_,
        has_other_evidence ? config::cell_max_watch_wait
                           : config::cell_max_confirming_watch_wait);
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
    if (scan_.add(result))
    {
        request_page(scan_.rows().back().key);
        return true;
    }
    if (!apply_scan())
    {
        report_read_behind(now, scan_.version());
        return true;
    }
    watching_ = true;
    set_confirmed_by_store();
    return true;
}

bool cell_config_watcher::apply_scan()
{
    if (scan_.version() < version_)
        return false;
    std::set<std::string> evacuated;
    std::vector<decoded_row> configs;
    for (const auto& row : scan_.rows())
    {
        const auto data_centre =
            context_.external_rows.evacuated_data_centre(row.key);
        if (!data_centre.empty())
            evacuated.insert(data_centre);
        else if (auto config = decode(row.key, row.value))
            configs.push_back({row.key, row.value, std::move(config)});
    }
    for (const auto& row : configs)
        if (row.config->version() < version())
            return false;
    for (const auto& row : configs)
        apply(row);
    set_evacuated(std::move(evacuated));
    version_ = scan_.version();
    scan_.clear();
    return true;
}

bool cell_config_watcher::on_watch(time_point now, const watch_result& result)
{
    if (!pending_op_ || !(*pending_op_ == result.op))
        return false;
    pending_op_.reset();
    if (result.history_lost)
    {
        // Reads that are behind lose their history again and again.
        if (now < history_lost_at_ + rescan_delay)
            next_request_at_ = now + config::cell_store_retry_delay;
        history_lost_at_ = now;
        watching_ = false;
        rescan_at_ = now + rescan_delay;
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
    if (result.version < version_)
    {
        report_read_behind(now, result.version);
        return true;
    }
    auto evacuated = context_.evacuated_data_centres;
    for (const auto& row : result.rows)
    {
        const auto data_centre =
            context_.external_rows.evacuated_data_centre(row.key);
        if (!data_centre.empty())
            evacuated.insert(data_centre);
        else if (auto config = decode(row.key, row.value))
            apply({row.key, row.value, std::move(config)});
    }
    for (const auto& key : result.removed)
        evacuated.erase(context_.external_rows.evacuated_data_centre(key));
    set_evacuated(std::move(evacuated));
    version_ = result.version;
    set_confirmed_by_store();
    return true;
}

void cell_config_watcher::report_read_behind(time_point now,
                                             std::uint64_t read_version)
{
    context_.report_read_behind(context_.external_rows.operator_table(),
                                read_version, version_);
    next_request_at_ = now + config::cell_store_retry_delay;
}

void cell_config_watcher::on_version_heard(time_point now,
                                           const std::string& from,
                                           std::uint64_t version)
{
    if (version <= this->version() || version < known_version_)
        return;
    newer_host_ = from;
    if (version == known_version_)
        return;
    known_version_ = version;
    next_row_request_at_ = now + row_request_delay;
    context_.log(log_code::cell_config_superseded,
                 fmt::format("version={} heard={} from={}", this->version(),
                             version, from));
}

void cell_config_watcher::confirm(std::uint64_t version, time_point as_of)
{
    if (!context_.config || version != this->version())
        return;
    set_confirmed(as_of, "owner");
    owner_evidence_at_ = std::max(owner_evidence_at_, as_of);
}

void cell_config_watcher::set_confirmed_by_store()
{
    store_read_at_ = std::max(store_read_at_, request_sent_at_);
    // The version before an unreadable one stays in force, but nothing is
    // refused for good by it.
    if (!is_newest_unreadable_)
        set_confirmed(request_sent_at_, "store");
}

void cell_config_watcher::set_confirmed(time_point as_of, const char* by)
{
    if (as_of <= confirmed_at_)
        return;
    confirmed_at_ = as_of;
    confirmed_by_ = by;
}

void cell_config_watcher::on_row_received(const std::string& key,
                                          const std::string& value)
{
    if (auto config = decode(key, value))
        apply({key, value, std::move(config)});
}

std::optional<std::string> cell_config_watcher::next_row_request(time_point now)
{
    if (!is_superseded() || now < next_row_request_at_)
        return std::nullopt;
    next_row_request_at_ = now + row_request_repeat_delay;
    return newer_host_;
}

cell_config_ptr cell_config_watcher::decode(const std::string& key,
                                            const std::string& value)
{
    auto config = context_.external_rows.read_config(key, value);
    if (config)
    {
        if (*config)
            is_newest_unreadable_ = false;
        return std::move(*config);
    }
    is_newest_unreadable_ = true;
    context_.counters.count("carobcourse_config_unreadable_total");
    context_.log(log_code::cell_row_unreadable,
                 fmt::format("row={} config={} {}", key, version(),
                             config.error().detail));
    rescan_at_ = request_sent_at_ + rescan_delay;
    return nullptr;
}

void cell_config_watcher::apply(const decoded_row& row)
{
    // A scan or watch may return the row as it was before a change that is
    // already applied; it must not undo that change.
    if (context_.config && row.config->version() <= version())
        return;
    context_.config = row.config;
    row_ = {row.key, row.value};
    context_.counters.gauge("carobcourse_config_version",
                            static_cast<double>(version()));
    context_.log(log_code::config_applied,
                 fmt::format("version={} queues={}", version(),
                             context_.config->queues().size()));
}

void cell_config_watcher::set_evacuated(std::set<std::string> data_centres)
{
    if (data_centres == context_.evacuated_data_centres)
        return;
    context_.evacuated_data_centres = std::move(data_centres);
    context_.log(log_code::cell_evacuation,
                 fmt::format("out=[{}]",
                             fmt::join(context_.evacuated_data_centres, ",")));
}

} // namespace carobcourse
