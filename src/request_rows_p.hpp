/// Removal of rows of the table `idempotency` whose time is over.
#pragma once

#include <carobcourse/config.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core_context_p.hpp"

namespace carobcourse
{

/// Aggregate. Rules: a row is removed only after this process has known it
/// unchanged for the whole time, by its own clock, because clocks of hosts are
/// not compared; a row that was written again meanwhile is not removed, as the
/// removal names the version that was known. Rows that this host inserted are
/// known from the insert on. One host of all also scans the table, for rows
/// of hosts that are gone. Not thread safe.
class request_rows
{
public:
    explicit request_rows(core_context& context);

    /// Takes note of a row of this host that is in the table now.
    void add_own_row(time_point now, std::string key, std::uint64_t version);

    /// Begins or ends the scan of the table for rows of others.
    void set_scanning(bool scanning);

    void on_tick(time_point now);
    /// Returns false when the result belongs to another operation.
    bool on_store_result(time_point now, const store_result& result);

private:
    struct known_row
    {
        std::string key;
        std::uint64_t version = 0;
        time_point due;
    };
    struct observed_row
    {
        std::uint64_t version = 0;
        time_point first_seen;
        std::uint64_t pass = 0;
    };

    void remove_due(time_point now);
    void on_removed(const store_result& result);
    void scan_next(time_point now);
    void on_scanned(time_point now, const store_result& result);
    void on_row_scanned(time_point now, const row& seen);
    void end_pass();

    core_context& context_;
    std::deque<known_row> own_rows_;     ///< Earliest due first.
    std::deque<known_row> expired_rows_; ///< To be removed as soon as possible.
    std::vector<known_row> batch_;
    std::optional<op_id> commit_;
    time_point next_removal_;

    bool scanning_ = false;
    std::map<std::string, observed_row> observed_rows_;
    std::uint64_t pass_ = 0;
    std::string scan_cursor_;
    std::optional<op_id> scan_;
    time_point next_scan_;
};

} // namespace carobcourse
