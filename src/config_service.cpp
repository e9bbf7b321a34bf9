#include "config_service_p.hpp"

#include <algorithm>
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
constexpr std::size_t max_pending_changes = 256;

std::string log_key(std::uint64_t version)
{
    return fmt::format("{:020}", version);
}

std::optional<std::string> tail_after(const std::string& path,
                                      const std::string& prefix)
{
    if (path.size() <= prefix.size() ||
        path.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return path.substr(prefix.size());
}

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
           grants.highest_version() <= current_.version() && own_read_at_ &&
           *own_read_at_ >= grants.removed_at();
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
    if (change_waits_ && context_.grants.may_change(now))
    {
        // A change is based on the newest head.
        change_waits_ = false;
        next_poll_ = now;
    }
    if (step_ == load_step::idle && now >= next_poll_)
        read_head(now);
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
    if (change_op_ && result.op == *change_op_)
    {
        change_op_.reset();
        change_unresolved_ = changes_.front().reading_back
                                 ? result.status != store_status::ok
                                 : result.status == store_status::unknown;
        change_ended_at_ = now;
        if (changes_.front().reading_back)
            on_read_back(result);
        else
            on_commit(result);
        return;
    }
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

void config_service::poll_failed(time_point)
{
    step_ = load_step::idle;
    change_waits_ = false;
    // While the table is out of reach no change can be written, so peers may
    // rely on this host again, unless the outcome of a change is unknown.
    if (!change_op_ && !change_unresolved_)
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
    if (change_op_)
        return;
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
    if (head_version_ != current_.version())
    {
        // A peer was faster than the read; the next one has the new head.
        next_poll_ = now;
        return;
    }
    grants.begin_change();
    change_waits_ = !grants.may_change(now);
    if (!change_waits_)
        send_next_change();
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

// ---------------------------------------------------------- operators' calls

bool config_service::on_call(time_point now, const api_call& call)
{
    const auto team = tail_after(call.path, "/v1/teams/");
    const auto key = tail_after(call.path, "/v1/keys/");
    const auto data_centre = tail_after(call.path, "/v1/datacentres/");
    const bool lists = call.path == "/v1/teams" || call.path == "/v1/keys" ||
                       call.path == "/v1/datacentres";
    if (!team && !key && !data_centre && !lists)
        return false;
    if (!check_operator(call))
        return true;
    if (!current_.is_loaded())
    {
        context_.refuse(call.id, {result_code::no_configuration, ""});
        return true;
    }
    if (call.method == "GET" && call.path == "/v1/teams")
        list_entries(call, entry_kind::team);
    else if (call.method == "GET" && call.path == "/v1/keys")
        list_entries(call, entry_kind::key);
    else if (call.method == "GET" && call.path == "/v1/datacentres")
        list_entries(call, entry_kind::data_centre);
    else if (call.method == "PUT" && team)
        put_team(call, *team);
    else if (call.method == "POST" && call.path == "/v1/keys")
        give_key(call);
    else if (call.method == "DELETE" && key)
        withdraw_key(call, *key);
    else if (call.method == "PUT" && data_centre)
        put_data_centre(call, *data_centre);
    else
        context_.refuse(call.id, {result_code::method_not_allowed, ""});
    (void)now;
    return true;
}

bool config_service::check_operator(const api_call& call)
{
    if (equal_constant_time(call.key, context_.identity.operator_key))
        return true;
    context_.refuse(call.id, {result_code::operator_key_required, ""});
    return false;
}

void config_service::list_entries(const api_call& call, entry_kind kind)
{
    json list = json::array();
    for (const auto& [name, entry] : current_.entries(kind))
    {
        if (!entry.value)
            continue;
        json item{{"name", name}, {"version", entry.version}};
        if (kind == entry_kind::key)
            item["team"] = json::parse(*entry.value, nullptr, false)["team"];
        else if (kind == entry_kind::team)
            item["document"] = json::parse(*entry.value, nullptr, false);
        else
            item["state"] = *entry.value;
        list.push_back(item);
    }
    context_.reply(
        call.id, 200,
        json{{"version", current_.version()}, {"entries", list}}.dump());
}

void config_service::put_team(const api_call& call, const std::string& team)
{
    const auto document = parse_team_document(call.body, team);
    if (!document)
    {
        std::string detail;
        for (const auto& each : document.error())
            detail += (detail.empty() ? "" : "; ") + to_string(each);
        context_.refuse(call.id, {result_code::invalid_document, detail});
        return;
    }
    if (document->team != team)
    {
        context_.refuse(call.id, {result_code::invalid_document,
                                  "the path names another team"});
        return;
    }
    const auto in_force = current_.team_version(team);
    const auto* existing = current_.find_team(team);
    if (existing && *existing == *document)
    {
        context_.reply(
            call.id, 200,
            json{{"team", team}, {"version", in_force}, {"changed", false}}
                .dump());
        return;
    }
    if (document->base_version != in_force)
    {
        context_.refuse(call.id,
                        {result_code::version_conflict,
                         fmt::format("based on {}, in force is {}",
                                     document->base_version, in_force)});
        return;
    }
    enqueue(call, entry_kind::team, team, to_json_text(*document),
            json{{"team", team}, {"changed", true}}.dump());
}

void config_service::give_key(const api_call& call)
{
    const auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object() || !body.contains("team") ||
        !body["team"].is_string())
    {
        context_.refuse(call.id,
                        {result_code::bad_request, "needs a member \"team\""});
        return;
    }
    const auto team = body["team"].get<std::string>();
    if (!current_.find_team(team))
    {
        context_.refuse(call.id, {result_code::not_found, "team " + team});
        return;
    }
    const auto issued = issue_key(team, context_.entropy);
    enqueue(
        call, entry_kind::key, issued.record.id, to_json_text(issued.record),
        json{{"id", issued.record.id}, {"team", team}, {"key", issued.printed}}
            .dump());
}

void config_service::withdraw_key(const api_call& call, const std::string& id)
{
    const auto& keys = current_.entries(entry_kind::key);
    const auto found = keys.find(id);
    if (found == keys.end())
    {
        context_.refuse(call.id, {result_code::not_found, "key " + id});
        return;
    }
    enqueue(call, entry_kind::key, id, std::nullopt,
            json{{"id", id}, {"withdrawn", true}}.dump());
}

void config_service::put_data_centre(const api_call& call,
                                     const std::string& name)
{
    const auto body = json::parse(call.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("state") &&
                       (body["state"] == "in" || body["state"] == "out");
    if (!valid || !is_valid_name(name))
    {
        context_.refuse(call.id,
                        {result_code::bad_request,
                         "needs a member \"state\": \"in\" or \"out\""});
        return;
    }
    const auto in_force = current_.data_centre_version(name);
    if (body.contains("version") && body["version"] != in_force)
    {
        context_.refuse(call.id, {result_code::version_conflict,
                                  fmt::format("in force is {}", in_force)});
        return;
    }
    const auto state = body["state"].get<std::string>();
    if (current_.is_data_centre_out(name) == (state == "out") && in_force != 0)
    {
        context_.reply(call.id, 200,
                       json{{"data_centre", name},
                            {"state", state},
                            {"version", in_force},
                            {"changed", false}}
                           .dump());
        return;
    }
    enqueue(call, entry_kind::data_centre, name, state,
            json{{"data_centre", name}, {"state", state}, {"changed", true}}
                .dump());
}

void config_service::enqueue(const api_call& call, entry_kind kind,
                             const std::string& name,
                             std::optional<std::string> value,
                             std::string answer)
{
    if (changes_.size() >= max_pending_changes)
    {
        context_.refuse(call.id, {result_code::request_ring_full, ""});
        return;
    }
    pending_change pending;
    pending.call = call.id;
    pending.change.kind = kind;
    pending.change.name = name;
    pending.change.value = std::move(value);
    pending.answer = std::move(answer);
    changes_.push_back(std::move(pending));
    // A change is based on the newest head, so it waits for a poll.
    if (step_ == load_step::idle && !change_op_)
        next_poll_ = time_point{};
}

void config_service::send_next_change()
{
    auto& pending = changes_.front();
    auto& change = pending.change;
    change.version = current_.version() + 1;
    change.write_id = context_.entropy.hex(16);
    const auto text = to_json_text(change);
    store_commit commit;
    commit.op = context_.next_op(component::config);
    commit.writes = {{head_table, head_key, head_row_version_,
                      json{{"version", change.version}}.dump()},
                     {log_table, log_key(change.version), 0, text},
                     {entries_table, entry_key(change.kind, change.name),
                      std::nullopt, text}};
    change_op_ = commit.op;
    context_.out.emplace_back(std::move(commit));
}

void config_service::on_commit(const store_result& result)
{
    auto& pending = changes_.front();
    switch (result.status)
    {
    case store_status::ok:
        finish_change(nullptr);
        return;
    case store_status::conflict:
    {
        const error why{result_code::version_conflict,
                        "another operator changed the configuration"};
        finish_change(&why);
        return;
    }
    case store_status::not_sent:
    case store_status::unavailable:
    {
        const error why{result_code::store_unavailable, ""};
        finish_change(&why);
        return;
    }
    case store_status::unknown:
        pending.reading_back = true;
        change_op_ = context_.next_op(component::config);
        context_.out.emplace_back(store_read{*change_op_, log_table,
                                             log_key(pending.change.version)});
        return;
    }
}

void config_service::on_read_back(const store_result& result)
{
    const auto& pending = changes_.front();
    error why{result_code::store_write_unknown, "read the entry back later"};
    if (result.status == store_status::ok && !result.rows.empty())
    {
        const auto written = config_change_from_json(result.rows.front().value);
        if (written && written->write_id == pending.change.write_id)
        {
            finish_change(nullptr);
            return;
        }
        why = {result_code::version_conflict,
               "another operator changed the configuration"};
    }
    finish_change(&why);
}

void config_service::finish_change(const error* why)
{
    const auto pending = std::move(changes_.front());
    changes_.pop_front();
    if (why)
    {
        context_.refuse(pending.call, *why);
    }
    else
    {
        auto answer = json::parse(pending.answer);
        answer["version"] = pending.change.version;
        context_.reply(pending.call, 200, answer.dump());
    }
    next_poll_ = time_point{}; // Read the new head at once.
}

} // namespace carobcourse
