#include "config_service_p.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char entries_table[] = "config";
constexpr char log_table[] = "config_log";
constexpr char head_table[] = "config_head";
constexpr char head_key[] = "head";
constexpr std::size_t entry_scan_limit = 100000;

std::string log_key(std::uint64_t version)
{
    return fmt::format("{:020}", version);
}

} // namespace

config_service::config_service(core_context& context) : context_(context) {}

bool config_service::is_fresh(time_point now) const
{
    return current_.is_loaded() && fresh_until_ && now < *fresh_until_;
}

tl::expected<void, error> config_service::check_usable(time_point now) const
{
    if (!current_.is_loaded())
        return tl::make_unexpected(error{result_code::no_configuration, ""});
    if (!is_fresh(now))
        return tl::make_unexpected(error{result_code::configuration_stale, ""});
    return {};
}

void config_service::on_tick(time_point now)
{
    if (step_ == load_step::idle && now >= next_poll_)
        read_head(now);
    on_change_tick(now);
    const bool fresh = is_fresh(now);
    if (fresh != was_fresh_)
    {
        context_.log(fresh ? log_code::config_fresh : log_code::config_stale,
                     fmt::format("version {}", current_.version()));
        was_fresh_ = fresh;
    }
}

void config_service::read_head(time_point now)
{
    step_ = load_step::reading_head;
    poll_started_ = now;
    next_poll_ = now + config::config_poll_period;
    poll_op_ = context_.next_op(component::config);
    context_.out.emplace_back(store_read{poll_op_, head_table, head_key});
}

void config_service::on_store_result(time_point now, const store_result& result)
{
    if (on_change_result(now, result))
        return;
    if (!(result.op == poll_op_))
        return;
    if (result.status != store_status::ok)
    {
        poll_failed(now);
        return;
    }
    switch (step_)
    {
    case load_step::reading_head:
        on_head(now, result);
        break;
    case load_step::scanning_entries:
        on_entries(now, result);
        break;
    case load_step::scanning_log:
        on_log(now, result);
        break;
    case load_step::idle:
        break;
    }
}

void config_service::poll_failed(time_point now)
{
    step_ = load_step::idle;
    refuse_unsent_changes(now);
    context_.counters.count("carobcourse_config_poll_failures_total");
}

void config_service::on_head(time_point now, const store_result& result)
{
    head_version_ = 0;
    head_row_version_ = 0;
    if (!result.rows.empty())
    {
        const auto head =
            json::parse(result.rows.front().value, nullptr, false);
        if (!head.is_object() || !head.contains("version") ||
            !head["version"].is_number_unsigned())
        {
            poll_failed(now);
            return;
        }
        head_version_ = head["version"].get<std::uint64_t>();
        head_row_version_ = result.rows.front().version;
    }
    if (!current_.is_loaded())
    {
        step_ = load_step::scanning_entries;
        poll_op_ = context_.next_op(component::config);
        context_.out.emplace_back(
            store_scan{poll_op_, entries_table, "", "", entry_scan_limit});
        return;
    }
    if (head_version_ > current_.version())
        scan_log(current_.version());
    else
        caught_up(now);
}

void config_service::on_entries(time_point now, const store_result& result)
{
    for (const auto& row : result.rows)
    {
        const auto change = config_change_from_json(row.value);
        if (change)
            current_.apply(*change);
    }
    // Entries may be newer than the head that was read; the log from there
    // on is applied again, which changes nothing.
    current_.advance(head_version_);
    caught_up(now);
}

void config_service::scan_log(std::uint64_t after)
{
    step_ = load_step::scanning_log;
    poll_op_ = context_.next_op(component::config);
    context_.out.emplace_back(store_scan{
        poll_op_, log_table, "", log_key(after), config::config_log_batch});
}

void config_service::on_log(time_point now, const store_result& result)
{
    const auto before = current_.version();
    for (const auto& row : result.rows)
    {
        const auto change = config_change_from_json(row.value);
        if (!change || change->version != current_.version() + 1)
            break;
        current_.apply(*change);
        current_.advance(change->version);
    }
    if (current_.version() < head_version_)
    {
        if (current_.version() > before)
            scan_log(current_.version());
        else
            poll_failed(now);
        return;
    }
    context_.log(log_code::config_applied,
                 fmt::format("version {}", current_.version()));
    caught_up(now);
}

void config_service::caught_up(time_point now)
{
    step_ = load_step::idle;
    fresh_until_ = poll_started_ + config::config_freshness_bound;
    context_.counters.gauge("carobcourse_config_version",
                            static_cast<double>(current_.version()));
    send_next_change(now);
}

} // namespace carobcourse
