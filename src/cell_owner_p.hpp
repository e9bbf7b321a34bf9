/// The owner of the cell: takes jobs in, places their tasks on workers and
/// records what has ended. One entry host at a time; see cell_election.
#pragma once

#include <carobcourse/types.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell_advice_p.hpp"
#include "cell_context_p.hpp"
#include "cell_job_p.hpp"
#include "cell_journal_p.hpp"
#include "cell_order_p.hpp"
#include "cell_placement_p.hpp"
#include "cell_workers_p.hpp"

namespace carobcourse
{

/// Entry host that makes calls for the owner.
struct call_relay
{
    std::string host;
    std::string data_centre;
    bool leaving = false; ///< Ends its calls and takes no further ones.

    friend bool operator==(const call_relay& a, const call_relay& b)
    {
        return a.host == b.host && a.data_centre == b.data_centre &&
               a.leaving == b.leaving;
    }
};

/// Ways out of the owner. Used by the core thread only.
class owner_transport
{
public:
    virtual ~owner_transport() = default;
    /// Lets `host` make the call. The answer comes back through
    /// `cell_owner::on_answer`, unless the host is lost.
    virtual void send_call(const std::string& host,
                           const worker_call& call) = 0;
    /// Answers a call of an entry host.
    virtual void send_answer(const std::string& host, nlohmann::json item) = 0;
};

/// Deterministic; used by the core thread only. Times passed in never fall.
class cell_owner
{
public:
    /// `version` is that of the row that names this host as the owner, written
    /// by a claim that was sent at `claim_sent`.
    cell_owner(cell_context& context, owner_transport& transport, owner_row row,
               std::uint64_t version, time_point claim_sent, time_point now);

    /// True when the event belonged to the owner.
    bool on_store(time_point now, const store_result& result);
    bool on_watch(time_point now, const watch_result& result);
    void on_answer(time_point now, const worker_answer& answer);
    /// A call of a caller, passed on by an entry host.
    void on_caller_request(time_point now, const std::string& host,
                           const nlohmann::json& item);
    /// Entry hosts that can make calls, this one among them.
    void set_relays(time_point now, std::vector<call_relay> relays);
    void tick(time_point now);
    /// Acts on the events taken since the last call.
    void finish_batch(time_point now);

    bool is_deposed() const
    {
        return deposed_;
    }
    /// Gives the cell up with the next commit.
    void release()
    {
        journal_.release();
    }
    bool is_released() const
    {
        return journal_.is_released();
    }
    const owner_row& row() const
    {
        return journal_.owner();
    }
    bool is_store_failing() const
    {
        return store_failing_;
    }
    time_point last_written() const
    {
        return journal_.last_written();
    }
    /// False until the jobs are read and counted.
    bool has_waiting_counts() const
    {
        return has_waiting_counts_;
    }
    /// Accepted jobs of each queue for which no task has started.
    /// Precondition: `has_counted()`.
    const std::map<std::string, std::uint64_t>& waiting_by_queue() const
    {
        return waiting_by_queue_;
    }

    // For tests and metrics.
    const cell_workers& workers() const
    {
        return workers_;
    }
    bool is_loaded() const
    {
        return loaded_;
    }
    std::size_t job_count() const
    {
        return jobs_.size();
    }

private:
    struct reply_address
    {
        std::string host;
        std::uint64_t call = 0;

        friend bool operator<(const reply_address& a, const reply_address& b)
        {
            return std::tie(a.host, a.call) < std::tie(b.host, b.call);
        }
    };
    /// A submission that was refused. A host may send it more than once, and
    /// the caller knows that it never runs.
    struct refused_submission
    {
        std::string job;
        result_code code = result_code::ok;
        time_point expires_at;
    };
    struct pending_call
    {
        worker_order order = worker_order::hold;
        std::string relay;
        std::string worker;
        run_key key;
        time_point sent_at;
        time_point deadline;
        // Of a start.
        std::string ticket;
        unsigned attempt = 0;
        // Of a call for advice.
        std::string job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::vector<std::string> advised_workers;
    };
    struct reservation
    {
        std::set<worker_number> workers;
        time_point expires_at;
    };
    /// Workers that may take new work in one round of dispatch.
    struct eligible_workers
    {
        std::vector<const cell_worker*> all;
        std::vector<const cell_worker*> by_number; ///< Null: takes none.
        resources largest_room; ///< In each dimension, at the round's start.
    };
    /// A step that has tasks to start.
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
    enum class state_table : std::uint8_t
    {
        owner,
        jobs,
        progress,
        ended,
        workers,
        count
    };

    /// Null when the job is not known or has ended.
    cell_job* find_job(const std::string& id) const;

    // Loading (cell_owner_load.cpp).
    std::string table_name(state_table table) const;
    void scan_table(state_table table, std::string after);
    void on_scan_result(time_point now, state_table table,
                        const store_result& result);
    void load_rows(time_point now, state_table table,
                   const std::vector<carobcourse::row>& rows);
    void finish_load(time_point now);
    void set_objective(time_point now, cell_job& job);
    void write_leased_workers();

    // Callers (cell_owner.cpp).
    void submit(time_point now, const reply_address& from,
                const nlohmann::json& item);
    void cancel(time_point now, const reply_address& from,
                const std::string& id);
    void reply_phase(const reply_address& from, const std::string& id);
    void reply(const reply_address& to, result_code code,
               std::optional<job_phase> phase = {},
               std::int64_t retry_after_ms = 0);
    void refuse(time_point now, const reply_address& to, const std::string& job,
                result_code code, std::int64_t retry_after_ms);
    void on_submission_durable(const std::string& id);
    /// Callers that wait for the fate of the job's submission.
    std::vector<reply_address> take_submitters(const std::string& id);
    void refuse_unsent_jobs(time_point now);
    void update_store_state(time_point now);
    void write_dirty_jobs(time_point now);
    void write_final_phase(time_point now, cell_job& job);
    void discard_job_rows(const std::string& id);
    void on_final_phase_durable(time_point now, const std::string& id,
                                job_phase phase);
    void count_waiting_jobs();
    /// Accepted work that goes before `job`, by customer.
    std::vector<customer_backlog> backlogs_before(time_point now,
                                                  const cell_job& job) const;
    /// Of workers that may take new work.
    double usable_cores() const;

