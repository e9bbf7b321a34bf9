// Compares the tables in docs/ with the code.
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>

#include "log_event_p.hpp"
#include <carobcourse/result_code.hpp>

using namespace carobcourse;

namespace
{

std::set<std::string> table_lines(const std::string& name)
{
    std::ifstream in(std::string(CAROBCOURSE_SOURCE_DIR) + "/docs/" + name);
    std::set<std::string> lines;
    for (std::string line; std::getline(in, line);)
    {
        if (line.rfind("| C", 0) == 0 && line.rfind("| Code", 0) != 0)
            lines.insert(line);
    }
    return lines;
}

} // namespace

TEST_CASE("docs/errors.md lists exactly the result codes")
{
    // Guards against a code that callers can not look up.
    std::set<std::string> expected;
#define CAROBCOURSE_LINE(name, number, http, ran_value, text)                  \
    expected.insert(fmt::format("| CC-{:04} | {} | {} | {} | {} |", number,    \
                                #name, http, to_string(ran::ran_value),        \
                                text));
    CAROBCOURSE_RESULT_CODES(CAROBCOURSE_LINE)
#undef CAROBCOURSE_LINE
    CHECK(table_lines("errors.md") == expected);
}

TEST_CASE("docs/events.md lists exactly the log events")
{
    // Guards against an event that operators can not look up.
    static constexpr const char* levels[] = {"info", "warning", "error"};
    std::set<std::string> expected;
#define CAROBCOURSE_LINE(name, number, level, text)                            \
    expected.insert(fmt::format("| CE-{:04} | {} | {} | {} |", number, #name,  \
                                levels[static_cast<int>(log_level::level)],    \
                                text));
    CAROBCOURSE_LOG_EVENTS(CAROBCOURSE_LINE)
#undef CAROBCOURSE_LINE
    CHECK(table_lines("events.md") == expected);
}
