/// Tracks slots, load and health of the backend servers of this data centre.
#pragma once

#include <carobcourse/types.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core_context_p.hpp"

namespace carobcourse
{

/// The backend server chosen for an attempt.
struct executor_choice
{
    std::string executor;
    std::string address;
};

/// Criteria for choosing a backend server for an attempt.
struct attempt_requirements
{
    std::string request;
    std::uint32_t attempt = 0;
    std::string service;
    std::string avoided_executor; ///< Chosen only as a last resort.
    bool idempotent = false; ///< Preferred for the trial of an open circuit.
};

/// Limits the outstanding attempts at each server to this host's share of its
/// slots, plus slots borrowed on a recent report of free slots. A server that
/// is leaving gets no further attempts. An attempt holds its slot until its
/// result arrives, even if the server is no longer listed. Not thread safe.
class executor_pool
{
public:
    explicit executor_pool(core_context& context);

    /// Applies a new host list. Ignores hosts of other data centres.
    void update_hosts(time_point now, const std::vector<host_entry>& hosts);

    /// Marks a server as leaving, as reported by another entry host. Unknown
    /// servers are ignored.
    void mark_leaving(const std::string& executor);

    /// Returns the servers that told this host that they are leaving while the
    /// host list still shows them as live.
    std::vector<std::string> announced_leaving() const;

    /// Returns true if a server that is not leaving serves `service`.
    bool serves(const std::string& service) const;

    /// Returns the total slot limit, borrowed slots included, of the servers of
    /// `service` that are not leaving and have a closed circuit; at least 1.
    std::size_t usable_slots(time_point now, const std::string& service) const;

    /// Chooses the less loaded of two random servers and takes a slot. Returns
    /// `nullopt` if no server has a free slot.
    std::optional<executor_choice>
    acquire(time_point now, const attempt_requirements& requirements);

    /// Frees the slot of an attempt and updates the circuit of its server.
    /// Returns false if no such attempt is outstanding. If `timed_out`, the
    /// request's deadline has passed, and the failure counts against the
    /// server only after a long wait.
    bool release(time_point now, const execute_result& result, bool timed_out);

    std::size_t outstanding() const
    {
        return attempts_.size();
    }

private:
    using attempt_name = std::pair<std::string, std::uint32_t>;

    struct executor_record
    {
        host_entry host;
        std::uint32_t outstanding = 0;
        std::uint32_t borrowed_limit = 0; ///< Replaces the share if larger.
        time_point borrow_expires_at;
        time_point paused_until; ///< Set when the server had no free slot.
        std::uint32_t reported_busy = 0;
        bool leaving = false;
        /// The server told this host that it is leaving.
        bool announced_by_server = false;
        bool listed = false;
        time_point remove_at; ///< Applies once the server is not listed.
        std::uint32_t failures = 0;
        /// An attempt tests whether the server has recovered.
        bool trial_in_flight = false;
        duration open_duration{0};
        time_point open_until;
    };

    struct attempt_record
    {
        std::string executor;
        time_point sent_at;
    };

    std::uint32_t own_slot_share() const;
    std::uint32_t slot_limit(time_point now,
                             const executor_record& record) const;
    static bool is_circuit_open(const executor_record& record);
    bool is_available(time_point now, const executor_record& record) const;
    executor_record&
    choose_less_loaded(const std::vector<executor_record*>& usable);
    void apply_slot_report(time_point now, executor_record& record,
                           const execute_result& result);
    void record_failure(time_point now, executor_record& record);

    core_context& context_;
    std::map<std::string, executor_record> executors_;
    std::map<std::string, std::vector<std::string>> by_service_;
    std::map<attempt_name, attempt_record> attempts_; ///< Outstanding attempts.
    std::size_t entry_hosts_ = 1;
};

} // namespace carobcourse
