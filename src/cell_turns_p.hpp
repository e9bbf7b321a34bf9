/// Limit of the work in one round of dispatch.
#pragma once

#include <cstdint>

namespace carobcourse
{

/// Shares the work of the rounds of dispatch among waiting steps. A round may
/// examine a limited number of workers, whatever waits. Steps that do not get a
/// turn in it come before those that already had theirs, and each step gets one
/// turn in a pass, which ends with the first round that leaves no step out. So
/// steps that fit nowhere delay the others by a pass at most. Core thread only.
///
/// Load pattern: a large cell on which many gangs wait for room.
class dispatch_turns
{
public:
    /// Begins a round that examines up to `max_examined` workers, and more only
    /// by the last turn.
    void begin_round(std::uint64_t max_examined)
    {
        if (!is_cut_short_)
            ++pass_;
        is_cut_short_ = false;
        left_ = max_examined;
    }
    /// Returns true when a step gets a turn now. `latest_pass` belongs to the
    /// step and is 0 for a step that is to get a turn in the current pass.
    bool take(std::uint64_t& latest_pass)
    {
        if (latest_pass == pass_)
            return false;
        if (left_ == 0)
        {
            is_cut_short_ = true;
            return false;
        }
        latest_pass = pass_;
        return true;
    }
    /// Records what the turn of a step has examined.
    void record(std::uint64_t examined)
    {
        left_ -= examined < left_ ? examined : left_;
    }
    /// Returns true when the round may examine no more workers.
    bool is_used_up() const
    {
        return left_ == 0;
    }
    /// Returns true when a step was left out of the round.
    bool is_cut_short() const
    {
        return is_cut_short_;
    }

private:
    std::uint64_t pass_ = 0;
    std::uint64_t left_ = 0;
    bool is_cut_short_ = false;
};

} // namespace carobcourse
