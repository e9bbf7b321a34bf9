#include "job_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <nlohmann/json.hpp>

#include "codec_p.hpp"
#include "document_p.hpp"
#include "json_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr const char* state_names[] = {"waiting",  "starting",  "running",
                                       "stopping", "succeeded", "failed",
                                       "cancelled"};

bool has_ended(task_state state)
{
    return state == task_state::succeeded || state == task_state::failed ||
           state == task_state::cancelled;
}

job_kind kind_from(const std::string& text)
{
    if (text == "service")
        return job_kind::service;
    return text == "gang" ? job_kind::gang : job_kind::batch;
}

json spec_to_json(const job_spec& spec)
{
    return {{"id", spec.id},
            {"team", spec.team},
            {"kind", to_string(spec.kind)},
            {"class", to_string(spec.urgency)},
            {"tasks", spec.tasks},
            {"resources", to_json(spec.amount)},
            {"run_ms", spec.run_ms},
            {"checkpoints", spec.checkpoints},
            {"payload", spec.payload},
            {"data_centre", spec.data_centre}};
}

job_spec spec_from_json(const json& value)
{
    job_spec spec;
    spec.id = value.at("id").get<std::string>();
    spec.team = value.at("team").get<std::string>();
    spec.kind = kind_from(value.at("kind").get<std::string>());
    if (value.at("class").get<std::string>() == "urgent")
        spec.urgency = job_class::urgent;
    spec.tasks = value.at("tasks").get<std::uint32_t>();
    spec.amount = resources_from_json(value.at("resources"));
    spec.run_ms = value.at("run_ms").get<std::int64_t>();
    spec.checkpoints = value.at("checkpoints").get<bool>();
    spec.payload = value.at("payload").get<std::string>();
    spec.data_centre = value.at("data_centre").get<std::string>();
    return spec;
}

tl::expected<void, error> check_spec(const job_spec& spec)
{
    const auto bad = [](const char* detail) {
        return tl::make_unexpected(error{result_code::bad_request, detail});
    };
    if (!spec.id.empty() && !is_valid_name(spec.id))
        return bad("\"id\" must be 1 to 63 of a-z, 0-9, '-', '_'");
    if (spec.tasks < 1 || spec.tasks > config::max_tasks_per_job)
        return bad("\"tasks\" must be from 1 to 1000");
    if (spec.payload.size() > config::max_payload_bytes)
        return bad("\"payload\" must be at most 65536 bytes");
    if (spec.amount.has_negative() || spec.amount.is_zero())
        return bad("\"resources\" must not be negative, nor all zero");
    if (spec.run_ms < 0)
        return bad("\"run_ms\" must not be negative");
    return {};
}

json task_to_json(const task_record& task)
{
    return {{"state", to_string(task.state)}, {"attempt", task.attempt},
            {"worker", task.worker},          {"checkpoint", task.checkpoint},
            {"detail", task.detail},          {"failures", task.failures}};
}

task_record task_from_json(const json& value)
{
    task_record task;
    const auto state = value.at("state").get<std::string>();
    const auto* found =
        std::find(std::begin(state_names), std::end(state_names), state);
    if (found != std::end(state_names))
        task.state = static_cast<task_state>(std::distance(state_names, found));
    task.attempt = value.at("attempt").get<std::uint32_t>();
    task.worker = value.at("worker").get<std::string>();
    task.checkpoint = value.at("checkpoint").get<std::string>();
    task.detail = value.at("detail").get<std::string>();
    task.failures = value.at("failures").get<std::uint32_t>();
    return task;
}

json tasks_to_json(const job_record& job)
{
    json tasks = json::array();
    for (const auto& task : job.tasks)
        tasks.push_back(task_to_json(task));
    return tasks;
}

} // namespace

const char* to_string(task_state state)
{
    return state_names[static_cast<int>(state)];
}

bool job_record::is_finished() const
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const task_record& task)
                       { return has_ended(task.state); });
}

bool job_record::is_idle() const
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const task_record& task) {
                           return has_ended(task.state) ||
                                  task.state == task_state::waiting;
                       });
}

