/// What the parts of one host of the cell share.
#pragma once

#include <cstdint>
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

/// Identity of this process, fixed at its start.
struct cell_identity
{
    std::string host;
    std::string data_centre;
    std::string incarnation;
    std::string peer_address;
    /// Relative processor share; stronger hosts claim the cell first.
    double processor_share = 1;
    /// A planned stop ends at the latest this long after its request.
    duration stop_limit = std::chrono::seconds(5);
};

/// Used by the core thread only.
class cell_context
{
public:
    cell_context(cell_identity identity, std::uint64_t seed,
                 entropy_source& entropy, const external_row_reader& outside)
        : identity(std::move(identity)), entropy(entropy), outside(outside),
          random(seed)
    {
    }

    const cell_identity identity;
    entropy_source& entropy;
    const external_row_reader& outside;
    std::mt19937_64 random;
    metrics counters;
    std::int64_t unix_ms = 0;
    cell_config_ptr config; ///< Null until one was read.
    std::set<std::string> data_centres_out;
    cell_effects out;

    op_id next_op()
    {
        return {component::cell, ++sequence_};
    }
    std::uint64_t next_call()
    {
        return ++calls_;
    }
    /// Asks for a page of a table behind the key `after`.
    op_id scan(std::string table, std::string after = {})
    {
        store_scan scan;
        scan.op = next_op();
        scan.table = std::move(table);
        scan.after = std::move(after);
        scan.limit = config::cell_scan_page;
        out.emplace_back(scan);
        return scan.op;
    }
    /// Waits for changes of a table after a version.
    op_id watch(std::string table, std::uint64_t after)
    {
        store_watch watch;
        watch.op = next_op();
        watch.table = std::move(table);
        watch.after = after;
        watch.wait_ms = config::cell_watch_wait.count();
        out.emplace_back(watch);
        return watch.op;
    }
    void log(log_code code, std::string detail)
    {
        out.emplace_back(log_record{code, std::move(detail)});
    }

private:
    std::uint64_t sequence_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace carobcourse
