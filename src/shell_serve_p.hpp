/// The `serve` process: the core on its thread, and a thread per duty
/// around it.
#pragma once

#include "settings_p.hpp"

namespace carobcourse
{

/// Runs one entry host until a planned stop is complete. Handles SIGTERM and
/// SIGINT. Returns the exit code of the process.
int run_entry_host(const settings& settings);

} // namespace carobcourse
