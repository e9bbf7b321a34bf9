/// Election of the entry host that owns the cell. Ownership is one row of the
/// store, written only at its expected version. There is no lease: an owner
/// that the others take for dead is fenced by the version of the row in the
/// store and by the epoch at the workers.
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

/// State of the election on one host. Used by the core thread only.
class cell_election
{
public:
    /// Store operation that the caller has to carry out.
    enum class action : std::uint8_t
    {
        none,
        read, ///< Read the owner's row.
        claim ///< Commit `claim_row()` at version `claim_version()`.
    };

    /// `claim_delay` is waited before each claim, in addition to a random
    /// jitter that `seed` determines.
    cell_election(std::string host, std::string incarnation,
                  std::string peer_address, duration claim_delay,
                  std::uint64_t seed);

    /// Takes a heartbeat of the owner `host`; ignored when its epoch is out of
    /// date or this host is the owner. `store_ok` says that the owner's commits
    /// succeed.
    void on_heartbeat(time_point now, std::uint64_t epoch,
                      const std::string& host, const std::string& address,
                      bool store_ok);
    /// Takes note that the connection to `host` has broken, or that it has
    /// released the cell. If it is the owner, its row is read at once.
    void on_owner_gone(const std::string& host);
    /// Returns the operation that is due. After `read` or `claim` it returns
    /// `none` until the caller passes the result to `on_read`,
    /// `on_read_failed` or `on_claim_result`.
    action next_action(time_point now);
    /// Takes the result of a read; `found` is empty when the row is absent.
    void on_read(time_point now, const std::optional<row>& found);
    /// Takes note that a read failed; it is repeated later.
    void on_read_failed(time_point now);
    /// Takes the result of a claim. Returns the version of the owner's row when
    /// this host now owns the cell, otherwise nothing.
    std::optional<std::uint64_t> on_claim_result(time_point now,
                                                 const store_result& result);
    /// Takes note that this host has lost or released the cell.
    void on_ownership_lost(time_point now);
    /// Makes no further reads or claims.
    void stop()
    {
        stopping_ = true;
    }

    /// Row to be written by the claim that `next_action` asked for.
    const owner_row& claim_row() const
    {
        return claim_;
    }
    /// Version that the owner's row must have for the claim; 0 when it must be
    /// absent.
    std::uint64_t claim_version() const
    {
        return last_row_ ? last_row_version_ : 0;
    }
    /// Host that owns the cell as far as this host knows; empty when no owner
    /// is known.
    const std::string& owner() const
    {
        return owner_;
    }
    const std::string& owner_address() const
    {
        return owner_address_;
    }
    /// Highest epoch seen.
    std::uint64_t epoch() const
    {
        return epoch_;
    }
    /// True while this host is the owner or the last heartbeat of the owner is
    /// not older than `cell_link_timeout`.
    bool has_owner_heartbeat(time_point now) const;
    /// True when heartbeats are missing. Reads of the owner's row begin then,
    /// and calls are not sent to the owner, before the link itself times out.
    bool is_heartbeat_overdue(time_point now) const;

private:
    /// Sets the time of the next claim unless one is set.
    void schedule_claim(time_point now);

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
    std::optional<owner_row> last_row_; ///< Empty when the row is absent.
    std::uint64_t last_row_version_ = 0;
    /// When a read first returned `last_row_version_`.
    time_point row_unchanged_since_;
    owner_row claim_;
    bool operation_pending_ = false; ///< A read or claim has no result yet.
    bool is_owner_ = false;
    bool stopping_ = false;
    time_point next_read_at_;
    std::optional<time_point> claim_at_;
};

} // namespace carobcourse
