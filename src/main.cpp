#include <CLI/CLI.hpp>

#include "cli_p.hpp"
#include "command.hpp"

int main(int argc, char** argv)
{
    CLI::App app{"carobcourse: a cluster scheduler run by declarations"};
    app.set_version_flag("--version", CAROBCOURSE_VERSION);
    app.require_subcommand(1);
    int exit_status = carobcourse::exit_code::ok;
    carobcourse::add_local_commands(app, exit_status);
    carobcourse::add_client_commands(app, exit_status);
    carobcourse::platform::add_cell_command(app, exit_status);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& e)
    {
        return app.exit(e) == 0 ? carobcourse::exit_code::ok
                                : carobcourse::exit_code::usage;
    }
    return exit_status;
}
