/// Decides how much unread and unfinished input a process holds.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace carobcourse
{

/// Number of a connection within one process; never used again.
using input_number = std::uint64_t;

/// Connections that a server accepts beyond `max_connections`, so that one can
/// take the place of another that stalls.
constexpr std::size_t spare_connections = 16;

struct input_limits
{
    /// Of all connections together: input, calls and answers.
    std::size_t bytes = std::size_t{40} * 1024 * 1024;
    /// Part of `bytes` that only connections up to `small_bytes` may use.
    std::size_t reserved_bytes = std::size_t{10} * 1024 * 1024;
    std::size_t max_connections = 4096;

    friend bool operator==(const input_limits& a, const input_limits& b)
    {
        return a.bytes == b.bytes && a.reserved_bytes == b.reserved_bytes &&
               a.max_connections == b.max_connections;
    }
};

/// Limits of a process that may use `memory_mb` MiB and `max_fds`
/// descriptors. A value of 0 or less is unknown. Thread safe.
input_limits input_limits_for(std::int64_t memory_mb, std::int64_t max_fds);

/// Number of descriptors that this process may open. Thread safe.
std::int64_t open_file_limit();

/// Bytes of memory that `count` bytes of input can take in the parser of the
/// HTTP library. It keeps a record for each chunk, and each chunk has two
/// carriage returns. Thread safe.
std::size_t parser_cost(const char* bytes, std::size_t count);

/// Load pattern: a thousand connections that send 3.9 MB each, in any framing,
/// and stay open. Not thread safe.
class input_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct decision
    {
        bool granted = false;
        /// Connections that the caller has to close. Their shares are free.
        std::vector<input_number> closed;
    };

    explicit input_budget(input_limits limits);

    /// Registers a connection. It is granted unless there are too many.
    decision open(input_number number, time_point now);

    /// Charges input of a connection, which has made progress by it. Refused
    /// for a connection that is not registered or was closed by a decision.
    decision take(input_number number, std::size_t bytes, time_point now);

    /// The input taken so far is one whole request. The connection is not
    /// closed before the answer is given. Returns false for a connection that
    /// is not registered.
    bool begin_call(input_number number, time_point now);

    /// Charges an answer that is being written. When it is refused, the
    /// connection has to be closed.
    decision give_answer(input_number number, std::size_t bytes,
                         time_point now);

    /// The answer of a call was written, or will never be.
    void end_call(input_number number, time_point now);

    void close(input_number number);

    /// Charges a call that is in the process apart from its connection, which
    /// may close before the call is dropped.
    decision hold(std::size_t bytes, time_point now);
    /// Precondition: as much is held.
    void release(std::size_t bytes);

    std::size_t used_bytes() const
    {
        return used_;
    }

private:
    struct connection
    {
        std::size_t unfinished = 0; ///< Input that is no whole request yet.
        std::size_t requests = 0;   ///< Of calls, until all are answered.
        std::size_t answers = 0;    ///< Until all are written.
        int calls = 0;              ///< Whose answer is not written.
        int unanswered = 0;         ///< Whose answer is not given.
        time_point progressed;
        std::list<input_number>::iterator place;

        std::size_t total() const
        {
            return unfinished + requests + answers;
        }
    };
    using connections = std::unordered_map<input_number, connection>;

    /// Granted when `bytes` more fit after others were closed, but for the
    /// connection `number`.
    decision make_room(input_number number, std::size_t bytes, bool is_small,
                       time_point now);
    void charge(std::size_t& part, std::size_t bytes);
    void discharge(std::size_t& part);
    void note_progress(connections::iterator of, time_point now);
    /// Closes the connection that made no progress for the longest time.
    /// Returns false when there is none without progress since `before`.
    bool close_stalled(input_number but, std::size_t holding, time_point before,
                       decision& out);
    void remove(connections::iterator which);

    input_limits limits_;
    std::size_t used_ = 0;
    connections connections_;
    std::list<input_number> by_progress_; ///< Longest without progress first.
};

} // namespace carobcourse
