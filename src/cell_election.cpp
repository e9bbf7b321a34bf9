#include "cell_election_p.hpp"

#include <utility>

#include "cell_limits_p.hpp"

namespace carobcourse
{

cell_election::cell_election(std::string host, std::string incarnation,
                             std::string peer_address, duration claim_delay,
                             std::uint64_t seed)
    : host_(std::move(host)), incarnation_(std::move(incarnation)),
      peer_address_(std::move(peer_address)), claim_delay_(claim_delay),
      random_(seed)
{
}

bool cell_election::has_owner_heartbeat(time_point now) const
{
    return is_owner_ || (has_heartbeat_ &&
                         now <= last_heartbeat_at_ + config::cell_link_timeout);
}

bool cell_election::is_heartbeat_overdue(time_point now) const
{
    return !has_heartbeat_ ||
           now > last_heartbeat_at_ + config::cell_heartbeat_timeout;
}

void cell_election::on_heartbeat(time_point now, std::uint64_t epoch,
                                 const std::string& host,
                                 const std::string& address, bool store_ok)
{
    if (epoch < epoch_ || is_owner_)
        return;
    epoch_ = epoch;
    owner_ = host;
    owner_address_ = address;
    has_heartbeat_ = true;
    last_heartbeat_at_ = now;
    owner_store_ok_ = store_ok;
    if (store_ok)
        claim_at_.reset();
}

void cell_election::on_owner_gone(const std::string& host)
{
    if (host != owner_)
        return;
    has_heartbeat_ = false;
    next_read_at_ = {};
}

cell_election::action cell_election::next_action(time_point now)
{
    if (is_owner_ || operation_pending_ || stopping_)
        return action::none;
    if (!is_heartbeat_overdue(now) && owner_store_ok_)
        return action::none;
    // The row is read as soon as heartbeats are missing, so that the timeouts
    // of the row and of the link run at the same time.
    const bool may_claim = !has_owner_heartbeat(now) || !owner_store_ok_;
    if (may_claim && claim_at_ && now >= *claim_at_)
    {
        claim_at_.reset();
        claim_ = {(last_row_ ? last_row_->epoch : 0) + 1,
                  host_,
                  incarnation_,
                  peer_address_,
                  0,
                  false};
        operation_pending_ = true;
        return action::claim;
    }
    if (now < next_read_at_)
        return action::none;
    next_read_at_ = now + config::cell_owner_read_interval;
    operation_pending_ = true;
    return action::read;
}

void cell_election::schedule_claim(time_point now)
{
    if (claim_at_)
        return;
    const auto max_jitter = duration(config::cell_max_claim_jitter).count();
    claim_at_ = now + claim_delay_ +
                duration(static_cast<std::int64_t>(
                    random_() % static_cast<std::uint64_t>(max_jitter)));
}

void cell_election::on_read_failed(time_point now)
{
    operation_pending_ = false;
    next_read_at_ = now + config::cell_owner_read_interval;
    claim_at_.reset();
}

void cell_election::on_read(time_point now, const std::optional<row>& found)
{
    operation_pending_ = false;
    if (!found)
    {
        last_row_.reset();
        last_row_version_ = 0;
        schedule_claim(now);
        return;
    }
    auto row = parse_owner_row(found->value);
    if (!row)
        row = owner_row{};
    const bool changed = !last_row_ || last_row_version_ != found->version;
    last_row_version_ = found->version;
    last_row_ = *row;
    if (changed)
    {
        row_unchanged_since_ = now;
        claim_at_.reset();
    }
    if (row->epoch >= epoch_ && row->host != host_)
    {
        epoch_ = row->epoch;
        owner_ = row->host;
        owner_address_ = row->peer_address;
    }
    // No timeout applies to the row of an earlier process of this host or to a
    // released row.
    const bool claimable = row->host == host_ || row->released;
    const auto timeout = has_owner_heartbeat(now)
                             ? config::cell_failing_owner_timeout
                             : config::cell_owner_timeout;
    const bool timed_out = !changed && now >= row_unchanged_since_ + timeout;
    if (claimable || timed_out)
        schedule_claim(now);
}

std::optional<std::uint64_t>
cell_election::on_claim_result(time_point now, const store_result& result)
{
    operation_pending_ = false;
    next_read_at_ = now;
    std::optional<std::uint64_t> version;
    if (result.status == store_status::ok && !result.versions.empty())
        version = result.versions.front();
    if (result.status == store_status::conflict)
    {
        // A copy of this claim that was sent before may have taken effect.
        for (const auto& each : result.rows)
        {
            const auto row = parse_owner_row(each.value);
            if (each.key == owner_key && row && *row == claim_)
                version = each.version;
        }
    }
    if (!version)
        return std::nullopt;
    is_owner_ = true;
    epoch_ = claim_.epoch;
    owner_ = host_;
    owner_address_ = peer_address_;
    return version;
}

void cell_election::on_ownership_lost(time_point now)
{
    is_owner_ = false;
    has_heartbeat_ = false;
    owner_.clear();
    last_row_.reset();
    next_read_at_ = now;
}

} // namespace carobcourse
