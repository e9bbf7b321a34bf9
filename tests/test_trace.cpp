#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "trace_p.hpp"

using namespace carobcourse;

namespace
{

const char* const host_line =
    R"({"host":{"host":"h","data_centre":"d","incarnation":"i"},"seed":1})";

replay_report replay(const std::string& lines)
{
    std::istringstream in(std::string(host_line) + "\n" + lines);
    const auto report = replay_trace(in);
    REQUIRE(report);
    return *report;
}

} // namespace

TEST_CASE("a stated outcome that does not come is reported with its line")
{
    // Guards against a replay that passes whatever the core does.
    const std::string call =
        R"({"at_us":1,"event":{"type":"call","id":5,"method":"GET",)"
        R"("path":"/v1/jobs/x"}})"
        "\n";
    const std::string good =
        R"({"expect":{"type":"reply","id":5,"http_status":503,)"
        R"("body":{"error":{"code":"CC-1201"}}}})";
    const std::string bad =
        R"({"expect":{"type":"reply","id":5,"http_status":200}})";
    CHECK(replay(call + good).unmet.empty());
    const auto report = replay(call + bad);
    REQUIRE(report.unmet.size() == 1);
    CHECK(report.unmet.front().rfind("line 3:", 0) == 0);
}

TEST_CASE("a forbidden effect is reported")
{
    // Guards against traces that can not state that something stays away.
    const std::string lines = R"({"expect_none":{"type":"list_hosts"}})"
                              "\n"
                              R"({"at_us":1,"event":{"type":"tick"}})";
    CHECK(replay(lines).unmet.size() == 1);
}

TEST_CASE("a malformed trace ends in a numbered error that names the line")
{
    // Guards against a crash on a truncated recording.
    for (const std::string line :
         {"{", "[]", R"({"event":{"type":"tick"}})",
          R"({"at_us":1,"event":{"type":"store"}})", R"({"other":1})"})
    {
        std::istringstream in(std::string(host_line) + "\n" + line);
        const auto report = replay_trace(in);
        REQUIRE_FALSE(report);
        CHECK(report.error().code == result_code::invalid_trace);
        CHECK(report.error().detail.rfind("line 2:", 0) == 0);
    }
}
