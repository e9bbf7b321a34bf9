#include "cell_operator_p.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "cell_limits_p.hpp"

namespace carobcourse
{

void cell_operator::scan(std::string after)
{
    if (after.empty())
        scanned_.clear();
    op_ = context_.scan(context_.outside.operator_table(), std::move(after));
}

void cell_operator::tick(time_point now)
{
    if (op_ || now < next_)
        return;
    sent_at_ = now;
    if (!followed_)
    {
        scan("");
        return;
    }
    op_ = context_.watch(context_.outside.operator_table(), version_);
}

bool cell_operator::on_store(time_point now, const store_result& result)
{
    if (!op_ || !(*op_ == result.op))
        return false;
    op_.reset();
    if (result.status != store_status::ok)
    {
        next_ = now + config::cell_watch_retry;
        return true;
    }
    for (const auto& row : result.rows)
        scanned_[row.key] = row.value;
    if (result.more && !result.rows.empty())
    {
        scan(result.rows.back().key);
        return true;
    }
    const auto out_before = context_.data_centres_out;
    context_.data_centres_out.clear();
    for (const auto& [key, value] : scanned_)
        apply(key, value);
    if (out_before != context_.data_centres_out)
        context_.log(
            log_code::cell_evacuation,
            fmt::format("out=[{}]", fmt::join(context_.data_centres_out, ",")));
    scanned_.clear();
    version_ = result.version;
    followed_ = true;
    confirmed_at_ = sent_at_;
    return true;
}

bool cell_operator::on_watch(time_point now, const watch_result& result)
{
    if (!op_ || !(*op_ == result.op))
        return false;
    op_.reset();
    if (result.history_lost)
    {
        followed_ = false;
        return true;
    }
    if (result.status != store_status::ok)
    {
        if (!failing_)
            context_.log(log_code::store_down,
                         fmt::format("watch of the operator's rows version={}",
                                     version_));
        failing_ = true;
        next_ = now + config::cell_watch_retry;
        return true;
    }
    if (failing_)
        context_.log(log_code::store_up, "watch of the operator's rows");
    failing_ = false;
    const auto out_before = context_.data_centres_out;
    for (const auto& row : result.rows)
        apply(row.key, row.value);
    for (const auto& key : result.removed)
        remove(key);
    if (out_before != context_.data_centres_out)
        context_.log(
            log_code::cell_evacuation,
            fmt::format("out=[{}]", fmt::join(context_.data_centres_out, ",")));
    version_ = std::max(version_, result.version);
    confirmed_at_ = sent_at_;
    return true;
}

void cell_operator::apply(const std::string& key, const std::string& value)
{
    const auto centre = context_.outside.data_centre_out(key);
    if (!centre.empty())
    {
        context_.data_centres_out.insert(centre);
        return;
    }
    auto config = context_.outside.read_config(key, value);
    if (!config)
    {
        context_.log(log_code::cell_row_unreadable,
                     fmt::format("row={} {}", key, config.error().detail));
        return;
    }
    if (!*config)
        return;
    // Rows of an older version, read from before a change, change nothing.
    if (context_.config && (*config)->version() <= context_.config->version())
        return;
    context_.config = std::move(*config);
    context_.log(log_code::config_applied,
                 fmt::format("version={} queues={}", context_.config->version(),
                             context_.config->queues().size()));
}

void cell_operator::remove(const std::string& key)
{
    const auto centre = context_.outside.data_centre_out(key);
    if (!centre.empty())
        context_.data_centres_out.erase(centre);
}

} // namespace carobcourse
