/// The owner of the cell: accepts jobs, places their tasks on workers and
/// records how they end. One entry host at a time is the owner; see
/// cell_election_p.hpp.
#pragma once

#include <carobcourse/types.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cell_advice_p.hpp"
#include "cell_call_relay_p.hpp"
#include "cell_context_p.hpp"
#include "cell_gang_advice_p.hpp"
#include "cell_job_memory_p.hpp"
#include "cell_job_p.hpp"
#include "cell_journal_p.hpp"
#include "cell_locality_waits_p.hpp"
#include "cell_order_p.hpp"
#include "cell_placement_p.hpp"
#include "cell_preemption_p.hpp"
#include "cell_reservations_p.hpp"
#include "cell_speeds_p.hpp"
#include "cell_table_scan_p.hpp"
#include "cell_turns_p.hpp"
#include "cell_workers_p.hpp"

namespace carobcourse
{

/// Sends the messages of the owner. Used by the core thread only.
class owner_transport
{
public:
    virtual ~owner_transport() = default;
    /// Asks `host` to make the call. The answer is passed to
    /// `cell_owner::on_answer`; there is none when the host is lost.
    virtual void send_call(const std::string& host,
                           const worker_call& call) = 0;
    /// Sends the answer to a caller's request to the entry host that passed the
    /// request on.
    virtual void send_answer(const std::string& host, nlohmann::json item) = 0;
};

/// Schedules the cell while this host owns it. Deterministic; used by the core
/// thread only. Precondition of all functions: `now` never decreases.
///
/// Most effects of an event follow in the next call of `finish_batch`.
class cell_owner
{
public:
    /// Starts to read the state of the cell from the store. `row` is the
    /// owner's row as written by this host's claim, `version` the version of
    /// that row and `claim_sent` the time at which the claim was sent.
    cell_owner(cell_context& context, owner_transport& transport, owner_row row,
               std::uint64_t version, time_point claim_sent, time_point now);

    /// Handles the result of a commit or a scan. Returns false when the owner
    /// did not start the operation.
    bool on_store(time_point now, const store_result& result);
    /// Handles the result of a watch. Returns false when the owner did not
    /// start the watch.
    bool on_watch(time_point now, const watch_result& result);
    /// Handles the answer to a call. Ignores answers to calls that have timed
    /// out.
    void on_answer(time_point now, const worker_answer& answer);
    /// Handles the request of a caller that `host` passed on. Requests are
    /// deferred until the state of the cell has been read.
    void on_caller_request(time_point now, const std::string& host,
                           const nlohmann::json& item);
    /// Sets the entry hosts that can make calls, including this one. Calls
    /// through hosts that are no longer listed end without an answer.
    void set_relays(time_point now, std::vector<call_relay> relays);
    /// Takes note that every other host has answered a heartbeat of this owner,
    /// so that no earlier owner makes calls any more.
    void on_all_hosts_follow(time_point now);
    /// To be called when another configuration is in force.
    void on_config_changed(time_point now);
    /// Takes note of the time from one batch of events to the next, which is
    /// long when the owner has more events than it can handle.
    void record_batch_time(duration time)
    {
        lag_ = (lag_ * (lag_samples - 1) + time) / lag_samples;
        ++load_.batches;
        load_.longest_batch = std::max(load_.longest_batch, time);
    }
    /// Handles timeouts and periodic work. To be called at each timer tick. All
    /// answers that arrived until `heard_until` have been handled.
    void tick(time_point now, time_point heard_until);
    /// Acts on the events since the last call: places tasks, calls workers and
    /// commits changes. Does nothing after ownership was lost or released.
    /// All answers that arrived until `heard_until` have been handled.
    void finish_batch(time_point now, time_point heard_until);

