/// State and output that the components of one entry host of the cell share.
#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "cell_config_p.hpp"
#include "cell_event_p.hpp"
#include "cell_limits_p.hpp"
#include "keyring_p.hpp"
#include "metrics_p.hpp"

namespace carobcourse
{

/// Identity of this process. Fixed when the process starts.
struct cell_identity
{
    std::string host;
    std::string data_centre;
    std::string incarnation;
    std::string peer_address;
    /// Relative processor share of this process. Hosts with a larger share
    /// claim the ownership of the cell sooner.
    double processor_share = 1;
    /// Longest time from a stop request until the process reports that it has
    /// stopped, even if calls are still pending.
    duration max_stop_time = std::chrono::seconds(5);
    /// Longest lease that a worker gives, whatever it is asked for.
    duration max_worker_lease = config::cell_default_max_worker_lease;
    /// How many times as long tasks take away from the rack of their data, and
    /// gangs on several racks. No task waits for a rack when it is 1.
    double far_factor = config::cell_default_far_factor;
};

/// Identity, configuration, counters and pending effects of one entry host.
/// Every component of the cell holds a reference to it. Not thread safe: used
/// by the core thread only.
class cell_context
{
public:
    /// `entropy` and `external_rows` must outlive this object. `seed`
    /// initialises `random`.
    cell_context(cell_identity identity, std::uint64_t seed,
                 entropy_source& entropy,
                 const external_row_reader& external_rows)
        : identity(std::move(identity)), entropy(entropy),
          external_rows(external_rows), random(seed),
          first_number_(first_number_of(this->identity.incarnation)),
          last_call_id_(first_number_)
    {
    }

    const cell_identity identity;
    entropy_source& entropy;
    const external_row_reader& external_rows;
    std::mt19937_64 random;
    metrics counters;
    /// Wall clock in milliseconds since 1970, as of the latest `wall_clock`
    /// event.
    std::int64_t wall_clock_ms = 0;
    cell_config_ptr config; ///< Null until the first one has been read.
    /// Data centres that the operator has evacuated: no task starts there.
    std::set<std::string> evacuated_data_centres;
    /// Effects of the events handled so far, in order.
    cell_effects effects;

    /// Returns a new id for a store operation.
    op_id next_op_id()
    {
        return {component::cell, ++last_op_sequence_};
    }
    /// Returns a new id for a call to a worker or to the advice service. Other
    /// hosts make the calls and may answer to a later process of this host, so
    /// no process uses the ids of another one.
    std::uint64_t next_call_id()
    {
        return ++last_call_id_;
    }
    /// Returns the number by which other hosts know the call of a caller. The
    /// ids of these calls begin anew with each process, and an owner may answer
    /// a call of the process before.
    std::uint64_t number_of(call_id id) const
    {
        return first_number_ + id;
    }
    /// Returns the call with the number. It is no call of this process when the
    /// number is none of this process.
    call_id call_with_number(std::uint64_t number) const
    {
        return number - first_number_;
    }
    /// Requests one page of `table`, starting behind the key `after`. Answered
    /// by a `store_result` with the returned id.
    op_id request_scan(std::string table, std::string after = {},
                       std::size_t limit = config::cell_scan_page_rows)
    {
        store_scan scan;
        scan.op = next_op_id();
        scan.table = std::move(table);
        scan.after = std::move(after);
        scan.limit = limit;
        effects.emplace_back(scan);
        return scan.op;
    }
    /// Requests the rows of `table` that change after version `after`, within
    /// `wait`. Answered by a `watch_result` with the returned id.
    op_id request_watch(std::string table, std::uint64_t after,
                        std::chrono::milliseconds wait)
    {
        store_watch watch;
        watch.op = next_op_id();
        watch.table = std::move(table);
        watch.after = after;
        watch.wait_ms = wait.count();
        effects.emplace_back(watch);
        return watch.op;
    }
    /// Reports a read of `table` that is older than what this host knows.
    void report_read_behind(const std::string& table,
                            std::uint64_t read_version,
                            std::uint64_t known_version)
    {
        counters.count("carobcourse_reads_behind_total", table);
        log(log_code::cell_read_behind,
            fmt::format("table={} version={} known={}", table, read_version,
                        known_version));
    }
    void log(log_code code, std::string detail)
    {
        effects.emplace_back(log_record{code, std::move(detail)});
    }
    /// Writes at most one line of `code` in a second, with the number of those
    /// left out before it: clients provoke as many as they like.
    void log_limited(time_point now, log_code code, std::string detail)
    {
        auto& state = limited_logs_[code];
        if (now < state.next_at)
        {
            ++state.left_out;
            return;
        }
        state.next_at = now + std::chrono::seconds(1);
        log(code, fmt::format("{} left_out={}", detail,
                              std::exchange(state.left_out, 0)));
    }

private:
    struct limited_log
    {
        time_point next_at;
        std::uint64_t left_out = 0;
    };

    std::map<log_code, limited_log> limited_logs_;
    /// Returns where the numbers of a process begin: far from those of other
    /// processes, as with the initial sequence numbers of TCP, and so that they
    /// do not overflow.
    static std::uint64_t first_number_of(const std::string& incarnation)
    {
        return stable_hash(incarnation, 0, 0) >> 1U;
    }

    const std::uint64_t first_number_;
    std::uint64_t last_op_sequence_ = 0;
    std::uint64_t last_call_id_;
};

} // namespace carobcourse
