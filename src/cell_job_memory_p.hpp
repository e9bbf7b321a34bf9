/// How much memory the jobs of a cell take at its owner.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// Returns the estimated memory of a job at its owner, with the state of the
/// tasks of all its occurrences and its entries of the log. Precondition:
/// `validate_job(work)` finds no error. Thread safe.
std::size_t estimate_job_bytes(const job_spec& work);

/// Estimated memory of the jobs that an owner keeps.
///
/// Load: a customer that submits its largest jobs faster than they end. It
/// leaves half of the memory to the others. Core thread only.
class job_memory
{
public:
    /// Whether a job of the customer that takes `bytes` fits beside the others
    /// and `ended` jobs that have ended.
    bool has_room(const std::string& customer, std::size_t bytes,
                  std::size_t ended) const;
    void add(const std::string& customer, std::size_t bytes);
    /// Precondition: as much was added.
    void remove(const std::string& customer, std::size_t bytes);
    std::size_t total() const
    {
        return total_;
    }

private:
    std::size_t total_ = 0;
    std::map<std::string, std::size_t> by_customer_;
};

/// The share of one job, which is returned at its end. Core thread only.
class job_memory_share
{
public:
    job_memory_share() = default;
    /// Precondition: `memory` outlives this object.
    job_memory_share(job_memory& memory, std::string customer,
                     std::size_t bytes);
    job_memory_share(job_memory_share&& other) noexcept;
    job_memory_share& operator=(job_memory_share&& other) noexcept;
    ~job_memory_share();

private:
    job_memory* memory_ = nullptr;
    std::string customer_;
    std::size_t bytes_ = 0;
};

} // namespace carobcourse