    /// Returns true when another host has claimed the cell.
    bool has_lost_ownership() const
    {
        return lost_ownership_;
    }
    /// Gives up ownership of the cell with the next commit.
    void release()
    {
        journal_.request_release();
    }
    /// Returns true when the commit that gives up the cell is confirmed.
    bool is_released() const
    {
        return journal_.is_released();
    }
    /// Returns the owner's row as of the latest commit, which may not be
    /// confirmed yet.
    const owner_row& row() const
    {
        return journal_.owner();
    }
    /// Returns true while the store does not confirm the owner's commits.
    bool is_store_failing() const
    {
        return store_failing_;
    }
    /// Returns the time of the last confirmed commit.
    time_point last_commit_at() const
    {
        return journal_.last_commit_at();
    }
    /// Counts the jobs of which no task has begun, as of the time at which this
    /// host was last known to be the owner. Returns nothing until the jobs have
    /// been read and when that time is too long ago.
    std::optional<waiting_counts> count_waiting_jobs(time_point now) const;

    // For tests and metrics.
    const cell_workers& workers() const
    {
        return workers_;
    }
    /// Returns true when the state of the cell has been read from the store.
    bool is_loaded() const
    {
        return loaded_;
    }
    /// Returns the number of jobs that have not ended.
    std::size_t job_count() const
    {
        return jobs_.size();
    }
    /// Returns how many times a round of dispatch has examined a worker since
    /// this host took over.
    std::uint64_t examined_count() const
    {
        return examined_;
    }
    /// Returns the number of entries of the log that are in no commit yet.
    std::size_t queued_entries() const
    {
        return journal_.queued_count();
    }

private:
    /// Where the answer to a caller's request goes: the entry host and its
    /// number of the call.
    struct reply_address
    {
        std::string host;
        std::uint64_t call = 0;

        friend bool operator<(const reply_address& a, const reply_address& b)
        {
            return std::tie(a.host, a.call) < std::tie(b.host, b.call);
        }
    };
    /// A submission that was refused. It is remembered because a host may send
    /// a submission more than once, and a caller that was refused relies on its
    /// job never running.
    struct refused_submission
    {
        std::string job;
        result_code code = result_code::ok;
        time_point expires_at;
    };
    /// A call to a worker or to the advice service without an answer yet.
    struct pending_call
    {
        worker_command command = worker_command::poll;
        std::string relay;
        std::string worker;
        std::string address; ///< Of the worker when the call was sent.
        run_key key;
        time_point sent_at;
        time_point deadline;
        std::uint32_t fence = 0;
        // Set for a poll only.
        std::uint64_t acked_end = 0;
        // Set for a start only.
        std::string ticket;
        unsigned attempt = 0;
        // Set for a call to the advice service only.
        std::string job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::vector<std::string> advised_workers;
    };
    /// Hosts that can make calls to the workers of one data centre: those in
    /// it, and all others.
    struct relay_group
    {
        std::vector<std::string> inside;
        std::vector<std::string> outside;
    };
    /// Workers that may get new tasks in one round of dispatch.
    struct eligible_workers
    {
        std::vector<const cell_worker*> all;
        /// Indexed by worker number; null when the worker is not eligible.
        std::vector<const cell_worker*> by_number;
        /// Maximum over the workers of each free resource, when the round
        /// started.
        resources largest_room;

        /// Returns null when the worker is not eligible.
        const cell_worker* find(worker_number number) const
        {
            return number < by_number.size() ? by_number[number] : nullptr;
        }
    };
    /// A step with tasks that wait to be started.
    struct ready_step
    {
        order_key order;
        cell_job* job = nullptr;
        const queue_config* queue = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint64_t step_key = 0;
        std::uint32_t waiting_tasks = 0;
    };
    /// Tasks of a step that wait for a place near their data in one round.
    struct held_tasks
    {
        bool decided = false;
        std::uint32_t count = 0;
        std::uint32_t left = 0; ///< Of these, not passed over yet.
        /// A place near the data has room, but its ticket is not valid.
        bool needs_tickets = false;
    };
    /// Final phase of a job, and when it ended.
    struct ended_job
    {
        job_phase phase = job_phase::completed;
        std::int64_t unix_ms = 0;
    };
    /// Tables from which a new owner reads the state of the cell.
    enum class state_table : std::uint8_t
    {
        owner,
        log,
        workers,
        count
    };

    /// A page of a scan: the rows of a table behind a key.
    struct table_page
    {
        state_table table = state_table::owner;
        std::string after;
    };

