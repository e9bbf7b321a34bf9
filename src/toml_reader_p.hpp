/// Typed access to a TOML table that collects every problem.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

#include "document_p.hpp"

namespace carobcourse
{

/// Reads one table; each member asked for is marked as known, so that
/// `finish` can report the rest.
class toml_reader
{
public:
    toml_reader(const toml::table& table, std::string prefix, std::string file,
                result_code code, std::vector<problem>& problems);

    std::string required_string(const char* key);
    std::string optional_string(const char* key, const std::string& fallback);
    std::int64_t required_integer(const char* key, std::int64_t low,
                                  std::int64_t high);
    std::int64_t optional_integer(const char* key, std::int64_t fallback,
                                  std::int64_t low, std::int64_t high);
    bool optional_bool(const char* key, bool fallback);
    std::vector<std::string> optional_strings(const char* key);
    /// Returns null when absent; reports a problem when it is no table.
    const toml::table* optional_table(const char* key);
    const toml::table* required_table(const char* key);
    std::vector<const toml::table*> optional_tables(const char* key);

    void report(const char* key, const std::string& detail);
    /// Reports each member that nothing asked for.
    void finish();

private:
    const toml::node* find(const char* key);
    int line_of(const char* key) const;

    const toml::table& table_;
    std::string prefix_;
    std::string file_;
    result_code code_;
    std::vector<problem>& problems_;
    std::set<std::string> known_;
};

} // namespace carobcourse
