/// Bounded ring between two threads' duties.
#pragma once

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace carobcourse
{

/// Many writers, one reader. Thread safe.
template <class Value>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : values_(capacity) {}

    /// Returns false when the ring is full.
    bool try_push(Value value)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (values_.full())
                return false;
            values_.push_back(std::move(value));
        }
        ready_.notify_one();
        return true;
    }

    /// Adds a value for which room was promised when its operation was
    /// taken. Grows the ring instead of dropping the value.
    void push_promised(Value value)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (values_.full())
                values_.set_capacity(values_.capacity() * 2);
            values_.push_back(std::move(value));
        }
        ready_.notify_one();
    }

    /// Takes everything, waiting up to `most` for a first value.
    std::vector<Value> pop_all(std::chrono::microseconds most)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ready_.wait_for(lock, most, [this] { return !values_.empty(); });
        std::vector<Value> taken;
        taken.reserve(values_.size());
        for (auto& value : values_)
            taken.push_back(std::move(value));
        values_.clear();
        return taken;
    }

private:
    std::mutex mutex_;
    std::condition_variable ready_;
    boost::circular_buffer<Value> values_;
};

} // namespace carobcourse