    /// Returns null when the job is unknown or has ended.
    cell_job* find_job(const std::string& id) const;
    /// Returns the queue of the job in the configuration in force; null when
    /// that has no such queue and when none has been read yet.
    const queue_config* find_queue(const cell_job& job) const;

    // Reading the state of the cell (cell_owner_load.cpp).
    std::string table_name(state_table table) const;
    void request_page(table_page page);
    void on_page(time_point now, const table_page& page,
                 const store_result& result);
    /// Asks again for a page that was not read. The pages before it are kept:
    /// only the owner writes the log, and the list of workers counts as of its
    /// oldest page.
    void on_page_failed(time_point now, const table_page& page,
                        const store_result& result);
    void repeat_failed_pages(time_point now);
    /// Applies a complete scan of the list of workers. Returns false, and
    /// scans it again later, when it is older than the list in use.
    bool finish_worker_scan(time_point now);
    void load_rows(time_point now, state_table table,
                   const std::vector<carobcourse::row>& rows);
    void load_row(time_point now, state_table table,
                  const carobcourse::row& row);
    static std::optional<ended_job> parse_ended_job(const std::string& text);
    void load_log_row(const carobcourse::row& row);
    /// Creates the state of a job from an entry of the log.
    void load_log_entry(const log_entry& entry);
    void finish_load(time_point now);
    /// Decides what could not be decided about the job while no configuration
    /// had its queue.
    void settle_by_config(time_point now, cell_job& job);
    void set_objective(time_point now, cell_job& job);
    void write_leased_workers();

    // Requests of callers and writes to the store (cell_owner.cpp).
    void submit(time_point now, const reply_address& from,
                const nlohmann::json& item);
    void cancel(time_point now, const reply_address& from,
                const std::string& id);
    void reply_phase(time_point now, const reply_address& from,
                     const std::string& id);
    /// Answers that there is no such job, once this host is known to have owned
    /// the cell when it was asked.
    void deny_job(time_point now, const reply_address& from);
    void send_confirmed_replies();
    void reply(const reply_address& to, result_code code,
               std::optional<job_phase> phase = {},
               std::int64_t retry_after_ms = 0);
    void refuse(time_point now, const reply_address& to, const std::string& job,
                result_code code, std::int64_t retry_after_ms);
    void on_submission_durable(const std::string& id);
    /// Removes and returns the callers that wait for the outcome of the job's
    /// submission.
    std::vector<reply_address> take_submitters(const std::string& id);
    void refuse_unsent_jobs(time_point now);
    void update_store_state(time_point now, time_point heard_until);
    /// Returns the progress of the job in at most `cell_max_entry_bytes`.
    std::string write_progress(const cell_job& job);
    void write_dirty_jobs(time_point now);
    void write_final_phase(time_point now, cell_job& job);
    void on_final_phase_durable(time_point now, const std::string& id,
                                job_phase phase);
    /// Logs what the owner has done since the last call when it is behind.
    void report_load(time_point now);
    /// Returns for each customer the accepted work that is ordered before
    /// `job`.
    std::vector<customer_backlog> backlogs_before(time_point now,
                                                  const cell_job& job) const;
    /// Returns the number of processor cores of all workers that may get new
    /// tasks.
    double usable_cores(time_point now);

