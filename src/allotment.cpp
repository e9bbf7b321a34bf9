#include "allotment_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;
using namespace std::chrono_literals;

/// One scan of the teams' rows per owner; at 17 shards 9 reads/s.
constexpr auto scan_period = 2000ms;
constexpr std::size_t scan_limit = 10000;
/// Between two moves of one team, so that a busy team costs a shard at most
/// two writes a second.
constexpr auto move_period = 500ms;
constexpr auto retry_period = 1000ms;
constexpr auto max_conflict_backoff_ms = 100;
/// A share is returned only after this, so that short gaps between jobs cost
/// no writes.
constexpr auto return_after = 10000ms;
/// As `return_after`, while another shard wants more.
constexpr auto give_after = 1000ms;
constexpr auto want_period = 5000ms;
constexpr auto limit_spread_ms = 2000;
/// A share grows by at least this fraction of the limit.
constexpr std::int64_t step_divisor = 16;
constexpr std::size_t max_in_flight = 16;

template <class Function>
resources combine(const resources& a, const resources& b, Function function)
{
    return {function(a.cpu_millis, b.cpu_millis),
            function(a.memory_mb, b.memory_mb),
            function(a.accelerators, b.accelerators)};
}

resources lower(const resources& a, const resources& b)
{
    return combine(a, b, [](auto x, auto y) { return std::min(x, y); });
}

resources higher(const resources& a, const resources& b)
{
    return combine(a, b, [](auto x, auto y) { return std::max(x, y); });
}

/// a - b, not below zero.
resources without(const resources& a, const resources& b)
{
    return higher(a - b, resources{});
}

resources divided_by(const resources& a, std::int64_t n)
{
    return {a.cpu_millis / n, a.memory_mb / n, a.accelerators / n};
}

std::int64_t proportion(std::int64_t amount, std::int64_t limit,
                        std::int64_t sum)
{
    if (sum <= limit)
        return amount;
    // The factors are at most 1e12, so long double keeps every digit that
    // matters; rounding down keeps the sum of the parts within the limit.
    const auto exact = static_cast<long double>(amount) *
                       static_cast<long double>(limit) /
                       static_cast<long double>(sum);
    return static_cast<std::int64_t>(exact);
}

/// Amount by which a share grows beyond what is needed at once.
resources step_of(const resources& limit)
{
    const auto part = divided_by(limit, step_divisor);
    const auto at_least = combine(
        limit, limit, [](auto x, auto) { return std::int64_t{x > 0 ? 1 : 0}; });
    return higher(part, at_least);
}

} // namespace

std::string to_json_text(const team_limit_row& row)
{
    json wants = json::object();
    for (const auto& [shard, amount] : row.wants)
        wants[shard] = to_json(amount);
    json dues = json::object();
    for (const auto& [shard, amount] : row.dues)
        dues[shard] = to_json(amount);
    return json{{"limit_version", row.limit_version},
                {"limit", to_json(row.limit)},
                {"handed_out", to_json(row.handed_out)},
                {"divided", to_json(row.divided)},
                {"holders", row.holders},
                {"wants", wants},
                {"dues", dues}}
        .dump();
}

tl::expected<team_limit_row, error>
team_limit_row_from_json(const std::string& text)
{
    try
    {
        const auto value = json::parse(text);
        team_limit_row row;
        row.limit_version = value.at("limit_version").get<std::uint64_t>();
        row.limit = resources_from_json(value.at("limit"));
        row.handed_out = resources_from_json(value.at("handed_out"));
        row.divided = resources_from_json(value.at("divided"));
        row.holders = value.at("holders").get<std::set<std::string>>();
        for (const auto& [shard, amount] : value.at("wants").items())
            row.wants[shard] = resources_from_json(amount);
        for (const auto& [shard, amount] : value.at("dues").items())
            row.dues[shard] = resources_from_json(amount);
        return row;
    }
    catch (const json::exception& e)
    {
        return tl::make_unexpected(
            error{result_code::invalid_document, e.what()});
    }
}

allotment::allotment(core_context& context, const configuration& config,
                     std::string shard)
    : context_(context), config_(config), shard_(std::move(shard))
{
}

