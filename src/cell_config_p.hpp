/// Configuration written by the operator (queues, customers, services) and the
/// interface that decodes the rows of other writers.
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

/// One version of the configuration. Immutable after construction, hence
/// thread safe.
class cell_config
{
public:
    /// `capacity_enforcing_services` names the services whose workers
    /// themselves refuse a task that does not fit their free capacity.
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
    /// Returns the queue of `host` with the longest prefix that `path` starts
    /// with; null when there is none.
    const queue_config* find_queue_by_path(const std::string& host,
                                           const std::string& path) const;
    /// Returns null when no queue has the name.
    const queue_config* find_queue_by_name(const std::string& name) const;
    /// Returns the customer that the API key belongs to; null when there is
    /// none.
    const customer_config* find_customer_by_key(const std::string& key) const;
    /// Returns null when no customer has the name.
    const customer_config* find_customer_by_name(const std::string& name) const;
    /// Whether the workers of the service refuse a task that does not fit their
    /// free capacity.
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

/// Decodes the rows that the operator and the workers write to the store. The
/// platform defines their format. Thread safe.
class external_row_reader
{
public:
    virtual ~external_row_reader() = default;
    /// Name of the table with the rows of the operator.
    virtual std::string operator_table() const = 0;
    /// Name of the table in which the workers register.
    virtual std::string worker_table() const = 0;
    /// Returns null when `key` is not that of the configuration, and an error
    /// when the configuration cannot be decoded.
    virtual tl::expected<cell_config_ptr, error>
    read_config(const std::string& key, const std::string& value) const = 0;
    /// Returns the data centre that the row with this key evacuates; empty when
    /// it is another kind of row.
    virtual std::string evacuated_data_centre(const std::string& key) const = 0;
    /// Returns an error when the row does not describe a worker that can be
    /// used.
    virtual tl::expected<worker_report, error>
    read_worker(const std::string& key, const std::string& value) const = 0;
};

} // namespace carobcourse
