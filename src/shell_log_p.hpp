/// Log output of the processes.
#pragma once

#include <string>

#include "event_p.hpp"

namespace carobcourse
{

/// Sets the log up for standard output. `level` is debug, info, warning or
/// error. Call once, before any other thread starts.
void init_log(const std::string& level);

/// Writes one numbered event. Thread safe.
void write_log(const log_record& record);

} // namespace carobcourse
