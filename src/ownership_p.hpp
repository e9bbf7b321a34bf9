/// Ownership of a shard of workers: one entry host, named with a growing
/// epoch in a row of the table.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "core_context_p.hpp"

namespace carobcourse
{

/// Table of fence rows, one a shard. Each commit of an owner's jobs rewrites
/// the row by compare-and-set, so that a former owner's commit fails.
constexpr char fence_table[] = "shard_fence";

/// JSON text of a fence row. `write_id` names the commit that wrote it.
std::string fence_value(std::uint64_t epoch, const std::string& write_id);

/// Aggregate. Rule: acts as owner only before its own deadline, which is
/// counted from before the renewing write was sent, or from before the grants
/// of the data centre's entry hosts were asked for. Not thread safe.
class ownership
{
public:
    ownership(core_context& context, std::string shard);

    /// True while this host may act as owner: start tasks and renew leases.
    bool is_owner(time_point now) const;
    /// Epoch held; valid while owner.
    std::uint64_t epoch() const
    {
        return epoch_;
    }
    /// Latest time at which this host may act as owner.
    time_point acts_until() const;
    /// Host named as owner in the row as last read, empty when unknown.
    const std::string& owner() const
    {
        return owner_;
    }
    const std::string& shard() const
    {
        return shard_;
    }
    /// Version of the fence row as this epoch's takeover wrote it; valid
    /// while owner.
    std::uint64_t fence_version() const
    {
        return fence_version_;
    }

    void on_tick(time_point now);
    /// Returns true when the result was for this aggregate.
    bool on_store_result(time_point now, const store_result& result);
    /// Gives the shard up at a planned stop; nothing is renewed after it.
    void release(time_point now);
    /// True when the release is complete, or none was asked for.
    bool is_released() const
    {
        return !release_wanted_ || (released_ && !release_op_);
    }
    /// After a release that is complete: takes part again, so that the shard
    /// is taken back when no other host takes it.
    void resume(time_point now);
    /// Stops acting as owner at once, because another host has a higher
    /// epoch or the table contradicts this owner. The row is read again.
    void step_down(time_point now);

private:
    void read(time_point now);
    void on_read(time_point now, const store_result& result);
    void take(time_point now, std::uint64_t expect_version,
              std::uint64_t next_epoch);
    void on_taken(time_point now, const store_result& result);

    core_context& context_;
    std::string shard_;
    std::string owner_;
    std::uint64_t epoch_ = 0;
    std::uint64_t row_version_ = 0;
    std::uint64_t fence_version_ = 0;
    std::uint64_t seen_epoch_ = 0;
    /// When the row was first seen at its version; a lease that is not
    /// renewed for its length after that is over, without comparing clocks.
    std::uint64_t watched_version_ = 0;
    time_point watched_since_;
    std::optional<time_point> absent_since_; ///< No row was there.
    std::optional<time_point> acts_until_;
    std::optional<op_id> op_;
    bool writing_ = false;
    bool writes_fence_ = false; ///< The write in flight starts an epoch.
    std::uint64_t wanted_epoch_ = 0;
    time_point sent_at_;
    time_point next_action_;
    bool release_wanted_ = false;
    bool released_ = false;
    std::optional<op_id> release_op_;
};

} // namespace carobcourse
