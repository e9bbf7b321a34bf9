#include "trace_p.hpp"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <istream>
#include <memory>
#include <optional>
#include <ostream>
#include <utility>

#include "codec_p.hpp"
#include "entry_host_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

json op_to_json(const op_id& op)
{
    return json::array({static_cast<int>(op.owner), op.sequence});
}

op_id op_from_json(const json& value)
{
    return {static_cast<component>(value.at(0).get<int>()),
            value.at(1).get<std::uint64_t>()};
}

json rows_to_json(const std::vector<row>& rows)
{
    json list = json::array();
    for (const auto& each : rows)
        list.push_back({{"key", each.key},
                        {"version", each.version},
                        {"value", each.value}});
    return list;
}

std::vector<row> rows_from_json(const json& value)
{
    std::vector<row> rows;
    for (const auto& each : value)
        rows.push_back({each.at("key").get<std::string>(),
                        each.at("version").get<std::uint64_t>(),
                        each.at("value").get<std::string>()});
    return rows;
}

// ------------------------------------------------------------------- events

json to_trace(const timer_tick&)
{
    return {{"type", "tick"}};
}

json to_trace(const stop_request&)
{
    return {{"type", "stop"}};
}

json to_trace(const api_call& call)
{
    return {{"type", "call"},
            {"id", call.id},
            {"method", call.method},
            {"path", call.path},
            {"query", call.query},
            {"key", call.key},
            {"idempotency_key", call.idempotency_key},
            {"body", call.body}};
}

json to_trace(const call_abandoned& call)
{
    return {{"type", "abandoned"}, {"id", call.id}};
}

json to_trace(const store_result& result)
{
    return {{"type", "store"},
            {"op", op_to_json(result.op)},
            {"status", static_cast<int>(result.status)},
            {"conflict_index", result.conflict_index},
            {"versions", result.versions},
            {"rows", rows_to_json(result.rows)}};
}

json to_trace(const host_list_result& result)
{
    json hosts = json::array();
    for (const auto& host : result.hosts)
        hosts.push_back(to_json(host));
    return {{"type", "hosts"}, {"ok", result.ok}, {"hosts", hosts}};
}

json to_trace(const worker_result& result)
{
    return {{"type", "worker"},
            {"worker", result.worker},
            {"sequence", result.sequence},
            {"status", static_cast<int>(result.status)},
            {"reply", to_json(result.reply)}};
}

json to_trace(const execute_result& result)
{
    return {{"type", "executed"},
            {"request", result.request},
            {"attempt", result.attempt},
            {"executor", result.executor},
            {"status", static_cast<int>(result.status)},
            {"http_status", result.http_status},
            {"answered_request", result.answered_request},
            {"answered_attempt", result.answered_attempt},
            {"slots_free", result.slots_free},
            {"leaving", result.leaving},
            {"no_slot", result.no_slot},
            {"content_type", result.content_type},
            {"body", result.body}};
}

json to_trace(const peer_received& message)
{
    return {{"type", "peer"},
            {"from", message.from},
            {"message", message.type},
            {"body", message.body}};
}

json to_trace(const peer_state& state)
{
    return {{"type", "peer_state"},
            {"host", state.host},
            {"connected", state.connected}};
}

json to_trace(const peer_refusals& refusals)
{
    return {{"type", "peer_refusals"}, {"counts", refusals.counts}};
}

json to_trace(const input_refusals& refusals)
{
    return {{"type", "input_refusals"}, {"counts", refusals.counts}};
}

api_call call_from_json(const json& value)
{
    api_call call;
    call.id = value.at("id").get<call_id>();
    call.method = value.at("method").get<std::string>();
    call.path = value.at("path").get<std::string>();
    call.query = value.value("query", std::map<std::string, std::string>());
    call.key = value.value("key", std::string());
    call.idempotency_key = value.value("idempotency_key", std::string());
    call.body = value.value("body", std::string());
    return call;
}

store_result store_result_from_json(const json& value)
{
    store_result result;
    result.op = op_from_json(value.at("op"));
    result.status = static_cast<store_status>(value.at("status").get<int>());
    result.conflict_index = value.value("conflict_index", std::size_t{0});
    result.versions = value.value("versions", std::vector<std::uint64_t>());
    result.rows = rows_from_json(value.value("rows", json::array()));
    return result;
}

host_list_result hosts_from_json(const json& value)
{
    host_list_result result;
    result.ok = value.at("ok").get<bool>();
    for (const auto& host : value.at("hosts"))
        result.hosts.push_back(host_entry_from_json(host));
    return result;
}

worker_result worker_result_from_json(const json& value)
{
    worker_result result;
    result.worker = value.at("worker").get<std::string>();
    result.sequence = value.at("sequence").get<std::uint64_t>();
    result.status = static_cast<send_status>(value.at("status").get<int>());
    result.reply = sync_reply_from_json(value.at("reply"));
    return result;
}

