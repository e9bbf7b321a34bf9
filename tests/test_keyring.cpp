#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "configuration_p.hpp"
#include "core_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;

namespace
{

std::chrono::nanoseconds median_time(const configuration& config,
                                     const std::string& key)
{
    using steady = std::chrono::steady_clock;
    std::vector<std::chrono::nanoseconds> times;
    for (int i = 0; i < 4001; ++i)
    {
        const auto start = steady::now();
        REQUIRE_FALSE(config.authenticate(key));
        times.push_back(steady::now() - start);
    }
    std::nth_element(times.begin(), times.begin() + 2000, times.end());
    return times[2000];
}

} // namespace

TEST_CASE("a key matches only itself")
{
    // Guards against a comparison of the id alone.
    seeded_entropy entropy(1);
    const auto issued = issue_key("climb", entropy);
    CHECK(matches(issued.record, issued.printed));
    auto wrong = issued.printed;
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    CHECK_FALSE(matches(issued.record, wrong));
    CHECK(key_id_of(wrong) == issued.record.id);
    CHECK(key_id_of("cck_x").empty());
}

TEST_CASE("the secret of a key is masked wherever text repeats it")
{
    // Guards against a key in an error or log line after a typing mistake.
    seeded_entropy entropy(3);
    const auto key = issue_key("climb", entropy).printed;
    const auto masked = without_secrets("a " + key + " b " + key);
    CHECK(masked.find(key.substr(17)) == std::string::npos);
    CHECK(masked.find(key.substr(0, 16)) != std::string::npos);
    CHECK(masked.find(" b ") != std::string::npos);
    CHECK(without_secrets("cck_") == "cck_");
}

TEST_CASE("a refusal of an unknown key id takes as long as of a known one")
{
    // Guards against an early exit that reveals which key ids exist. Without
    // the MAC of a decoy the ratio is far below one half.
    seeded_entropy entropy(2);
    configuration config;
    auto issued = issue_key("climb", entropy);
    config.apply({1, "w", entry_kind::key, issued.record.id,
                  to_json_text(issued.record)});
    auto wrong = issued.printed;
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    const auto unknown = issue_key("climb", entropy).printed;
    const auto known_time = median_time(config, wrong);
    const auto unknown_time = median_time(config, unknown);
    const auto ratio = static_cast<double>(unknown_time.count()) /
                       static_cast<double>(known_time.count());
    INFO("known " << known_time.count() << " ns, unknown "
                  << unknown_time.count() << " ns");
    CHECK(ratio > 0.5);
    CHECK(ratio < 2.0);
}
