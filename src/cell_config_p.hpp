/// The configuration in force: queues, customers and data centres taken out.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

/// One version of the configuration as the operator wrote it. Immutable once
/// it is shared. Thread safe.
class cell_config
{
public:
    cell_config(std::uint64_t version, std::vector<queue_config> queues,
                std::vector<customer_config> customers,
                std::set<std::string> capacity_enforcing_services);

    std::uint64_t version() const
    {
        return version_;
    }
    const std::vector<queue_config>& queues() const
    {
        return queues_;
    }
    /// Longest prefix match; null when no queue takes the path.
    const queue_config* find_queue(const std::string& host,
                                   const std::string& path) const;
    const queue_config* queue_named(const std::string& name) const;
    /// Null when no customer has the key.
    const customer_config* customer_of_key(const std::string& key) const;
    const customer_config* customer_named(const std::string& name) const;
    /// True when the workers of the service refuse what does not fit.
    bool enforces_capacity(const std::string& service) const
    {
        return capacity_enforcing_services_.count(service) > 0;
    }

    friend bool operator==(const cell_config& a, const cell_config& b)
    {
        return a.version_ == b.version_ && a.queues_ == b.queues_ &&
               a.customers_ == b.customers_ &&
               a.capacity_enforcing_services_ == b.capacity_enforcing_services_;
    }

private:
    std::uint64_t version_;
    std::vector<queue_config> queues_;
    std::vector<customer_config> customers_;
    std::set<std::string> capacity_enforcing_services_;
    std::map<std::string, std::size_t> customer_by_key_;
    std::map<std::string, std::size_t> customer_by_name_;
    std::map<std::string, std::size_t> queue_by_name_;
};

using cell_config_ptr = std::shared_ptr<const cell_config>;

/// Reads the rows that others write to the store: the operator and the
/// workers. The format is the platform's. Thread safe.
class external_row_reader
{
public:
    virtual ~external_row_reader() = default;
    virtual std::string operator_table() const = 0;
    virtual std::string worker_table() const = 0;
    /// Returns null for the key of another row. An unreadable configuration is
    /// an error.
    virtual tl::expected<cell_config_ptr, error>
    read_config(const std::string& key, const std::string& value) const = 0;
    /// Data centre that the row takes out; empty for the key of another row.
    virtual std::string evacuated_data_centre(const std::string& key) const = 0;
    /// An error for a row that names no usable worker.
    virtual tl::expected<worker_report, error>
    read_worker(const std::string& key, const std::string& value) const = 0;
};

} // namespace carobcourse
