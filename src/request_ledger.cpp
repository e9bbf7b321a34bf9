#include "request_ledger_p.hpp"

#include <charconv>
#include <fmt/format.h>
#include <vector>

namespace carobcourse
{

namespace
{

constexpr char ticket_prefix[] = "tk1";
constexpr std::size_t ticket_fields = 7;
constexpr std::size_t secret_bytes = 32;
constexpr std::size_t mac_characters = 32;
/// An entry that is still running when it expires is checked again after this
/// period.
constexpr auto recheck_period = std::chrono::seconds(10);

template <class Number>
bool read_number(const std::string& text, Number& value)
{
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

std::string signed_text(const ticket& value)
{
    return fmt::format("{}.{}.{}.{}.{}.{}", ticket_prefix, value.data_centre,
                       value.host, value.incarnation, value.issued_ms,
                       value.sequence);
}

} // namespace

std::optional<ticket> parse_ticket(const std::string& text)
{
    std::vector<std::string> fields;
    std::size_t begin = 0;
    while (fields.size() <= ticket_fields)
    {
        const auto end = text.find('.', begin);
        fields.push_back(text.substr(begin, end - begin));
        if (end == std::string::npos)
            break;
        begin = end + 1;
    }
    ticket value;
    if (fields.size() != ticket_fields || fields[0] != ticket_prefix ||
        !read_number(fields[4], value.issued_ms) ||
        !read_number(fields[5], value.sequence))
        return std::nullopt;
    value.data_centre = fields[1];
    value.host = fields[2];
    value.incarnation = fields[3];
    value.mac = fields[6];
    return value;
}

request_ledger::request_ledger(core_context& context)
    : context_(context), secret_(context.entropy.hex(secret_bytes))
{
}

std::string request_ledger::issue_ticket(time_point now,
                                         const std::string& team)
{
    ticket value;
    value.data_centre = context_.identity.data_centre;
    value.host = context_.identity.host;
    value.incarnation = context_.identity.incarnation;
    value.issued_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count();
    value.sequence = ++ticket_sequence_;
    return signed_text(value) + "." + mac_of(value, team);
}

std::string request_ledger::mac_of(const ticket& value,
                                   const std::string& team) const
{
    return hmac_sha256_hex(secret_, team + "." + signed_text(value))
        .substr(0, mac_characters);
}

bool request_ledger::is_own_ticket(const ticket& value,
                                   const std::string& team) const
{
    return value.incarnation == context_.identity.incarnation &&
           equal_constant_time(value.mac, mac_of(value, team));
}

time_point request_ledger::expiry_of(const ticket& value)
{
    return time_point(std::chrono::milliseconds(value.issued_ms)) +
           config::ticket_validity;
}

bool request_ledger::contains(const std::string& team,
                              const std::string& name) const
{
    return entries_.count({team, name}) > 0;
}

bool request_ledger::may_have_run(const std::string& team,
                                  const std::string& name) const
{
    const auto found = entries_.find({team, name});
    return found != entries_.end() && found->second.status != state::not_run;
}

request_ledger::entry* request_ledger::find(const std::string& team,
                                            const std::string& name)
{
    const auto found = entries_.find({team, name});
    return found == entries_.end() ? nullptr : &found->second;
}

request_ledger::begin_result request_ledger::begin(const std::string& team,
                                                   const std::string& name,
                                                   std::uint64_t fingerprint,
                                                   time_point expires)
{
    if (auto* known = find(team, name))
    {
        if (known->fingerprint != fingerprint)
            return {ledger_verdict::mismatch, "", nullptr, 0};
        switch (known->status)
        {
        case state::running:
            return {ledger_verdict::in_progress, "", nullptr, 0};
        case state::answered:
            return {ledger_verdict::recorded, "", &known->answer, 0};
        case state::unknown:
            return {ledger_verdict::unknown, "", nullptr, 0};
        case state::not_run:
            break;
        }
        known->status = state::running;
        return {ledger_verdict::fresh, known->claim, nullptr, ++known->uses};
    }
    auto& team_count = team_entries_[team];
    if (entries_.size() >= config::ledger_capacity ||
        team_count >= config::ledger_team_capacity)
        return {};
    ++team_count;
    entry added;
    added.fingerprint = fingerprint;
    added.claim = std::to_string(++claim_sequence_);
    added.expires = expires;
    const entry_name key{team, name};
    expiries_.emplace(expires, key);
    const auto at = entries_.emplace(key, std::move(added)).first;
    return {ledger_verdict::fresh, at->second.claim, nullptr, 0};
}

void request_ledger::record(const std::string& team, const std::string& name,
                            recorded_answer answer)
{
    auto* known = find(team, name);
    if (!known || known->status != state::running)
        return;
    known->status = state::answered;
    known->answer = std::move(answer);
    answer_bytes_ += known->answer.body.size();
    answered_.emplace_back(team, name);
    limit_answers();
}

void request_ledger::limit_answers()
{
    while (answer_bytes_ > config::ledger_answer_bytes && !answered_.empty())
    {
        // Drops only the answer: the entry stays, so that a repeat is not
        // treated as a new request.
        auto* oldest = find(answered_.front().first, answered_.front().second);
        answered_.pop_front();
        if (!oldest || oldest->status != state::answered)
            continue;
        answer_bytes_ -= oldest->answer.body.size();
        oldest->answer = {};
        oldest->status = state::unknown;
        context_.counters.count("carobcourse_recorded_answers_dropped_total");
    }
}

void request_ledger::mark_unknown(const std::string& team,
                                  const std::string& name)
{
    auto* known = find(team, name);
    if (known && known->status == state::running)
        known->status = state::unknown;
}

void request_ledger::mark_not_run(const std::string& team,
                                  const std::string& name)
{
    auto* known = find(team, name);
    if (known && known->status == state::running)
        known->status = state::not_run;
}

void request_ledger::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        const auto key = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        const auto found = entries_.find(key);
        if (found == entries_.end())
            continue;
        if (found->second.status == state::running)
        {
            expiries_.emplace(now + recheck_period, key);
            continue;
        }
        answer_bytes_ -= found->second.answer.body.size();
        entries_.erase(found);
        const auto team_count = team_entries_.find(key.first);
        if (--team_count->second == 0)
            team_entries_.erase(team_count);
    }
    // Removes the names of erased entries from the front; the oldest answers
    // expire first.
    while (!answered_.empty() && entries_.count(answered_.front()) == 0)
        answered_.pop_front();
}

} // namespace carobcourse
