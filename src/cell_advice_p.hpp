/// Which entry host asks the advice service, and when.
#pragma once

#include <carobcourse/types.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// The service serves the calls of one host one after the other. Hosts are
/// lanes: some take the long calls of gangs, the others only short ones, so
/// that urgent work never waits behind a long call.
///
/// Answers a mix of calls of 10 ms for urgent jobs and 600 ms for gangs.
/// Core thread only.
class advice_host_pool
{
public:
    /// Hosts that can ask now, in a stable order.
    void set_hosts(std::vector<std::string> hosts);
    /// Host for a call that takes `call_ms` at the service, and nothing when
    /// all lanes are taken. The lane is busy until then.
    std::optional<std::string> acquire(time_point now, double call_ms);
    /// Whether `begin` would find a host.
    bool has_free_host(time_point now, double call_ms) const;
    /// The call of a lane has ended earlier than expected.
    void release(time_point now, const std::string& host);

private:
    struct host_state
    {
        std::string host;
        time_point busy_until;
        unsigned pending_calls = 0;
    };
    /// Lane that is free first, of those that take such a call.
    std::vector<host_state>::const_iterator
    least_busy_host(double call_ms) const;

    std::vector<host_state> hosts_;
};

/// Time of a call that names `workers`, in milliseconds.
double advice_call_ms(const advice_cost& cost, std::size_t workers);

} // namespace carobcourse
