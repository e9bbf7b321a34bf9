/// Subcommands of the binary.
#pragma once

#include <string>

namespace CLI // NOLINT(readability-identifier-naming)
{
class App;
}

namespace carobcourse
{

/// Exit codes that scripts can rely on.
namespace exit_code
{
constexpr int ok = 0;
constexpr int refused = 1;     ///< The system refused; the body says why.
constexpr int usage = 2;       ///< Arguments, settings or documents are wrong.
constexpr int unreachable = 3; ///< No entry host answered.
constexpr int unknown = 4;     ///< The outcome is unknown.
} // namespace exit_code

/// Adds the commands that talk to a running entry host. `exit_status` is set
/// by the command that runs.
void add_client_commands(CLI::App& app, int& exit_status);

/// Adds `serve`, `check` and `replay`.
void add_local_commands(CLI::App& app, int& exit_status);

} // namespace carobcourse
