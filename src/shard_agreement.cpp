#include "shard_agreement_p.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char cluster_table[] = "cluster";
constexpr char count_key[] = "shards_per_data_centre";

} // namespace

void shard_agreement::on_tick(time_point now)
{
    if (state_ == state::agreed || op_ || now < next_read_at_)
        return;
    next_read_at_ = now + config::ownership_renew_period;
    op_ = context_.next_op(component::ownership);
    insert_pending_ = false;
    context_.out.emplace_back(store_read{*op_, cluster_table, count_key});
}

bool shard_agreement::on_store_result(time_point now,
                                      const store_result& result)
{
    if (!op_ || !(result.op == *op_))
        return false;
    op_.reset();
    if (insert_pending_)
    {
        if (result.status == store_status::ok)
            state_ = state::agreed;
        else
            // Another host inserted the row first, or the reply was lost:
            // read the row at the next tick.
            next_read_at_ = now;
        return true;
    }
    if (result.status != store_status::ok)
        return true;
    if (!result.rows.empty())
    {
        check_row(result.rows.front());
        return true;
    }
    store_commit commit;
    commit.op = context_.next_op(component::ownership);
    op_ = commit.op;
    insert_pending_ = true;
    const json value{{"count", context_.identity.shards_per_data_centre}};
    commit.writes = {{cluster_table, count_key, 0, value.dump()}};
    context_.out.emplace_back(std::move(commit));
    return true;
}

void shard_agreement::check_row(const row& found)
{
    const auto value = json::parse(found.value, nullptr, false);
    const auto own = context_.identity.shards_per_data_centre;
    const bool same = value.is_object() && value.contains("count") &&
                      value["count"].is_number_unsigned() &&
                      value["count"].get<std::uint64_t>() == own;
    if (!same && state_ != state::differs)
        context_.log(log_code::shards_differ,
                     fmt::format("configured {}, stored {}", own, found.value));
    state_ = same ? state::agreed : state::differs;
}

} // namespace carobcourse
