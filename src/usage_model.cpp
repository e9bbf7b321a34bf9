#include "usage_model_p.hpp"

#include <cmath>

namespace carobcourse
{

namespace
{

/// Weight of a new observation: about ten observations replace an old mean.
constexpr double new_part = 0.2;

void mix(double& mean, bool& known, double value)
{
    mean = known ? mean + (value - mean) * new_part : value;
    known = true;
}

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void usage_model::observe_run(const std::string& team, job_kind kind,
                              duration declared, duration actual)
{
    auto& of = records_[{team, kind}];
    mix(of.run_s, of.has_run, seconds(actual));
    if (declared > duration::zero())
        mix(of.run_ratio, of.has_ratio, seconds(actual) / seconds(declared));
}

void usage_model::observe_size(const std::string& team, job_kind kind,
                               const resources& declared, const resources& used)
{
    if (declared.cpu_millis <= 0)
        return;
    auto& of = records_[{team, kind}];
    mix(of.used, of.has_used,
        static_cast<double>(used.cpu_millis) /
            static_cast<double>(declared.cpu_millis));
}

duration usage_model::expected_run(const std::string& team, job_kind kind,
                                   duration declared) const
{
    const auto found = records_.find({team, kind});
    double result = seconds(declared);
    if (found != records_.end())
    {
        const auto& of = found->second;
        if (declared > duration::zero() && of.has_ratio)
            result *= of.run_ratio;
        else if (declared <= duration::zero() && of.has_run)
            result = of.run_s;
    }
    return duration(std::llround(result * 1e6));
}

double usage_model::used_part(const std::string& team, job_kind kind) const
{
    const auto found = records_.find({team, kind});
    return found != records_.end() && found->second.has_used
               ? found->second.used
               : 1.0;
}

} // namespace carobcourse
