/// Names and keys of the tables that hold the configuration.
#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <string>

namespace carobcourse::config_tables
{

constexpr char entries_table[] = "config";
constexpr char log_table[] = "config_log";
constexpr char head_table[] = "config_head";
constexpr char head_key[] = "head";
/// Registered entry hosts; each commit of a change rewrites the writer's row.
constexpr char member_table[] = "member";

/// Key of the log row of a version. Keys sort as versions do.
inline std::string log_key(std::uint64_t version)
{
    return fmt::format("{:020}", version);
}

} // namespace carobcourse::config_tables
