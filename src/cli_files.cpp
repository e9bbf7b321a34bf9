#include "cli_files_p.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace carobcourse
{

bool read_file(const std::string& path, std::string& text)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return false;
    std::ostringstream buffer;
    buffer << in.rdbuf();
    text = buffer.str();
    return true;
}

problem unreadable(const std::string& path)
{
    return {path, 0, "file", result_code::invalid_settings, "can not be read"};
}

void print(const std::vector<problem>& problems)
{
    for (const auto& each : problems)
        std::cerr << to_string(each) << "\n";
}

} // namespace carobcourse