std::string allotment::share_key(const std::string& team) const
{
    return team + "/" + shard_;
}

void allotment::begin(time_point now, std::uint64_t epoch)
{
    end();
    active_ = true;
    epoch_ = epoch;
    next_scan_ = now;
}

void allotment::end()
{
    active_ = false;
    scan_op_.reset();
    ops_.clear();
    limit_reads_.clear();
    teams_.clear();
    uses_.clear();
}

// --------------------------------------------------------------------- use

void allotment::begin_pass()
{
    for (auto& [team, state] : teams_)
        state.need = {};
}

bool allotment::may_start(const std::string& team, const resources& amount)
{
    auto& state = teams_[team];
    const auto wanted = state.used + amount;
    const auto most = ceiling(state);
    if (active_ && wanted.fits_in(state.usable) &&
        (!most || wanted.fits_in(*most)))
        return true;
    state.need += amount;
    return false;
}

void allotment::note_started(const attempt_id& attempt, const std::string& team,
                             const resources& amount)
{
    const auto found = uses_.find(attempt.task);
    if (found != uses_.end())
    {
        if (found->second.attempt >= attempt.attempt)
            return;
        erase(found);
    }
    auto& state = teams_[team];
    state.used += amount;
    state.newest[++order_] = attempt;
    uses_[attempt.task] = use{attempt.attempt, team, amount, order_, false};
}

void allotment::note_ended(const attempt_id& attempt)
{
    const auto found = uses_.find(attempt.task);
    if (found != uses_.end() && found->second.attempt <= attempt.attempt)
        erase(found);
}

void allotment::note_job_ended(const std::string& job)
{
    auto found = uses_.lower_bound(task_id{job, 0});
    while (found != uses_.end() && found->first.job == job)
        erase(found++);
}

void allotment::erase(std::map<task_id, use>::iterator found)
{
    auto& state = teams_[found->second.team];
    state.used -= found->second.amount;
    state.newest.erase(found->second.order);
    uses_.erase(found);
}

std::vector<attempt_id> allotment::take_excess()
{
    std::vector<attempt_id> excess;
    for (auto& [team, state] : teams_)
    {
        const auto* document = config_.find_team(team);
        const auto most = ceiling(state);
        if (!document || !document->stop_excess || !most ||
            state.limit.handed_out.fits_in(state.limit.limit))
            continue;
        auto left = state.used;
        for (auto it = state.newest.rbegin();
             it != state.newest.rend() && !left.fits_in(*most); ++it)
        {
            auto& task = uses_[it->second.task];
            left -= task.amount;
            if (!std::exchange(task.stopping, true))
                excess.push_back(it->second);
        }
    }
    return excess;
}

resources allotment::share(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? resources{} : found->second.usable;
}

resources allotment::used(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? resources{} : found->second.used;
}

// ----------------------------------------------------------- table operations

void allotment::on_tick(time_point now)
{
    if (!active_)
        return;
    if (!scan_op_ && now >= next_scan_)
        scan(now);
    for (const auto& [team, entry] : config_.entries(entry_kind::team))
        teams_[team];
    for (auto& [team, state] : teams_)
    {
        if (ops_.size() >= max_in_flight)
            break;
        if (!state.op && now >= state.next_action)
            advance(now, team, state);
    }
}

void allotment::scan(time_point now)
{
    next_scan_ = now + scan_period;
    scan_op_ = context_.next_op(component::allotments);
    context_.out.emplace_back(
        store_scan{*scan_op_, allotment_tables::limits, "", "", scan_limit});
}

bool allotment::on_store_result(time_point now, const store_result& result)
{
    if (scan_op_ && result.op == *scan_op_)
    {
        scan_op_.reset();
        if (result.status == store_status::ok)
            on_scan(result);
        return true;
    }
    const auto found = ops_.find(result.op);
    if (found == ops_.end())
        return false;
    const auto team = found->second;
    ops_.erase(found);
    auto& state = teams_[team];
    state.op.reset();
    if (limit_reads_.erase(result.op) != 0)
        on_limit_read(now, state, result);
    else if (state.step == share_step::reading)
        on_share_read(now, team, state, result);
    else
        on_written(now, state, result);
    return true;
}

