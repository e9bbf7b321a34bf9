#include "metrics_p.hpp"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace carobcourse
{

namespace bh = boost::histogram;

namespace
{

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram =
    decltype(bh::make_histogram(std::declval<latency_axis>()));

// From 10 us to 100 s, eight bins per factor of ten.
constexpr double lowest_seconds = 1e-5;
constexpr double highest_seconds = 1e2;
constexpr unsigned bins = 56;

} // namespace

struct metrics::histograms
{
    struct entry
    {
        latency_histogram distribution = bh::make_histogram(
            latency_axis(bins, lowest_seconds, highest_seconds));
        double sum = 0;
        std::uint64_t count = 0;
    };
    std::map<std::string, entry> by_name;
};

metrics::metrics() : histograms_(std::make_unique<histograms>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& reason,
                    std::uint64_t amount)
{
    counters_[{name, reason}] += amount;
}

void metrics::count_refusal(result_code code)
{
    count("carobcourse_refusals_total", info(code).name);
}

void metrics::count_retry(const std::string& reason)
{
    count("carobcourse_retries_total", reason);
}

void metrics::gauge(const std::string& name, double value)
{
    gauges_[name] = value;
}

void metrics::observe(const std::string& name, duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    auto& entry = histograms_->by_name[name];
    entry.distribution(seconds);
    entry.sum += seconds;
    ++entry.count;
}

std::uint64_t metrics::counter(const std::string& name,
                               const std::string& reason) const
{
    const auto found = counters_.find({name, reason});
    return found == counters_.end() ? 0 : found->second;
}

std::string metrics::render() const
{
    std::string out;
    std::string last;
    for (const auto& [key, value] : counters_)
    {
        if (key.first != last)
            out += fmt::format("# TYPE {} counter\n", key.first);
        last = key.first;
        if (key.second.empty())
            out += fmt::format("{} {}\n", key.first, value);
        else
            out += fmt::format("{}{{reason=\"{}\"}} {}\n", key.first,
                               key.second, value);
    }
    for (const auto& [name, value] : gauges_)
        out += fmt::format("# TYPE {0} gauge\n{0} {1}\n", name, value);
    for (const auto& [name, entry] : histograms_->by_name)
    {
        out += fmt::format("# TYPE {} histogram\n", name);
        const auto& axis = entry.distribution.axis();
        double total = entry.distribution.at(-1);
        for (int i = 0; i < axis.size(); ++i)
        {
            total += entry.distribution.at(i);
            out += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {:.0f}\n", name,
                               axis.bin(i).upper(), total);
        }
        out += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, entry.count);
        out += fmt::format("{}_sum {:.6f}\n{}_count {}\n", name, entry.sum,
                           name, entry.count);
    }
    return out;
}

} // namespace carobcourse
