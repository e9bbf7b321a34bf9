#include "document_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "codec_p.hpp"
#include "toml_reader_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t max_amount = 1'000'000'000'000;
constexpr std::int64_t max_weight = 1000;
constexpr std::int64_t max_priority = 9;

void check_name(toml_reader& reader, const char* key, const std::string& name)
{
    if (!name.empty() && !is_valid_name(name))
        reader.report(key, "must be 1 to 63 of a-z, 0-9, '-', '_'");
}

resources read_resources(const toml::table& table, const std::string& prefix,
                         const std::string& file,
                         std::vector<problem>& problems)
{
    toml_reader reader(table, prefix, file, result_code::invalid_document,
                       problems);
    resources amount;
    amount.cpu_millis = reader.required_integer("cpu_millis", 0, max_amount);
    amount.memory_mb = reader.required_integer("memory_mb", 0, max_amount);
    amount.accelerators =
        reader.optional_integer("accelerators", 0, 0, max_amount);
    reader.finish();
    return amount;
}

service_queue read_service(const toml::table& table, const std::string& file,
                           std::vector<problem>& problems)
{
    toml_reader reader(table, "service.", file, result_code::invalid_document,
                       problems);
    service_queue queue;
    queue.name = reader.required_string("name");
    check_name(reader, "name", queue.name);
    queue.open = reader.optional_bool("open", false);
    queue.submitters = reader.optional_strings("submitters");
    for (const auto& team : queue.submitters)
        check_name(reader, "submitters", team);
    queue.priority =
        reader.optional_integer("priority", queue.priority, 0, max_priority);
    reader.finish();
    return queue;
}

void check_unique_services(const team_document& document, toml_reader& reader)
{
    std::set<std::string> names;
    for (const auto& service : document.services)
    {
        if (!names.insert(service.name).second)
            reader.report("service", "has two with the name " + service.name);
    }
}

} // namespace

std::string to_string(const problem& value)
{
    return fmt::format("{}:{}: {} {}: {}", value.file, value.line,
                       to_string(value.code), value.key, value.detail);
}

bool is_valid_name(const std::string& name)
{
    constexpr std::size_t max_length = 63;
    if (name.empty() || name.size() > max_length || name.front() == '-')
        return false;
    return std::all_of(name.begin(), name.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= '0' && c <= '9') || c == '-' ||
                                  c == '_';
                       });
}

tl::expected<team_document, std::vector<problem>>
parse_team_document(const std::string& text, const std::string& file)
{
    std::vector<problem> problems;
    team_document document;
    try
    {
        const toml::table table = toml::parse(text, file);
        toml_reader reader(table, "", file, result_code::invalid_document,
                           problems);
        document.team = reader.required_string("team");
        check_name(reader, "team", document.team);
        document.base_version =
            static_cast<std::uint64_t>(reader.optional_integer(
                "version", 0, 0, std::numeric_limits<std::int64_t>::max()));
        document.weight = reader.optional_integer("weight", 1, 1, max_weight);
        if (const auto* limit = reader.required_table("limit"))
            document.limit = read_resources(*limit, "limit.", file, problems);
        const auto excess = reader.optional_string("limit_excess", "keep");
        if (excess != "keep" && excess != "stop")
            reader.report("limit_excess", "must be \"keep\" or \"stop\"");
        document.stop_excess = excess == "stop";
        for (const auto* service : reader.optional_tables("service"))
            document.services.push_back(read_service(*service, file, problems));
        check_unique_services(document, reader);
        reader.finish();
    }
    catch (const toml::parse_error& e)
    {
        problems.push_back(problem{
            file, static_cast<int>(e.source().begin.line), "syntax",
            result_code::invalid_document, std::string(e.description())});
    }
    if (!problems.empty())
        return tl::make_unexpected(problems);
    return document;
}

std::string to_json_text(const team_document& document)
{
    json services = json::array();
    for (const auto& service : document.services)
    {
        services.push_back({{"name", service.name},
                            {"open", service.open},
                            {"submitters", service.submitters},
                            {"priority", service.priority}});
    }
    return json{{"team", document.team},
                {"weight", document.weight},
                {"limit", to_json(document.limit)},
                {"limit_excess", document.stop_excess ? "stop" : "keep"},
                {"services", services}}
        .dump();
}

tl::expected<team_document, error>
team_document_from_json(const std::string& text)
{
    try
    {
        const auto value = json::parse(text);
        team_document document;
        document.team = value.at("team").get<std::string>();
        document.weight = value.at("weight").get<std::int64_t>();
        document.limit = resources_from_json(value.at("limit"));
        document.stop_excess = value.value("limit_excess", "keep") == "stop";
        for (const auto& item : value.at("services"))
        {
            service_queue queue;
            queue.name = item.at("name").get<std::string>();
            queue.open = item.at("open").get<bool>();
            queue.submitters =
                item.at("submitters").get<std::vector<std::string>>();
            queue.priority = item.at("priority").get<std::int64_t>();
            document.services.push_back(queue);
        }
        if (!is_valid_name(document.team) || document.weight < 1 ||
            document.weight > max_weight || document.limit.has_negative())
            return tl::make_unexpected(error{result_code::invalid_document,
                                             "a value is out of range"});
        return document;
    }
    catch (const json::exception& e)
    {
        return tl::make_unexpected(
            error{result_code::invalid_document, e.what()});
    }
}

} // namespace carobcourse
