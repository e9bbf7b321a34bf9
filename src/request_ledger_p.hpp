/// Ledger of requests that must run at most once, with their outcomes.
#pragma once

#include <carobcourse/types.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core_context_p.hpp"

namespace carobcourse
{

/// The fields of a ticket, in the order of its text form.
struct ticket
{
    std::string data_centre;
    std::string host;
    std::string incarnation;
    std::int64_t issued_ms = 0; ///< Issue time on the issuer's clock.
    std::uint64_t sequence = 0;
    std::string mac; ///< Authenticates the ticket for one team.
};

/// Returns `nullopt` if `text` is not a well-formed ticket. Does not verify
/// the MAC.
std::optional<ticket> parse_ticket(const std::string& text);

/// The answer of a backend server, kept for repeats of its request.
struct recorded_answer
{
    int http_status = 0;
    std::string content_type;
    std::string body;
};

/// Result of looking up or entering a request in the ledger.
enum class ledger_verdict : std::uint8_t
{
    fresh,       ///< The request has not run and may run now.
    in_progress, ///< The same request is waiting or running.
    recorded,    ///< The answer is recorded.
    unknown,     ///< The request may have run; its answer is not known.
    mismatch,    ///< The name was used for a different request.
    full         ///< The ledger has no capacity for another request.
};

/// Records the state and answer of each request that has a ticket or an
/// idempotency key. Once a request may have run, its name is never reported as
/// `fresh` again. An entry is removed only when a repeat can be decided without
/// it: by the expired ticket or by the row in the stored table. The number of
/// entries and the bytes of recorded answers are bounded. Not thread safe.
class request_ledger
{
public:
    explicit request_ledger(core_context& context);

    /// Issues a signed ticket for `team`. Allocates no ledger entry until the
    /// ticket is used.
    std::string issue_ticket(time_point now, const std::string& team);

    /// Returns true if this process issued the ticket for `team`.
    bool is_own_ticket(const ticket& value, const std::string& team) const;

    /// Returns the end of the validity of the ticket.
    static time_point expiry_of(const ticket& value);

    /// Result of `begin`. `claim` and `use` are set only if the verdict is
    /// `fresh`.
    struct begin_result
    {
        ledger_verdict verdict = ledger_verdict::full;
        std::string claim; ///< Identifies the entry in the stored table.
        /// Set only if the verdict is `recorded`; valid until the next change
        /// of the ledger.
        const recorded_answer* answer = nullptr;
        std::uint32_t use = 0; ///< Number of earlier uses of the entry.
    };
    /// Enters a request, or returns the state of the request already entered
    /// under this name. `fingerprint` identifies the content, so that a
    /// different request under the same name is a `mismatch`.
    begin_result begin(const std::string& team, const std::string& name,
                       std::uint64_t fingerprint, time_point expires);

    /// Returns true if the ledger has an entry, in any state.
    bool contains(const std::string& team, const std::string& name) const;

    /// Returns true if the ledger has an entry in any state but `not_run`.
    bool may_have_run(const std::string& team, const std::string& name) const;

    /// Records the answer of a running request; ignored in other states.
    void record(const std::string& team, const std::string& name,
                recorded_answer answer);
    /// Marks a running request as possibly run, with no answer known.
    void mark_unknown(const std::string& team, const std::string& name);
    /// Marks a running request as not run, so that its name can be reused.
    void mark_not_run(const std::string& team, const std::string& name);

    /// Removes expired entries, except those that are still running.
    void expire(time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    using entry_name = std::pair<std::string, std::string>; ///< Team and name.

    enum class state : std::uint8_t
    {
        running,
        not_run,
        answered,
        unknown
    };
    struct entry
    {
        state status = state::running;
        std::uint64_t fingerprint = 0;
        std::string claim;
        std::uint32_t uses = 0;
        recorded_answer answer;
        time_point expires;
    };

    std::string mac_of(const ticket& value, const std::string& team) const;
    entry* find(const std::string& team, const std::string& name);
    void limit_answers();

    core_context& context_;
    std::string secret_; ///< Key of the ticket MAC, new in each process.
    std::uint64_t ticket_sequence_ = 0;
    std::uint64_t claim_sequence_ = 0;
    std::map<entry_name, entry> entries_;
    std::map<std::string, std::size_t> team_entries_;
    std::set<std::pair<time_point, entry_name>> expiries_;
    std::deque<entry_name> answered_; ///< Order of recording, oldest first.
    std::size_t answer_bytes_ = 0;
};

} // namespace carobcourse
