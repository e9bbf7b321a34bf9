/// Learned run times and sizes. Used for order and estimates only.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <string>
#include <utility>

namespace carobcourse
{

/// Moving means per team and kind of work. Not thread safe.
class usage_model
{
public:
    /// `declared` is zero when the job declared no run time.
    void observe_run(const std::string& team, job_kind kind, duration declared,
                     duration actual);
    void observe_size(const std::string& team, job_kind kind,
                      const resources& declared, const resources& used);

    /// Expected run time, zero when neither declared nor learned.
    duration expected_run(const std::string& team, job_kind kind,
                          duration declared) const;
    /// Part of the declared processor amount that is really used, 1 when
    /// nothing is known.
    double used_part(const std::string& team, job_kind kind) const;

private:
    struct record
    {
        double run_s = 0;
        double run_ratio = 0; ///< Actual over declared.
        double used = 0;
        bool has_run = false;
        bool has_ratio = false;
        bool has_used = false;
    };
    std::map<std::pair<std::string, job_kind>, record> records_;
};

} // namespace carobcourse
