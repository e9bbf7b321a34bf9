/// A store, three entry hosts in three zones, executors and one tenant.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "world.hpp"

namespace standin3
{

struct deployment_options
{
    int executors = 16;
    int executors_per_rack = 8;
    std::int64_t cpu = 32000;
    std::int64_t mem_mb = 65536;
    json tenant_cap = {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}};
};

class deployment
{
    // Outlive the executors, which refer to them.
    const deployment_options options_;
    const executor_rules rules_;
    record& log_;
    temporary_directory directory_;
    std::mutex mutex_;
    std::uint64_t next_job_ = 1;

public:
    deployment(const deployment_options& options, executor_rules rules,
               record& log);

    /// Starts the entry hosts and waits until all of them are ready. Returns
    /// false when they are not within 20 s.
    bool start();

    static json executor_row(int number, const deployment_options& options);
    json config() const;
    /// Writes the next version of the configuration.
    void put_config(const json& config);

    /// Sends a call to an entry host with the tenant's key.
    std::optional<http_response> call(std::size_t host,
                                      const std::string& method,
                                      const std::string& id,
                                      const std::string& body = {});
    /// Submits a job, at the next host again while it is not accepted. Returns
    /// the id of the job, or an empty text when no host has accepted it.
    std::string submit(const json& steps, const std::string& spec);
    /// State of the job, or "410", or an empty text without an answer.
    std::string state_of(const std::string& id);

    store platform;
    std::vector<std::unique_ptr<executor>> executors;
    std::vector<std::unique_ptr<entry_host>> hosts;
};

std::string step_of(const std::string& task);
std::string job_of(const std::string& task);
/// Whether the case has its disruption: not with TROUBLE=0.
bool has_trouble();

} // namespace standin3