void allotment::on_scan(const store_result& result)
{
    for (const auto& row : result.rows)
        take_limit_row(teams_[row.key], row);
    // A row that the scan does not have is absent; a row is never deleted.
    for (auto& [team, state] : teams_)
        state.limit_known = true;
}

void allotment::take_limit_row(team_state& state, const row& row)
{
    if (state.limit_known && row.version <= state.limit_row_version)
        return;
    const auto parsed = team_limit_row_from_json(row.value);
    if (!parsed)
        return;
    state.limit_known = true;
    state.limit_row_version = row.version;
    state.limit = *parsed;
    note_divided(state);
}

void allotment::on_limit_read(time_point now, team_state& state,
                              const store_result& result)
{
    if (result.status != store_status::ok)
    {
        state.next_action = now + retry_period;
        return;
    }
    state.reread_limit = false;
    if (!result.rows.empty())
        take_limit_row(state, result.rows.front());
}

void allotment::advance(time_point now, const std::string& team,
                        team_state& state)
{
    if (state.step == share_step::unread)
    {
        state.step = share_step::reading;
        state.op = context_.next_op(component::allotments);
        ops_[*state.op] = team;
        context_.out.emplace_back(
            store_read{*state.op, allotment_tables::shares, share_key(team)});
    }
    else if (state.reread_limit)
    {
        state.op = context_.next_op(component::allotments);
        ops_[*state.op] = team;
        limit_reads_.insert(*state.op);
        context_.out.emplace_back(
            store_read{*state.op, allotment_tables::limits, team});
    }
    else if (state.step == share_step::ready && state.limit_known)
    {
        plan(now, team, state);
    }
}

void allotment::on_share_read(time_point now, const std::string& team,
                              team_state& state, const store_result& result)
{
    state.step = share_step::unread;
    if (result.status != store_status::ok)
    {
        state.next_action = now + retry_period;
        return;
    }
    resources amount;
    std::string write_id;
    std::uint64_t version = 0;
    if (!result.rows.empty())
    {
        const auto value =
            json::parse(result.rows.front().value, nullptr, false);
        try
        {
            amount = resources_from_json(value.at("amount"));
            write_id = value.at("write_id").get<std::string>();
            if (value.at("epoch").get<std::uint64_t>() > epoch_)
            {
                // A later owner has claimed the share.
                state.usable = {};
                state.next_action = now + retry_period;
                return;
            }
        }
        catch (const json::exception&)
        {
            state.next_action = now + retry_period;
            return;
        }
        version = result.rows.front().version;
    }
    state.share_row_version = version;
    state.row_amount = amount;
    const bool own = state.unsettled && write_id == state.write_id;
    if (own || (version == 0 && !state.unsettled))
    {
        state.unsettled = false;
        state.usable = amount;
        state.step = share_step::ready;
        note_divided(state);
        return;
    }
    // A write of the owner before, or an own one without a reply, may still
    // take effect. The claim changes the row's version and so excludes it.
    state.usable = lower(state.usable, amount);
    claim(team, state);
}

std::string allotment::share_text(const resources& amount, team_state& state)
{
    state.write_id = context_.entropy.hex(8);
    return json{{"amount", to_json(amount)},
                {"epoch", epoch_},
                {"write_id", state.write_id}}
        .dump();
}

void allotment::claim(const std::string& team, team_state& state)
{
    state.step = share_step::claiming;
    state.next_amount = state.row_amount;
    store_commit commit;
    commit.op = context_.next_op(component::allotments);
    commit.writes = {{allotment_tables::shares, share_key(team),
                      state.share_row_version,
                      share_text(state.row_amount, state)}};
    state.op = commit.op;
    ops_[commit.op] = team;
    context_.out.emplace_back(std::move(commit));
}

