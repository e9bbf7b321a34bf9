/// Agreement of this host with the cluster on the number of shards.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>

#include "core_context_p.hpp"

namespace carobcourse
{

/// Compares the own number of shards per data centre with the row of the
/// table, which the first host inserts. Rule: a host with another number
/// takes no shard, as two divisions would give a worker two owners. The row
/// is not read again once it agrees, so it may be changed only while no entry
/// host runs. Not thread safe.
class shard_agreement
{
public:
    enum class state : std::uint8_t
    {
        unknown,
        agreed,
        differs
    };

    explicit shard_agreement(core_context& context) : context_(context) {}

    state current() const
    {
        return state_;
    }
    void on_tick(time_point now);
    /// Returns true when the result was for this aggregate.
    bool on_store_result(time_point now, const store_result& result);

private:
    void check_row(const row& found);

    core_context& context_;
    state state_ = state::unknown;
    std::optional<op_id> op_;
    bool insert_pending_ = false;
    time_point next_read_at_;
};

} // namespace carobcourse
