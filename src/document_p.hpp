/// Team documents: what a service needs, who may submit, how far a team may
/// grow.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace carobcourse
{

/// One problem found in a settings file or document.
struct problem
{
    std::string file;
    int line = 0; ///< From 1; 0 when the place is not known.
    std::string key;
    result_code code = result_code::invalid_document;
    std::string detail;
};

/// Returns "FILE:LINE: CC-nnnn KEY: DETAIL".
std::string to_string(const problem& value);

/// A queue for requests that a team offers to others.
struct service_queue
{
    std::string name;
    bool open = false; ///< Anybody may send requests, without a key.
    std::vector<std::string> submitters; ///< Teams beside the owner.
    /// Lower runs first among the requests of one team, 0 to 9.
    std::int64_t priority = 5;

    friend bool operator==(const service_queue& a, const service_queue& b)
    {
        return a.name == b.name && a.open == b.open &&
               a.submitters == b.submitters && a.priority == b.priority;
    }
};

/// What one team declares.
struct team_document
{
    std::string team;
    /// Version that this text is based on; 0 for a new team.
    std::uint64_t base_version = 0;
    std::int64_t weight = 1; ///< Share of the team when the cell is full.
    resources limit;         ///< Most that may run at once, fleet wide.
    /// After the limit is lowered, stop the newest tasks above it.
    bool stop_excess = false;
    std::vector<service_queue> services;

    friend bool operator==(const team_document& a, const team_document& b)
    {
        return a.team == b.team && a.weight == b.weight && a.limit == b.limit &&
               a.stop_excess == b.stop_excess && a.services == b.services;
    }
    friend bool operator!=(const team_document& a, const team_document& b)
    {
        return !(a == b);
    }
};

/// Parses TOML text. Returns every problem at once when there is one.
/// Thread safe.
tl::expected<team_document, std::vector<problem>>
parse_team_document(const std::string& text, const std::string& file);

/// JSON text as kept in the table, without the base version.
std::string to_json_text(const team_document& document);

/// Reads what `to_json_text` wrote. Unknown members are ignored.
tl::expected<team_document, error>
team_document_from_json(const std::string& text);

/// True for a name of 1 to 63 characters: lower case letters, digits, '-'
/// and '_', not starting with '-'.
bool is_valid_name(const std::string& name);

} // namespace carobcourse