    // The worker list, calls and polls (cell_owner_workers.cpp).
    void watch_workers(time_point now);
    void apply_worker_row(time_point now, const std::string& key,
                          const std::string& value);
    void on_worker_unlisted(time_point now, const std::string& id);
    /// Sends `call` through the host `relay`. Returns the id of the call.
    std::uint64_t send_call(time_point now, const std::string& relay,
                            worker_call call, pending_call pending);
    /// Ends all calls for which `has_failed` returns true as calls without an
    /// answer.
    void fail_calls(time_point now,
                    const std::function<bool(const pending_call&)>& has_failed);
    /// Ends all calls whose deadline has passed as calls without an answer.
    void fail_overdue_calls(time_point now, time_point heard_until);
    void fail_calls(time_point now, const std::vector<std::uint64_t>& ids);
    /// Returns the host that makes the given attempt of a call to `worker`.
    std::string relay_for(const cell_worker& worker, unsigned attempt) const;
    /// Takes the reading of the worker's clock, unless another incarnation than
    /// the known one has given it.
    void read_clock(time_point now, cell_worker& worker,
                    const pending_call& pending, const worker_answer& answer);
    /// Returns how long after a call was sent an incarnation that no poll has
    /// shown may run tasks under the lease that it gave for the call.
    duration longest_unknown_lease() const;
    /// Returns the longest lease that may be granted now; zero when none may
    /// be.
    duration remaining_lease(time_point now) const;
    /// Whether the store has confirmed that no other host had claimed the cell
    /// at that time. What a later owner hears of afterwards does not count for
    /// leases that were over by then.
    bool has_owned_at(time_point at) const;
    void update_workers(time_point now);
    /// Sends the stops and the poll that are due for `worker`. Returns true
    /// when the worker no longer exists and is to be removed.
    bool update_worker(time_point now, cell_worker& worker);
    void send_poll(time_point now, cell_worker& worker);
    /// Whether the next poll may acknowledge ends. Requires a recent list of
    /// the known incarnation and no unsettled start, so that an incarnation
    /// that began since then has no ends of starts before the poll.
    bool may_acknowledge(time_point now, const cell_worker& worker) const;
    /// Records the end of a start or poll with or without an answer.
    void end_call(cell_worker& worker, const pending_call& pending,
                  command_status status);
    void on_worker_restarted(time_point now, cell_worker& worker,
                             const worker_answer& answer);
    void on_poll_overtaken(cell_worker& worker, const pending_call& pending);
    void on_poll_answer(time_point now, cell_worker& worker,
                        const pending_call& pending,
                        const worker_answer& answer);
    void count_worker_failure(time_point now, cell_worker& worker,
                              const std::string& job);

    // Runs of tasks on workers (cell_owner_runs.cpp).
    void on_start_answer(time_point now, cell_worker& worker,
                         const pending_call& pending,
                         const worker_answer& answer);
    void send_stops(time_point now, cell_worker& worker);
    void on_stop_answer(time_point now, cell_worker& worker,
                        const pending_call& pending,
                        const worker_answer& answer);
    void reconcile_runs(time_point now, cell_worker& worker,
                        const pending_call& pending,
                        const worker_answer& answer);
    void report_missing_ends(const cell_worker& worker, std::uint64_t next_end);
    void adopt_run(time_point now, cell_worker& worker,
                   const running_report& report);
    /// Makes a run that a worker has listed the current run of its task.
    /// Precondition: the task is waiting or unresolved.
    void set_current_run(cell_job& job, const run_key& key,
                         const std::string& worker);
    void remove_run(cell_worker& worker, const run_key& key);
    /// Records that a worker has begun a task of the job.
    void mark_begun(cell_job& job);
    void on_run_ended(time_point now, cell_worker& worker,
                      const end_report& end);
    void drop_all_runs(time_point now, cell_worker& worker, const char* reason);
    void drop_run(time_point now, cell_worker& worker, const run_key& key);
    /// Makes the task wait for a new start if `key` is its current run and is
    /// on `worker`, or for the end of another run of the task.
    void requeue_task(const std::string& worker, const run_key& key);
    void stop_gang(time_point now, cell_job& job, const cell_task_id& member);
    void request_stop(time_point now, cell_worker& worker, const run_key& key);
    void stop_job_runs(time_point now, const cell_job& job);

    // Tasks of earlier owners (cell_owner_takeover.cpp).
    void release_unresolved_tasks(time_point now);
    /// Returns true when no worker that has not answered can hold a lease and
    /// all others have reported all their runs and ends.
    bool resolve_silent_workers(time_point now);
    /// Releases the tasks that an earlier owner can not have on the workers
    /// `silent`, and takes note of the others.
    void
    hold_tasks_of_silent_workers(time_point now,
                                 const std::vector<const cell_worker*>& silent);
    /// Makes the unresolved tasks of the job wait for a new start, except those
    /// that may run on the workers `silent`. Returns the number of these.
    std::size_t
    release_unresolved_tasks(time_point now, cell_job& job,
                             const std::vector<const cell_worker*>& silent);
    /// Marks the tasks of the occurrences from `first` on as unresolved if an
    /// earlier owner may start them.
    void hold_back_unresolved(cell_job& job, std::uint32_t first);
    /// Returns the task of a report, or null when it is not a task of the job.
    cell_task* find_reported_task(cell_job* job, const cell_task_id& id);

