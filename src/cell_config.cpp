#include "cell_config_p.hpp"

#include <utility>

#include "cell_limits_p.hpp"

namespace carobcourse
{

cell_config::cell_config(std::uint64_t version,
                         std::vector<queue_config> queues,
                         std::vector<customer_config> customers,
                         std::set<std::string> capacity_enforcing_services)
    : version_(version), queues_(std::move(queues)),
      customers_(std::move(customers)),
      capacity_enforcing_services_(std::move(capacity_enforcing_services))
{
    for (std::size_t i = 0; i < queues_.size(); ++i)
        queue_by_name_.emplace(queues_[i].name, i);
    for (std::size_t i = 0; i < customers_.size(); ++i)
    {
        customer_by_name_.emplace(customers_[i].name, i);
        for (const auto& key : customers_[i].keys)
            customer_by_key_.emplace(key, i);
    }
}

const queue_config*
cell_config::find_queue_by_path(const std::string& host,
                                const std::string& path) const
{
    const queue_config* best = nullptr;
    for (const auto& queue : queues_)
    {
        if (queue.host == host &&
            path.compare(0, queue.prefix.size(), queue.prefix) == 0 &&
            (!best || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

const queue_config*
cell_config::find_queue_by_name(const std::string& name) const
{
    const auto found = queue_by_name_.find(name);
    return found == queue_by_name_.end() ? nullptr : &queues_[found->second];
}

const customer_config*
cell_config::find_customer_by_key(const std::string& key) const
{
    const auto found = customer_by_key_.find(key);
    return found == customer_by_key_.end() ? nullptr
                                           : &customers_[found->second];
}

const customer_config*
cell_config::find_customer_by_name(const std::string& name) const
{
    const auto found = customer_by_name_.find(name);
    return found == customer_by_name_.end() ? nullptr
                                            : &customers_[found->second];
}

} // namespace carobcourse
