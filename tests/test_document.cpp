#include <catch2/catch.hpp>

#include "document_p.hpp"

using namespace carobcourse;

namespace
{

const char* const good = R"(
team = "climb-desk"
version = 3
weight = 4
[limit]
cpu_millis = 1000
memory_mb = 2000
[[service]]
name = "bookings"
submitters = ["climbers"]
priority = 2
)";

} // namespace

TEST_CASE("a team document survives the table's JSON form")
{
    // Guards against a member that is written but not read back.
    const auto document = parse_team_document(good, "a.toml");
    REQUIRE(document);
    CHECK(document->base_version == 3);
    const auto again = team_document_from_json(to_json_text(*document));
    REQUIRE(again);
    CHECK(*again == *document);
}

TEST_CASE("every problem of a document is reported at once, with its line")
{
    // Guards against stopping at the first problem.
    const auto document = parse_team_document("team = \"Bad Name\"\n"
                                              "weight = 0\n"
                                              "colour = 1\n",
                                              "b.toml");
    REQUIRE_FALSE(document);
    REQUIRE(document.error().size() == 4);
    CHECK(document.error()[0].line == 1);
    CHECK(document.error()[1].line == 2);
    CHECK(document.error()[2].key == "limit");
    CHECK(document.error()[3].key == "colour");
    CHECK(to_string(document.error()[0]) ==
          "b.toml:1: CC-1005 team: must be 1 to 63 of a-z, 0-9, '-', '_'");
}

TEST_CASE("text that is not TOML is a numbered problem")
{
    // Guards against an exception that ends the process.
    const auto document = parse_team_document("team = [", "c.toml");
    REQUIRE_FALSE(document);
    CHECK(document.error().front().key == "syntax");
}
