#include <CLI/CLI.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "cli_p.hpp"
#include "document_p.hpp"
#include "shell_http_client_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr int http_error_from = 400;

/// Options that every client command takes.
struct client_options
{
    std::string url = "http://127.0.0.1:8080";
    std::string key;
    bool json_output = false;
    std::int64_t timeout_ms = 40000;
};

using options_ptr = std::shared_ptr<client_options>;

options_ptr add_options(CLI::App& command)
{
    auto options = std::make_shared<client_options>();
    command.add_option("--url", options->url, "Base URL of an entry host")
        ->envname("CAROBCOURSE_URL")
        ->capture_default_str();
    command
        .add_option("--key", options->key,
                    "Team key, or the operator key for operators' commands")
        ->envname("CAROBCOURSE_KEY");
    command.add_flag("--json", options->json_output,
                     "Print the answer as JSON on one line");
    command
        .add_option("--timeout-ms", options->timeout_ms,
                    "Longest wait for the answer")
        ->capture_default_str();
    return options;
}

struct answer
{
    int exit_status = exit_code::ok;
    std::string body;
};

answer call(const client_options& options, const std::string& method,
            const std::string& path, const std::string& body = {},
            const std::string& idempotency_key = {})
{
    http_request request;
    request.method = method;
    request.url = options.url + path;
    request.body = body;
    request.deadline =
        boot_clock::now() + std::chrono::milliseconds(options.timeout_ms);
    if (!options.key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + options.key);
    if (!idempotency_key.empty())
        request.headers.emplace_back("Idempotency-Key", idempotency_key);
    const auto response = http_call(std::move(request));
    if (response.status == send_status::not_sent)
        return {
            exit_code::unreachable,
            R"({"error":{"text":"no entry host answered","ran":"not run"}})"};
    if (response.status == send_status::unknown)
        return {exit_code::unknown,
                R"({"error":{"text":"no whole answer","ran":"unknown"}})"};
    if (response.http_status >= http_error_from)
    {
        const auto parsed = json::parse(response.body, nullptr, false);
        const bool unknown = parsed.is_object() && parsed.contains("error") &&
                             parsed["error"].value("ran", "") == "unknown";
        return {unknown ? exit_code::unknown : exit_code::refused,
                response.body};
    }
    return {exit_code::ok, response.body};
}

int print(const client_options& options, const answer& result)
{
    auto& out = result.exit_status == exit_code::ok ? std::cout : std::cerr;
    const auto parsed = json::parse(result.body, nullptr, false);
    if (options.json_output || parsed.is_discarded())
        out << result.body << "\n";
    else
        out << parsed.dump(2) << "\n";
    return result.exit_status;
}

std::string read_text(const std::string& path)
{
    std::ostringstream buffer;
    if (path == "-")
    {
        buffer << std::cin.rdbuf();
        return buffer.str();
    }
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw CLI::FileError::Missing(path);
    buffer << in.rdbuf();
    return buffer.str();
}

// --------------------------------------------------------------------- teams

json flat_document(const team_document& document)
{
    return json::parse(to_json_text(document)).flatten();
}

/// Each key that changes, with the old and the new value; null for none.
json find_changes(const team_document* old, const team_document& wanted)
{
    const auto before = old ? flat_document(*old) : json::object();
    const auto after = flat_document(wanted);
    json changes = json::array();
    for (const auto& [key, value] : before.items())
    {
        if (!after.contains(key))
            changes.push_back({{"key", key}, {"from", value}, {"to", nullptr}});
    }
    for (const auto& [key, value] : after.items())
    {
        const auto from = before.value(key, json());
        if (from != value)
            changes.push_back({{"key", key}, {"from", from}, {"to", value}});
    }
    return changes;
}

/// Prints what a document changes, as JSON on one line or as text.
void print_plan(const client_options& options, const json& plan)
{
    if (options.json_output)
    {
        std::cout << plan.dump() << std::endl;
        return;
    }
    std::cout << fmt::format("{}: {}, version in force {}\n",
                             plan["team"].get<std::string>(),
                             plan["change"].get<std::string>(),
                             plan["in_force"].get<std::uint64_t>());
    const auto text = [](const json& value)
    { return value.is_null() ? std::string("(none)") : value.dump(); };
    for (const auto& each : plan["changes"])
        std::cout << fmt::format("  {}: {} -> {}\n",
                                 each["key"].get<std::string>(),
                                 text(each["from"]), text(each["to"]));
    std::cout.flush();
}

/// A document in force and its version; 0 and empty when there is none.
struct known_document
{
    std::uint64_t version = 0;
    std::optional<team_document> document;
};

