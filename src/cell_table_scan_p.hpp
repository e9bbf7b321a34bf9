/// Pages of a scan of one table.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "event_p.hpp"

namespace carobcourse
{

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
