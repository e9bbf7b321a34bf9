/// Choice of the entry host that calls the advice service, and of the time.
#pragma once

#include <carobcourse/types.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// Distributes calls to the advice service over entry hosts. The service
/// handles the calls of one host one after the other. Some hosts make the long
/// calls of gangs and the others only short calls, so that the short calls of
/// urgent jobs (10 ms) do not queue behind long ones (600 ms). Core thread
/// only.
class advice_host_pool
{
public:
    /// Sets the hosts that can make calls. Hosts that stay keep their state.
    /// The first half of the list makes the long calls, so the order must be
    /// stable.
    void set_hosts(std::vector<std::string> hosts);
    /// Chooses a host for a call that takes `call_ms` milliseconds at the
    /// service and marks it as busy for that time. Returns `std::nullopt` when
    /// the call would queue for too long on every host.
    std::optional<std::string> acquire(time_point now, double call_ms);
    /// Returns true when `acquire` would find a host.
    bool has_free_host(time_point now, double call_ms) const;
    /// Returns the number of hosts that `acquire` would find for calls of this
    /// duration.
    std::size_t free_host_count(time_point now, double call_ms) const;
    /// Records the end of a call of `host`, which is free again after its last
    /// call in flight. Ignores unknown hosts.
    void release(time_point now, const std::string& host);

private:
    struct host_state
    {
        std::string host;
        time_point busy_until; ///< Estimated end of its calls in flight.
        unsigned pending_calls = 0;
    };
    using host_iterator = std::vector<host_state>::const_iterator;
    /// Returns the hosts that make calls of this duration.
    std::pair<host_iterator, host_iterator> hosts_for(double call_ms) const;
    /// Returns the host that is free first among those that make such calls.
    /// Precondition: there is a host.
    host_iterator least_busy_host(double call_ms) const;

    std::vector<host_state> hosts_;
};

/// Returns the duration of a call that names `workers` workers, in
/// milliseconds. Thread safe.
double advice_call_ms(const advice_cost& cost, std::size_t workers);

} // namespace carobcourse