    // Workers (cell_owner_workers.cpp).
    void watch_workers(time_point now);
    void apply_worker_row(time_point now, const std::string& key,
                          const std::string& value);
    void on_worker_unlisted(time_point now, const std::string& id);
    std::uint64_t send_call(time_point now, const std::string& relay,
                            worker_call call, pending_call pending);
    /// Ends calls that get no answer any more.
    void fail_calls(time_point now,
                    const std::function<bool(const pending_call&)>& has_failed);
    std::string relay_for(const cell_worker& worker, unsigned attempt) const;
    /// Longest lease that may be granted now, zero when none may.
    duration remaining_lease(time_point now) const;
    /// False when another host may own the cell by now.
    bool is_ownership_confirmed(time_point now) const;
    void update_workers(time_point now);
    bool update_worker(time_point now, cell_worker& worker);
    void send_poll(time_point now, cell_worker& worker);
    void on_poll_answer(time_point now, cell_worker& worker,
                        const pending_call& pending,
                        const worker_answer& answer);

    // Runs (cell_owner_runs.cpp).
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
    void adopt_run(time_point now, cell_worker& worker,
                   const running_report& report);
    void on_run_ended(time_point now, cell_worker& worker,
                      const end_report& end);
    void drop_all_runs(time_point now, cell_worker& worker, const char* reason);
    void drop_run(time_point now, cell_worker& worker, const run_key& key);
    void requeue_task(const std::string& worker, const run_key& key);
    void stop_gang(time_point now, cell_job& job, const cell_task_id& member);
    void request_stop(time_point now, cell_worker& worker, const run_key& key);
    void stop_job_runs(time_point now, const std::string& job);
    void count_worker_failure(time_point now, cell_worker& worker,
                              const std::string& job);
    void resolve_unclear_tasks(time_point now);

    // Placement (cell_owner_dispatch.cpp).
    void dispatch(time_point now);
    std::vector<ready_step> find_ready_steps(time_point now);
    void update_eligible_workers(time_point now);
    std::vector<placement_candidate> find_candidates(time_point now,
                                                     const ready_step& ready,
                                                     bool with_ticket) const;
    void place_tasks(time_point now, ready_step& ready);
    void place_gang(time_point now, ready_step& ready);
    void reserve_workers(time_point now, const ready_step& ready);
    bool is_reserved_for_other(worker_number worker,
                               std::uint64_t step_key) const;
    bool is_within_cap(const cell_job& job, const resources& more) const;
    void request_advice(time_point now, const ready_step& ready,
                        std::vector<std::string> workers);
    std::vector<std::string> choose_workers_to_advise(time_point now,
                                                      const ready_step& ready);
    std::vector<std::string> workers_to_renew(time_point now,
                                              const ready_step& ready) const;
    void on_advice_answer(time_point now, const pending_call& pending,
                          const worker_answer& answer);
    void start_task(time_point now, const ready_step& ready,
                    std::uint32_t index, const cell_worker& worker,
                    const std::string& ticket, std::uint32_t run);
    void send_start(time_point now, cell_worker& worker, const run_key& key,
                    const std::string& ticket, unsigned attempt);

    cell_context& context_;
    owner_transport& transport_;
    cell_journal journal_;
    bool deposed_ = false;
    bool loaded_ = false;
    std::map<op_id, state_table> pending_scans_;
    std::set<state_table> loaded_tables_;
    std::map<std::string, std::string> loaded_progress_;
    time_point claimed_at_;
    std::vector<std::pair<std::string, nlohmann::json>> deferred_requests_;

    std::map<std::string, std::unique_ptr<cell_job>> jobs_;
    struct ended_job
    {
        job_phase phase = job_phase::completed;
        std::int64_t unix_ms = 0;
    };
    std::map<std::string, ended_job> ended_jobs_;
    std::map<std::string, std::vector<reply_address>> submitters_;
    std::map<reply_address, refused_submission> refused_submissions_;
    std::set<std::string> dirty_jobs_;
    std::set<std::string>
        workers_to_acknowledge_; ///< Workers with ends to acknowledge.
    std::set<std::string> workers_to_update_; ///< Workers with something new.
    time_point next_worker_update_;           ///< At all workers.
    std::map<std::string, std::uint64_t> waiting_by_queue_;
    bool has_waiting_counts_ = false;
    customer_rates rates_;
    time_point next_waiting_count_;
    time_point next_cleanup_;

    cell_workers workers_;
    std::optional<op_id> worker_watch_;
    std::uint64_t worker_version_ = 0;
    bool reread_workers_ = false;
    time_point next_worker_watch_;
    std::set<std::string> leased_workers_; ///< As recorded.
    std::set<std::string>
        unresolved_workers_; ///< May run tasks of earlier owners.
    bool store_failing_ = false;
    bool has_unclear_tasks_ = true; ///< Tasks wait for the workers above.
    std::map<std::uint64_t, pending_call> pending_calls_;
    std::vector<call_relay> relays_;

    advice_lanes lanes_;
    std::map<std::uint64_t, reservation> reservations_;
    eligible_workers eligible_;
    bool dispatch_due_ = false;
    time_point next_dispatch_;
};

} // namespace carobcourse