void allotment::on_written(time_point now, team_state& state,
                           const store_result& result)
{
    const bool claimed = state.step == share_step::claiming;
    const auto backoff = std::chrono::milliseconds(
        1 + context_.random() % max_conflict_backoff_ms);
    const std::size_t share_index = claimed ? 0 : 1;
    const std::size_t writes = claimed || !state.writes_share ? 1 : 2;
    switch (result.status)
    {
    case store_status::ok:
        if (result.versions.size() != writes)
            break;
        if (claimed || state.writes_share)
        {
            state.step = share_step::ready;
            state.unsettled = false;
            state.share_row_version = result.versions[share_index];
            state.row_amount = state.next_amount;
            state.usable = state.next_amount;
        }
        if (!claimed)
        {
            state.limit = state.next_limit;
            state.limit_row_version = result.versions[0];
            state.next_action = now + move_period;
        }
        note_divided(state);
        return;
    case store_status::conflict:
        context_.counters.count_retry("allotment_conflict");
        state.next_action = now + backoff;
        state.reread_limit = !claimed;
        if (!claimed && result.conflict_index == 0)
            state.usable = state.row_amount; // Nothing was written.
        else
            unsettle(state);
        return;
    case store_status::not_sent:
    case store_status::unavailable:
        state.next_action = now + retry_period;
        if (claimed)
            unsettle(state);
        else
            state.usable = state.row_amount;
        return;
    case store_status::unknown:
        break;
    }
    context_.counters.count_retry("allotment_write_unknown");
    state.next_action = now + backoff;
    state.reread_limit = !claimed;
    if (claimed || state.writes_share)
        unsettle(state);
}

void allotment::unsettle(team_state& state)
{
    state.step = share_step::unread;
    state.unsettled = true;
}

// ------------------------------------------------------------------- planning

void allotment::note_divided(team_state& state) const
{
    if (state.step != share_step::ready ||
        state.divided_version == state.limit.limit_version)
        return;
    const auto& limit = state.limit;
    state.divided_version = limit.limit_version;
    const auto& amount = state.row_amount;
    state.divided_share = {proportion(amount.cpu_millis, limit.limit.cpu_millis,
                                      limit.divided.cpu_millis),
                           proportion(amount.memory_mb, limit.limit.memory_mb,
                                      limit.divided.memory_mb),
                           proportion(amount.accelerators,
                                      limit.limit.accelerators,
                                      limit.divided.accelerators)};
}

resources
allotment::open_to_others(const team_limit_row& limit,
                          const std::map<std::string, resources>& by) const
{
    resources sum;
    for (const auto& [shard, amount] : by)
    {
        if (shard != shard_)
            sum += amount;
    }
    return without(sum, without(limit.limit, limit.handed_out));
}

void allotment::forget_wants(team_limit_row& limit) const
{
    limit.wants.erase(shard_);
    limit.dues.erase(shard_);
}

resources allotment::fair_part(const team_limit_row& limit) const
{
    auto shards = limit.holders;
    shards.insert(shard_);
    for (const auto& [shard, amount] : limit.wants)
        shards.insert(shard);
    return divided_by(limit.limit, static_cast<std::int64_t>(shards.size()));
}

std::optional<resources> allotment::ceiling(const team_state& state) const
{
    const auto& limit = state.limit;
    if (!limit.handed_out.fits_in(limit.limit))
        return state.divided_share;
    if (!open_to_others(limit, limit.dues).is_zero())
        return fair_part(limit);
    return std::nullopt;
}

resources allotment::plan_excess(team_state& state,
                                 const team_limit_row& limit) const
{
    const auto keep = higher(state.used, state.divided_share);
    const auto excess = without(limit.handed_out, limit.limit);
    return state.row_amount - lower(excess, without(state.row_amount, keep));
}

resources allotment::plan_growth(team_state& state, team_limit_row& limit) const
{
    const auto pool = without(limit.limit, limit.handed_out);
    const auto need = lower(state.used + state.need, limit.limit);
    const auto step = step_of(limit.limit);
    const auto missing = without(need, state.row_amount);
    const auto ask = combine(missing, step,
                             [](auto x, auto y) { return x > 0 ? x + y : 0; });
    auto growth = lower(ask, pool);
    const auto fair = fair_part(limit);
    // What others gave up for a shard below its even part is left to it.
    const bool others_due =
        std::any_of(limit.dues.begin(), limit.dues.end(),
                    [this](const auto& each) { return each.first != shard_; });
    if (others_due)
        growth = lower(growth, without(fair, state.row_amount));
    const auto amount = state.row_amount + growth;
    forget_wants(limit);
    const auto want = without(need, amount);
    if (!want.is_zero())
        limit.wants[shard_] = want;
    const auto due = without(lower(need, fair), amount);
    if (!due.is_zero())
        limit.dues[shard_] = due;
    return amount;
}

