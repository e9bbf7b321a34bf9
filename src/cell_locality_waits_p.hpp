/// Waits of steps for a rack, with their deadlines.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace carobcourse
{

/// Why a wait for a rack has ended.
enum class locality_end : std::uint8_t
{
    near_start, ///< A task has started near its data.
    expired,    ///< The deadline has passed.
    broken      ///< The near place is no longer expected to be free in time.
};

const char* to_string(locality_end end);

/// A wait of some tasks of one step for a rack.
struct locality_wait
{
    std::string rack;
    std::uint32_t tasks = 0;
    std::int64_t cpu_millis = 0; ///< Of all these tasks.
    time_point deadline;
    /// The wait may not be kept longer in memory; no step waits after it.
    time_point forget_at;
};

/// The waits of all steps. A step waits for one rack at a time, and a deadline
/// is never put off. After a wait that has failed, the step does not wait
/// again; after a start near the data it may. Core thread only.
///
/// Lost with the owner: the next one decides anew, and the objective of the job
/// bounds each wait.
class locality_waits
{
public:
    /// What `hold` did.
    enum class outcome : std::uint8_t
    {
        refused, ///< An earlier wait has failed.
        begun,
        continued,
        expired,
        broken
    };

    /// Begins or continues the wait of a step for room that is expected at
    /// `expected_at`. An existing wait keeps its deadline and its rack.
    outcome hold(time_point now, std::uint64_t step_key,
                 const locality_wait& wait, time_point expected_at);
    /// Ends the wait of a step because it does not pay any more. Returns false
    /// when the step does not wait.
    bool break_off(std::uint64_t step_key);
    /// Ends the wait of a step with a start near its data. Returns false when
    /// the step does not wait.
    bool fulfil(std::uint64_t step_key);
    /// Lets the step wait no more. Returns false when that holds already.
    bool exclude(std::uint64_t step_key, time_point forget_at);

    /// Returns true when the step may not wait.
    bool is_excluded(std::uint64_t step_key) const;
    /// Returns the wait of a step; null when it does not wait.
    const locality_wait* find(std::uint64_t step_key) const;
    /// Returns the processors, in thousandths, and the tasks that waits which
    /// began before the one of `step_key` expect of a rack; of all other waits
    /// when the step does not wait. Waits whose deadline has passed do not
    /// count: their jobs may be cancelled.
    std::pair<std::int64_t, std::uint32_t>
    claimed_before(time_point now, std::uint64_t step_key,
                   const std::string& rack) const;
    /// Returns the share of waits that have failed, from 0 to 1; recent ones
    /// count most. Without new waits the share returns to its initial value,
    /// so that waits are tried again after a bad time.
    double broken_share() const;
    /// Removes the waits and exclusions whose time is over. To be called at
    /// each round of dispatch.
    void forget_old(time_point now);
    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        locality_wait wait;
        std::uint64_t sequence = 0; ///< Order of the begin.
        bool excluded = false;
    };

    void close(std::uint64_t step_key, entry& entry, bool failed);

    std::map<std::uint64_t, entry> entries_;
    /// Steps by rack and order of the begin.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>> by_rack_;
    std::uint64_t last_sequence_ = 0;
    // Initially one in four is taken to fail.
    static constexpr double initial_kept = 3;
    static constexpr double initial_failed = 1;
    double kept_ = initial_kept;
    double failed_ = initial_failed;
    time_point next_decay_;
    time_point next_removal_;
};

} // namespace carobcourse