    // Speeds of workers (cell_owner_speeds.cpp).
    /// Updates the expected end of a run and the speed of its worker. Counts a
    /// percentage that makes no sense and leaves it out.
    void take_progress(time_point now, const cell_worker& worker, cell_run& run,
                       const running_report& report);
    void take_end(time_point now, cell_worker& worker, const end_report& end);
    void count_speed_sample(time_point now, const cell_worker& worker,
                            worker_speeds::outcome outcome);
    void log_refused_report(time_point now, const cell_worker& worker);
    /// Takes note of a start, which may be the try of a worker that lags.
    void note_start(time_point now, const cell_worker& worker);
    /// Updates the speeds that placement uses, and their row in the store.
    void update_speeds(time_point now);
    void write_speeds(time_point now);
    void load_speeds(const carobcourse::row& row);
    const speed_class& class_of(const cell_worker& worker) const;
    speed_need speed_need_of(time_point now, const ready_step& ready,
                             bool urgent) const;
    /// Passes the workers that may get new tasks to `visit` until that returns
    /// false: from a random one on, or the fastest classes first.
    void visit_workers(bool fastest_first,
                       const std::function<bool(const cell_worker&)>& visit);

    // Placement of tasks (cell_owner_dispatch.cpp).
    void dispatch(time_point now);
    std::vector<ready_step> find_ready_steps(time_point now);
    void update_eligible_workers(time_point now);
    void update_unresolved_usage();
    /// Returns the workers that may run the step, also those whose ticket is
    /// no longer valid.
    std::vector<placement_candidate>
    find_candidates(time_point now, const ready_step& ready) const;
    void place_tasks(time_point now, ready_step& ready);
    void place_gang(time_point now, ready_step& ready);
    /// Reserves some of the workers `usable` for a gang that does not fit now,
    /// so that small tasks do not fill each gap before all members have room.
    void reserve_workers(time_point now, const ready_step& ready,
                         const std::vector<placement_candidate>& usable);
    /// Returns true when the customer of `job` stays within its limit with
    /// `more` resources in use.
    bool is_within_limit(const cell_job& job, const resources& more) const;
    void start_task(time_point now, const ready_step& ready,
                    std::uint32_t index, const cell_worker& worker,
                    const std::string& ticket, std::uint32_t run);
    void send_start(time_point now, cell_worker& worker, const run_key& key,
                    const std::string& ticket, unsigned attempt);

    /// Returns the most workers that may be reserved.
    std::size_t max_reserved_workers() const;

    // Stops that make room (cell_owner_preemption.cpp).
    bool may_preempt(time_point now, const ready_step& ready) const;
    /// Stops runs on workers among `candidates` so that `count` tasks of the
    /// step get room, where that pays. See `choose_preemptions`.
    void preempt_for(time_point now, const ready_step& ready,
                     const std::vector<placement_candidate>& candidates,
                     std::uint32_t count);
    /// Does the same for an urgent step that is not a gang, and asks for advice
    /// about workers without room where too few are known.
    void preempt_for_tasks(time_point now, const ready_step& ready);
    void make_room(time_point now, const ready_step& ready,
                   const std::vector<placement_candidate>& usable,
                   const preemption_request& request,
                   const std::vector<preemption_candidate>& runs,
                   const std::vector<run_key>& chosen);
    std::optional<preemption_candidate>
    make_preemption_candidate(time_point now, const cell_worker& worker,
                              const run_key& key, const cell_run& run) const;
    /// Returns those of `workers` whose tickets are not valid at `needed_at`.
    std::vector<std::string>
    workers_with_old_tickets(time_point now, const ready_step& ready,
                             const std::set<worker_number>& workers,
                             time_point needed_at) const;
    void on_preemption_lapsed(const ready_step& ready);
    /// Learns the time of a stop from the run that has ended by it.
    void record_stop(time_point now, const cell_run* run);
    /// Sets the checkpoint of a task, unless a later run has written one.
    void take_checkpoint(cell_task& task, const run_key& key,
                         const std::string& checkpoint);

