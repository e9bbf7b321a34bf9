/// Parts of the benchmark tool.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace carobcourse::bench
{

/// Value below which the fraction `part` of `values` lies; 0 without values.
/// Sorts `values`.
double percentile(std::vector<double>& values, double part);

/// Resident memory of this process in MiB.
double resident_mb();

/// Decisions a second, their latency and packing beside two baselines; with
/// `only_workers` not zero only the index at that fleet size.
nlohmann::json run_placement(std::uint64_t seed, int only_workers,
                             std::size_t decisions);

/// Waiting time, shares and gangs on a virtual clock.
nlohmann::json run_policy(std::uint64_t seed);

} // namespace carobcourse::bench
