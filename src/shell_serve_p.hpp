/// The `serve` process: the core on its thread, and a thread per duty
/// around it.
#pragma once

#include <string>

#include "settings_p.hpp"

namespace carobcourse
{

/// Runs one entry host until a planned stop is complete. Handles SIGTERM and
/// SIGINT. Returns the exit code of the process.
/// With `trace_path`, records a trace for `carobcourse replay` there; it
/// holds what callers sent, their keys included.
int run_entry_host(const settings& settings, const std::string& trace_path);

} // namespace carobcourse
