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

bool cell_election::is_owner_heard(time_point now) const
{
    return owns_ || (heard_ && now <= heard_at_ + config::cell_link_timeout);
}

bool cell_election::is_owner_suspect(time_point now) const
{
    return !heard_ || now > heard_at_ + config::cell_owner_suspicion;
}

void cell_election::on_heard(time_point now, std::uint64_t epoch,
                             const std::string& host,
                             const std::string& address, bool store_ok)
{
    if (epoch < epoch_ || owns_)
        return;
    epoch_ = epoch;
    owner_ = host;
    owner_address_ = address;
    heard_ = true;
    heard_at_ = now;
    owner_store_ok_ = store_ok;
    if (store_ok)
        claim_at_.reset();
}

void cell_election::on_link_lost(const std::string& host)
{
    if (host != owner_)
        return;
    heard_ = false;
    next_read_ = {};
}

cell_election::step cell_election::tick(time_point now)
{
    if (owns_ || busy_ || stopping_)
        return step::none;
    if (!is_owner_suspect(now) && owner_store_ok_)
        return step::none;
    // The row is watched from the first missed heartbeats on, so that its
    // silence and that of the link are waited for at the same time.
    const bool may_claim = !is_owner_heard(now) || !owner_store_ok_;
    if (may_claim && claim_at_ && now >= *claim_at_)
    {
        claim_at_.reset();
        claim_ = {(known_ ? known_->epoch : 0) + 1,
                  host_,
                  incarnation_,
                  peer_address_,
                  0,
                  false};
        busy_ = true;
        return step::claim;
    }
    if (now < next_read_)
        return step::none;
    next_read_ = now + config::cell_owner_read_period;
    busy_ = true;
    return step::read;
}

void cell_election::schedule_claim(time_point now)
{
    if (claim_at_)
        return;
    const auto spread = duration(config::cell_claim_spread).count();
    claim_at_ = now + claim_delay_ +
                duration(static_cast<std::int64_t>(
                    random_() % static_cast<std::uint64_t>(spread)));
}

void cell_election::on_read_failed(time_point now)
{
    busy_ = false;
    next_read_ = now + config::cell_owner_read_period;
    claim_at_.reset();
}

void cell_election::on_read(time_point now, const std::optional<row>& found)
{
    busy_ = false;
    if (!found)
    {
        known_.reset();
        version_ = 0;
        schedule_claim(now);
        return;
    }
    auto row = owner_row_from(found->value);
    if (!row)
        row = owner_row{};
    const bool changed = !known_ || version_ != found->version;
    version_ = found->version;
    known_ = *row;
    if (changed)
    {
        known_since_ = now;
        claim_at_.reset();
    }
    if (row->epoch >= epoch_ && row->host != host_)
    {
        epoch_ = row->epoch;
        owner_ = row->host;
        owner_address_ = row->peer_address;
    }
    // The row of an earlier process of this host needs no wait, and neither
    // does one that was given up.
    const bool free = row->host == host_ || row->released;
    const auto timeout = is_owner_heard(now)
                             ? config::cell_failing_owner_timeout
                             : config::cell_owner_timeout;
    const bool silent = !changed && now >= known_since_ + timeout;
    if (free || silent)
        schedule_claim(now);
}

std::optional<std::uint64_t>
cell_election::on_claimed(time_point now, const store_result& result)
{
    busy_ = false;
    next_read_ = now;
    std::optional<std::uint64_t> version;
    if (result.status == store_status::ok && !result.versions.empty())
        version = result.versions.front();
    if (result.status == store_status::conflict)
    {
        // An earlier copy of this claim may have taken effect.
        for (const auto& each : result.rows)
        {
            const auto row = owner_row_from(each.value);
            if (each.key == owner_key && row && *row == claim_)
                version = each.version;
        }
    }
    if (!version)
        return std::nullopt;
    owns_ = true;
    epoch_ = claim_.epoch;
    owner_ = host_;
    owner_address_ = peer_address_;
    return version;
}

void cell_election::on_lost(time_point now)
{
    owns_ = false;
    heard_ = false;
    owner_.clear();
    known_.reset();
    next_read_ = now;
}

} // namespace carobcourse
