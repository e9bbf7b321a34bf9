/// The input budget of a process, shared by the threads of its servers.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "event_p.hpp"
#include "shell_input_budget_p.hpp"

namespace carobcourse
{

/// Thread safe. Owned by a shared pointer.
class input_gate : public std::enable_shared_from_this<input_gate>
{
public:
    explicit input_gate(input_limits limits);
    input_gate(const input_gate&) = delete;
    input_gate& operator=(const input_gate&) = delete;

    const input_limits& limits() const
    {
        return limits_;
    }

    /// Registers a connection, see input_budget. `evict` makes its thread
    /// close it; it is called by any thread, without a lock, at most once.
    /// Returns a number that is refused everything when there are too many.
    input_number open(std::function<void()> evict);
    bool take(input_number number, std::size_t bytes);
    bool begin_call(input_number number);
    bool give_answer(input_number number, std::size_t bytes);
    void end_call(input_number number);
    void close(input_number number);
    /// Keeps room for a call until the last copy of the hold is gone. Returns
    /// null when there is none.
    memory_hold hold(std::size_t bytes);

    /// Hands free memory back to the system once much of the budget has been
    /// released, at most once a second. To be called regularly.
    void release_memory();

private:
    using time_point = input_budget::time_point;
    using evictions = std::vector<std::function<void()>>;

    void release(std::size_t bytes);
    /// Requires the lock.
    evictions forget(const input_budget::decision& decided);
    template <class Decide>
    bool decide(const Decide& decide);

    const input_limits limits_;
    std::mutex mutex_;
    input_budget budget_;
    input_number last_ = 0;
    std::unordered_map<input_number, std::function<void()>> evict_;
    std::size_t most_used_ = 0; ///< Since memory was handed back.
    int releases_left_ = 0;
    time_point next_release_;
};

} // namespace carobcourse
