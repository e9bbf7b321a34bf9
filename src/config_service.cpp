#include "config_service_p.hpp"
#include "config_tables_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;
using namespace config_tables;

constexpr std::size_t entry_scan_limit = 100000;

} // namespace

config_service::config_service(core_context& context) : context_(context) {}

bool config_service::is_fresh(time_point now) const
{
    if (!current_.is_loaded())
        return false;
    if (confirmed_at_ && now < *confirmed_at_ + config::config_freshness_bound)
        return true;
    return is_granted(now);
}

bool config_service::is_granted(time_point now) const
{
    const auto& grants = context_.grants;
    const auto until = grants.confirmed_until();
    return until && now < *until &&
           grants.highest_config_version() <= current_.version() &&
           own_read_at_ && *own_read_at_ >= grants.last_member_removal();
}

/// True when the gate of changes is open and the version of the own member
/// row, which the commit requires, is known.
bool config_service::may_write(time_point now) const
{
    return context_.member_row && context_.grants.may_change(now);
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
    if (change_waits_ && may_write(now))
    {
        // A change is based on the newest head.
        change_waits_ = false;
        next_poll_ = now;
    }
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
    change_waits_ = false;
    // While the table is out of reach no change can be written, so peers may
    // rely on this host again, unless the outcome of a change is unknown.
    if (changes_.empty() && !change_op_ && !change_unresolved_)
        context_.grants.end_change();
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
        if (!apply_logged(row.value))
            break;
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

/// Applies the next change and keeps its text for peers. A change that is in
/// force already is passed over. False when one is missing before it.
bool config_service::apply_logged(const std::string& text)
{
    const auto change = config_change_from_json(text);
    if (!change || change->version > current_.version() + 1)
        return false;
    if (change->version <= current_.version())
        return true;
    current_.apply(*change);
    current_.advance(change->version);
    recent_.emplace_back(change->version, text);
    if (recent_.size() > config::recent_changes_kept)
        recent_.pop_front();
    return true;
}

void config_service::caught_up(time_point now)
{
    step_ = load_step::idle;
    own_read_at_ = poll_started_;
    confirmed_at_ =
        std::max(confirmed_at_.value_or(poll_started_), poll_started_);
    context_.counters.gauge("carobcourse_config_version",
                            static_cast<double>(current_.version()));
    pass_gate(now);
}

void config_service::pass_gate(time_point now)
{
    auto& grants = context_.grants;
    if (changes_.empty())
    {
        // A read that began before the change ended may not show it yet.
        if (poll_started_ < change_ended_at_)
            return;
        change_unresolved_ = false;
        grants.end_change();
        return;
    }
    if (change_op_ || changes_.front().at != change_step::waiting)
        return;
    if (head_version_ != current_.version())
    {
        // A peer was faster than the read; the next one has the new head.
        next_poll_ = now;
        return;
    }
    grants.begin_change();
    change_waits_ = !may_write(now);
    if (!change_waits_)
        send_next_change(now);
}

void config_service::on_peer_confirmation(std::uint64_t version,
                                          time_point confirmed_at)
{
    if (current_.is_loaded() && current_.version() >= version)
        confirmed_at_ =
            std::max(confirmed_at_.value_or(confirmed_at), confirmed_at);
}

std::vector<std::string>
config_service::recent_changes(std::uint64_t after) const
{
    std::vector<std::string> texts;
    if (recent_.empty() || recent_.front().first > after + 1)
        return texts;
    for (const auto& [version, text] : recent_)
    {
        if (version > after && texts.size() < config::config_entries_batch)
            texts.push_back(text);
    }
    return texts;
}

bool config_service::apply_from_peer(const std::vector<std::string>& changes)
{
    const auto before = current_.version();
    if (!current_.is_loaded())
        return false;
    for (const auto& text : changes)
    {
        if (!apply_logged(text))
            break;
    }
    if (current_.version() == before)
        return false;
    context_.counters.gauge("carobcourse_config_version",
                            static_cast<double>(current_.version()));
    context_.log(log_code::config_applied,
                 fmt::format("version {}", current_.version()));
    return true;
}

} // namespace carobcourse
