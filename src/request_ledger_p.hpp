/// What became of the requests that must run at most once.
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

/// The parts of a ticket as printed.
struct ticket
{
    std::string data_centre;
    std::string host;
    std::string incarnation;
    std::int64_t issued_ms = 0; ///< On the issuer's clock.
    std::uint64_t sequence = 0;
    std::string mac;
};

/// Returns nothing when `text` does not have the form of a ticket.
std::optional<ticket> parse_ticket(const std::string& text);

struct recorded_answer
{
    int http_status = 0;
    std::string content_type;
    std::string body;
};

enum class ledger_verdict : std::uint8_t
{
    fresh,       ///< Nothing ran yet; the request may run now.
    in_progress, ///< The same request waits or runs.
    recorded,    ///< The answer is known.
    unknown,     ///< It may have run; its answer is not known.
    mismatch,    ///< The same name came with another request.
    full         ///< No room to remember another request.
};

/// Aggregate. Rules: a name is `fresh` at most once after something may have
/// run; an entry is dropped only when a repeat of its name is no longer
/// judged by memory (an expired ticket, or a row in the table). Memory is
/// bounded: entries by number, answers by bytes. Not thread safe.
class request_ledger
{
public:
    explicit request_ledger(core_context& context);

    /// Makes a ticket for `team`; needs no memory until it is used.
    std::string issue_ticket(time_point now, const std::string& team);

    /// True when this incarnation issued the ticket, for `team`.
    bool is_own_ticket(const ticket& value, const std::string& team) const;

    static time_point expiry_of(const ticket& value);

    struct begin_result
    {
        ledger_verdict verdict = ledger_verdict::full;
        std::string claim; ///< Names the entry in the table while fresh.
        const recorded_answer* answer = nullptr; ///< Valid when recorded.
        std::uint32_t use = 0; ///< Counts the uses of the entry while fresh.
    };
    /// Enters a request, or judges a repeat of it. `fingerprint` tells
    /// different requests under one name apart.
    begin_result begin(const std::string& team, const std::string& name,
                       std::uint64_t fingerprint, time_point expires);

    /// True when there is an entry, in any state.
    bool contains(const std::string& team, const std::string& name) const;

    /// True when there is an entry that does not say that nothing ran.
    bool may_have_run(const std::string& team, const std::string& name) const;

    void record(const std::string& team, const std::string& name,
                recorded_answer answer);
    void mark_unknown(const std::string& team, const std::string& name);
    /// States that nothing ran, so that the name may be used again.
    void mark_not_run(const std::string& team, const std::string& name);

    /// Drops what has expired.
    void expire(time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    using entry_name = std::pair<std::string, std::string>; ///< Team, name.

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
    std::string secret_; ///< Of this incarnation.
    std::uint64_t ticket_sequence_ = 0;
    std::uint64_t claim_sequence_ = 0;
    std::map<entry_name, entry> entries_;
    std::map<std::string, std::size_t> team_entries_;
    std::set<std::pair<time_point, entry_name>> expiries_;
    std::deque<entry_name> answered_; ///< Oldest first.
    std::size_t answer_bytes_ = 0;
};

} // namespace carobcourse
