/// Fencing of the calls to one worker.
#pragma once

#include <cstdint>
#include <optional>

namespace carobcourse
{

/// Fence of the calls that one owner makes to one worker id, over all
/// incarnations of the worker. A worker does nothing for a call whose fence is
/// lower than one it has seen; a restarted worker has seen none. A call without
/// an answer may be carried out seconds later, by a later incarnation, whose
/// ends are numbered from 1 again and whose clock has begun anew.
///
/// A call after one without an answer has a higher fence, and so has a start
/// that is sent while a poll is open. So a poll that is carried out late does
/// nothing once a later start has arrived: it neither removes ends that no list
/// has named nor extends a lease. A start that is the first call to reach an
/// incarnation can not be fenced.
///
/// Fences are numbered within the epoch of the owner. Core thread only.
class worker_fence
{
public:
    /// Precondition: `first` is above the fences of all earlier calls of the
    /// owner to the worker id.
    explicit worker_fence(std::uint32_t first = 0) : first_(first), last_(first)
    {
    }

    /// Highest fence so far: the one of the call that is sent next.
    std::uint32_t last() const
    {
        return last_;
    }
    /// Records a start. May raise `last()`, so it comes before the call is
    /// sent.
    void begin_start();
    /// Records the end of a start with the fence `fence`. Without an answer it
    /// may be carried out later.
    void end_start(std::uint32_t fence, bool is_answered);
    /// Records a poll. May raise `last()`, so it comes before the call is sent.
    /// Precondition: no other poll is open.
    void begin_poll();
    /// Records the end of the poll with the fence `fence`. A refusal counts as
    /// no answer: it does not show the effect of earlier starts.
    void end_poll(std::uint32_t fence, bool is_answered);

    /// Records that the worker has restarted: no call that was meant for the
    /// earlier incarnation is carried out after the next call.
    void begin_incarnation()
    {
        raise();
    }

    /// Whether starts are open that an answer will settle.
    bool has_open_starts() const
    {
        return open_starts_ > 0;
    }
    /// Whether a start without an answer is not settled. It is by the answer to
    /// a poll with a higher fence: that incarnation does not take it any more.
    bool has_lost_start() const
    {
        return lost_start_.has_value();
    }
    /// Whether the effect of each start is known to the incarnation that has
    /// answered the latest poll.
    bool may_acknowledge() const
    {
        return !has_open_starts() && !has_lost_start();
    }

private:
    void raise();
    void record_lost_call(std::uint32_t fence);

    std::uint32_t first_;
    std::uint32_t last_;
    unsigned open_starts_ = 0;
    /// Highest fence of the starts without an answer that are not settled.
    std::optional<std::uint32_t> lost_start_;
    /// The open poll has the fence `last_`.
    bool has_open_poll_ = false;
    /// A call without an answer has the fence `last_`.
    bool has_lost_call_ = false;
};

} // namespace carobcourse
