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
constexpr auto member_scan_period = 2000ms;
/// A promise between entry hosts, counted on the granter's clock. The holder
/// relies on it for a shorter time, counted from before it asked.
constexpr auto grant_promise = 4000ms;
constexpr auto grant_freshness_bound = 3000ms;
/// Longer than a promise of the incarnation before.
constexpr auto restart_quiet_period = 5000ms;
/// Up to so many entry hosts each asks all others; above it, the hosts of a
/// data centre divide the other data centres among them.
constexpr std::size_t full_mesh_hosts = 16;
/// Age of the last own read of the table from which relayed grants are asked
/// for. Half of what is left until the read is too old covers one exchange
/// with the own data centre, one between data centres and one relay.
constexpr auto table_silence = 1500ms;
/// Period of heartbeats and summaries while relayed grants are asked for. A
/// grant passes three exchanges and must be younger than 3 s at its holder.
constexpr auto relay_period = 500ms;
/// A host asks for grants that peers should have relayed when those that it
/// has end sooner than this.
constexpr auto relay_reserve = 700ms;
/// Longest wait before it asks again while it gets none.
constexpr auto relay_retry_most = 3000ms;
/// A host of the data centre that was not heard for so long leaves its part of
/// the other data centres to those that were.
constexpr auto reporter_timeout = 2500ms;
/// Without an answer for so long, another host of a data centre is asked.
constexpr auto summary_timeout = 1200ms;
/// A registered host that was never listed and not heard for so long, through
/// so many reads of the host list, counts as gone. Far above the list's lag.
constexpr auto unlisted_member_timeout = 60000ms;
constexpr std::size_t unlisted_member_lists = 30;
/// Wait before the member rows are read again while the version of the own row
/// is not known.
constexpr auto row_retry_period = 200ms;
constexpr std::size_t recent_changes_kept = 1024;
constexpr std::size_t config_entries_batch = 64;

// Links between entry hosts.
constexpr std::size_t peer_ring_capacity = 256;
/// Messages to one peer that wait take no more than this, so that a peer that
/// does not read leaves a small host most of its memory.
constexpr std::size_t peer_ring_bytes = std::size_t{16} * 1024 * 1024;
/// Holds a forwarded request or answer of the largest size: base64 makes it a
/// third longer. A longer frame would end the link.
constexpr std::size_t max_peer_frame_bytes = std::size_t{2048} * 1024;
constexpr std::size_t max_forwarded_answer_bytes = std::size_t{1280} * 1024;
/// Received bytes that wait for the core above which messages are dropped.
constexpr std::size_t peer_unhandled_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t max_peer_handshake_bytes = 4096;
constexpr std::size_t max_peer_connections = 1024;
/// Bytes buffered in a connection above which its ring holds messages back.
constexpr std::size_t peer_send_buffer_bytes = std::size_t{256} * 1024;
constexpr auto peer_handshake_timeout = 2000ms;
constexpr auto peer_reconnect_min = 100ms;
constexpr auto peer_reconnect_max = 2000ms;

// Ownership of shards and leases of workers (section 5).
constexpr auto ownership_lease = 10000ms;
constexpr auto ownership_renew_period = 3000ms;
/// Longer than a takeover takes, so that tasks outlive their shard's owner.
constexpr auto worker_lease = 30000ms;
constexpr auto worker_sync_period = 2000ms;
constexpr auto worker_sync_timeout = 1500ms;
/// A sync that is due early, because a task of the worker is expected to have
/// ended, keeps this distance from the answer before. It bounds the syncs of
/// a worker with many short tasks to 4/s beside those that carry work.
constexpr auto worker_probe_gap = 250ms;
/// Margin for clock drift: a fixed part plus one percent of the lease.
constexpr auto drift_margin_fixed = 200ms;
constexpr int drift_margin_divisor = 100;

// Jobs.
constexpr auto inbox_poll_period = 500ms;
constexpr auto job_write_period = 200ms;
constexpr std::size_t job_write_batch = 64;
/// Of one commit, as text. The table service takes 1 MiB; quotes double when
/// the rows travel as JSON strings.
constexpr std::size_t max_commit_bytes = std::size_t{512} * 1024;
/// A job is one row, and moves with two copies of it in one commit.
constexpr std::uint32_t max_tasks_per_job = 1000;
constexpr std::size_t max_payload_bytes = std::size_t{64} * 1024;
/// A change writes a document twice in one commit: the entry and the log.
constexpr std::size_t max_document_bytes = std::size_t{128} * 1024;
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
/// Attempts of one request that may fail; refusals for want of a slot are
/// not counted, as they cost the server nothing.
constexpr std::uint32_t max_failed_attempts = 3;
constexpr auto retry_backoff = 10ms;
/// Requests that earn one retry: a budget of 10%.
constexpr std::uint32_t requests_per_retry = 10;
/// Retries saved up at most; also the number at the start, so that a host
/// with little load can retry at all.
constexpr std::uint32_t max_saved_retries = 20;
constexpr std::uint32_t breaker_failures = 5;
/// A wait that ends at an earlier deadline does not count as a failure, so
/// that callers with short deadlines can not open a circuit.
constexpr auto executor_patience = 1000ms;
constexpr auto breaker_open_first = 1000ms;
constexpr auto breaker_open_most = 30000ms;
/// A server without a free slot is left alone for about this long.
constexpr auto no_slot_pause = 20ms;
/// Age up to which a report of free slots may be borrowed on.
constexpr auto slot_report_validity = 500ms;
/// Servers that are gone from the list are remembered for so long, so that
/// a stale list does not bring one back as live.
constexpr auto executor_memory = 600s;
/// Measured service times: samples needed and age up to which they count.
constexpr std::uint32_t service_time_samples = 8;
constexpr auto service_time_validity = 5000ms;

// At most once.
constexpr auto ticket_validity = 300s;
constexpr auto idempotency_memory = 300s;
/// Age of a row of table `idempotency` from which it is removed: the key is
/// remembered from the latest end of its request on.
constexpr auto idempotency_row_age = max_request_deadline + idempotency_memory;
/// Rows of accepting hosts that are gone are removed this much later, so that
/// a host that lives removes its own.
constexpr auto idempotency_row_grace = 60s;
/// Removals at most, per host: one commit of `claim_batch` rows.
constexpr auto row_removal_period = 500ms;
/// One page of the table in this time, read by one entry host of all; keeps
/// the scan under the 8 KB/s of control traffic.
constexpr auto row_scan_period = 2000ms;
constexpr std::size_t row_scan_page = 64;
/// Rows that a scanning host remembers; others wait for a later pass.
constexpr std::size_t max_rows_watched = 65536;
constexpr std::size_t max_idempotency_key_bytes = 128;
constexpr std::size_t claim_batch = 64;
constexpr std::size_t ledger_capacity = 262144;
constexpr std::size_t ledger_team_capacity = 65536;
constexpr std::size_t ledger_answer_bytes = std::size_t{64} * 1024 * 1024;

// Table service.
constexpr auto store_timeout = 2000ms;

// Callers.
constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;
/// Of a JSON document of a caller. No payload of the largest size has more
/// values; to write one takes stack for each level.
constexpr std::size_t max_json_values = 40000;
constexpr std::size_t max_json_levels = 64;
constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_url_bytes = std::size_t{2} * 1024;
constexpr std::size_t max_connections = 4096;
constexpr auto idle_timeout = 30s;

// Rings between threads.
constexpr std::size_t event_ring_capacity = 16384;
constexpr std::size_t effect_ring_capacity = 8192;

} // namespace carobcourse::config
