/// Which workers the advice service is asked about for a gang, and when tickets
/// are renewed. Free of input and output.
#pragma once

#include <carobcourse/types.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// Share of the workers that the advice service allows, by queue. A service
/// that allows a quarter of them needs four times as many questions as one that
/// allows all. Core thread only.
class advice_share_estimator
{
public:
    /// Records that a call for `queue` named `asked` workers, of which
    /// `allowed` may run the step. Ignores calls that named none; `allowed` is
    /// limited to `asked`.
    void record(const std::string& queue, std::size_t asked,
                std::size_t allowed);
    /// Returns the expected share of allowed workers, above 0 and at most 1.
    double share(const std::string& queue) const;

private:
    struct totals
    {
        double asked = 0;
        double allowed = 0;
    };
    std::map<std::string, totals> by_queue_;
};

/// What is known about the room for a gang.
struct gang_room
{
    std::uint32_t tasks = 0; ///< Members of the gang.
    /// Members that have room now on workers that advice allows.
    std::uint32_t slots_now = 0;
    /// Members that the same workers hold when nothing else runs there.
    std::uint32_t slots_when_empty = 0;

    friend bool operator==(const gang_room& a, const gang_room& b)
    {
        return std::tie(a.tasks, a.slots_now, a.slots_when_empty) ==
               std::tie(b.tasks, b.slots_now, b.slots_when_empty);
    }
};

/// A worker that advice has not been asked about for the step.
struct advisable_worker
{
    worker_number worker = 0;
    std::uint32_t slots_now = 0;
    std::uint32_t slots_when_empty = 0;
    std::int64_t free_cpu_millis = 0;
    bool reserved = false; ///< Reserved for another gang.
    /// For urgent gangs, which ask about fast workers with room first.
    int speed_class = 0;

    friend bool operator==(const advisable_worker& a, const advisable_worker& b)
    {
        return std::tie(a.worker, a.slots_now, a.slots_when_empty,
                        a.free_cpu_millis, a.reserved, a.speed_class) ==
               std::tie(b.worker, b.slots_now, b.slots_when_empty,
                        b.free_cpu_millis, b.reserved, b.speed_class);
    }
};

/// Bounds of the calls to the advice service that are made at the same time.
struct gang_call_limits
{
    std::size_t workers_per_call = 1; ///< At least 1.
    /// Workers that cost little in addition to the fixed part of a call.
    std::size_t min_workers = 1;
    std::size_t calls = 1; ///< Hosts that can make a call now.

    friend bool operator==(const gang_call_limits& a, const gang_call_limits& b)
    {
        return std::tie(a.workers_per_call, a.min_workers, a.calls) ==
               std::tie(b.workers_per_call, b.min_workers, b.calls);
    }
};

/// Returns the workers to ask about, one list for each call. The calls are made
/// in parallel by different hosts. Returns nothing when the allowed workers are
/// enough already.
///
/// Load: gangs that may run on a quarter of the workers, while a call takes
/// 0.6 s and a ticket is valid for 1.5 s. Calls one after the other outlast the
/// tickets of the first, and each gang then asks again and again. Workers with
/// room come first, those that are reserved for other gangs last.
std::vector<std::vector<worker_number>>
plan_gang_calls(const gang_room& known, std::vector<advisable_worker> options,
                double allowed_share, const gang_call_limits& limits);

/// Returns true when the tickets of reserved workers are to be renewed: the
/// room is expected before a call that starts later could be answered, and the
/// tickets do not last until then. A call that returns long before the room
/// would have to be repeated. Thread safe.
bool is_renewal_due(time_point now, duration call_time, time_point expected_at,
                    time_point tickets_valid_until);

} // namespace carobcourse
