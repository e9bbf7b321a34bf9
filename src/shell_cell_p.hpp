/// The process of one entry host of the cell: threads, rings and servers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cell_context_p.hpp"
#include "cell_ports_p.hpp"
#include "shell_input_budget_p.hpp"

namespace carobcourse
{

struct listen_address
{
    std::string address;
    std::uint16_t port = 0;
};

struct cell_process_options
{
    cell_identity identity; ///< The incarnation is drawn at the start.
    listen_address front;
    listen_address ready;
    listen_address peer;
    input_limits input; ///< Of both servers together.
};

/// What the platform provides. All outlive the process.
struct cell_adapters
{
    std::shared_ptr<const external_row_reader> rows;
    std::shared_ptr<const caller_codec> callers;
    std::function<std::unique_ptr<watchable_table_service>(cell_event_sink)>
        make_store;
    std::function<std::unique_ptr<worker_client>(cell_event_sink)> make_workers;
    /// Called on SIGHUP.
    std::function<void()> reload;
};

/// Runs until SIGTERM or SIGINT. Throws std::exception when an address can
/// not be bound. Returns the exit code.
int run_cell_process(cell_process_options options, cell_adapters adapters);

} // namespace carobcourse
