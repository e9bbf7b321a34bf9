#include "cli_p.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

#include "document_p.hpp"
#include "settings_p.hpp"
#include "shell_log_p.hpp"
#include "shell_serve_p.hpp"

namespace carobcourse
{

namespace
{

bool read_file(const std::string& path, std::string& text)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        std::cerr << to_string(problem{path, 0, "file",
                                       result_code::invalid_settings,
                                       "can not be read"})
                  << "\n";
        return false;
    }
    std::ostringstream buffer;
    buffer << in.rdbuf();
    text = buffer.str();
    return true;
}

void print(const std::vector<problem>& problems)
{
    for (const auto& each : problems)
        std::cerr << to_string(each) << "\n";
}

int serve(const std::string& path)
{
    std::string text;
    if (!read_file(path, text))
        return exit_code::usage;
    const auto parsed = parse_settings(text, path);
    if (!parsed)
    {
        print(parsed.error());
        return exit_code::usage;
    }
    init_log(parsed->log_level);
    try
    {
        return run_entry_host(*parsed);
    }
    catch (const std::exception& e)
    {
        std::cerr << to_string(problem{path, 0, "entry_host.listen",
                                       result_code::invalid_settings, e.what()})
                  << "\n";
        return exit_code::usage;
    }
}

/// A file with a `team` key is a team document, any other is settings.
bool check_file(const std::string& path)
{
    std::string text;
    if (!read_file(path, text))
        return false;
    const auto document = parse_team_document(text, path);
    if (document)
        return true;
    const auto parsed = parse_settings(text, path);
    if (parsed)
        return true;
    const bool is_settings = text.find("[entry_host]") != std::string::npos;
    print(is_settings ? parsed.error() : document.error());
    return false;
}

int check(const std::vector<std::string>& paths)
{
    bool good = true;
    for (const auto& path : paths)
    {
        if (check_file(path))
            std::cout << path << ": ok\n";
        else
            good = false;
    }
    return good ? exit_code::ok : exit_code::usage;
}

} // namespace

void add_local_commands(CLI::App& app, int& exit_status)
{
    auto* serve_command =
        app.add_subcommand("serve", "Run one entry host process");
    auto path = std::make_shared<std::string>();
    serve_command->add_option("--settings", *path, "TOML settings file")
        ->required();
    serve_command->callback([path, &exit_status]
                            { exit_status = serve(*path); });

    auto* check_command = app.add_subcommand(
        "check", "Check settings and team documents without starting");
    auto paths = std::make_shared<std::vector<std::string>>();
    check_command->add_option("files", *paths, "Files to check")->required();
    check_command->callback([paths, &exit_status]
                            { exit_status = check(*paths); });
}

} // namespace carobcourse
