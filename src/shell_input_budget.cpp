#include "shell_input_budget_p.hpp"

#include <algorithm>
#include <limits>
#include <sys/resource.h>
#include <utility>

namespace carobcourse
{

namespace
{

constexpr std::size_t mib = std::size_t{1024} * 1024;

/// Numbers of connections begin with 1.
constexpr input_number no_connection = 0;
/// Largest share of a connection that may use the reserve: four times the
/// payload of an ordinary request of the platform.
constexpr std::size_t small_bytes = std::size_t{16} * 1024;
/// An answer up to this size is always given: the call has run. A connection
/// has two of them at most.
constexpr std::size_t free_answer_bytes = std::size_t{4} * 1024;
/// A connection without progress for so long gives way to a large request. A
/// lost packet is sent again within a second.
constexpr auto stall_time = std::chrono::milliseconds(1000);
/// The same where a small request or a new connection needs its place.
constexpr auto short_stall_time = std::chrono::milliseconds(100);

/// The library keeps 16 bytes for a chunk, which has two carriage returns.
constexpr std::size_t carriage_return_bytes = 8;

/// Divisors of the memory limit. The idle process takes 17 MB, and an
/// allocator's blocks for input can be twice the input.
constexpr std::size_t budget_divisor = 6;
constexpr std::size_t reserve_divisor = 4;
constexpr std::size_t connections_divisor = 8;
/// Buffer, parser and socket of an idle connection.
constexpr std::size_t connection_bytes = std::size_t{8} * 1024;
constexpr std::size_t min_budget = 8 * mib;
constexpr std::size_t max_budget = 40 * mib;
constexpr std::size_t min_connections = 64;
constexpr std::size_t max_connections = 4096;
/// Descriptors that are left to files, the store, workers and other hosts: so
/// many, and at most a part of all.
constexpr std::int64_t other_descriptors = 1024;
constexpr std::int64_t other_descriptors_divisor = 2;

} // namespace

input_limits input_limits_for(std::int64_t memory_mb, std::int64_t max_fds)
{
    input_limits limits;
    if (memory_mb > 0)
    {
        // More memory than this changes nothing.
        const auto memory =
            static_cast<std::size_t>(std::min<std::int64_t>(memory_mb, 65536)) *
            mib;
        limits.bytes =
            std::clamp(memory / budget_divisor, min_budget, max_budget);
        limits.max_connections =
            std::clamp(memory / connections_divisor / connection_bytes,
                       min_connections, max_connections);
    }
    limits.reserved_bytes = limits.bytes / reserve_divisor;
    if (max_fds > 0)
    {
        const auto others =
            std::min(other_descriptors, max_fds / other_descriptors_divisor);
        const auto left = static_cast<std::size_t>(max_fds - others);
        limits.max_connections =
            std::min(limits.max_connections,
                     std::max(left, min_connections + spare_connections) -
                         spare_connections);
    }
    return limits;
}

std::int64_t open_file_limit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur > std::numeric_limits<std::int32_t>::max())
        return 0;
    return static_cast<std::int64_t>(limit.rlim_cur);
}

std::size_t parser_cost(const char* bytes, std::size_t count)
{
    const auto returns = std::count(bytes, bytes + count, '\r');
    return count + static_cast<std::size_t>(returns) * carriage_return_bytes;
}

input_budget::input_budget(input_limits limits) : limits_(limits) {}

input_budget::decision input_budget::open(input_number number, time_point now)
{
    decision out;
    while (connections_.size() >= limits_.max_connections &&
           close_stalled(number, 0, now - short_stall_time, out))
    {
    }
    out.granted = connections_.size() < limits_.max_connections;
    if (!out.granted)
        return out;
    auto& added = connections_[number];
    added.progressed = now;
    added.place = by_progress_.insert(by_progress_.end(), number);
    return out;
}

input_budget::decision input_budget::take(input_number number,
                                          std::size_t bytes, time_point now)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return {};
    auto& connection = found->second;
    note_progress(found, now);
    auto out = make_room(number, bytes,
                         connection.total() + bytes <= small_bytes, now);
    if (out.granted)
        charge(connection.unfinished, bytes);
    return out;
}

bool input_budget::begin_call(input_number number, time_point now)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return false;
    auto& connection = found->second;
    note_progress(found, now);
    connection.requests += std::exchange(connection.unfinished, 0);
    ++connection.calls;
    ++connection.unanswered;
    return true;
}

input_budget::decision input_budget::hold(std::size_t bytes, time_point now)
{
    auto out = make_room(no_connection, bytes, bytes <= small_bytes, now);
    if (out.granted)
        used_ += bytes;
    return out;
}

void input_budget::release(std::size_t bytes)
{
    used_ -= bytes;
}

input_budget::decision input_budget::give_answer(input_number number,
                                                 std::size_t bytes,
                                                 time_point now)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return {};
    auto& connection = found->second;
    note_progress(found, now);
    connection.unanswered = std::max(0, connection.unanswered - 1);
    if (connection.unanswered == 0)
        discharge(connection.requests);
    decision out;
    if (bytes <= free_answer_bytes)
        out.granted = true;
    else
        out = make_room(number, bytes, bytes <= small_bytes, now);
    if (out.granted)
        charge(connection.answers, bytes);
    return out;
}

void input_budget::end_call(input_number number, time_point now)
{
    const auto found = connections_.find(number);
    if (found == connections_.end())
        return;
    auto& connection = found->second;
    note_progress(found, now);
    connection.calls = std::max(0, connection.calls - 1);
    if (connection.calls > 0)
        return;
    connection.unanswered = 0;
    discharge(connection.requests);
    discharge(connection.answers);
}

void input_budget::close(input_number number)
{
    const auto found = connections_.find(number);
    if (found != connections_.end())
        remove(found);
}

input_budget::decision input_budget::make_room(input_number number,
                                               std::size_t bytes, bool is_small,
                                               time_point now)
{
    const auto most =
        is_small ? limits_.bytes : limits_.bytes - limits_.reserved_bytes;
    const auto before = now - (is_small ? short_stall_time : stall_time);
    decision out;
    while (used_ + bytes > most && close_stalled(number, 1, before, out))
    {
    }
    out.granted = used_ + bytes <= most;
    return out;
}

void input_budget::charge(std::size_t& part, std::size_t bytes)
{
    part += bytes;
    used_ += bytes;
}

void input_budget::discharge(std::size_t& part)
{
    used_ -= std::exchange(part, 0);
}

void input_budget::note_progress(connections::iterator of, time_point now)
{
    of->second.progressed = now;
    by_progress_.splice(by_progress_.end(), by_progress_, of->second.place);
}

bool input_budget::close_stalled(input_number but, std::size_t holding,
                                 time_point before, decision& out)
{
    for (const auto number : by_progress_)
    {
        const auto found = connections_.find(number);
        const auto& candidate = found->second;
        if (candidate.progressed > before)
            return false;
        if (number == but || candidate.unanswered > 0 ||
            candidate.total() < holding)
            continue;
        out.closed.push_back(number);
        remove(found);
        return true;
    }
    return false;
}

void input_budget::remove(connections::iterator which)
{
    used_ -= which->second.total();
    by_progress_.erase(which->second.place);
    connections_.erase(which);
}

} // namespace carobcourse
