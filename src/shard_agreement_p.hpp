/// Checks that this host and the cluster use the same number of shards.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>

#include "core_context_p.hpp"

namespace carobcourse
{

/// Compares the configured number of shards per data centre with the row that
/// the first entry host of the cluster stored. A host whose number differs
/// acquires no shard, because dividing the workers in two ways would give a
/// worker two owners. Once the numbers agree the row is not read again, so it
/// may be changed only while no entry host runs. Not thread safe.
class shard_agreement
{
public:
    /// Result of the comparison; `unknown` until the row has been read.
    enum class state : std::uint8_t
    {
        unknown,
        agreed,
        differs
    };

    /// `context` must outlive this object.
    explicit shard_agreement(core_context& context) : context_(context) {}

    state current() const
    {
        return state_;
    }
    /// Reads the row if the numbers do not agree yet and a read is due.
    void on_tick(time_point now);
    /// Handles the result of a read or insert that this object sent. Returns
    /// false, without effect, for any other result.
    bool on_store_result(time_point now, const store_result& result);

private:
    /// Compares the stored number with the configured one.
    void check_row(const row& found);

    core_context& context_;
    state state_ = state::unknown;
    std::optional<op_id> op_;
    bool insert_pending_ = false;
    time_point next_read_at_;
};

} // namespace carobcourse
