/// Compile-time limits and intervals of the cell. Those of the other parts are
/// in carobcourse/config.hpp.
#pragma once

#include <carobcourse/config.hpp>
#include <cstddef>
#include <cstdint>

namespace carobcourse::config
{

/// Size from which the items for a host are sent in one message. A longer
/// message than `max_peer_frame_bytes` ends the link.
constexpr std::size_t cell_message_bytes = std::size_t{256} * 1024;

/// Maximum number of events that a host handles before it sends what they lead
/// to. Handling them takes far less than the interval of heartbeats.
constexpr std::ptrdiff_t cell_max_events_per_part = 200;

// Cell: ownership and commits (docs/platform-design.md).

/// Size at which a row of the log is full. The store service takes 64 KiB in
/// base64; one entry more than fills the row is at most 12 KB long.
constexpr std::size_t cell_max_log_row_bytes = 45000;
/// Added to the size of a row of the log, so that many small rows are rewritten
/// into few: a takeover reads 500 rows in a call.
constexpr std::size_t cell_log_row_overhead = 512;
/// The log may be this much larger than twice its entries in force.
constexpr std::size_t cell_log_spare_bytes = std::size_t{512} * 1024;
/// Limits the entries in force that one commit writes again.
constexpr std::size_t cell_max_rewritten_bytes = std::size_t{32} * 1024;
/// Maximum number of rows of the log that one commit removes. The store service
/// accepts 100 entries in all.
constexpr std::size_t cell_max_removed_rows = 60;
/// Minimum time between two commits. Groups writes and limits the number of
/// store calls, each of which is billed.
constexpr auto cell_min_commit_interval = 12ms;
/// Added to the delay before a failed commit is sent again, once for each
/// failure in a row.
constexpr auto cell_commit_retry_delay = 100ms;
/// Initial estimate of the answer time of a commit, used until the first
/// answer arrives. The store service takes 4 ms.
constexpr auto cell_initial_commit_answer_time = 20ms;
/// A commit is sent again when its answer takes longer than the smoothed answer
/// time multiplied by this factor, and at least `cell_min_commit_resend_delay`.
constexpr int cell_commit_resend_factor = 4;
/// Minimum time before a commit is sent again. Covers the pauses of a process
/// that has only a small processor share.
constexpr auto cell_min_commit_resend_delay = 60ms;
/// Maximum number of unanswered copies of one commit.
constexpr std::size_t cell_max_commit_copies = 3;
/// The store counts as failing when the effect of a commit has been unknown for
/// this long: twice the answer time of a slow store.
constexpr auto cell_store_failure_timeout = 500ms;
/// Used in place of `cell_store_failure_timeout` when it is longer: a multiple
/// of the time in which the store has answered commits.
constexpr int cell_store_failure_factor = 4;
/// Longest time without effect of a commit for which the store does not count
/// as failing.
constexpr auto cell_max_store_failure_timeout = 1200ms;
/// Maximum delay before a failed commit is sent again.
constexpr auto cell_max_commit_retry_delay = 500ms;
/// An owner without other writes rewrites its row at this interval, so that
/// other hosts can see that it is alive.
constexpr auto cell_idle_commit_interval = 250ms;
/// The owner counts as failed when its row has not changed for this long and
/// no heartbeat arrives from it. Covers one rewrite of the row and several
/// answers of the store.
constexpr auto cell_owner_timeout = 450ms;
/// Used in place of `cell_owner_timeout` for an owner whose heartbeats arrive
/// and report that its commits fail. Covers the longest delay between two of
/// its commit attempts.
constexpr auto cell_failing_owner_timeout = 800ms;
/// Interval of the owner's heartbeats. The other hosts acknowledge each one.
constexpr auto cell_heartbeat_interval = 200ms;
/// The other hosts start to read the owner's row when no heartbeat has arrived
/// for this long, which covers two heartbeats.
constexpr auto cell_heartbeat_timeout = 450ms;
/// A link counts as broken when nothing has arrived on it for this long, which
/// covers three heartbeats.
constexpr auto cell_link_timeout = 700ms;
/// Interval at which a host reads the row of an owner that it does not hear
/// from.
constexpr auto cell_owner_read_interval = 150ms;
/// Maximum random delay of a claim, so that claims of several hosts rarely
/// collide.
constexpr auto cell_max_claim_jitter = 120ms;
/// Interval at which a host reads the list of entry hosts.
constexpr auto cell_member_poll_interval = 1000ms;
/// Maximum time that the store waits for a change before it answers a watch.
constexpr auto cell_max_watch_wait = 1000ms;
/// Used in place of `cell_max_watch_wait` by a host that must confirm its
/// configuration by itself. What a watch confirms is as old as its wait when
/// the answer comes, and twice that before the next one comes, which must stay
/// below `cell_max_refusal_config_age`.
constexpr auto cell_max_confirming_watch_wait = 500ms;
/// Delay before a failed watch or read is sent again.
constexpr auto cell_store_retry_delay = 150ms;
/// Minimum time between two reads of the changes of the worker list. Far below
/// the time that the platform gives a worker to drain.
constexpr auto cell_min_worker_watch_interval = 150ms;
/// Maximum age of the confirmed configuration for which a host accepts
/// requests, because an older one may hold withdrawn keys. The platform
/// requires at most 5 s.
constexpr auto cell_max_config_age = 4000ms;
/// Maximum age of the confirmed configuration for which a host refuses a call
/// for good because of what the configuration does not hold. The platform
/// requires that a change is in force after 2 s.
constexpr auto cell_max_refusal_config_age = 2000ms;
/// Maximum number of rows in one page of a scan.
constexpr std::size_t cell_scan_page_rows = 500;
/// Number of rows in the first page of a scan by a new owner. Rows have up to
/// 64 KiB, and a small host has a link of 10 Mbit/s.
constexpr std::size_t cell_first_scan_page_rows = 64;
/// Timeout of a call to the store, and maximum time after which an unanswered
/// commit is sent again, unless the store answers slowly. Far above the answer
/// time of a slow store, which is 240 ms.
constexpr auto cell_store_timeout = 1000ms;
/// Longest timeout of a commit to a store that answers slowly: copies of a
/// commit are carried out one after another and delay the next commits.
constexpr auto cell_max_commit_timeout = 3000ms;

// Cell: workers.

/// Largest amount of one resource that a worker may report. Sums over all
/// workers stay far below the range of the type.
constexpr std::int64_t cell_max_worker_amount = 1'000'000'000;
/// Number of ends that a worker lists in one answer. It lists further ones when
/// these are acknowledged.
constexpr std::size_t cell_max_listed_ends = 500;
/// Longest lease that the owner asks a worker for. Workers accept it.
constexpr auto cell_max_worker_lease = 6000ms;
/// Longest lease that any worker gives where the settings do not say. Longer
/// than `cell_max_worker_lease`, which this project asks for.
constexpr auto cell_default_max_worker_lease = 10000ms;
/// Maximum error of the rate of a worker's clock, in percent.
constexpr int cell_max_clock_drift_percent = 2;
/// A lease granted by an earlier owner has certainly ended after this time. The
/// drift counts twice: the worker's clock may be slow and the host's own clock
/// fast.
constexpr auto cell_max_worker_lease_with_drift =
    cell_max_worker_lease * (100 + 2 * cell_max_clock_drift_percent) / 100;
/// A worker rejects a start that arrives later than this, so that the outcome
/// of a start without an answer is known soon.
constexpr auto cell_start_validity = 700ms;
/// Timeout of a start or stop call. A start between data centres takes a few
/// milliseconds.
constexpr auto cell_start_timeout = 250ms;
/// Maximum number of times that a start without an answer is sent.
constexpr unsigned cell_max_start_attempts = 3;
/// Maximum wait of a long poll of a worker that runs tasks. Limits the time for
/// which a lost answer hides the end of a task; a shorter wait means more
/// calls, each of which is billed.
constexpr auto cell_poll_wait = 500ms;
/// In a large cell the wait is this long for each worker, so that the rate of
/// polls without news does not grow with the cell.
constexpr auto cell_poll_wait_per_worker = 1ms;
/// Maximum wait of a long poll of a worker that runs no task.
constexpr auto cell_idle_poll_wait = 1000ms;
/// Time allowed for the answer to a poll in addition to its wait.
constexpr auto cell_poll_timeout = 300ms;
/// Delay before a worker whose poll failed is polled again.
constexpr auto cell_poll_retry_delay = 100ms;
/// Interval at which the owner updates all workers. Workers with new events
/// are updated at once.
constexpr auto cell_worker_update_interval = 20ms;
/// Maximum delay of the next poll of a worker while the owner waits for the
/// commit of task ends that the poll is to acknowledge.
constexpr auto cell_max_ack_delay = 400ms;
/// Delay before a stop that failed is sent again.
constexpr auto cell_stop_retry_delay = 500ms;
/// Delay before a stop that the worker accepted is sent again because the run
/// has not ended.
constexpr auto cell_stop_repeat_delay = 2000ms;
/// Added to the timeout of a call that another host relays.
constexpr auto cell_relay_timeout_margin = 250ms;
/// Time for which a worker that refused a start gets no further starts.
constexpr auto cell_start_refusal_delay = 300ms;
/// Time for which a worker gets no further starts after one without an answer,
/// multiplied by the number of such starts in a row.
constexpr auto cell_unanswered_start_delay = 700ms;
/// Maximum time for which a worker gets no starts because of unanswered ones.
constexpr auto cell_max_unanswered_start_delay = 6000ms;
/// A worker gets no starts for `cell_worker_quarantine_time` after this many
/// failures in a row that belong to two jobs or more.
constexpr unsigned cell_max_worker_failures = 3;
/// Time for which a worker gets no starts after repeated failures.
constexpr auto cell_worker_quarantine_time = 4000ms;

// Cell: rounds of dispatch.

/// A round examines as many workers for gangs that do not fit as this number of
/// gangs that may use all of them. Keeps the time of a round, whatever waits,
/// in proportion to the delay between two rounds.
constexpr std::uint64_t cell_gang_turns_per_round = 8;
/// Workers that a round examines for such gangs in any case.
constexpr std::uint64_t cell_min_examined_per_round = 4000;

// Cell: places near the data.

/// Longest wait of a step for a place near its data, whatever is expected: the
/// slack of batches (3 to 4 s) and some of their duration.
constexpr auto cell_max_locality_wait = 5000ms;
/// Longer estimates count as this long when a wait is weighed. Keeps the
/// products of times in range.
constexpr std::chrono::milliseconds cell_max_locality_time = 24h;
/// How many times as long tasks take away from their data where the settings
/// do not say.
constexpr double cell_default_far_factor = 2;
/// Largest factor that the settings may name.
constexpr double cell_max_far_factor = 100;

// Cell: callers.

/// Maximum time that a call waits for the cell to have an owner. Most takeovers
/// take less.
constexpr auto cell_owner_wait_timeout = 700ms;
/// Time reserved before the caller's deadline to return the answer.
constexpr auto cell_answer_margin = 150ms;
/// Deadline of a call that states none.
constexpr auto cell_default_deadline = 3000ms;
/// Longest deadline of a call. Callers wait for some seconds.
constexpr auto cell_max_deadline = 600000ms;
/// Time after which a refused caller is told to try again.
constexpr auto cell_retry_after = 1000ms;
/// Time for which the phase of an ended job stays available.
constexpr auto cell_ended_job_retention = 150s;
/// Counts of waiting jobs that may be older are neither told by the owner nor
/// shown to callers. The platform allows 2 s.
constexpr auto cell_max_waiting_count_age = 2000ms;
/// The owner refuses new jobs while its batches of events take longer than
/// this on average. Urgent work that waits longer misses its objective.
constexpr auto cell_max_owner_lag = 250ms;
/// The owner refuses jobs beyond their customer's rate unread while a batch of
/// events takes it longer than this on average: its starts and answers are then
/// late by more than a tick of its timer.
constexpr auto cell_max_excess_lag = 30ms;
/// Callers with excess jobs are told to return within this time after
/// `cell_retry_after`.
constexpr auto cell_excess_retry_spread = 3000ms;
/// A ticket of the advice service must be valid for at least this long when its
/// start is sent.
constexpr auto cell_min_ticket_validity = 150ms;
/// Descriptions of jobs that a new owner defers until it has read the state of
/// the cell. Calls beyond are dropped, and sent again by their hosts.
constexpr std::size_t cell_max_deferred_bytes = std::size_t{8} * 1024 * 1024;
/// Largest body of a call. A submission has a text of 4,000 bytes, which JSON
/// escapes in up to six times as many, and a few steps.
constexpr std::size_t cell_max_body_bytes = std::size_t{128} * 1024;
/// Levels of lists and objects below a member of a body that is not read.
constexpr std::size_t cell_max_body_depth = 32;
/// Largest text of a job that is passed to its workers.
constexpr std::size_t cell_max_payload_bytes = std::size_t{16} * 1024;
/// Maximum number of steps of a job.
constexpr std::size_t cell_max_steps = 100;
/// Maximum number of tasks of one occurrence of a job. The owner keeps the
/// state of each.
constexpr std::uint64_t cell_max_tasks = 4000;
/// Maximum number of occurrences of a job, and of their steps and tasks. One
/// row holds the progress of all.
constexpr std::uint32_t cell_max_occurrences = 500;
constexpr std::uint64_t cell_max_scheduled_steps = 1500;
constexpr std::uint64_t cell_max_scheduled_tasks = 10000;
/// Largest name of a label, a rack or an image.
constexpr std::size_t cell_max_name_bytes = 200;
/// Longest time that a job may state. Sums over steps and occurrences stay in
/// the range of the type.
constexpr std::chrono::milliseconds cell_max_job_time = 24h * 366;
/// Latest first occurrence, in Unix time: the year 2286.
constexpr std::int64_t cell_max_start_ms = 10'000'000'000'000;
/// Largest entry of the log about a job: its description, or its progress.
/// Leaves room in a row for the names of the customer and the queue.
constexpr std::size_t cell_max_entry_bytes = 40000;
/// Estimated memory of all jobs at the owner, and of those of one customer. A
/// third of the smallest host: any host may take the cell over.
constexpr std::size_t cell_max_job_memory_bytes = std::size_t{40} * 1024 * 1024;
constexpr std::size_t cell_max_customer_memory_bytes =
    cell_max_job_memory_bytes / 2;
/// Maximum number of jobs that have not ended.
constexpr std::size_t cell_max_jobs = 20000;
/// Time for which the owner remembers a refused submission. Longer than a copy
/// of the submission can be in transit.
constexpr auto cell_refusal_retention = 10s;

} // namespace carobcourse::config
