#include "shell_input_gate_p.hpp"

#include <algorithm>
#include <utility>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace carobcourse
{

namespace
{

/// Released bytes that are worth the time of a pass through the heap.
constexpr std::size_t min_release_bytes = std::size_t{1024} * 1024;
/// The share of a connection is free before its memory is, and the parser's
/// own copies are in no share.
constexpr int releases_after_fall = 2;
constexpr auto release_interval = std::chrono::seconds(1);

#ifdef __GLIBC__
/// Blocks from this size on go back to the system when they are freed.
constexpr int own_mapping_bytes = 1024 * 1024;
/// Free memory that the end of an arena keeps. The library raises it to 64 MB
/// after large blocks, and malloc_trim() does not reach it in the arenas of
/// threads: each kept 10 MB after bodies in one-byte chunks.
constexpr int arena_spare_bytes = 4 * 1024 * 1024;
#endif

void limit_spare_memory()
{
#ifdef __GLIBC__
    mallopt(M_MMAP_THRESHOLD, own_mapping_bytes);
    mallopt(M_TRIM_THRESHOLD, arena_spare_bytes);
#endif
}

input_budget::time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

input_gate::input_gate(input_limits limits) : limits_(limits), budget_(limits)
{
    // Holds for the whole process; a second call changes nothing.
    limit_spare_memory();
}

input_gate::evictions input_gate::forget(const input_budget::decision& decided)
{
    evictions out;
    for (const auto number : decided.closed)
    {
        const auto found = evict_.find(number);
        if (found == evict_.end())
            continue;
        out.push_back(std::move(found->second));
        evict_.erase(found);
    }
    most_used_ = std::max(most_used_, budget_.used_bytes());
    return out;
}

template <class Decide>
bool input_gate::decide(const Decide& decide)
{
    bool granted = false;
    evictions evicted;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto decided = decide();
        granted = decided.granted;
        evicted = forget(decided);
    }
    for (const auto& evict : evicted)
        evict();
    return granted;
}

input_number input_gate::open(std::function<void()> evict)
{
    input_number number = 0;
    decide(
        [&]
        {
            number = ++last_;
            auto decided = budget_.open(number, now());
            if (decided.granted)
                evict_.emplace(number, std::move(evict));
            return decided;
        });
    return number;
}

bool input_gate::take(input_number number, std::size_t bytes)
{
    return decide([&] { return budget_.take(number, bytes, now()); });
}

bool input_gate::begin_call(input_number number)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return budget_.begin_call(number, now());
}

memory_hold input_gate::hold(std::size_t bytes)
{
    if (!decide([&] { return budget_.hold(bytes, now()); }))
        return nullptr;
    // The pointer is to the gate only so that it is not null.
    return {this, [gate = shared_from_this(), bytes](const void*)
            { gate->release(bytes); }};
}

void input_gate::release(std::size_t bytes)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    budget_.release(bytes);
}

bool input_gate::give_answer(input_number number, std::size_t bytes)
{
    return decide([&] { return budget_.give_answer(number, bytes, now()); });
}

void input_gate::end_call(input_number number)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    budget_.end_call(number, now());
}

void input_gate::close(input_number number)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    budget_.close(number);
    evict_.erase(number);
}

void input_gate::release_memory()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (now() < next_release_)
            return;
        const auto used = budget_.used_bytes();
        if (most_used_ >= used + min_release_bytes)
            releases_left_ = releases_after_fall;
        if (releases_left_ == 0)
            return;
        --releases_left_;
        next_release_ = now() + release_interval;
        most_used_ = used;
    }
#ifdef __GLIBC__
    malloc_trim(0);
#endif
}

} // namespace carobcourse
