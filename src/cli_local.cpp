#include "cli_p.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "cli_files_p.hpp"
#include "document_p.hpp"
#include "settings_p.hpp"
#include "shell_log_p.hpp"
#include "shell_serve_p.hpp"
#include "trace_p.hpp"

namespace carobcourse
{

namespace
{

int serve(const std::string& path, const std::string& trace_path)
{
    std::string text;
    if (!read_file(path, text))
    {
        print({unreadable(path)});
        return exit_code::usage;
    }
    const auto parsed = parse_settings(text, path);
    if (!parsed)
    {
        print(parsed.error());
        return exit_code::usage;
    }
    init_log(parsed->log_level);
    try
    {
        return run_entry_host(*parsed, trace_path);
    }
    catch (const std::exception& e)
    {
        std::cerr << to_string(problem{path, 0, "entry_host.listen",
                                       result_code::invalid_settings, e.what()})
                  << "\n";
        return exit_code::usage;
    }
}

/// A file with an `[entry_host]` table is settings, any other a team document.
std::vector<problem> check_file(const std::string& path)
{
    std::string text;
    if (!read_file(path, text))
        return {unreadable(path)};
    if (text.find("[entry_host]") != std::string::npos)
    {
        const auto parsed = parse_settings(text, path);
        return parsed ? std::vector<problem>() : parsed.error();
    }
    const auto document = parse_team_document(text, path);
    return document ? std::vector<problem>() : document.error();
}

int check(const std::vector<std::string>& paths, bool json_output)
{
    bool good = true;
    nlohmann::json report = nlohmann::json::array();
    for (const auto& path : paths)
    {
        const auto problems = check_file(path);
        good = good && problems.empty();
        for (const auto& each : problems)
            report.push_back({{"file", each.file},
                              {"line", each.line},
                              {"code", to_string(each.code)},
                              {"key", each.key},
                              {"text", each.detail}});
        if (json_output)
            continue;
        print(problems);
        if (problems.empty())
            std::cout << path << ": ok\n";
    }
    if (json_output)
        std::cout << nlohmann::json{{"problems", report}} << "\n";
    return good ? exit_code::ok : exit_code::usage;
}

int replay(const std::string& path, bool json_output)
{
    std::ifstream in(path);
    if (!in)
    {
        print({unreadable(path)});
        return exit_code::usage;
    }
    const auto report = replay_trace(in);
    if (!report)
    {
        std::cerr << to_string(problem{path, 0, "trace", report.error().code,
                                       report.error().detail})
                  << "\n";
        return exit_code::usage;
    }
    if (json_output)
        std::cout << nlohmann::json{{"events", report->events},
                                    {"effects", report->effects},
                                    {"expectations", report->expectations},
                                    {"unmet", report->unmet}}
                  << "\n";
    else
        std::cout << fmt::format(
            "{} events, {} effects, {} expectations, {} unmet\n",
            report->events, report->effects, report->expectations,
            report->unmet.size());
    for (const auto& each : report->unmet)
        std::cerr << path << ": " << each << "\n";
    return report->unmet.empty() ? exit_code::ok : exit_code::refused;
}

} // namespace

void add_local_commands(CLI::App& app, int& exit_status)
{
    auto* serve_command =
        app.add_subcommand("serve", "Run one entry host process");
    auto path = std::make_shared<std::string>();
    serve_command->add_option("--settings", *path, "TOML settings file")
        ->required();
    auto trace = std::make_shared<std::string>();
    serve_command->add_option(
        "--record", *trace,
        "Record a trace for replay; it holds callers' keys and bodies");
    serve_command->callback([path, trace, &exit_status]
                            { exit_status = serve(*path, *trace); });

    auto* check_command = app.add_subcommand(
        "check", "Check settings and team documents without starting");
    auto paths = std::make_shared<std::vector<std::string>>();
    check_command->add_option("files", *paths, "Files to check")->required();
    auto check_json = std::make_shared<bool>(false);
    check_command->add_flag("--json", *check_json,
                            "Print the problems as JSON on one line");
    check_command->callback([paths, check_json, &exit_status]
                            { exit_status = check(*paths, *check_json); });

    auto* replay_command = app.add_subcommand(
        "replay", "Replay a trace against the outcomes that it states");
    auto trace_path = std::make_shared<std::string>();
    auto as_json = std::make_shared<bool>(false);
    replay_command->add_option("trace", *trace_path, "Trace file")->required();
    replay_command->add_flag("--json", *as_json, "Print the result as JSON");
    replay_command->callback([trace_path, as_json, &exit_status]
                             { exit_status = replay(*trace_path, *as_json); });
}

} // namespace carobcourse