known_document find_document(const json& list, const std::string& team)
{
    known_document known;
    for (const auto& entry : list["entries"])
    {
        if (entry["name"] != team)
            continue;
        known.version = entry["version"].get<std::uint64_t>();
        const auto parsed = team_document_from_json(entry["document"].dump());
        if (parsed)
            known.document = *parsed;
    }
    return known;
}

int apply_one(const client_options& options, const std::string& path,
              bool dry_run)
{
    const auto text = read_text(path);
    const auto document = parse_team_document(text, path);
    if (!document)
    {
        for (const auto& each : document.error())
            std::cerr << to_string(each) << "\n";
        return exit_code::usage;
    }
    const auto listed = call(options, "GET", "/v1/teams");
    if (listed.exit_status != exit_code::ok)
        return print(options, listed);
    const auto list = json::parse(listed.body, nullptr, false);
    if (!list.is_object() || !list.contains("entries"))
        return print(options, {exit_code::refused, listed.body});
    const auto known = find_document(list, document->team);
    const bool unchanged = known.document && *known.document == *document;
    if (!unchanged && known.document && document->base_version < known.version)
    {
        std::cerr << to_string(problem{
                         path, 0, "version", result_code::version_conflict,
                         fmt::format("based on version {}, in force is {}",
                                     document->base_version, known.version)})
                  << "\n";
        return exit_code::refused;
    }
    const char* change = unchanged        ? "unchanged"
                         : known.document ? "changed"
                                          : "new";
    print_plan(
        options,
        {{"team", document->team},
         {"change", change},
         {"in_force", known.version},
         {"changes", find_changes(known.document ? &*known.document : nullptr,
                                  *document)}});
    if (unchanged || dry_run)
        return exit_code::ok;
    return print(options,
                 call(options, "PUT", "/v1/teams/" + document->team, text));
}

int apply_teams(const client_options& options, const std::string& path,
                bool dry_run)
{
    namespace fs = std::filesystem;
    std::vector<std::string> files;
    if (fs::is_directory(path))
    {
        for (const auto& entry : fs::directory_iterator(path))
        {
            if (entry.path().extension() == ".toml")
                files.push_back(entry.path().string());
        }
        std::sort(files.begin(), files.end());
    }
    else
    {
        files.push_back(path);
    }
    int worst = exit_code::ok;
    for (const auto& file : files)
        worst = std::max(worst, apply_one(options, file, dry_run));
    return worst;
}

void add_team_remove(CLI::App& team, int& exit_status)
{
    auto* remove =
        team.add_subcommand("remove", "Remove a team that is not in use");
    auto options = add_options(*remove);
    auto name = std::make_shared<std::string>();
    remove->add_option("team", *name, "Team")->required();
    remove->callback(
        [=, &exit_status]
        {
            exit_status =
                print(*options, call(*options, "DELETE", "/v1/teams/" + *name));
        });
}

void add_team_commands(CLI::App& app, int& exit_status)
{
    auto* team = app.add_subcommand("team", "Team documents");
    team->require_subcommand(1);
    add_team_remove(*team, exit_status);

    auto* apply = team->add_subcommand(
        "apply", "Put documents in force: a file or a directory");
    auto options = add_options(*apply);
    auto path = std::make_shared<std::string>();
    auto dry_run = std::make_shared<bool>(false);
    apply->add_option("path", *path, "File or directory")->required();
    apply->add_flag("--dry-run", *dry_run, "Only show what would change");
    apply->callback([=, &exit_status]
                    { exit_status = apply_teams(*options, *path, *dry_run); });

    auto* list = team->add_subcommand("list", "List the documents in force");
    auto list_options = add_options(*list);
    list->callback(
        [=, &exit_status]
        {
            exit_status =
                print(*list_options, call(*list_options, "GET", "/v1/teams"));
        });

    auto* show = team->add_subcommand("show", "Show one document in force");
    auto show_options = add_options(*show);
    auto name = std::make_shared<std::string>();
    show->add_option("team", *name, "Team")->required();
    show->callback(
        [=, &exit_status]
        {
            exit_status = print(*show_options, call(*show_options, "GET",
                                                    "/v1/teams/" + *name));
        });
}

// ------------------------------------------------------ keys and data centres

void add_key_commands(CLI::App& app, int& exit_status)
{
    auto* key = app.add_subcommand("key", "Keys of submitters");
    key->require_subcommand(1);
    auto* give = key->add_subcommand("give", "Give a team a new key");
    auto options = add_options(*give);
    auto team = std::make_shared<std::string>();
    give->add_option("team", *team, "Team")->required();
    give->callback(
        [=, &exit_status]
        {
            exit_status = print(*options, call(*options, "POST", "/v1/keys",
                                               json{{"team", *team}}.dump()));
        });

    auto* withdraw = key->add_subcommand("withdraw", "Withdraw a key by id");
    auto withdraw_options = add_options(*withdraw);
    auto id = std::make_shared<std::string>();
    withdraw->add_option("id", *id, "Key id")->required();
    withdraw->callback(
        [=, &exit_status]
        {
            exit_status =
                print(*withdraw_options,
                      call(*withdraw_options, "DELETE", "/v1/keys/" + *id));
        });

    auto* list = key->add_subcommand("list", "List the keys in force");
    auto list_options = add_options(*list);
    list->callback(
        [=, &exit_status]
        {
            exit_status =
                print(*list_options, call(*list_options, "GET", "/v1/keys"));
        });
}

