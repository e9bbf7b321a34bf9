/// Keeps the configuration and the evacuated data centres up to date with the
/// table of the operator.
#pragma once

#include <carobcourse/types.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cell_context_p.hpp"
#include "cell_table_scan_p.hpp"

namespace carobcourse
{

/// Scans the table of the operator once and then watches it for changes.
/// Writes `cell_context::config` and `cell_context::evacuated_data_centres`. At
/// most one store operation is pending. Used by the core thread only.
///
/// The configuration is confirmed as of the latest time at which it is known to
/// have been the newest one. That time is the start of a request to the store,
/// or comes from the owner of the cell. A version that another host has shown
/// is a floor: nothing older is confirmed.
class cell_config_watcher
{
public:
    explicit cell_config_watcher(cell_context& context) : context_(context) {}

    /// Starts the next scan or watch when none is pending and it is due.
    void tick(time_point now);
    /// Returns whether `result` answers an operation of this object; other
    /// results are ignored.
    bool on_store(time_point now, const store_result& result);
    /// As for `on_store`.
    bool on_watch(time_point now, const watch_result& result);

    /// Takes note that the host `from` applies this version.
    void on_version_heard(time_point now, const std::string& from,
                          std::uint64_t version);
    /// Takes note that `version` was the newest one as of `as_of`, which is not
    /// in the future.
    void confirm(std::uint64_t version, time_point as_of);
    /// Takes the row that another host sent for `next_row_request`.
    void on_row_received(const std::string& key, const std::string& value);
    /// Returns the host to ask for its row of the configuration, when it has
    /// shown a newer version that the store has not delivered in time.
    std::optional<std::string> next_row_request(time_point now);

    /// Whether a version newer than the applied one is known to exist.
    bool is_superseded() const
    {
        return known_version_ > version();
    }
    /// Whether the configuration is known to have been the newest one at a time
    /// that is at most `max_age` ago.
    bool is_confirmed(time_point now, duration max_age) const
    {
        return context_.config && !is_superseded() &&
               now <= confirmed_at_ + max_age;
    }
    /// Whether this host itself has followed the store until a time that is at
    /// most `max_age` ago. Keys need this: callers are better served by a host
    /// that reaches the store.
    bool has_followed_store(time_point now, duration max_age) const
    {
        return context_.config && now <= store_read_at_ + max_age;
    }
    time_point confirmed_at() const
    {
        return confirmed_at_;
    }
    /// Who confirmed it last: "store", "owner" or "nobody". For logs.
    const char* confirmed_by() const
    {
        return confirmed_by_;
    }
    /// Version of the applied configuration; 0 when there is none.
    std::uint64_t version() const
    {
        return context_.config ? context_.config->version() : 0;
    }
    std::uint64_t known_version() const
    {
        return known_version_;
    }
    /// Key and value of the row of the applied configuration. Both are empty
    /// when there is none.
    const std::pair<std::string, std::string>& row() const
    {
        return row_;
    }

private:
    struct decoded_row
    {
        std::string key;
        std::string value;
        cell_config_ptr config;
    };

    /// Requests the page behind the key `after`; an empty key restarts the
    /// scan.
    void request_page(std::string after);
    /// Applies the rows of a complete scan. Returns false, and applies none,
    /// when they are older than what this host knows.
    bool apply_scan();
    /// Reports an answer of the store that is older than what this host knows,
    /// and delays the next request.
    void report_read_behind(time_point now, std::uint64_t read_version);
    /// Returns null when the row is no configuration or can not be decoded. In
    /// the second case the table is read again later.
    cell_config_ptr decode(const std::string& key, const std::string& value);
    /// Skips a configuration that is not newer than the current one.
    void apply(const decoded_row& row);
    void set_evacuated(std::set<std::string> data_centres);
    void set_confirmed(time_point as_of, const char* by);
    /// Takes note that the request that was sent last has returned the state of
    /// the table at that time or later.
    void set_confirmed_by_store();

    cell_context& context_;
    std::optional<op_id> pending_op_;
    time_point request_sent_at_;
    time_point next_request_at_;
    time_point confirmed_at_;
    const char* confirmed_by_ = "nobody";
    time_point store_read_at_;
    time_point owner_evidence_at_;
    /// When the table is read again although it is watched.
    std::optional<time_point> rescan_at_;
    time_point history_lost_at_;
    std::uint64_t version_ = 0; ///< Version of the table that is applied.
    bool watching_ = false;     ///< False: the table must be scanned first.
    bool watch_failing_ = false;
    std::uint64_t known_version_ = 0; ///< Highest that any host has shown.
    std::string newer_host_;          ///< Has shown `known_version_`.
    time_point next_row_request_at_;
    std::pair<std::string, std::string> row_;
    table_scan scan_;
    /// The newest row of the configuration that was read can not be decoded.
    bool is_newest_unreadable_ = false;
};

} // namespace carobcourse
