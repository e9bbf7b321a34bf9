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

/// Groups the workers of the host list by shard. Every data centre has the same
/// number of shards, so that each host can derive the names of the shards of
/// all data centres.
/// Not thread safe.
class shard_map
{
public:
    /// `count` is the number of shards per data centre. Precondition: at least
    /// 1.
    explicit shard_map(std::uint32_t count) : shard_count_(count) {}

    std::uint32_t shard_count() const
    {
        return shard_count_;
    }
    /// Replaces the workers by those of `hosts`; other hosts are ignored.
    void set_hosts(const std::vector<host_entry>& hosts);
    /// Returns whether a host list that was not empty has been set.
    bool is_known() const
    {
        return is_known_;
    }
    /// Returns the workers of one shard, in the order of the host list.
    /// Precondition: `index` is less than `shard_count()`. The reference is
    /// valid until the next call of `set_hosts`.
    const std::vector<host_entry>& workers(const std::string& data_centre,
                                           std::uint32_t index) const;
    /// Returns the data centres that have at least one worker.
    const std::set<std::string>& data_centres() const
    {
        return data_centres_;
    }
    /// Returns the names of the data centre's shards that have a live worker
    /// with enough capacity, when idle, for a task of the job. For a gang only
    /// the shards that could run all of its tasks at once are returned, if
    /// there are any.
    std::vector<std::string> feasible_shards(const std::string& data_centre,
                                             const job_spec& spec) const;

    /// Returns the index of the worker's shard in its data centre. All workers
    /// of a rack are in one shard, so that the failure of a rack affects only
    /// that shard.
    std::uint32_t shard_index_of(const host_entry& worker) const;

private:
    std::uint32_t shard_count_;
    bool is_known_ = false;
    std::set<std::string> data_centres_;
    std::map<std::string, std::vector<std::vector<host_entry>>> workers_;
};

} // namespace carobcourse