void add_data_centre_commands(CLI::App& app, int& exit_status)
{
    auto* command = app.add_subcommand(
        "datacentre", "Take data centres out and bring them back");
    command->require_subcommand(1);
    for (const std::string state : {"out", "in"})
    {
        auto* change = command->add_subcommand(
            state, state == "out" ? "Take a data centre out"
                                  : "Bring a data centre back");
        auto options = add_options(*change);
        auto name = std::make_shared<std::string>();
        change->add_option("name", *name, "Data centre")->required();
        change->callback(
            [=, &exit_status]
            {
                exit_status = print(
                    *options, call(*options, "PUT", "/v1/datacentres/" + *name,
                                   json{{"state", state}}.dump()));
            });
    }
    auto* list = command->add_subcommand("list", "List the states in force");
    auto list_options = add_options(*list);
    list->callback(
        [=, &exit_status]
        {
            exit_status = print(*list_options,
                                call(*list_options, "GET", "/v1/datacentres"));
        });
}

// ------------------------------------------------------------------- callers

void add_job_commands(CLI::App& app, int& exit_status)
{
    auto* submit = app.add_subcommand("submit", "Submit a job");
    auto options = add_options(*submit);
    auto file = std::make_shared<std::string>();
    submit->add_option("file", *file, "JSON file with the job, - for stdin")
        ->required();
    submit->callback(
        [=, &exit_status]
        {
            exit_status = print(
                *options, call(*options, "POST", "/v1/jobs", read_text(*file)));
        });

    auto* status = app.add_subcommand("status", "Show the state of a job");
    auto status_options = add_options(*status);
    auto job = std::make_shared<std::string>();
    status->add_option("job", *job, "Job id")->required();
    status->callback(
        [=, &exit_status]
        {
            exit_status = print(*status_options, call(*status_options, "GET",
                                                      "/v1/jobs/" + *job));
        });

    auto* cancel = app.add_subcommand("cancel", "Cancel a job");
    auto cancel_options = add_options(*cancel);
    auto cancelled = std::make_shared<std::string>();
    cancel->add_option("job", *cancelled, "Job id")->required();
    cancel->callback(
        [=, &exit_status]
        {
            exit_status = print(*cancel_options,
                                call(*cancel_options, "POST",
                                     "/v1/jobs/" + *cancelled + "/cancel"));
        });
}

void add_ticket_command(CLI::App& app, int& exit_status)
{
    auto* ticket = app.add_subcommand(
        "ticket", "Get a ticket: an idempotency key that works while the "
                  "table service is down");
    auto options = add_options(*ticket);
    ticket->callback(
        [=, &exit_status] {
            exit_status =
                print(*options, call(*options, "POST", "/v1/tickets"));
        });
}

void add_request_command(CLI::App& app, int& exit_status)
{
    auto* request =
        app.add_subcommand("request", "Send a request to a team's service");
    auto options = add_options(*request);
    auto service = std::make_shared<std::string>();
    auto body = std::make_shared<std::string>();
    auto idempotent = std::make_shared<bool>(false);
    auto deadline_ms = std::make_shared<std::int64_t>(30000);
    request->add_option("service", *service, "Service")->required();
    request->add_option("body", *body, "Body of the request")->required();
    request->add_flag("--idempotent", *idempotent,
                      "The request may be repeated after a failure");
    request->add_option("--deadline-ms", *deadline_ms, "Deadline")
        ->capture_default_str();
    auto idempotency_key = std::make_shared<std::string>();
    request->add_option("--idempotency-key", *idempotency_key,
                        "Runs at most once under this key: a ticket or a name "
                        "of your own; repeat the command after a failure");
    request->callback(
        [=, &exit_status]
        {
            const auto path = fmt::format(
                "/v1/services/{}/requests?deadline_ms={}&idempotent={}",
                *service, *deadline_ms, *idempotent);
            exit_status = print(*options, call(*options, "POST", path, *body,
                                               *idempotency_key));
        });
}

} // namespace

void add_client_commands(CLI::App& app, int& exit_status)
{
    add_team_commands(app, exit_status);
    add_key_commands(app, exit_status);
    add_data_centre_commands(app, exit_status);
    add_job_commands(app, exit_status);
    add_ticket_command(app, exit_status);
    add_request_command(app, exit_status);
}

} // namespace carobcourse
