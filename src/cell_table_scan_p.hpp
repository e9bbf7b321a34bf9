/// Pages of a scan of one table.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cell_limits_p.hpp"
#include "event_p.hpp"

namespace carobcourse
{

/// Number of rows that a page of a scan asks for. It doubles until a page does
/// not arrive in time, halves with each such page and then grows by a quarter,
/// so that a host on a slow link reads a table of any size. Not thread safe.
class scan_page_limit
{
public:
    std::size_t rows() const
    {
        return rows_;
    }
    /// A page of `rows()` rows or fewer has arrived.
    void on_page_read()
    {
        const auto step = has_failed_ ? rows_ / 4 + 1 : rows_;
        rows_ = std::min(rows_ + step, config::cell_scan_page_rows);
    }
    /// A page of `rows()` rows has not arrived in time.
    void on_page_late()
    {
        has_failed_ = true;
        rows_ = std::max<std::size_t>(rows_ / 2, 1);
    }

private:
    std::size_t rows_ = config::cell_first_scan_page_rows;
    bool has_failed_ = false;
};

/// Collects the pages of one scan. Each page holds the table as of another
/// moment, so the rows count as of the oldest page: a watch from that version
/// on repeats what later pages have had, and misses nothing. Not thread safe.
class table_scan
{
public:
    /// Drops the pages: the scan starts again.
    void clear()
    {
        rows_.clear();
        version_ = 0;
        is_started_ = false;
    }
    /// Adds the next page. Returns whether another one follows, which starts
    /// behind the key `rows().back().key`.
    bool add(const store_result& page)
    {
        version_ =
            is_started_ ? std::min(version_, page.version) : page.version;
        is_started_ = true;
        rows_.insert(rows_.end(), page.rows.begin(), page.rows.end());
        return page.more && !page.rows.empty();
    }
    /// Version of the table that the oldest page holds.
    std::uint64_t version() const
    {
        return version_;
    }
    const std::vector<row>& rows() const
    {
        return rows_;
    }

private:
    std::vector<row> rows_;
    std::uint64_t version_ = 0;
    bool is_started_ = false;
};

} // namespace carobcourse