execute_result execute_result_from_json(const json& value)
{
    execute_result result;
    result.request = value.at("request").get<std::string>();
    result.attempt = value.at("attempt").get<std::uint32_t>();
    result.executor = value.at("executor").get<std::string>();
    result.status = static_cast<send_status>(value.at("status").get<int>());
    result.http_status = value.at("http_status").get<int>();
    result.answered_request = value.at("answered_request").get<std::string>();
    result.answered_attempt = value.at("answered_attempt").get<std::uint32_t>();
    result.slots_free = value.at("slots_free").get<std::uint32_t>();
    result.leaving = value.at("leaving").get<bool>();
    result.no_slot = value.value("no_slot", false);
    result.content_type = value.at("content_type").get<std::string>();
    result.body = value.at("body").get<std::string>();
    return result;
}

// ------------------------------------------------------------------ effects

json to_trace(const api_reply& reply)
{
    json value{{"type", "reply"},
               {"id", reply.id},
               {"http_status", reply.http_status}};
    const auto body = json::parse(reply.body, nullptr, false);
    value["body"] = body.is_discarded() ? json(reply.body) : body;
    return value;
}

json to_trace(const store_commit& commit)
{
    json writes = json::array();
    for (const auto& write : commit.writes)
    {
        json item{{"table", write.table}, {"key", write.key}};
        if (write.expect)
            item["expect"] = *write.expect;
        item["value"] = write.value ? json(*write.value) : json();
        writes.push_back(item);
    }
    return {
        {"type", "commit"}, {"op", op_to_json(commit.op)}, {"writes", writes}};
}

json to_trace(const store_read& read)
{
    return {{"type", "read"},
            {"op", op_to_json(read.op)},
            {"table", read.table},
            {"key", read.key}};
}

json to_trace(const store_scan& scan)
{
    return {{"type", "scan"},
            {"op", op_to_json(scan.op)},
            {"table", scan.table},
            {"prefix", scan.prefix},
            {"after", scan.after}};
}

json to_trace(const list_hosts&)
{
    return {{"type", "list_hosts"}};
}

json to_trace(const worker_sync& message)
{
    auto value = to_json(message);
    value["type"] = "sync";
    value["worker"] = message.worker;
    return value;
}

json to_trace(const execute_request& request)
{
    return {{"type", "execute"},          {"request", request.request},
            {"attempt", request.attempt}, {"executor", request.executor},
            {"service", request.service}, {"body", request.body}};
}

json to_trace(const set_peers& peers)
{
    json list = json::array();
    for (const auto& peer : peers.peers)
        list.push_back({{"host", peer.host}, {"address", peer.address}});
    return {{"type", "set_peers"}, {"peers", list}};
}

json to_trace(const peer_send& message)
{
    return {{"type", "peer_send"},
            {"to", message.to},
            {"message", message.type},
            {"body", message.body}};
}

json to_trace(const log_record& record)
{
    return {{"type", "log"},
            {"code", static_cast<int>(record.code)},
            {"detail", record.detail}};
}

json to_trace(const stop_complete&)
{
    return {{"type", "stop_complete"}};
}

// ------------------------------------------------------------------- replay

/// Gives out the recorded random bytes again.
class recorded_entropy final : public entropy_source
{
public:
    void add(std::string hex)
    {
        recorded_.push_back(std::move(hex));
    }
    std::string hex(std::size_t bytes) override
    {
        if (recorded_.empty())
            return std::string(2 * bytes, '0');
        auto next = std::move(recorded_.front());
        recorded_.pop_front();
        return next;
    }

private:
    std::deque<std::string> recorded_;
};

json identity_to_json(const host_identity& identity)
{
    return {{"host", identity.host},
            {"data_centre", identity.data_centre},
            {"incarnation", identity.incarnation},
            {"peer_address", identity.peer_address},
            {"operator_key", identity.operator_key},
            {"shards", identity.shards_per_data_centre}};
}

host_identity identity_from_json(const json& value)
{
    host_identity identity;
    identity.host = value.at("host").get<std::string>();
    identity.data_centre = value.at("data_centre").get<std::string>();
    identity.incarnation = value.at("incarnation").get<std::string>();
    identity.peer_address = value.value("peer_address", std::string());
    identity.operator_key = value.value("operator_key", std::string());
    identity.shards_per_data_centre =
        std::max(value.value("shards", std::uint32_t{1}), std::uint32_t{1});
    return identity;
}

class replayer
{
public:
    void take(std::size_t number, const json& line)
    {
        if (line.contains("host"))
            header_ = line;
        else if (line.contains("entropy"))
            entropy_.add(line["entropy"].get<std::string>());
        else if (line.contains("event"))
            handle(line);
        else if (line.contains("expect"))
            expect(number, line["expect"]);
        else if (line.contains("expect_none"))
            forbidden_.emplace_back(number, line["expect_none"]);
        else
            throw json::other_error::create(501, "unknown kind of line", &line);
    }

