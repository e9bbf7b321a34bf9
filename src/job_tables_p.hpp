/// Names of the job tables and of their keys.
#pragma once

#include <cstdint>
#include <string>

namespace carobcourse::job_tables
{

constexpr char jobs[] = "jobs";       // <shard>/<job>
constexpr char homes[] = "job_home";  // <job>
constexpr char inbox[] = "job_inbox"; // <shard>/<job> or <shard>/<job>!cancel
constexpr char cancel_suffix[] = "!cancel";

inline std::string shard_name(const std::string& data_centre,
                              std::uint32_t index)
{
    return data_centre + "." + std::to_string(index);
}

inline std::string job_key(const std::string& shard, const std::string& job)
{
    return shard + "/" + job;
}

} // namespace carobcourse::job_tables