    // Waits for a place near the data (cell_owner_locality.cpp).
    /// Returns true when a task is not to start on `worker` now. Precondition:
    /// the step has a rack with its data.
    bool holds_task(time_point now, const ready_step& ready,
                    const std::vector<placement_candidate>& candidates,
                    const cell_worker& worker, held_tasks& held);
    /// Returns true when a gang is not to start with `plan` now. Removes the
    /// candidates then that are not on the rack that it waits for.
    bool holds_gang(time_point now, const ready_step& ready,
                    const std::vector<gang_assignment>& plan,
                    std::vector<placement_candidate>& candidates);
    /// Returns a request without `near_at`; nothing when the step may not wait.
    std::optional<locality_request>
    make_locality_request(time_point now, const ready_step& ready);
    /// Begins or continues a wait. Returns false when the step does not wait.
    bool hold_for_rack(time_point now, const ready_step& ready,
                       const locality_wait& wait, time_point expected_at);
    void report_locality_end(const ready_step& ready, locality_end end);
    /// Learns the duration of a run that has ended done.
    void learn_duration(time_point now, const cell_worker& worker,
                        const run_key& key);

    // Questions to the advice service (cell_owner_advice.cpp).
    void request_advice(time_point now, const ready_step& ready,
                        std::vector<std::string> workers);
    std::vector<std::string> choose_workers_to_advise(time_point now,
                                                      const ready_step& ready);
    /// Returns the most workers that one call for the step may name.
    static std::size_t max_workers_named(const ready_step& ready);
    /// Returns by worker number which workers advice was asked about.
    std::vector<bool> known_workers(const step_state& step) const;
    /// Makes the calls for advice that a gang needs; see `plan_gang_calls`.
    /// Returns true when a call is in flight.
    bool ask_about_gang(time_point now, const ready_step& ready);
    std::vector<std::string> workers_to_renew(time_point now,
                                              const ready_step& ready) const;
    void on_advice_answer(time_point now, const pending_call& pending,
                          const worker_answer& answer);

    cell_context& context_;
    owner_transport& transport_;
    cell_journal journal_;
    bool lost_ownership_ = false;
    bool loaded_ = false;
    std::map<op_id, table_page> pending_pages_;
    /// Pages that were not read, with the time of the next try.
    std::vector<std::pair<time_point, table_page>> failed_pages_;
    scan_page_limit page_limit_;
    std::set<state_table> loaded_tables_;
    /// Rows of the log by number, until all are read.
    std::map<std::uint64_t, std::vector<log_entry>> loaded_log_rows_;
    time_point claimed_at_;
    std::vector<std::pair<std::string, nlohmann::json>> deferred_requests_;
    std::size_t deferred_bytes_ = 0; ///< Estimated memory of these.