    replay_report report;

private:
    void handle(const json& line)
    {
        if (!core_)
            create_core(line);
        const time_point now(
            std::chrono::microseconds(line.at("at_us").get<std::int64_t>()));
        last_.clear();
        for (const auto& each :
             core_->handle(now, event_from_json(line["event"])))
            last_.push_back(effect_to_json(each));
        ++report.events;
        report.effects += last_.size();
        for (const auto& [number, part] : forbidden_)
        {
            for (const auto& each : last_)
            {
                if (matches_part(part, each))
                    report.unmet.push_back(fmt::format(
                        "line {}: forbidden effect {}", number, each.dump()));
            }
        }
    }

    /// Waits for the first event, since the core may draw random bytes when
    /// it is created, and these stand between the header and the event.
    void create_core(const json& line)
    {
        if (header_.is_null())
            throw json::other_error::create(501, "no host line before", &line);
        core_.emplace(identity_from_json(header_["host"]),
                      header_.value("seed", std::uint64_t{0}), entropy_);
    }

    void expect(std::size_t number, const json& part)
    {
        ++report.expectations;
        const bool met = std::any_of(last_.begin(), last_.end(),
                                     [&](const json& each)
                                     { return matches_part(part, each); });
        if (!met)
            report.unmet.push_back(
                fmt::format("line {}: no effect like {}", number, part.dump()));
    }

    json header_;
    recorded_entropy entropy_;
    std::optional<entry_host> core_;
    std::vector<json> last_;
    std::vector<std::pair<std::size_t, json>> forbidden_;
};

} // namespace

json event_to_json(const event& what)
{
    return std::visit([](const auto& each) { return to_trace(each); }, what);
}

event event_from_json(const json& value)
{
    const auto type = value.at("type").get<std::string>();
    if (type == "tick")
        return timer_tick{};
    if (type == "stop")
        return stop_request{};
    if (type == "call")
        return call_from_json(value);
    if (type == "abandoned")
        return call_abandoned{value.at("id").get<call_id>()};
    if (type == "store")
        return store_result_from_json(value);
    if (type == "hosts")
        return hosts_from_json(value);
    if (type == "worker")
        return worker_result_from_json(value);
    if (type == "executed")
        return execute_result_from_json(value);
    if (type == "peer")
        return peer_received{value.at("from").get<std::string>(),
                             value.at("message").get<std::string>(),
                             value.at("body").get<std::string>()};
    if (type == "peer_state")
        return peer_state{value.at("host").get<std::string>(),
                          value.at("connected").get<bool>()};
    if (type == "peer_refusals")
        return peer_refusals{
            value.at("counts").get<std::map<std::string, std::uint64_t>>()};
    if (type == "input_refusals")
        return input_refusals{
            value.at("counts").get<std::map<std::string, std::uint64_t>>()};
    throw json::other_error::create(501, "unknown event type " + type, &value);
}

json effect_to_json(const effect& what)
{
    return std::visit([](const auto& each) { return to_trace(each); }, what);
}

bool matches_part(const json& part, const json& whole)
{
    if (part.is_object())
    {
        return whole.is_object() &&
               std::all_of(part.items().begin(), part.items().end(),
                           [&](const auto& item)
                           {
                               return whole.contains(item.key()) &&
                                      matches_part(item.value(),
                                                   whole[item.key()]);
                           });
    }
    if (part.is_array())
    {
        return whole.is_array() &&
               std::all_of(part.begin(), part.end(),
                           [&](const json& item)
                           {
                               return std::any_of(
                                   whole.begin(), whole.end(),
                                   [&](const json& other)
                                   { return matches_part(item, other); });
                           });
    }
    return part == whole;
}

tl::expected<replay_report, error> replay_trace(std::istream& trace)
{
    replayer replay;
    std::size_t number = 0;
    for (std::string line; std::getline(trace, line);)
    {
        ++number;
        if (line.empty() || line.front() == '#')
            continue;
        try
        {
            replay.take(number, json::parse(line));
        }
        catch (const json::exception& e)
        {
            return tl::make_unexpected(
                error{result_code::invalid_trace,
                      fmt::format("line {}: {}", number, e.what())});
        }
    }
    return replay.report;
}

trace_writer::trace_writer(std::ostream& out) : out_(out) {}

void trace_writer::write_header(const host_identity& identity,
                                std::uint64_t seed)
{
    out_ << json{{"host", identity_to_json(identity)}, {"seed", seed}} << '\n';
}

void trace_writer::write_entropy(const std::string& hex)
{
    out_ << json{{"entropy", hex}} << '\n';
}

void trace_writer::write_event(time_point now, const event& what)
{
    out_ << json{{"at_us", now.time_since_epoch().count()},
                 {"event", event_to_json(what)}}
                .dump(-1, ' ', false, json::error_handler_t::replace)
         << '\n';
}

void trace_writer::write_replies(const effects& out)
{
    for (const auto& each : out)
    {
        if (std::holds_alternative<api_reply>(each))
            out_ << json{{"expect", effect_to_json(each)}}.dump(
                        -1, ' ', false, json::error_handler_t::replace)
                 << '\n';
    }
}

} // namespace carobcourse
