/// Keeps the configuration and the evacuated data centres up to date with the
/// table of the operator.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <optional>
#include <string>

#include "cell_context_p.hpp"

namespace carobcourse
{

/// Scans the table of the operator once and then watches it for changes.
/// Writes `cell_context::config` and `cell_context::evacuated_data_centres`. At
/// most one store operation is pending. Used by the core thread only.
class cell_config_watcher
{
public:
    explicit cell_config_watcher(cell_context& context) : context_(context) {}

    /// Starts the next scan or watch when none is pending and it is due.
    void tick(time_point now);
    /// Returns whether `result` answers an operation of this object; other
    /// results are ignored.
    bool on_store(time_point now, const store_result& result);
    /// As for `on_store`.
    bool on_watch(time_point now, const watch_result& result);
    /// Latest time at which the applied rows are known to have been those of
    /// the store.
    time_point confirmed_at() const
    {
        return confirmed_at_;
    }

private:
    /// Applies a row that was written. A configuration that is unreadable or
    /// not newer than the current one is skipped.
    void apply(const std::string& key, const std::string& value);
    /// Applies the removal of a row.
    void remove(const std::string& key);
    /// Requests the page behind the key `after`; an empty key restarts the
    /// scan.
    void scan(std::string after);

    cell_context& context_;
    std::optional<op_id> pending_op_;
    time_point request_sent_at_;
    time_point next_request_at_;
    time_point confirmed_at_;
    std::uint64_t version_ = 0; ///< Version of the table that is applied.
    bool watching_ = false;     ///< False: the table must be scanned first.
    bool watch_failing_ = false;
    /// Rows that the scan in progress has read so far, by key.
    std::map<std::string, std::string> scanned_rows_;
};

} // namespace carobcourse
