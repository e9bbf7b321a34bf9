#include "codec_p.hpp"

#include <stdexcept>

namespace carobcourse
{

using json = nlohmann::json;

namespace
{

json to_json(const start_task& start)
{
    return {{"attempt", to_json(start.attempt)},
            {"team", start.team},
            {"kind", to_string(start.kind)},
            {"resources", to_json(start.amount)},
            {"payload", start.payload},
            {"checkpoint", start.checkpoint},
            {"run_ms", start.run_ms}};
}

json to_json(const stop_task& stop)
{
    return {{"attempt", to_json(stop.attempt)},
            {"checkpoint", stop.checkpoint}};
}

json to_json(const running_task& task)
{
    return {{"attempt", to_json(task.attempt)},
            {"team", task.team},
            {"resources", to_json(task.amount)}};
}

json to_json(const finished_task& task)
{
    return {{"attempt", to_json(task.attempt)},
            {"outcome", to_string(task.outcome)},
            {"detail", task.detail},
            {"checkpoint", task.checkpoint}};
}

json to_json(const refused_start& refused)
{
    return {{"attempt", to_json(refused.attempt)}, {"reason", refused.reason}};
}

json to_json(const task_usage& usage)
{
    return {{"attempt", to_json(usage.attempt)}, {"used", to_json(usage.used)}};
}

template <class Value>
json list_to_json(const std::vector<Value>& values)
{
    json list = json::array();
    for (const auto& value : values)
        list.push_back(to_json(value));
    return list;
}

json to_json_attempt(const attempt_id& attempt)
{
    return to_json(attempt);
}

/// Finds `value` among the first `count` enumerators by their printed form.
template <class Enum>
Enum enum_from_json(const json& value, int count, const char* what)
{
    const auto text = value.get<std::string>();
    for (int i = 0; i < count; ++i)
    {
        if (text == to_string(static_cast<Enum>(i)))
            return static_cast<Enum>(i);
    }
    throw json::other_error::create(501, std::string("unknown ") + what,
                                    &value);
}

constexpr int job_kind_count = 3;
constexpr int task_outcome_count = 5;

start_task start_from_json(const json& value)
{
    start_task start;
    start.attempt = attempt_from_json(value.at("attempt"));
    start.team = value.at("team").get<std::string>();
    start.kind =
        enum_from_json<job_kind>(value.at("kind"), job_kind_count, "kind");
    start.amount = resources_from_json(value.at("resources"));
    start.payload = value.at("payload").get<std::string>();
    start.checkpoint = value.at("checkpoint").get<std::string>();
    start.run_ms = value.at("run_ms").get<std::int64_t>();
    return start;
}

finished_task finished_from_json(const json& value)
{
    finished_task task;
    task.attempt = attempt_from_json(value.at("attempt"));
    task.outcome = enum_from_json<task_outcome>(value.at("outcome"),
                                                task_outcome_count, "outcome");
    task.detail = value.at("detail").get<std::string>();
    task.checkpoint = value.at("checkpoint").get<std::string>();
    return task;
}

} // namespace

const char* to_string(job_kind kind)
{
    switch (kind)
    {
    case job_kind::service:
        return "service";
    case job_kind::batch:
        return "batch";
    case job_kind::gang:
        break;
    }
    return "gang";
}

const char* to_string(job_class value)
{
    return value == job_class::urgent ? "urgent" : "normal";
}

const char* to_string(task_outcome outcome)
{
    switch (outcome)
    {
    case task_outcome::succeeded:
        return "succeeded";
    case task_outcome::failed:
        return "failed";
    case task_outcome::stopped:
        return "stopped";
    case task_outcome::checkpointed:
        return "checkpointed";
    case task_outcome::lease_expired:
        break;
    }
    return "lease_expired";
}

json to_json(const resources& amount)
{
    return {{"cpu_millis", amount.cpu_millis},
            {"memory_mb", amount.memory_mb},
            {"accelerators", amount.accelerators}};
}

resources resources_from_json(const json& value)
{
    resources amount;
    amount.cpu_millis = value.at("cpu_millis").get<std::int64_t>();
    amount.memory_mb = value.at("memory_mb").get<std::int64_t>();
    amount.accelerators = value.value("accelerators", std::int64_t{0});
    return amount;
}

json to_json(const attempt_id& attempt)
{
    return {{"job", attempt.task.job},
            {"index", attempt.task.index},
            {"attempt", attempt.attempt}};
}

attempt_id attempt_from_json(const json& value)
{
    attempt_id attempt;
    attempt.task.job = value.at("job").get<std::string>();
    attempt.task.index = value.at("index").get<std::uint32_t>();
    attempt.attempt = value.at("attempt").get<std::uint32_t>();
    return attempt;
}

json to_json(const worker_sync& message)
{
    json acks = json::array();
    for (const auto& ack : message.acks)
        acks.push_back(to_json_attempt(ack));
    return {{"epoch", message.epoch},
            {"owner", message.owner},
            {"lease_ms", message.lease_ms},
            {"start_ms", message.start_ms},
            {"token", message.token},
            {"starts", list_to_json(message.starts)},
            {"stops", list_to_json(message.stops)},
            {"acks", acks}};
}

worker_sync worker_sync_from_json(const json& value)
{
    worker_sync message;
    message.epoch = value.at("epoch").get<std::uint64_t>();
    message.owner = value.at("owner").get<std::string>();
    message.token = value.at("token").get<std::uint64_t>();
    message.lease_ms = value.at("lease_ms").get<std::int64_t>();
    message.start_ms = value.at("start_ms").get<std::int64_t>();
    for (const auto& item : value.at("starts"))
        message.starts.push_back(start_from_json(item));
    for (const auto& item : value.at("stops"))
        message.stops.push_back(stop_task{attempt_from_json(item.at("attempt")),
                                          item.at("checkpoint").get<bool>()});
    for (const auto& item : value.at("acks"))
        message.acks.push_back(attempt_from_json(item));
    return message;
}

json to_json(const sync_reply& reply)
{
    return {{"epoch", reply.epoch},
            {"accepted", reply.accepted},
            {"token", reply.token},
            {"capacity", to_json(reply.capacity)},
            {"refused", list_to_json(reply.refused)},
            {"running", list_to_json(reply.running)},
            {"finished", list_to_json(reply.finished)},
            {"usage", list_to_json(reply.usage)}};
}

sync_reply sync_reply_from_json(const json& value)
{
    sync_reply reply;
    reply.epoch = value.at("epoch").get<std::uint64_t>();
    reply.accepted = value.at("accepted").get<bool>();
    reply.token = value.at("token").get<std::uint64_t>();
    reply.capacity = resources_from_json(value.at("capacity"));
    for (const auto& item : value.at("refused"))
        reply.refused.push_back(
            refused_start{attempt_from_json(item.at("attempt")),
                          item.at("reason").get<std::string>()});
    for (const auto& item : value.at("running"))
        reply.running.push_back(
            running_task{attempt_from_json(item.at("attempt")),
                         item.at("team").get<std::string>(),
                         resources_from_json(item.at("resources"))});
    for (const auto& item : value.at("finished"))
        reply.finished.push_back(finished_from_json(item));
    for (const auto& item : value.at("usage"))
        reply.usage.push_back(task_usage{attempt_from_json(item.at("attempt")),
                                         resources_from_json(item.at("used"))});
    return reply;
}

json to_json(const host_entry& host)
{
    static constexpr const char* kinds[] = {"worker", "executor", "entry"};
    return {{"id", host.id},
            {"kind", kinds[static_cast<int>(host.kind)]},
            {"data_centre", host.data_centre},
            {"rack", host.rack},
            {"address", host.address},
            {"state", host.state == host_state::live ? "live" : "leaving"},
            {"capacity", to_json(host.capacity)},
            {"services", host.services}};
}

host_entry host_entry_from_json(const json& value)
{
    host_entry host;
    host.id = value.at("id").get<std::string>();
    const auto kind = value.at("kind").get<std::string>();
    if (kind == "executor")
        host.kind = host_kind::executor;
    else if (kind == "entry")
        host.kind = host_kind::entry;
    host.data_centre = value.at("data_centre").get<std::string>();
    host.rack = value.value("rack", std::string());
    host.address = value.at("address").get<std::string>();
    if (value.at("state").get<std::string>() == "leaving")
        host.state = host_state::leaving;
    if (value.contains("capacity"))
        host.capacity = resources_from_json(value.at("capacity"));
    if (value.contains("services"))
        host.services = value.at("services").get<std::vector<std::string>>();
    return host;
}

} // namespace carobcourse
