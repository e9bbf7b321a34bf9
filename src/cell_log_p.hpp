/// The log in which the owner of the cell stores its jobs: rows of a table of
/// the store, each with many entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carobcourse
{

/// What an entry of the log says of a job. The values are stored.
enum class log_entry_kind : char
{
    job = 'j',      ///< The job as submitted.
    progress = 'p', ///< Replaces the earlier progress of the job.
    ended = 'e',    ///< The final phase. Ends all other entries of the job.
    forgotten = 'x' ///< Ends all entries of the job; has no text.
};

/// One entry of the log.
struct log_entry
{
    log_entry_kind kind = log_entry_kind::job;
    std::string job;  ///< Id of the job; has no space.
    std::string text; ///< JSON without line breaks.

    friend bool operator==(const log_entry& a, const log_entry& b)
    {
        return a.kind == b.kind && a.job == b.job && a.text == b.text;
    }
};

/// Returns the line that stores the entry.
std::string to_line(const log_entry& entry);
/// Returns the entries of the row in order. Lines that can not be read are
/// left out and counted in `unreadable`.
std::vector<log_entry> parse_log_row(const std::string& text,
                                     std::size_t& unreadable);
/// Keys sort by number.
std::string log_row_key(std::uint64_t number);
/// Returns nothing when `key` is not the key of a row of the log.
std::optional<std::uint64_t> parse_log_row_key(const std::string& key);

/// The rows of the log as they are in the store, and the entries in them that
/// are in force. Rows are only added at the end and removed from the start, so
/// an entry that ends others is never removed before them. Used by the core
/// thread only.
class cell_log
{
public:
    /// Takes a row that is in the store. Precondition: `number` is higher than
    /// that of every row before.
    void add_row(std::uint64_t number, std::vector<log_entry> entries);
    /// Takes note that a row has been removed.
    void remove_row(std::uint64_t number);

    /// Number of the next row.
    std::uint64_t next_number() const
    {
        return next_number_;
    }
    /// Returns the first rows, none of which has an entry in force, at most
    /// `max_rows`.
    std::vector<std::uint64_t> removable_rows(std::size_t max_rows) const;
    /// Returns entries in force of the first rows, about `max_bytes` of them,
    /// which are to be written again so that the rows can be removed. Returns
    /// nothing while entries in force take up half of the log.
    std::vector<log_entry> entries_to_rewrite(std::size_t max_bytes) const;
    /// Calls `visit` with each entry in force: ended jobs first, then jobs,
    /// then progress.
    void
    for_each(const std::function<void(const log_entry& entry)>& visit) const;

private:
    using entry_key = std::pair<log_entry_kind, std::string>;
    struct entry_in_force
    {
        std::uint64_t row = 0;
        std::string text;
    };
    struct row_state
    {
        std::size_t bytes = 0;
        std::size_t in_force = 0; ///< Number of its entries in force.
        std::vector<entry_key> keys;
    };

    void apply(std::uint64_t row, log_entry entry);
    void end_entry(const entry_key& key);

    std::map<std::uint64_t, row_state> rows_;
    std::map<entry_key, entry_in_force> entries_;
    std::size_t total_bytes_ = 0;
    std::size_t bytes_in_force_ = 0;
    std::uint64_t next_number_ = 1;
};

} // namespace carobcourse
