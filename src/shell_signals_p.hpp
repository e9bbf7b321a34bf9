/// Signals that a process takes at a moment of its own.
#pragma once

#include <csignal>
#include <initializer_list>

namespace carobcourse
{

/// Blocks signals for the calling thread and all that it starts later, so it
/// must come before them.
class blocked_signals
{
public:
    explicit blocked_signals(std::initializer_list<int> numbers)
    {
        sigemptyset(&set_);
        for (const auto number : numbers)
            sigaddset(&set_, number);
        pthread_sigmask(SIG_BLOCK, &set_, nullptr);
    }

    /// Number of a pending signal, 0 when there is none.
    int take() const
    {
        const timespec none{0, 0};
        const auto number = sigtimedwait(&set_, nullptr, &none);
        return number > 0 ? number : 0;
    }

private:
    sigset_t set_{};
};

} // namespace carobcourse
