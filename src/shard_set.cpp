#include "shard_set_p.hpp"

#include <algorithm>
#include <utility>

namespace carobcourse
{

shard_set::shard_set(core_context& context, const config_service& config)
    : context_(context), config_(config), agreement_(context),
      map_(context.identity.shards_per_data_centre)
{
    for (std::uint32_t index = 0; index < map_.shard_count(); ++index)
        shards_.push_back(
            std::make_unique<shard_scheduler>(context, config, map_, index));
}

void shard_set::on_tick(time_point now)
{
    agreement_.on_tick(now);
    if (agreement_.current() != shard_agreement::state::agreed)
        return;
    rebalance(now);
    std::size_t owned = 0;
    for (const auto& shard : shards_)
    {
        shard->on_tick(now);
        owned += shard->is_owner(now) ? 1 : 0;
    }
    context_.counters.gauge("carobcourse_shards_owned",
                            static_cast<double>(owned));
}

void shard_set::rebalance(time_point now)
{
    context_.balance.on_tick(now,
                             !stopping_ && context_.grants.is_registered());
    if (stopping_ || !context_.balance.has_surplus())
        return;
    shard_scheduler* fewest_jobs = nullptr;
    for (const auto& shard : shards_)
    {
        if (shard->can_hand_over() &&
            (!fewest_jobs || shard->job_count() < fewest_jobs->job_count()))
            fewest_jobs = shard.get();
    }
    if (!fewest_jobs)
        return;
    context_.balance.note_handed_over(now);
    fewest_jobs->hand_over(now);
}

void shard_set::on_hosts(time_point now, const std::vector<host_entry>& hosts)
{
    map_.set_hosts(hosts);
    for (const auto& shard : shards_)
        shard->on_hosts(now);
}

void shard_set::on_worker_result(time_point now, const worker_result& result)
{
    for (const auto& shard : shards_)
    {
        if (shard->on_worker_result(now, result))
            return;
    }
}

void shard_set::on_store_result(time_point now, const store_result& result)
{
    if (agreement_.on_store_result(now, result))
        return;
    for (const auto& shard : shards_)
    {
        if (shard->on_store_result(now, result))
            return;
    }
    const auto found = pending_calls_.find(result.op);
    if (found == pending_calls_.end())
        return;
    auto pending = std::move(found->second);
    pending_calls_.erase(found);
    switch (pending.current_step)
    {
    case pending_call::step::submit:
        on_submitted(std::move(pending), result);
        break;
    case pending_call::step::submit_read_back:
        on_submit_read_back(pending, result);
        break;
    case pending_call::step::find_home:
        on_home_read(std::move(pending), result);
        break;
    case pending_call::step::read_job:
        on_job_read(pending, result);
        break;
    case pending_call::step::cancel:
        on_cancel_written(pending, result);
        break;
    }
}

void shard_set::stop(time_point now)
{
    stopping_ = true;
    for (const auto& shard : shards_)
        shard->stop(now);
}

bool shard_set::is_drained() const
{
    return pending_calls_.empty() &&
           std::all_of(shards_.begin(), shards_.end(),
                       [](const auto& shard) { return shard->is_released(); });
}

void shard_set::request_inbox_poll(const std::string& shard)
{
    for (const auto& each : shards_)
    {
        if (each->shard() == shard)
            each->request_inbox_poll();
    }
}

} // namespace carobcourse
