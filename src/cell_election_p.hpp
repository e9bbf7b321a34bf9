/// Which entry host owns the cell: a row of the store, changed only under its
/// version. No lease: an owner that others take for dead is shut out by the
/// version of its row and by the epoch at the workers.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "cell_event_p.hpp"
#include "cell_journal_p.hpp"

namespace carobcourse
{

/// The part of one host in the election. Core thread only.
class cell_election
{
public:
    enum class action : std::uint8_t
    {
        none,
        read, ///< Read the owner's row.
        claim ///< Commit `claim_row` under `claim_version`.
    };

    cell_election(std::string host, std::string incarnation,
                  std::string peer_address, duration claim_delay,
                  std::uint64_t seed);

    /// The owner has sent a heartbeat. `store_ok`: its commits succeed.
    void on_heartbeat(time_point now, std::uint64_t epoch,
                      const std::string& host, const std::string& address,
                      bool store_ok);
    /// The connection to the owner has broken.
    void on_link_lost(const std::string& host);
    /// What to do now; a read or claim must be answered before the next.
    action next_action(time_point now);
    /// Answer to a read; no row: it is absent.
    void on_read(time_point now, const std::optional<row>& found);
    void on_read_failed(time_point now);
    /// Answer to a claim. Returns the version of the own row when this host
    /// owns the cell now.
    std::optional<std::uint64_t> on_claim_result(time_point now,
                                                 const store_result& result);
    /// This host has lost or given up the cell.
    void on_ownership_lost(time_point now);
    /// No further claims.
    void stop()
    {
        stopping_ = true;
    }

    const owner_row& claim_row() const
    {
        return claim_;
    }
    std::uint64_t claim_version() const
    {
        return last_row_ ? last_row_version_ : 0;
    }
    /// Owner by the latest word; empty when none is known.
    const std::string& owner() const
    {
        return owner_;
    }
    const std::string& owner_address() const
    {
        return owner_address_;
    }
    std::uint64_t epoch() const
    {
        return epoch_;
    }
    bool has_owner_heartbeat(time_point now) const;

private:
    void schedule_claim(time_point now);
    /// Heartbeats are missing, though the link is not given up yet.
    bool is_heartbeat_overdue(time_point now) const;

    const std::string host_;
    const std::string incarnation_;
    const std::string peer_address_;
    const duration claim_delay_;
    std::mt19937_64 random_;
    std::string owner_;
    std::string owner_address_;
    std::uint64_t epoch_ = 0;
    time_point last_heartbeat_at_;
    bool has_heartbeat_ = false;
    bool owner_store_ok_ = true;
    std::optional<owner_row> last_row_;
    std::uint64_t last_row_version_ = 0;
    time_point row_unchanged_since_;
    owner_row claim_;
    bool operation_pending_ = false;
    bool is_owner_ = false;
    bool stopping_ = false;
    time_point next_read_at_;
    std::optional<time_point> claim_at_;
};

} // namespace carobcourse
