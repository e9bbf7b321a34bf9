/// Counters and histograms, rendered in the Prometheus text format.
#pragma once

#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace carobcourse
{

/// Metrics of one entry host. Used by the core thread only.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds `amount` to the counter `name` with the label `reason`. The
    /// reason may be empty.
    void count(const std::string& name, const std::string& reason = {},
               std::uint64_t amount = 1);

    /// Counts a refusal of a caller by its result code.
    void count_refusal(result_code code);

    /// Counts a retry by its cause.
    void count_retry(const std::string& reason);

    /// Sets the gauge `name`.
    void gauge(const std::string& name, double value);

    /// Records `value` in the histogram `name`; rendered in seconds.
    void observe(const std::string& name, duration value);

    std::uint64_t counter(const std::string& name,
                          const std::string& reason = {}) const;

    /// Returns all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct histograms;

    std::map<std::pair<std::string, std::string>, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::unique_ptr<histograms> histograms_;
};

} // namespace carobcourse
