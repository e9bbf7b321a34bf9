#include "cell_event_p.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cell_limits_p.hpp"

namespace carobcourse
{

const char* to_string(command_status status)
{
    switch (status)
    {
    case command_status::ok:
        return "ok";
    case command_status::fenced:
        return "fenced";
    case command_status::superseded:
        return "superseded";
    case command_status::expired:
        return "expired";
    case command_status::no_room:
        return "no_room";
    case command_status::bad_ticket:
        return "bad_ticket";
    case command_status::invalid:
        return "invalid";
    case command_status::unhealthy:
        return "unhealthy";
    case command_status::other_incarnation:
        return "other_incarnation";
    case command_status::not_sent:
        return "not_sent";
    case command_status::unknown:
        break;
    }
    return "unknown";
}

std::vector<std::vector<cell_event>> split_batch(std::vector<cell_event> events)
{
    // Few events, and the next commit, and with it the answers to callers and
    // the leases of the workers, waits for them.
    std::stable_partition(
        events.begin(), events.end(),
        [](const cell_event& event)
        { return std::holds_alternative<store_result>(event); });
    std::vector<std::vector<cell_event>> parts;
    for (auto first = events.begin(); first != events.end();)
    {
        const auto last =
            first + std::min<std::ptrdiff_t>(config::cell_max_events_per_part,
                                             events.end() - first);
        parts.emplace_back(std::make_move_iterator(first),
                           std::make_move_iterator(last));
        first = last;
    }
    return parts;
}

} // namespace carobcourse
