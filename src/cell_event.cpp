#include "cell_event_p.hpp"

namespace carobcourse
{

const char* to_string(order_status status)
{
    switch (status)
    {
    case order_status::ok:
        return "ok";
    case order_status::fenced:
        return "fenced";
    case order_status::superseded:
        return "superseded";
    case order_status::expired:
        return "expired";
    case order_status::no_room:
        return "no_room";
    case order_status::bad_ticket:
        return "bad_ticket";
    case order_status::invalid:
        return "invalid";
    case order_status::unhealthy:
        return "unhealthy";
    case order_status::other_incarnation:
        return "other_incarnation";
    case order_status::not_sent:
        return "not_sent";
    case order_status::unknown:
        break;
    }
    return "unknown";
}

} // namespace carobcourse
