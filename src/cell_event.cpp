#include "cell_event_p.hpp"

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

} // namespace carobcourse
