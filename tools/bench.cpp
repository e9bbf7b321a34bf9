// Benchmarks of the scheduler's decisions.
#include "bench_p.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <string>

namespace carobcourse::bench
{

double percentile(std::vector<double>& values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * part)];
}

double resident_mb()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word)
    {
        double kilobytes = 0;
        if (word == "VmRSS:" && status >> kilobytes)
            return kilobytes / 1024;
    }
    return 0;
}

namespace
{

/// One line per table row: the row's scalar members as "name=value".
void print_rows(const nlohmann::json& rows)
{
    for (const auto& row : rows)
    {
        std::string line;
        for (const auto& [name, value] : row.items())
            line += value.is_number_float()
                        ? fmt::format("{}={:.4g}  ", name, value.get<double>())
                        : fmt::format("{}={}  ", name, value.dump());
        std::cout << line << "\n";
    }
}

} // namespace

} // namespace carobcourse::bench

int main(int argc, char** argv)
{
    using namespace carobcourse::bench;
    CLI::App app("Benchmarks of carobcourse");
    app.require_subcommand(1);
    std::uint64_t seed = 1;
    bool as_json = false;
    app.add_option("--seed", seed, "Seed of the random engine");
    app.add_flag("--json", as_json, "Print the result as JSON");
    app.fallthrough();
    auto* placement = app.add_subcommand(
        "placement", "Decisions a second, latency and packing");
    int only_workers = 0;
    std::size_t decisions = 200000;
    placement->add_option("--workers", only_workers,
                          "Only this fleet size and only the index, for "
                          "instruction counts");
    placement->add_option("--decisions", decisions, "Decisions per method");
    app.add_subcommand("policy",
                       "Waiting time, shares and gangs on a virtual clock");
    CLI11_PARSE(app, argc, argv);
    const auto result = placement->parsed()
                            ? run_placement(seed, only_workers, decisions)
                            : run_policy(seed);
    if (as_json)
    {
        std::cout << result.dump(2) << "\n";
        return 0;
    }
    for (const auto& [name, rows] : result.items())
    {
        std::cout << name << "\n";
        print_rows(rows);
    }
    return 0;
}
