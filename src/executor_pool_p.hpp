/// The backend servers of this data centre: slots, load and state.
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

/// A backend server that was chosen for an attempt.
struct executor_choice
{
    std::string executor;
    std::string address;
};

/// What an attempt needs of a server.
struct attempt_requirements
{
    std::string request;
    std::uint32_t attempt = 0;
    std::string service;
    std::string avoided_executor; ///< Not chosen while another one is usable.
    bool idempotent = false; ///< Preferred as the trial of a half-open server.
};

/// Aggregate. Rules: attempts outstanding at a server are at most this
/// host's share of its slots plus what was borrowed on a recent report of
/// free slots; a server that is leaving never gets another attempt; an
/// attempt holds its slot until its result arrives, also when the server is
/// no longer listed. Not thread safe.
class executor_pool
{
public:
    explicit executor_pool(core_context& context);

    void update_hosts(time_point now, const std::vector<host_entry>& hosts);

    /// Takes note that another entry host was told by the server that it
    /// leaves. Unknown servers are ignored.
    void mark_leaving(const std::string& executor);

    /// Servers that told this host that they leave, while the list has them as
    /// live.
    std::vector<std::string> announced_leaving() const;

    /// True when a server that is not leaving serves `service`.
    bool serves(const std::string& service) const;

    /// Slots of this host's share at servers that may get work now, at
    /// least 1.
    std::size_t usable_slots(time_point now, const std::string& service) const;

    /// Chooses by power of two choices and takes a slot, or returns nothing
    /// when no server has one free.
    std::optional<executor_choice>
    acquire(time_point now, const attempt_requirements& requirements);

    /// Takes note of a result. Returns false when no such attempt is
    /// outstanding. `timed_out` states that the deadline of the request has
    /// passed; then only a long wait counts against the server.
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
        time_point paused_until; ///< After a refusal for want of a slot.
        std::uint32_t reported_busy = 0;
        bool leaving = false;
        bool announced_by_server = false; ///< Said so itself, to this host.
        bool listed = false;
        time_point remove_at; ///< When not listed.
        std::uint32_t failures = 0;
        bool trial_in_flight =
            false; ///< A trial of a half-open server is in flight.
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
    std::map<attempt_name, attempt_record> attempts_; ///< Outstanding.
    std::size_t entry_hosts_ = 1;
};

} // namespace carobcourse
