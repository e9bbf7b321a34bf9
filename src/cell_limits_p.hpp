/// Named limits of the cell; see carobcourse/config.hpp for all others.
#pragma once

#include <carobcourse/config.hpp>

namespace carobcourse::config
{

// Cell: owner and its rows (docs/platform-design.md).
/// Writes in one commit beside the owner's row and its condition; the service
/// takes 100 entries.
constexpr std::size_t cell_commit_rows = 96;
/// Distance of two commits: groups writes, and bounds the priced calls.
constexpr auto cell_commit_gap = 12ms;
constexpr auto cell_commit_retry = 100ms;
constexpr auto cell_commit_retry_most = 500ms;
/// An idle owner rewrites its row this often, so that others see it alive.
constexpr auto cell_beat_period = 300ms;
/// The owner's row unchanged for so long means that the owner is gone. Covers
/// two beats and a slow answer of the store.
constexpr auto cell_owner_timeout = 800ms;
/// An owner without a confirmed commit for so long may have been taken over:
/// others claim after `cell_owner_timeout` at the earliest.
constexpr auto cell_owner_doubt = 700ms;
/// Messages of the owner; the other hosts answer each.
constexpr auto cell_heartbeat_period = 200ms;
/// Silence after which a link is taken as broken.
constexpr auto cell_link_timeout = 1000ms;
constexpr auto cell_owner_read_period = 300ms;
/// Claims are spread over this time, so that few collide.
constexpr auto cell_claim_spread = 120ms;
constexpr auto cell_member_poll_period = 1000ms;
/// Longest wait of the store for a change of the operator's rows; bounds the
/// age of what is confirmed.
constexpr auto cell_watch_wait = 1000ms;
constexpr auto cell_watch_retry = 150ms;
/// Distance of two reads of the workers' changes; far below `drain_ms`.
constexpr auto cell_worker_watch_gap = 150ms;
/// A configuration confirmed longer ago may hold keys that are withdrawn; the
/// bound of the platform is 5 s.
constexpr auto cell_key_validity = 4000ms;
constexpr std::size_t cell_scan_page = 500;
/// Far above a slow answer of the store (240 ms); a silent one is asked again.
constexpr auto cell_store_timeout = 1000ms;

// Cell: workers.
/// Longest lease that a worker grants.
constexpr auto cell_worker_lease = 6000ms;
/// Clock rate of a worker may be this much off, in percent.
constexpr int cell_clock_drift_percent = 2;
/// A start that arrives later than this is refused by the worker, so that one
/// without an answer is settled soon.
constexpr auto cell_start_window = 1500ms;
constexpr auto cell_start_timeout = 1000ms;
constexpr auto cell_hold_wait = 2000ms;
constexpr auto cell_hold_timeout = 1000ms;
constexpr auto cell_hold_retry = 200ms;
/// Wait for a commit before a worker with unacknowledged ends is asked again.
constexpr auto cell_ack_patience = 400ms;
constexpr auto cell_stop_retry = 500ms;
/// Added to the time of a call that another host makes.
constexpr auto cell_relay_margin = 400ms;
/// A worker that refused a start is left alone for so long.
constexpr auto cell_refusal_pause = 300ms;
/// A worker whose starts get no answer is left alone for this long each.
constexpr auto cell_silent_pause = 700ms;
constexpr auto cell_silent_pause_most = 6000ms;
/// A worker is avoided after so many failures in a row, of two jobs or more.
constexpr unsigned cell_failing_worker = 3;
constexpr auto cell_failing_pause = 4000ms;

// Cell: callers.
/// A call waits so long for an owner; most takeovers take less.
constexpr auto cell_owner_patience = 700ms;
/// Time left to bring an answer back before the caller's deadline.
constexpr auto cell_answer_margin = 150ms;
constexpr auto cell_default_deadline = 3000ms;
constexpr auto cell_retry_after = 1000ms;
constexpr auto cell_ended_memory = 150s;
constexpr std::size_t cell_max_jobs = 20000;
/// Longer than a copy of a refused submission can be under way.
constexpr auto cell_refusal_memory = 10s;

} // namespace carobcourse::config
