#include "cell_log_p.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

constexpr std::size_t key_digits = 20;
/// Bytes of a line besides the id and the text: kind, two spaces, line break.
constexpr std::size_t line_overhead = 4;

std::size_t size_of(const std::string& job, const std::string& text)
{
    return job.size() + text.size() + line_overhead;
}

bool is_kind(char kind)
{
    switch (static_cast<log_entry_kind>(kind))
    {
    case log_entry_kind::job:
    case log_entry_kind::progress:
    case log_entry_kind::ended:
    case log_entry_kind::forgotten:
        return true;
    }
    return false;
}

} // namespace

std::string to_line(const log_entry& entry)
{
    std::string line;
    line.reserve(size_of(entry.job, entry.text));
    line += static_cast<char>(entry.kind);
    line += ' ';
    line += entry.job;
    line += ' ';
    line += entry.text;
    line += '\n';
    return line;
}

std::vector<log_entry> parse_log_row(const std::string& text,
                                     std::size_t& unreadable)
{
    std::vector<log_entry> entries;
    for (std::size_t begin = 0; begin < text.size();)
    {
        const auto end = std::min(text.find('\n', begin), text.size());
        const auto id_end = text.find(' ', begin + 2);
        if (id_end < end && id_end > begin + 2 && text[begin + 1] == ' ' &&
            is_kind(text[begin]))
            entries.push_back({static_cast<log_entry_kind>(text[begin]),
                               text.substr(begin + 2, id_end - begin - 2),
                               text.substr(id_end + 1, end - id_end - 1)});
        else
            ++unreadable;
        begin = end + 1;
    }
    return entries;
}

std::string log_row_key(std::uint64_t number)
{
    return fmt::format("{:0{}}", number, key_digits);
}

std::optional<std::uint64_t> parse_log_row_key(const std::string& key)
{
    // Numbers with all digits are never reached and may not fit the type.
    if (key.size() != key_digits || key.front() != '0' ||
        key.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(key);
}

void cell_log::add_row(std::uint64_t number, std::vector<log_entry> entries)
{
    auto& row = rows_[number];
    row.bytes = config::cell_log_row_overhead;
    next_number_ = number + 1;
    for (auto& entry : entries)
    {
        row.bytes += size_of(entry.job, entry.text);
        apply(number, std::move(entry));
    }
    total_bytes_ += row.bytes;
}

void cell_log::apply(std::uint64_t row, log_entry entry)
{
    end_entry({entry.kind, entry.job});
    if (entry.kind == log_entry_kind::ended ||
        entry.kind == log_entry_kind::forgotten)
    {
        end_entry({log_entry_kind::job, entry.job});
        end_entry({log_entry_kind::progress, entry.job});
        end_entry({log_entry_kind::ended, entry.job});
    }
    if (entry.kind == log_entry_kind::forgotten)
        return;
    bytes_in_force_ += size_of(entry.job, entry.text);
    auto& state = rows_[row];
    ++state.in_force;
    entry_key key{entry.kind, std::move(entry.job)};
    state.keys.push_back(key);
    entries_[std::move(key)] = {row, std::move(entry.text)};
}

void cell_log::end_entry(const entry_key& key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    bytes_in_force_ -= size_of(key.second, found->second.text);
    --rows_[found->second.row].in_force;
    entries_.erase(found);
}

void cell_log::remove_row(std::uint64_t number)
{
    const auto found = rows_.find(number);
    if (found == rows_.end())
        return;
    total_bytes_ -= found->second.bytes;
    rows_.erase(found);
}

std::vector<std::uint64_t> cell_log::removable_rows(std::size_t max_rows) const
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, row] : rows_)
    {
        // The last row stays, so that the numbers go on after a takeover.
        if (row.in_force > 0 || numbers.size() == max_rows ||
            number + 1 == next_number_)
            break;
        numbers.push_back(number);
    }
    return numbers;
}

std::vector<log_entry> cell_log::entries_to_rewrite(std::size_t max_bytes) const
{
    std::vector<log_entry> result;
    if (total_bytes_ <= 2 * bytes_in_force_ + config::cell_log_spare_bytes)
        return result;
    std::size_t bytes = 0;
    for (const auto& [number, row] : rows_)
    {
        if (bytes >= max_bytes)
            break;
        for (const auto& key : row.keys)
        {
            const auto found = entries_.find(key);
            if (found == entries_.end() || found->second.row != number)
                continue;
            result.push_back({key.first, key.second, found->second.text});
            bytes += size_of(key.second, found->second.text);
        }
    }
    return result;
}

void cell_log::for_each(
    const std::function<void(const log_entry& entry)>& visit) const
{
    for (const auto kind :
         {log_entry_kind::ended, log_entry_kind::job, log_entry_kind::progress})
        for (auto it = entries_.lower_bound({kind, ""});
             it != entries_.end() && it->first.first == kind; ++it)
            visit({kind, it->first.second, it->second.text});
}

} // namespace carobcourse
