/// HTTP adapters of the platform, the workers and the backend servers.
#pragma once

#include <carobcourse/ports.hpp>
#include <functional>
#include <string>

#include "event_p.hpp"
#include "shell_http_client_p.hpp"

namespace carobcourse
{

/// Takes events from the adapters' threads; never drops one.
using event_sink = std::function<void(event)>;

class http_table_service final : public table_service
{
public:
    http_table_service(std::string base_url, event_sink sink);
    void commit(const store_commit& operation) override;
    void read(const store_read& operation) override;
    void scan(const store_scan& operation) override;

private:
    /// A 404 is an answer only where one row is read.
    void send(const op_id& op, http_request request, bool reads_one_row);

    std::string base_url_;
    event_sink sink_;
    http_client client_;
};

class http_host_list final : public host_list
{
public:
    http_host_list(std::string base_url, event_sink sink);
    void list() override;

private:
    std::string base_url_;
    event_sink sink_;
    http_client client_;
};

class http_worker_link final : public worker_link
{
public:
    explicit http_worker_link(event_sink sink);
    void sync(const worker_sync& message) override;

private:
    event_sink sink_;
    http_client client_;
};

class http_executor_link final : public executor_link
{
public:
    explicit http_executor_link(event_sink sink);
    void execute(const execute_request& request) override;

private:
    event_sink sink_;
    http_client client_;
};

} // namespace carobcourse
