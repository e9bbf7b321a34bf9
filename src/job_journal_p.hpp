/// Durable writes of a shard's owner: one commit at a time, fenced by epoch.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core_context_p.hpp"

namespace carobcourse
{

/// Aggregate. Rule: each commit replaces the shard's fence row at the version
/// that the last commit of this epoch gave it. After a takeover that row has
/// another version, so a former owner's commit writes nothing. A lost reply
/// is settled by reading the fence row back and comparing its write id. Not
/// thread safe.
class job_journal
{
public:
    enum class outcome : std::uint8_t
    {
        written,
        not_written, ///< Certain; the writes may be put together anew.
        contradicted ///< The owner's state is out of date; it must step down.
    };
    struct settlement
    {
        outcome what = outcome::not_written;
        /// New versions in the order of the writes. Empty when the commit
        /// was confirmed by reading back.
        std::vector<std::uint64_t> versions;
    };

    explicit job_journal(core_context& context) : context_(context) {}

    /// Starts an epoch of ownership; forgets what was in flight.
    void begin(std::string shard, std::uint64_t epoch,
               std::uint64_t fence_version);
    /// True while a commit is not settled.
    bool is_busy() const
    {
        return !writes_.empty();
    }
    /// Sends the writes as one commit. Precondition: not busy, not empty.
    void commit(std::vector<row_write> writes);
    /// Tries again what waits for the table.
    void on_tick(time_point now);
    bool is_for(const op_id& op) const
    {
        return op_ && *op_ == op;
    }
    /// Returns how the commit ended, nothing while that is open.
    /// Precondition: is_for(result.op).
    std::optional<settlement> on_store_result(time_point now,
                                              const store_result& result);

private:
    void send();
    void read_back();
    std::optional<settlement> on_commit(time_point now,
                                        const store_result& result);
    std::optional<settlement> on_read_back(time_point now,
                                           const store_result& result);
    settlement settle(outcome what, std::vector<std::uint64_t> versions = {});

    core_context& context_;
    std::string shard_;
    std::uint64_t epoch_ = 0;
    std::uint64_t fence_version_ = 0;
    std::string write_id_;
    std::vector<row_write> writes_; ///< Not settled; without the fence row.
    std::optional<op_id> op_;
    bool reading_ = false;
    bool in_doubt_ = false; ///< A try of the commit may still take effect.
    bool conflicted_ = false;
    bool resend_ = false; ///< The commit is certain to be absent.
    time_point retry_at_;
};

} // namespace carobcourse
