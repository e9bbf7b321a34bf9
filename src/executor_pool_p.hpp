/// The backend servers of this data centre: slots, load and state.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core_context_p.hpp"

namespace carobcourse
{

/// A backend server that was chosen for an attempt.
struct executor_choice
{
    std::string executor;
    std::string address;
};

/// Aggregate. Rule: never more attempts outstanding at a server than the
/// share of its slots that this entry host may use. Not thread safe.
class executor_pool
{
public:
    explicit executor_pool(core_context& context);

    void update_hosts(const std::vector<host_entry>& hosts);

    /// True when a server that is not leaving serves `service`.
    bool serves(const std::string& service) const;

    /// Chooses by power of two choices and takes a slot, or returns nothing
    /// when no server has one free.
    std::optional<executor_choice> acquire(const std::string& service);

    /// Returns the slot and takes note of the server's report.
    void release(const execute_result& result);

private:
    struct executor_record
    {
        host_entry host;
        std::uint32_t outstanding = 0;
        bool leaving = false;
    };

    bool may_take(const executor_record& record) const;

    core_context& context_;
    std::map<std::string, executor_record> executors_;
    std::map<std::string, std::vector<std::string>> by_service_;
    std::size_t entry_hosts_ = 1;
};

} // namespace carobcourse
