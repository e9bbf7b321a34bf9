/// Named limits of the project. Durations carry their unit in their type.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace carobcourse::config
{

using namespace std::chrono_literals;

/// Period of the core's timer.
constexpr auto tick_period = 20ms;

// Configuration (docs/design.md, section 4).
constexpr auto config_poll_period = 1000ms;
constexpr auto config_freshness_bound = 4000ms;
constexpr std::size_t config_log_batch = 64;

// Membership.
constexpr auto host_list_poll_period = 1000ms;
constexpr auto heartbeat_period = 1000ms;

// Ownership of shards and leases of workers (section 5).
constexpr auto ownership_lease = 10000ms;
constexpr auto ownership_renew_period = 3000ms;
/// Longer than a takeover takes, so that tasks outlive their shard's owner.
constexpr auto worker_lease = 30000ms;
constexpr auto worker_sync_period = 2000ms;
constexpr auto worker_sync_timeout = 1500ms;
/// Margin for clock drift: a fixed part plus one percent of the lease.
constexpr auto drift_margin_fixed = 200ms;
constexpr int drift_margin_divisor = 100;

// Jobs.
constexpr auto inbox_poll_period = 500ms;
constexpr auto job_write_period = 200ms;
constexpr std::size_t job_write_batch = 64;
constexpr std::uint32_t max_tasks_per_job = 10000;
constexpr std::size_t max_starts_per_pass = 2000;

// Order of waiting work (section 8).
constexpr auto usage_half_life = 60s;
/// Part of the decayed past usage that counts beside the usage now. A larger
/// part keeps shares off their target for longer after demand has changed.
constexpr double past_usage_part = 0.05;
/// A team that has started no normal task for this long goes with the urgent.
constexpr auto ageing_bound = 60s;

// Requests.
constexpr std::size_t team_queue_capacity = 1024;
constexpr auto default_request_deadline = 30000ms;
constexpr auto max_request_deadline = 300000ms;
constexpr auto executor_connect_timeout = 1000ms;
constexpr std::uint32_t executor_slots = 8;
constexpr std::uint32_t executor_connections = 64;

// Table service.
constexpr auto store_timeout = 2000ms;

// Callers.
constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;
constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_url_bytes = std::size_t{2} * 1024;
constexpr std::size_t max_connections = 4096;
constexpr auto idle_timeout = 30s;

// Rings between threads.
constexpr std::size_t event_ring_capacity = 16384;
constexpr std::size_t effect_ring_capacity = 8192;

} // namespace carobcourse::config
