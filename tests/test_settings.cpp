#include <catch2/catch.hpp>
#include <random>

#include "allotment_p.hpp"
#include "configuration_p.hpp"
#include "settings_p.hpp"

using namespace carobcourse;

namespace
{

const char* const good_settings = R"([entry_host]
id = "north-1"
data_centre = "north"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
drain_deadline_s = 30
operator_key = "0123456789abcdef"
[platform]
table = "http://127.0.0.1:1"
hosts = "http://127.0.0.1:3"
[cluster]
secret = "0123456789abcdef"
[log]
level = "info"
)";

const char* const good_document = R"(team = "climb-desk"
version = 3
weight = 4
limit_excess = "stop"
[limit]
cpu_millis = 1000
memory_mb = 2000
accelerators = 1
[[service]]
name = "bookings"
open = true
submitters = ["climbers", "walkers"]
priority = 2
)";

/// Changes, drops, doubles or inserts bytes and pieces of the text.
std::string mutate(std::string text, std::mt19937_64& random)
{
    static const std::vector<std::string> pieces = {
        "[",       "]",         "[[",   "\"",
        "'''",     "=",         "{",    "}",
        "\n",      ".",         "-1",   "1e9",
        "\\u0000", "\xff",      "\xc3", "true",
        "null",    "{}",        "[]",   "99999999999999999999",
        "[[a]]",   ",",         ":",    std::string(1, '\0'),
        "0x",      "1979-05-27"};
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i)
    {
        const auto at = random() % text.size();
        switch (random() % 5)
        {
        case 0:
            text[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(at, 1 + random() % 20);
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + random() % 40));
            break;
        case 3:
            text.insert(at, pieces[random() % pieces.size()]);
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

} // namespace

TEST_CASE("the number of shards is a setting of the cluster with a range")
{
    // Guards against a host that divides the workers by a number that no
    // other host has.
    const std::string text = good_settings;
    const auto with = [&](const std::string& line)
    {
        auto changed = text;
        changed.insert(changed.find("[log]"), line + "\n");
        return parse_settings(changed, "a.toml");
    };
    REQUIRE(parse_settings(text, "a.toml"));
    CHECK(parse_settings(text, "a.toml")->shards_per_data_centre == 1);
    REQUIRE(with("shards_per_data_centre = 64"));
    CHECK(with("shards_per_data_centre = 64")->shards_per_data_centre == 64);
    CHECK_FALSE(with("shards_per_data_centre = 0"));
    CHECK_FALSE(with("shards_per_data_centre = 65"));
    CHECK_FALSE(with("shards_per_data_centre = \"4\""));
}

TEST_CASE("good settings are read, and bad ones are reported all at once")
{
    // Guards against a stop at the first problem.
    REQUIRE(parse_settings(good_settings, "s.toml"));
    const auto bad = parse_settings("[entry_host]\nlisten = \"x\"\n", "s.toml");
    REQUIRE_FALSE(bad);
    CHECK(bad.error().size() >= 6);
}

TEST_CASE("limit_excess is read, and kept in the table's form")
{
    // Guards against a team whose tasks are stopped, or kept, unasked.
    const auto document = parse_team_document(good_document, "d.toml");
    REQUIRE(document);
    CHECK(document->stop_excess);
    CHECK(team_document_from_json(to_json_text(*document))->stop_excess);
    std::string text = good_document;
    text.replace(text.find("\"stop\""), 6, "\"halt\"");
    const auto bad = parse_team_document(text, "d.toml");
    REQUIRE_FALSE(bad);
    CHECK(bad.error().front().key == "limit_excess");
}

TEST_CASE("mutated text ends in a value or in numbered problems")
{
    // Guards against an exception or a crash on malformed input.
    std::mt19937_64 random(20261204);
    int values = 0;
    int refused = 0;
    constexpr int rounds = 10000;
    for (int i = 0; i < rounds; ++i)
    {
        const auto text = mutate(good_settings, random);
        const auto parsed = parse_settings(text, "s.toml");
        parsed ? ++values : ++refused;
        if (!parsed)
            REQUIRE_FALSE(parsed.error().empty());
    }
    for (int i = 0; i < rounds; ++i)
    {
        const auto text = mutate(good_document, random);
        const auto parsed = parse_team_document(text, "d.toml");
        parsed ? ++values : ++refused;
        if (!parsed)
        {
            REQUIRE_FALSE(parsed.error().empty());
            REQUIRE(to_string(parsed.error().front()).find("CC-1005") !=
                    std::string::npos);
        }
        else
        {
            REQUIRE(team_document_from_json(to_json_text(*parsed)));
        }
    }
    CHECK(values > 100);
    CHECK(refused > rounds);
}

TEST_CASE("mutated JSON of the table ends in a value or an error")
{
    // Guards against an exception or a crash on a damaged row.
    std::mt19937_64 random(4);
    const auto document =
        to_json_text(*parse_team_document(good_document, "d.toml"));
    team_limit_row row;
    row.wants["a.0"] = {1, 2, 3};
    row.holders = {"a.0"};
    const auto change = to_json_text(
        config_change{3, "w", entry_kind::team, "climb-desk", document});
    const auto key =
        to_json_text(key_record{"0123456789ab", "climb", "00", "11"});
    int refused = 0;
    for (int i = 0; i < 5000; ++i)
    {
        refused += team_document_from_json(mutate(document, random)) ? 0 : 1;
        refused +=
            team_limit_row_from_json(mutate(to_json_text(row), random)) ? 0 : 1;
        refused += key_record_from_json(mutate(key, random)) ? 0 : 1;
        const auto parsed = config_change_from_json(mutate(change, random));
        refused += parsed ? 0 : 1;
        if (parsed)
        {
            configuration config;
            (void)config.apply(*parsed);
        }
    }
    CHECK(refused > 1000);
}
