// Operators' calls: lists, and changes on their way to the table.
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

#include "allotment_p.hpp"
#include "config_service_p.hpp"
#include "config_tables_p.hpp"
#include "json_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;
using namespace config_tables;

constexpr std::size_t max_pending_changes = 256;
/// A change whose commit lost to changes of other entries is sent again so
/// many times.
constexpr int max_head_conflicts = 8;
/// Longest wait of an operator for a commit without a reply to be settled.
constexpr auto settle_limit = std::chrono::seconds(20);
constexpr auto settle_retry = std::chrono::milliseconds(200);
constexpr auto settle_at_once = std::chrono::milliseconds(0);

std::optional<std::string> tail_after(const std::string& path,
                                      const std::string& prefix)
{
    if (path.size() <= prefix.size() ||
        path.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return path.substr(prefix.size());
}

json parse(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

} // namespace

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
    else if (call.method == "GET" && team)
        read_limit(now, call, *team, false);
    else if (call.method == "PUT" && team)
        put_team(now, call, *team);
    else if (call.method == "DELETE" && team)
        read_limit(now, call, *team, true);
    else if (call.method == "POST" && call.path == "/v1/keys")
        give_key(now, call);
    else if (call.method == "DELETE" && key)
        withdraw_key(now, call, *key);
    else if (call.method == "PUT" && data_centre)
        put_data_centre(now, call, *data_centre);
    else
        context_.refuse(call.id, {result_code::method_not_allowed, ""});
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

void config_service::read_limit(time_point, const api_call& call,
                                const std::string& team, bool removes)
{
    if (!is_valid_name(team))
    {
        context_.refuse(call.id, {result_code::not_found, "team " + team});
        return;
    }
    const auto op = context_.next_op(component::config);
    limit_reads_[op] = {call.id, team, removes};
    context_.out.emplace_back(store_read{op, allotment_tables::limits, team});
}

void config_service::on_limit_read(time_point now, const limit_read& read,
                                   const store_result& result)
{
    std::optional<team_limit_row> row;
    if (result.status == store_status::ok && !result.rows.empty())
    {
        const auto parsed = team_limit_row_from_json(result.rows.front().value);
        if (parsed)
            row = *parsed;
    }
    if (read.removes)
    {
        remove_team(now, read, result.status == store_status::ok, row);
        return;
    }
    const auto* document = current_.find_team(read.team);
    if (!document)
    {
        context_.refuse(read.call,
                        {result_code::not_found, "team " + read.team});
        return;
    }
    const auto version = current_.team_version(read.team);
    json limit{{"in_force", nullptr}};
    if (result.status == store_status::ok)
    {
        limit["in_force"] = row && row->limit_version >= version &&
                            row->handed_out.fits_in(row->limit);
        const auto sum = row ? row->handed_out : resources{};
        limit["handed_out"] = {{"cpu_millis", sum.cpu_millis},
                               {"memory_mb", sum.memory_mb},
                               {"accelerators", sum.accelerators}};
        limit["version"] = row ? row->limit_version : 0;
    }
    context_.reply(read.call, 200,
                   json{{"name", read.team},
                        {"version", version},
                        {"document", parse(to_json_text(*document))},
                        {"limit", limit}}
                       .dump());
}

void config_service::remove_team(time_point now, const limit_read& read,
                                 bool known,
                                 const std::optional<team_limit_row>& row)
{
    if (!known)
    {
        context_.refuse(read.call, {result_code::store_unavailable, ""});
        return;
    }
    if (row && !row->handed_out.is_zero())
    {
        context_.refuse(read.call,
                        {result_code::team_in_use,
                         "shards hold a part of its limit: it has running "
                         "work, or had some seconds ago"});
        return;
    }
    api_call call;
    call.id = read.call;
    enqueue(now, call, entry_kind::team, read.team, std::nullopt, std::nullopt,
            json{{"team", read.team}, {"removed", true}}.dump());
}

void config_service::put_team(time_point now, const api_call& call,
                              const std::string& team)
{
    if (call.body.size() > config::max_document_bytes)
    {
        context_.refuse(call.id, {result_code::invalid_document,
                                  "must be at most 131072 bytes"});
        return;
    }
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
    enqueue(now, call, entry_kind::team, team, to_json_text(*document),
            document->base_version, json{{"team", team}}.dump());
}

void config_service::give_key(time_point now, const api_call& call)
{
    const auto body = parse_limited(call.body);
    if (!body.is_object() || !body.contains("team") ||
        !body["team"].is_string())
    {
        context_.refuse(call.id,
                        {result_code::bad_request, "needs a member \"team\""});
        return;
    }
    const auto team = body["team"].get<std::string>();
    const auto issued = issue_key(team, context_.entropy);
    enqueue(
        now, call, entry_kind::key, issued.record.id,
        to_json_text(issued.record), std::nullopt,
        json{{"id", issued.record.id}, {"team", team}, {"key", issued.printed}}
            .dump());
}

void config_service::withdraw_key(time_point now, const api_call& call,
                                  const std::string& id)
{
    enqueue(now, call, entry_kind::key, id, std::nullopt, std::nullopt,
            json{{"id", id}, {"withdrawn", true}}.dump());
}

void config_service::put_data_centre(time_point now, const api_call& call,
                                     const std::string& name)
{
    const auto body = parse_limited(call.body);
    const bool valid = body.is_object() && body.contains("state") &&
                       (body["state"] == "in" || body["state"] == "out");
    if (!valid || !is_valid_name(name))
    {
        context_.refuse(call.id,
                        {result_code::bad_request,
                         "needs a member \"state\": \"in\" or \"out\""});
        return;
    }
    std::optional<std::uint64_t> base;
    if (body.contains("version"))
    {
        if (!body["version"].is_number_unsigned())
        {
            context_.refuse(call.id, {result_code::bad_request,
                                      "\"version\" is no number"});
            return;
        }
        base = body["version"].get<std::uint64_t>();
    }
    const auto state = body["state"].get<std::string>();
    enqueue(now, call, entry_kind::data_centre, name, state, base,
            json{{"data_centre", name}, {"state", state}}.dump());
}

// --------------------------------------------------------------------- changes

void config_service::enqueue(time_point now, const api_call& call,
                             entry_kind kind, const std::string& name,
                             std::optional<std::string> value,
                             std::optional<std::uint64_t> base,
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
    pending.base = base;
    pending.answer = std::move(answer);
    pending.not_before = now;
    changes_.push_back(std::move(pending));
    // A change is checked against a head that is read after the call came.
    if (step_ == load_step::idle && !change_op_)
        next_poll_ = time_point{};
}

std::uint64_t config_service::entry_version(const config_change& change) const
{
    const auto& entries = current_.entries(change.kind);
    const auto found = entries.find(change.name);
    return found == entries.end() ? 0 : found->second.version;
}

bool config_service::is_in_force(const config_change& change) const
{
    const auto& entries = current_.entries(change.kind);
    const auto found = entries.find(change.name);
    if (change.kind == entry_kind::team && change.value)
    {
        const auto* document = current_.find_team(change.name);
        const auto wanted = team_document_from_json(*change.value);
        return document && wanted && *document == *wanted;
    }
    return found != entries.end() && found->second.value == change.value;
}

std::optional<error>
config_service::check_change(const pending_change& pending) const
{
    const auto& change = pending.change;
    const auto in_force = entry_version(change);
    // A removed team is new again: its document is based on 0.
    const bool is_new_team = change.kind == entry_kind::team && change.value &&
                             !current_.find_team(change.name) &&
                             pending.base == std::uint64_t{0};
    if (pending.base && *pending.base != in_force && !is_new_team)
        return error{result_code::version_conflict,
                     fmt::format("based on {}, in force is {}", *pending.base,
                                 in_force)};
    if (!change.value && in_force == 0)
        return error{result_code::not_found,
                     entry_key(change.kind, change.name)};
    if (change.kind == entry_kind::key && change.value)
    {
        const auto record = key_record_from_json(*change.value);
        if (!record || !current_.find_team(record->team))
            return error{result_code::not_found,
                         "team " + (record ? record->team : "")};
    }
    if (change.kind != entry_kind::team)
        return std::nullopt;
    if (!change.value)
    {
        const auto* document = current_.find_team(change.name);
        if (!document)
            return std::nullopt;
        // A key that is left would work again for a new team of this name.
        for (const auto& [id, entry] : current_.entries(entry_kind::key))
        {
            const auto record = entry.value ? key_record_from_json(*entry.value)
                                            : tl::make_unexpected(error{});
            if (record && record->team == change.name)
                return error{result_code::team_in_use,
                             "key " + id + " is not withdrawn"};
        }
        for (const auto& service : document->services)
        {
            for (const auto& other : service.submitters)
            {
                if (other != change.name && current_.find_team(other))
                    return error{result_code::team_in_use,
                                 "service " + service.name +
                                     " has the submitter " + other};
            }
        }
        return std::nullopt;
    }
    const auto document = team_document_from_json(*change.value);
    for (const auto& service : document->services)
    {
        const auto* owner = current_.find_service(service.name).owner;
        if (owner && owner->team != change.name)
            return error{result_code::service_name_taken,
                         service.name + " belongs to team " + owner->team};
    }
    return std::nullopt;
}

void config_service::answer_change(const pending_change& pending,
                                   std::uint64_t version, bool changed)
{
    auto answer = parse(pending.answer);
    answer["version"] = version;
    answer["changed"] = changed;
    const auto& change = pending.change;
    if (change.kind == entry_kind::team && change.value)
    {
        std::set<std::string> unknown;
        const auto document = team_document_from_json(*change.value);
        for (const auto& service : document->services)
        {
            for (const auto& other : service.submitters)
            {
                if (!current_.find_team(other))
                    unknown.insert(other);
            }
        }
        auto& warnings = answer["warnings"] = json::array();
        for (const auto& other : unknown)
            warnings.push_back("there is no team " + other +
                               " yet; it is named as a submitter");
    }
    context_.reply(pending.call, 200, answer.dump());
}

void config_service::send_next_change(time_point now)
{
    while (!changes_.empty() && !change_op_)
    {
        auto& pending = changes_.front();
        if (pending.at != change_step::waiting)
            return;
        if (poll_started_ < pending.not_before ||
            current_.version() != head_version_)
        {
            next_poll_ = time_point{};
            return;
        }
        auto& change = pending.change;
        if (is_in_force(change))
        {
            answer_change(pending, entry_version(change), false);
            changes_.pop_front();
            continue;
        }
        if (const auto why = check_change(pending))
        {
            finish_change(now, &*why);
            continue;
        }
        // A retry keeps to the entry as it was when it was first checked.
        if (!pending.base)
            pending.base = entry_version(change);
        change.version = head_version_ + 1;
        change.write_id = context_.entropy.hex(16);
        pending.head_row_version = head_row_version_;
        pending.give_up_at = now + settle_limit;
        commit_change(change, pending.head_row_version);
    }
}

void config_service::commit_change(const config_change& change,
                                   std::uint64_t head_row_version)
{
    const auto text = to_json_text(change);
    store_commit commit;
    commit.op = context_.next_op(component::config);
    commit.writes = {{head_table, head_key, head_row_version,
                      json{{"version", change.version}}.dump()},
                     {log_table, log_key(change.version), 0, text}};
    if (change.kind != entry_kind::none)
        commit.writes.push_back({entries_table,
                                 entry_key(change.kind, change.name),
                                 std::nullopt, text});
    // Last, so that a conflict of the head is found first.
    const auto& own = *context_.member_row;
    commit.writes.push_back({member_table, own.key, own.version, own.value});
    member_check_ = commit.writes.size() - 1;
    change_op_ = commit.op;
    auto& pending = changes_.front();
    pending.at = change.kind == entry_kind::none ? change_step::excluding
                                                 : change_step::committing;
    context_.out.emplace_back(std::move(commit));
}

/// Keeps the version of the own member row, which each commit rewrites. When it
/// is not certain the row is read again before the next commit.
void config_service::on_member_checked(const store_result& result)
{
    auto& row = context_.member_row;
    if (!row)
        return;
    if (result.status == store_status::ok &&
        result.versions.size() == member_check_ + 1)
        row->version = std::max(row->version, result.versions.back());
    else if (result.status == store_status::conflict &&
             result.conflict_index == member_check_)
        row.reset();
}

bool config_service::on_change_result(time_point now,
                                      const store_result& result)
{
    const auto read = limit_reads_.find(result.op);
    if (read != limit_reads_.end())
    {
        const auto what = read->second;
        limit_reads_.erase(read);
        on_limit_read(now, what, result);
        return true;
    }
    if (!change_op_ || !(result.op == *change_op_))
        return false;
    change_op_.reset();
    switch (changes_.front().at)
    {
    case change_step::committing:
        on_member_checked(result);
        on_commit(now, result);
        break;
    case change_step::excluding:
        // Whatever the reply is, the log row says what took effect.
        on_member_checked(result);
        settle_at(now + (result.status == store_status::ok ? settle_at_once
                                                           : settle_retry));
        on_change_tick(now);
        break;
    case change_step::reading_back:
        on_read_back(now, result);
        break;
    case change_step::waiting:
    case change_step::settling:
        break;
    }
    return true;
}

void config_service::on_commit(time_point now, const store_result& result)
{
    switch (result.status)
    {
    case store_status::ok:
        finish_change(now, nullptr);
        return;
    case store_status::conflict:
        retry_change(now);
        return;
    case store_status::not_sent:
    case store_status::unavailable:
    {
        const error why{result_code::store_unavailable, ""};
        finish_change(now, &why);
        return;
    }
    case store_status::unknown:
        context_.counters.count_retry("config_commit_unknown");
        read_back();
        return;
    }
}

void config_service::read_back()
{
    auto& pending = changes_.front();
    pending.at = change_step::reading_back;
    change_op_ = context_.next_op(component::config);
    context_.out.emplace_back(
        store_read{*change_op_, log_table, log_key(pending.change.version)});
}

void config_service::on_read_back(time_point now, const store_result& result)
{
    auto& pending = changes_.front();
    if (result.status == store_status::ok && !result.rows.empty())
    {
        const auto written = config_change_from_json(result.rows.front().value);
        if (written && written->write_id == pending.change.write_id)
        {
            context_.member_row.reset(); // Rewritten at an unknown version.
            finish_change(now, nullptr);
        }
        else
            retry_change(now); // Another change has this version for good.
        return;
    }
    settle_at(now + settle_retry);
    if (result.status == store_status::ok && now < pending.give_up_at &&
        context_.member_row)
    {
        // The commit may still be on its way. A change of nothing at the
        // same version excludes it.
        config_change nothing;
        nothing.version = pending.change.version;
        nothing.write_id = context_.entropy.hex(16);
        nothing.kind = entry_kind::none;
        commit_change(nothing, pending.head_row_version);
    }
}

void config_service::settle_at(time_point when)
{
    changes_.front().at = change_step::settling;
    changes_.front().not_before = when;
}

void config_service::on_change_tick(time_point now)
{
    if (changes_.empty() || change_op_)
        return;
    auto& pending = changes_.front();
    if (pending.at != change_step::settling || now < pending.not_before)
        return;
    if (now < pending.give_up_at)
    {
        read_back();
        return;
    }
    const error why{result_code::store_write_unknown,
                    "the change may still take effect; list the entry later"};
    finish_change(now, &why);
}

void config_service::retry_change(time_point now)
{
    auto& pending = changes_.front();
    context_.counters.count_retry("config_head_conflict");
    if (++pending.conflicts > max_head_conflicts)
    {
        const error why{result_code::change_contended,
                        "other changes came first; nothing was written"};
        finish_change(now, &why);
        return;
    }
    pending.at = change_step::waiting;
    pending.not_before = now;
    next_poll_ = time_point{};
}

void config_service::refuse_unsent_changes(time_point now)
{
    while (!changes_.empty() && !change_op_ &&
           changes_.front().at == change_step::waiting)
    {
        const error why{result_code::store_unavailable, ""};
        finish_change(now, &why);
    }
}

void config_service::finish_change(time_point now, const error* why)
{
    const auto pending = std::move(changes_.front());
    changes_.pop_front();
    // Peers get no promise while the change may still take effect.
    change_unresolved_ = why && info(why->code).ran_state == ran::unknown;
    change_ended_at_ = now;
    if (why)
    {
        context_.refuse(pending.call, *why);
    }
    else
    {
        // In force here at once, so that the operator's next change may be
        // based on this one.
        apply_logged(to_json_text(pending.change));
        answer_change(pending, pending.change.version, true);
    }
    next_poll_ = time_point{}; // Read the new head at once.
}

} // namespace carobcourse
