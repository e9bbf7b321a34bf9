#include "ownership_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char shard_table[] = "shard";

} // namespace

std::string fence_value(std::uint64_t epoch, const std::string& write_id)
{
    return json{{"epoch", epoch}, {"write_id", write_id}}.dump();
}

ownership::ownership(core_context& context, std::string shard)
    : context_(context), shard_(std::move(shard))
{
}

bool ownership::is_owner(time_point now) const
{
    return acts_until_ && now < *acts_until_;
}

time_point ownership::acts_until() const
{
    return acts_until_.value_or(time_point{});
}

void ownership::on_tick(time_point now)
{
    if (acts_until_ && now >= *acts_until_)
    {
        acts_until_.reset();
        context_.balance.note_released(shard_);
        context_.log(log_code::shard_lost,
                     fmt::format("{} epoch {}", shard_, epoch_));
    }
    // Only a lease that is still held is extended: once it has lapsed,
    // another host may have taken the shard before it granted anything.
    if (acts_until_)
    {
        if (const auto granted = context_.grants.shards_granted_until(
                context_.identity.data_centre))
            acts_until_ = std::max(*acts_until_, *granted);
    }
    if (release_wanted_ && !released_)
        release(now);
    if (op_ || now < next_action_ || released_)
        return;
    next_action_ = now + config::ownership_renew_period;
    if (is_owner(now))
        take(now, row_version_, epoch_);
    else
        read(now);
}

void ownership::read(time_point)
{
    op_ = context_.next_op(component::ownership);
    writing_ = false;
    context_.out.emplace_back(store_read{*op_, shard_table, shard_});
}

bool ownership::on_store_result(time_point now, const store_result& result)
{
    if (release_op_ && result.op == *release_op_)
    {
        release_op_.reset();
        return true;
    }
    if (!op_ || !(result.op == *op_))
        return false;
    op_.reset();
    if (writing_)
        on_taken(now, result);
    else if (result.status == store_status::ok)
        on_read(now, result);
    return true;
}

void ownership::on_read(time_point now, const store_result& result)
{
    if (released_)
        return;
    // The outcome of an earlier takeover is known now.
    context_.grants.end_takeover(shard_);
    if (result.rows.empty())
    {
        if (!absent_since_)
            absent_since_ = now;
        if (context_.balance.may_acquire(now, *absent_since_))
            take(now, 0, 1);
        return;
    }
    absent_since_.reset();
    const auto& row = result.rows.front();
    const auto value = json::parse(row.value, nullptr, false);
    if (!value.is_object())
        return;
    owner_ = value.value("owner", std::string());
    seen_epoch_ = value.value("epoch", std::uint64_t{0});
    if (row.version != watched_version_)
    {
        watched_version_ = row.version;
        watched_since_ = now;
    }
    const bool own = value.value("incarnation", std::string()) ==
                     context_.identity.incarnation;
    const bool free = owner_.empty();
    const auto lease =
        config::ownership_lease + drift_margin(config::ownership_lease);
    // After a renewal whose reply was lost the epoch stays.
    if (own && is_owner(now) && seen_epoch_ == epoch_)
        take(now, row.version, epoch_);
    else if (own || (free && context_.balance.may_acquire(now, watched_since_)))
        take(now, row.version, seen_epoch_ + 1);
    else if (!free && now - watched_since_ >= lease &&
             context_.balance.may_acquire(now, watched_since_ + lease))
    {
        if (context_.grants.begin_takeover(now, shard_, owner_))
            take(now, row.version, seen_epoch_ + 1);
        else
            next_action_ = now + config::heartbeat_period;
    }
}

void ownership::take(time_point now, std::uint64_t expect_version,
                     std::uint64_t next_epoch)
{
    op_ = context_.next_op(component::ownership);
    writing_ = true;
    context_.balance.note_held(shard_);
    wanted_epoch_ = next_epoch;
    sent_at_ = now;
    store_commit commit;
    commit.op = *op_;
    const json value{{"owner", context_.identity.host},
                     {"incarnation", context_.identity.incarnation},
                     {"epoch", next_epoch}};
    commit.writes = {{shard_table, shard_, expect_version, value.dump()}};
    // The fence row changes hands with the epoch and with each write of the
    // owner's jobs, but not with renewals, so these never conflict.
    writes_fence_ = !is_owner(now);
    if (writes_fence_)
        commit.writes.push_back(
            {fence_table, shard_, std::nullopt, fence_value(next_epoch, "")});
    context_.out.emplace_back(std::move(commit));
}

void ownership::on_taken(time_point now, const store_result& result)
{
    if (result.status != store_status::unknown)
        context_.grants.end_takeover(shard_);
    if (released_)
        return;
    if (result.status != store_status::ok)
    {
        // A lost reply leaves the row version unknown; it is read again.
        if (!is_owner(now))
            context_.balance.note_released(shard_);
        next_action_ = now + config::heartbeat_period;
        if (result.status == store_status::conflict ||
            result.status == store_status::unknown)
            read(now);
        return;
    }
    const bool renewed = is_owner(now) && epoch_ == wanted_epoch_;
    row_version_ = result.versions.empty() ? 0 : result.versions.front();
    if (!renewed && !writes_fence_)
    {
        // The lease lapsed or was given up while its renewal was on its way.
        // Commits of the old epoch may still take effect, so only a new epoch
        // with a new fence may read the jobs again.
        take(now, row_version_, wanted_epoch_ + 1);
        return;
    }
    epoch_ = wanted_epoch_;
    owner_ = context_.identity.host;
    context_.balance.note_held(shard_);
    const auto until = sent_at_ + config::ownership_lease -
                       drift_margin(config::ownership_lease);
    acts_until_ = renewed ? std::max(*acts_until_, until) : until;
    if (result.versions.size() > 1)
        fence_version_ = result.versions[1];
    if (!renewed)
        context_.log(log_code::shard_acquired,
                     fmt::format("{} epoch {}", shard_, epoch_));
}

void ownership::release(time_point now)
{
    release_wanted_ = true;
    // A renewal in flight may change the row's version; the release waits
    // for its result.
    if (released_ || op_)
        return;
    released_ = true;
    if (is_owner(now))
    {
        store_commit commit;
        commit.op = context_.next_op(component::ownership);
        release_op_ = commit.op;
        const json value{{"owner", ""}, {"incarnation", ""}, {"epoch", epoch_}};
        commit.writes = {{shard_table, shard_, row_version_, value.dump()}};
        context_.out.emplace_back(std::move(commit));
    }
    acts_until_.reset();
    context_.balance.note_released(shard_);
}

void ownership::resume(time_point now)
{
    release_wanted_ = false;
    released_ = false;
    next_action_ = now + config::ownership_renew_period;
}

void ownership::step_down(time_point now)
{
    if (!acts_until_)
        return;
    acts_until_.reset();
    context_.balance.note_released(shard_);
    next_action_ = now;
    context_.log(log_code::shard_lost,
                 fmt::format("{} epoch {} stepped down", shard_, epoch_));
}

} // namespace carobcourse
