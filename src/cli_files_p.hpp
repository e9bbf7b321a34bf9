/// Files and problems on the command line.
#pragma once

#include <string>
#include <vector>

#include "document_p.hpp"

namespace carobcourse
{

/// The whole file. Returns false when it can not be read.
bool read_file(const std::string& path, std::string& text);

/// The problem of a settings file that can not be read.
problem unreadable(const std::string& path);

/// One line for each on the error output.
void print(const std::vector<problem>& problems);

} // namespace carobcourse