const char* job_record::state() const
{
    const auto any = [this](task_state state)
    {
        return std::any_of(tasks.begin(), tasks.end(),
                           [state](const task_record& task)
                           { return task.state == state; });
    };
    if (is_finished())
    {
        if (any(task_state::failed))
            return "failed";
        return any(task_state::cancelled) ? "cancelled" : "succeeded";
    }
    if (any(task_state::running) || any(task_state::starting) ||
        any(task_state::stopping))
        return "running";
    return parked ? "parked" : "waiting";
}

tl::expected<job_spec, error> parse_job_spec(const std::string& body,
                                             const std::string& team)
{
    try
    {
        const auto value = parse_limited(body);
        if (value.is_discarded())
            return tl::make_unexpected(
                error{result_code::bad_request,
                      "no JSON, or too many values or levels"});
        job_spec spec;
        spec.team = team;
        spec.id = value.value("id", std::string());
        const auto kind = value.value("kind", std::string("batch"));
        if (kind != "service" && kind != "batch" && kind != "gang")
            return tl::make_unexpected(
                error{result_code::bad_request,
                      "\"kind\" must be service, batch or gang"});
        spec.kind = kind_from(kind);
        const auto urgency = value.value("class", std::string("normal"));
        if (urgency != "normal" && urgency != "urgent")
            return tl::make_unexpected(
                error{result_code::bad_request,
                      "\"class\" must be normal or urgent"});
        if (urgency == "urgent")
            spec.urgency = job_class::urgent;
        const auto tasks = value.value("tasks", std::int64_t{1});
        if (tasks < 1 || tasks > config::max_tasks_per_job)
            return tl::make_unexpected(error{
                result_code::bad_request, "\"tasks\" must be from 1 to 1000"});
        spec.tasks = static_cast<std::uint32_t>(tasks);
        spec.amount = resources_from_json(value.at("resources"));
        spec.run_ms = value.value("run_ms", std::int64_t{0});
        spec.checkpoints = value.value("checkpoints", false);
        spec.payload = value.contains("payload") ? value["payload"].dump()
                                                 : std::string("null");
        spec.data_centre = value.value("data_centre", std::string());
        if (auto checked = check_spec(spec); !checked)
            return tl::make_unexpected(checked.error());
        return spec;
    }
    catch (const json::exception& e)
    {
        return tl::make_unexpected(error{result_code::bad_request, e.what()});
    }
}

std::string to_json_text(const job_record& job)
{
    return json{{"spec", spec_to_json(job.spec)},
                {"tasks", tasks_to_json(job)},
                {"cancel", job.cancel_requested},
                {"reason", job.reason},
                {"parked", job.parked},
                {"failed_workers", job.failed_workers}}
        .dump();
}

tl::expected<job_record, error> job_record_from_json(const std::string& text)
{
    try
    {
        const auto value = json::parse(text);
        job_record job;
        job.spec = spec_from_json(value.at("spec"));
        for (const auto& task : value.at("tasks"))
            job.tasks.push_back(task_from_json(task));
        job.cancel_requested = value.at("cancel").get<bool>();
        job.reason = value.at("reason").get<std::string>();
        job.parked = value.value("parked", false);
        job.failed_workers =
            value.value("failed_workers", std::set<std::string>{});
        return job;
    }
    catch (const json::exception& e)
    {
        return tl::make_unexpected(
            error{result_code::invalid_document, e.what()});
    }
}

std::string status_json(const job_record& job, const std::string& shard)
{
    json tasks = json::array();
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        const auto& task = job.tasks[i];
        tasks.push_back({{"index", i},
                         {"state", to_string(task.state)},
                         {"attempt", task.attempt},
                         {"worker", task.worker},
                         {"detail", task.detail}});
    }
    return json{{"job", job.spec.id},   {"team", job.spec.team},
                {"state", job.state()}, {"reason", job.reason},
                {"home", shard},        {"tasks", tasks}}
        .dump();
}

} // namespace carobcourse
