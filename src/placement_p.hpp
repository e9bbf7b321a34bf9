/// Choice of a worker for a task.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobcourse
{

/// A worker as placement sees it.
struct worker_capacity
{
    std::string worker;
    std::string rack;
    resources total;
    resources free;

    friend bool operator==(const worker_capacity& a, const worker_capacity& b)
    {
        return a.worker == b.worker && a.rack == b.rack && a.total == b.total &&
               a.free == b.free;
    }
};

/// Free capacity of the workers that may get work.
class placement_index
{
public:
    /// Adds the worker or replaces what is known of it.
    void update(const worker_capacity& worker);
    void remove(const std::string& worker);
    const std::map<std::string, worker_capacity>& workers() const
    {
        return workers_;
    }
    /// True when an empty worker could hold `amount`.
    bool could_ever_fit(const resources& amount) const;

private:
    std::map<std::string, worker_capacity> workers_;
};

/// Chooses workers for one kind of work. Implementations keep no state.
class placement_policy
{
public:
    virtual ~placement_policy() = default;
    /// Returns a worker with room for `amount`. `racks_used` counts the
    /// tasks of the same job per rack.
    virtual std::optional<std::string>
    choose(const placement_index& index, const resources& amount,
           const std::map<std::string, std::uint32_t>& racks_used) const = 0;
};

/// Returns the policy for a kind of work. It lives as long as the program.
const placement_policy& policy_for(job_kind kind);

} // namespace carobcourse
