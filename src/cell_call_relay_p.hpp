/// An entry host that makes calls for the owner of the cell.
#pragma once

#include <string>

namespace carobcourse
{

/// An entry host that makes calls to workers and to the advice service on
/// behalf of the owner.
struct call_relay
{
    std::string host;
    std::string data_centre;
    /// The host is stopping: it completes its calls and accepts no new ones.
    bool leaving = false;

    friend bool operator==(const call_relay& a, const call_relay& b)
    {
        return a.host == b.host && a.data_centre == b.data_centre &&
               a.leaving == b.leaving;
    }
};

} // namespace carobcourse