resources allotment::plan_amount(time_point now, team_state& state,
                                 team_limit_row& limit)
{
    if (!limit.handed_out.fits_in(limit.limit))
    {
        forget_wants(limit);
        return plan_excess(state, limit);
    }
    const auto need = lower(state.used + state.need, limit.limit);
    const auto due = open_to_others(limit, limit.dues);
    if (!due.is_zero())
    {
        const auto keep = higher(state.used, lower(need, fair_part(limit)));
        const auto give = lower(without(state.row_amount, keep), due);
        if (!give.is_zero())
            return state.row_amount - give;
    }
    if (!need.fits_in(state.row_amount))
    {
        state.spare_since.reset();
        return plan_growth(state, limit);
    }
    forget_wants(limit);
    const auto wanted = open_to_others(limit, limit.wants);
    const auto enough = need.is_zero() || !wanted.is_zero()
                            ? need
                            : need + step_of(limit.limit);
    if (state.row_amount.fits_in(enough))
    {
        state.spare_since.reset();
        return state.row_amount;
    }
    if (!state.spare_since)
        state.spare_since = now;
    const duration wait =
        wanted.is_zero() ? duration(return_after) : duration(give_after);
    if (now - *state.spare_since < wait)
        return state.row_amount;
    state.spare_since.reset();
    if (wanted.is_zero())
        return lower(state.row_amount, enough);
    return state.row_amount - lower(without(state.row_amount, enough), wanted);
}

void allotment::plan(time_point now, const std::string& team, team_state& state)
{
    auto limit = state.limit;
    const auto version = config_.team_version(team);
    const bool newer = version > limit.limit_version;
    if (newer)
    {
        const auto* document = config_.find_team(team);
        limit.limit_version = version;
        limit.limit = document ? document->limit : resources{};
        limit.divided = limit.handed_out;
    }
    // A limit is written alone first, so that its division among the shards
    // is the same for all.
    const auto amount = newer && !limit.handed_out.fits_in(limit.limit)
                            ? state.row_amount
                            : plan_amount(now, state, limit);
    const bool wants_changed =
        state.limit.wants.count(shard_) != limit.wants.count(shard_) ||
        state.limit.dues.count(shard_) != limit.dues.count(shard_) ||
        ((state.limit.wants != limit.wants || state.limit.dues != limit.dues) &&
         now - state.want_written >= want_period);
    state.writes_share = amount != state.row_amount;
    if (!newer && !wants_changed && !state.writes_share)
        return;
    if (newer && !state.writes_share)
    {
        // One of the owners writes a new limit; the others see it in their
        // scan while they wait.
        if (!state.limit_due)
            state.limit_due = now + std::chrono::milliseconds(
                                        context_.random() % limit_spread_ms);
        if (now < *state.limit_due)
            return;
    }
    state.limit_due.reset();
    limit.handed_out += amount - state.row_amount;
    if (amount.is_zero())
        limit.holders.erase(shard_);
    else
        limit.holders.insert(shard_);
    state.want_written = now;
    state.next_amount = amount;
    state.next_limit = limit;
    // What is given back is not used from now on, whatever the reply is.
    state.usable = lower(state.usable, amount);
    store_commit commit;
    commit.op = context_.next_op(component::allotments);
    commit.writes = {{allotment_tables::limits, team, state.limit_row_version,
                      to_json_text(limit)}};
    if (state.writes_share)
        commit.writes.push_back({allotment_tables::shares, share_key(team),
                                 state.share_row_version,
                                 share_text(amount, state)});
    state.op = commit.op;
    ops_[commit.op] = team;
    context_.out.emplace_back(std::move(commit));
}

} // namespace carobcourse
