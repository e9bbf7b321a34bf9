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
/// Answer time expected before the first answer; the service takes 4 ms.
constexpr auto cell_commit_answer_first = 20ms;
/// A commit is sent again after so many times its usual answer time...
constexpr int cell_commit_overdue_factor = 4;
/// ...and this at least, which covers pauses of a small processor share.
constexpr auto cell_commit_overdue_least = 60ms;
/// Copies of a commit without an answer at one time.
constexpr std::size_t cell_commit_copies = 3;
/// A commit without effect for so long means that the store fails; twice the
/// answer time of a slow one.
constexpr auto cell_commit_patience = 500ms;
constexpr auto cell_commit_retry_most = 500ms;
/// An idle owner rewrites its row this often, so that others see it alive.
constexpr auto cell_beat_period = 250ms;
/// The owner's row unchanged for so long, beside a silent link, means that the
/// owner is gone. Covers a beat and some answers of the store.
constexpr auto cell_owner_timeout = 450ms;
/// The same for an owner that is heard and says that its commits fail. Covers
/// its longest pause between two tries.
constexpr auto cell_failing_owner_timeout = 800ms;
/// An owner without a confirmed commit for so long may have been taken over:
/// others claim after `cell_owner_timeout` at the earliest.
constexpr auto cell_owner_doubt = 400ms;
/// Messages of the owner; the other hosts answer each.
constexpr auto cell_heartbeat_period = 200ms;
/// Silence of the owner after which the others watch its row: two heartbeats.
constexpr auto cell_owner_suspicion = 450ms;
/// Silence after which a link is taken as broken: three heartbeats.
constexpr auto cell_link_timeout = 700ms;
constexpr auto cell_owner_read_period = 150ms;
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
/// A lease that an unknown owner granted is over after this time, on a worker's
/// clock that is slow beside an own one that is fast.
constexpr auto cell_worker_lease_most =
    cell_worker_lease * (100 + 2 * cell_clock_drift_percent) / 100;
/// A start that arrives later than this is refused by the worker, so that one
/// without an answer is settled soon.
constexpr auto cell_start_window = 700ms;
/// Far above the few milliseconds of a start between data centres.
constexpr auto cell_start_timeout = 250ms;
/// Times that a start without an answer is sent.
constexpr unsigned cell_start_attempts = 3;
/// Longest wait of a worker that runs something for news. Bounds the time in
/// which a lost answer hides ends; each call is priced.
constexpr auto cell_hold_wait = 500ms;
/// The same for a worker that runs nothing.
constexpr auto cell_hold_wait_idle = 1000ms;
constexpr auto cell_hold_timeout = 300ms;
constexpr auto cell_hold_retry = 100ms;
/// All workers are looked at this often, those with news at once.
constexpr auto cell_worker_look_gap = 20ms;
/// Wait for a commit before a worker with unacknowledged ends is asked again.
constexpr auto cell_ack_patience = 400ms;
constexpr auto cell_stop_retry = 500ms;
/// A run whose stop was taken is stopped again after this time.
constexpr auto cell_stop_patience = 2000ms;
/// Added to the time of a call that another host makes.
constexpr auto cell_relay_margin = 250ms;
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
