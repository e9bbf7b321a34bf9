/// Division of the workers of each data centre into shards.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "event_p.hpp"
#include "job_p.hpp"

namespace carobcourse
{

/// The workers of the host list by shard. Every data centre has the same
/// number of shards, so that each host names the shards of all data centres.
/// Not thread safe.
class shard_map
{
public:
    /// Precondition: `count` is at least 1.
    explicit shard_map(std::uint32_t count) : shard_count_(count) {}

    std::uint32_t shard_count() const
    {
        return shard_count_;
    }
    void set_hosts(const std::vector<host_entry>& hosts);
    /// True when a list with hosts was seen.
    bool is_known() const
    {
        return is_known_;
    }
    /// Workers of one shard as listed.
    const std::vector<host_entry>& workers(const std::string& data_centre,
                                           std::uint32_t index) const;
    /// Data centres with workers.
    const std::set<std::string>& data_centres() const
    {
        return data_centres_;
    }
    /// Names of the data centre's shards with a live worker that could hold a
    /// task of the job. For a gang only the shards that could hold all of its
    /// tasks at once, when there are any.
    std::vector<std::string> feasible_shards(const std::string& data_centre,
                                             const job_spec& spec) const;

    /// Index of a worker's shard in its data centre. The workers of a rack are
    /// in one shard, so that the failure of a rack affects only one.
    std::uint32_t shard_index_of(const host_entry& worker) const;

private:
    std::uint32_t shard_count_;
    bool is_known_ = false;
    std::set<std::string> data_centres_;
    std::map<std::string, std::vector<std::vector<host_entry>>> workers_;
};

} // namespace carobcourse
