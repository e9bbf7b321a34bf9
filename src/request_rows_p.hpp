/// Removes expired rows from the stored table `idempotency`.
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

/// Removes a row only after this process has known it unchanged for the whole
/// retention time on its own clock, because the clocks of different hosts are
/// not compared. Each removal requires the known version, so a row rewritten in
/// the meantime stays. Rows inserted by this host are known from their insert;
/// one entry host also scans the table for the rows of hosts that have left.
/// Not thread safe.
class request_rows
{
public:
    explicit request_rows(core_context& context);

    /// Registers a row that this host has just inserted, for removal after the
    /// retention time.
    void add_own_row(time_point now, std::string key, std::uint64_t version);

    /// Starts or stops scanning the table for rows of other hosts. Stopping
    /// discards what the scan has observed.
    void set_scanning(bool scanning);

    /// Sends the removals and scans that are due.
    void on_tick(time_point now);
    /// Returns false if the result belongs to an operation of another
    /// component.
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
    std::deque<known_row> own_rows_;     ///< Ordered by due time.
    std::deque<known_row> expired_rows_; ///< Rows due for removal.
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