    job_memory job_memory_; // Outlives the shares of the jobs.
    std::map<std::string, std::unique_ptr<cell_job>> jobs_;
    std::map<std::string, ended_job> ended_jobs_;
    std::map<std::string, std::vector<reply_address>> submitters_;
    std::map<reply_address, refused_submission> refused_submissions_;
    /// Callers who asked for an unknown job, with the time; see `deny_job`.
    std::map<reply_address, time_point> unconfirmed_denials_;
    std::set<std::string> dirty_jobs_;
    /// Workers that reported task ends which are not acknowledged yet.
    std::set<std::string> workers_to_acknowledge_;
    /// Workers to update before `next_worker_update_`, because of new events.
    std::set<std::string> workers_to_update_;
    /// Time of the next update of all workers.
    time_point next_worker_update_;
    customer_rate_limiter rate_limiter_;
    time_point next_regular_dispatch_;
    time_point next_cleanup_;
    /// What the owner has done since `report_load` was last called.
    struct load_figures
    {
        std::uint64_t batches = 0;
        duration longest_batch{};
        std::uint64_t polls = 0; ///< Answers to polls.
        std::uint64_t new_ends = 0;
        /// Ends that workers have listed again, as they are not acknowledged.
        std::uint64_t repeated_ends = 0;
        std::uint64_t commits = 0;
        std::uint64_t entries = 0;  ///< Confirmed entries of the log.
        std::uint64_t rounds = 0;   ///< Rounds of dispatch.
        std::uint64_t examined = 0; ///< Workers that these rounds examined.
        std::uint64_t longest_round = 0; ///< The most that one round examined.
    };
    load_figures load_;
    /// Totals of the journal when `load_` began.
    std::uint64_t reported_commits_ = 0;
    std::uint64_t reported_entries_ = 0;
    time_point next_load_report_;
    /// Number of batches over which `lag_` is averaged.
    static constexpr int lag_samples = 4;
    duration lag_{};
    double usable_cores_ = 0;
    time_point usable_cores_expire_at_;

    cell_workers workers_;
    std::optional<op_id> worker_watch_;
    std::uint64_t worker_version_ = 0;
    bool reread_workers_ = false;
    table_scan worker_scan_;
    time_point next_worker_watch_;
    /// Workers that may hold a lease, as last written to the store.
    std::set<std::string> leased_workers_;
    /// Workers that may run tasks of earlier owners and have not yet reported
    /// all their runs and ends.
    std::set<std::string> unresolved_workers_;
    bool store_failing_ = false;
    /// Tasks in state `unresolved` wait for `unresolved_workers_`.
    bool has_unresolved_tasks_ = true;
    bool all_hosts_follow_ = false; ///< See `on_all_hosts_follow`.
    /// Tasks that may run on workers that do not answer are held for longer
    /// than others.
    bool are_silent_workers_held_ = false;
    /// Listed runs beside the current runs of their tasks, with their workers.
    /// They are being stopped.
    std::map<run_key, std::string> superfluous_runs_;
    std::map<std::uint64_t, pending_call> pending_calls_;
    /// Deadlines of the calls by id, the next one first. Calls that have been
    /// answered stay until their deadline.
    std::priority_queue<std::pair<time_point, std::uint64_t>,
                        std::vector<std::pair<time_point, std::uint64_t>>,
                        std::greater<>>
        call_deadlines_;
    std::vector<call_relay> relays_;
    /// By data centre; without this host and hosts that are leaving.
    std::map<std::string, relay_group> relay_groups_;
    std::vector<std::string> all_relays_;

    advice_host_pool advice_hosts_;
    advice_share_estimator advice_shares_;
    worker_speeds speeds_;
    /// The classes of the speeds by worker number, as of the last update.
    std::vector<speed_class> speed_classes_;
    /// Workers of each class, the fastest first; empty when there is one class.
    std::vector<std::vector<worker_number>> workers_by_speed_;
    time_point next_speed_update_;
    time_point next_refusal_log_; ///< Of reports that make no sense.
    time_point next_speed_write_;
    time_point speed_row_expires_at_;
    std::map<std::string, int> written_classes_;
    gang_reservations reservations_;
    locality_waits locality_waits_;
    std::size_t waiting_steps_ = 0; ///< In the current round of dispatch.
    /// Gangs of the current round that have reserved workers and may ask for
    /// advice about more.
    std::vector<const ready_step*> reserved_gangs_;
    eligible_workers eligible_;
    /// Most resources that unreported runs of each customer may use.
    std::map<std::string, resources> unresolved_usage_;
    dispatch_turns gang_turns_;
    preemption_ledger preemption_ledger_;
    stop_time_estimator stop_times_;
    /// Lowest priority of running steps with checkpoints, in the current round.
    int preemptible_priority_ = std::numeric_limits<int>::min();
    /// Urgent steps stop no runs in a round that has examined this much.
    std::uint64_t preemption_budget_end_ = 0;
    bool dispatch_due_ = false;
    time_point next_dispatch_;
    /// See `examined_count`.
    mutable std::uint64_t examined_ = 0;
};

} // namespace carobcourse
