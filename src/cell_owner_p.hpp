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
struct cell_agent
{
    std::string host;
    std::string data_centre;
    bool leaving = false; ///< Ends its calls and takes no further ones.

    friend bool operator==(const cell_agent& a, const cell_agent& b)
    {
        return a.host == b.host && a.data_centre == b.data_centre &&
               a.leaving == b.leaving;
    }
};

/// Ways out of the owner. Used by the core thread only.
class owner_links
{
public:
    virtual ~owner_links() = default;
    /// Lets `host` make the call. The answer comes back through
    /// `cell_owner::on_answer`, unless the host is lost.
    virtual void call(const std::string& host, const worker_call& call) = 0;
    /// Answers a call of an entry host.
    virtual void answer(const std::string& host, nlohmann::json item) = 0;
};

/// Deterministic; used by the core thread only. Times passed in never fall.
class cell_owner
{
public:
    /// `version` is that of the row that names this host as the owner, written
    /// by a claim that was sent at `claim_sent`.
    cell_owner(cell_context& context, owner_links& links, owner_row row,
               std::uint64_t version, time_point claim_sent, time_point now);

    /// True when the event belonged to the owner.
    bool on_store(time_point now, const store_result& result);
    bool on_watch(time_point now, const watch_result& result);
    void on_answer(time_point now, const worker_answer& answer);
    /// A call of a caller, passed on by an entry host.
    void on_front_call(time_point now, const std::string& host,
                       const nlohmann::json& item);
    /// Entry hosts that can make calls, this one among them.
    void set_agents(time_point now, std::vector<cell_agent> agents);
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
        journal_.request_release();
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
        return journal_.last_commit_at();
    }
    /// False until the jobs are read and counted.
    bool has_counted() const
    {
        return counted_;
    }
    /// Accepted jobs of each queue for which no task has started.
    /// Precondition: `has_counted()`.
    const std::map<std::string, std::uint64_t>& waiting() const
    {
        return waiting_;
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
    struct refused_call
    {
        std::string job;
        result_code code = result_code::ok;
        time_point forget_at;
    };
    struct pending_call
    {
        worker_command order = worker_command::poll;
        std::string agent;
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
        std::vector<std::string> asked;
    };
    struct reservation
    {
        std::set<worker_number> workers;
        time_point until;
    };
    /// Workers that may take new work in one round of dispatch.
    struct open_workers
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
        std::uint64_t key = 0;
        std::uint32_t waiting = 0;
    };
    enum class load_part : std::uint8_t
    {
        meta,
        jobs,
        progress,
        ended,
        workers,
        count
    };

    /// Null when the job is not known or has ended.
    cell_job* find_job(const std::string& id) const;

    // Loading (cell_owner_load.cpp).
    std::string table_of(load_part part) const;
    void scan(load_part part, std::string after);
    void on_loaded(time_point now, load_part part, const store_result& result);
    void load_rows(time_point now, load_part part,
                   const std::vector<carobcourse::row>& rows);
    void finish_load(time_point now);
    void set_objective(time_point now, cell_job& job);
    void record_leases();

    // Callers (cell_owner.cpp).
    void submit(time_point now, const reply_address& from,
                const nlohmann::json& item);
    void cancel(time_point now, const reply_address& from,
                const std::string& id);
    void show(const reply_address& from, const std::string& id);
    void reply(const reply_address& to, result_code code,
               std::optional<job_phase> phase = {},
               std::int64_t retry_after_ms = 0);
    void refuse(time_point now, const reply_address& to, const std::string& job,
                result_code code, std::int64_t retry_after_ms);
    void accept(const std::string& id);
    /// Callers that wait for the fate of the job's submission.
    std::vector<reply_address> take_submitters(const std::string& id);
    void refuse_queued(time_point now);
    void follow_store(time_point now);
    void write_dirty(time_point now);
    void finalize(time_point now, cell_job& job);
    void discard_rows(const std::string& id);
    void on_final(time_point now, const std::string& id, job_phase phase);
    void count_waiting();
    /// Accepted work that goes before `job`, by customer.
    std::vector<customer_backlog> backlogs_before(time_point now,
                                                  const cell_job& job) const;
    /// Of workers that may take new work.
    double usable_cores() const;

    // Workers (cell_owner_workers.cpp).
    void watch_workers(time_point now);
    void apply_worker_row(time_point now, const std::string& key,
                          const std::string& value);
    void on_unlisted(time_point now, const std::string& id);
    std::uint64_t send_call(time_point now, const std::string& agent,
                            worker_call call, pending_call pending);
    /// Ends calls that get no answer any more.
    void give_up_calls(time_point now,
                       const std::function<bool(const pending_call&)>& is_lost);
    std::string agent_for(const cell_worker& worker, unsigned attempt) const;
    /// Longest lease that may be granted now, zero when none may.
    duration lease_left(time_point now) const;
    /// False when another host may own the cell by now.
    bool is_confirmed(time_point now) const;
    void hold_due(time_point now);
    bool look_after(time_point now, cell_worker& worker);
    void hold(time_point now, cell_worker& worker);
    void on_hold(time_point now, cell_worker& worker,
                 const pending_call& pending, const worker_answer& answer);

    // Runs (cell_owner_runs.cpp).
    void on_start(time_point now, cell_worker& worker,
                  const pending_call& pending, const worker_answer& answer);
    void send_stops(time_point now, cell_worker& worker);
    void on_stop(time_point now, cell_worker& worker,
                 const pending_call& pending, const worker_answer& answer);
    void reconcile(time_point now, cell_worker& worker,
                   const pending_call& pending, const worker_answer& answer);
    void adopt(time_point now, cell_worker& worker,
               const running_report& report);
    void on_end(time_point now, cell_worker& worker, const end_report& end);
    void lose_runs(time_point now, cell_worker& worker, const char* reason);
    void drop_run(time_point now, cell_worker& worker, const run_key& key);
    void release_task(const std::string& worker, const run_key& key);
    void stop_gang(time_point now, cell_job& job, const cell_task_id& member);
    void stop_run(time_point now, cell_worker& worker, const run_key& key);
    void stop_job_runs(time_point now, const std::string& job);
    void note_failure(time_point now, cell_worker& worker,
                      const std::string& job);
    void resolve_unclear(time_point now);

    // Placement (cell_owner_dispatch.cpp).
    void dispatch(time_point now);
    std::vector<ready_step> ready_steps(time_point now);
    void find_open_workers(time_point now);
    std::vector<placement_candidate>
    candidates(time_point now, const ready_step& ready, bool with_ticket) const;
    void place_tasks(time_point now, ready_step& ready);
    void place_gang(time_point now, ready_step& ready);
    void reserve(time_point now, const ready_step& ready);
    bool is_reserved(worker_number worker, std::uint64_t key) const;
    bool within_cap(const cell_job& job, const resources& more) const;
    void ask_advice(time_point now, const ready_step& ready,
                    std::vector<std::string> workers);
    std::vector<std::string> workers_to_ask(time_point now,
                                            const ready_step& ready);
    std::vector<std::string> tickets_to_renew(time_point now,
                                              const ready_step& ready) const;
    void on_advice(time_point now, const pending_call& pending,
                   const worker_answer& answer);
    void start_task(time_point now, const ready_step& ready,
                    std::uint32_t index, const cell_worker& worker,
                    const std::string& ticket, std::uint32_t run);
    void send_start(time_point now, cell_worker& worker, const run_key& key,
                    const std::string& ticket, unsigned attempt);

    cell_context& context_;
    owner_links& links_;
    cell_journal journal_;
    bool deposed_ = false;
    bool loaded_ = false;
    std::map<op_id, load_part> loads_;
    std::set<load_part> loaded_parts_;
    std::map<std::string, std::string> loaded_progress_;
    time_point claimed_at_;
    std::vector<std::pair<std::string, nlohmann::json>> held_back_;

    std::map<std::string, std::unique_ptr<cell_job>> jobs_;
    struct ended_job
    {
        job_phase phase = job_phase::completed;
        std::int64_t unix_ms = 0;
    };
    std::map<std::string, ended_job> ended_;
    std::map<std::string, std::vector<reply_address>> submitters_;
    std::map<reply_address, refused_call> refused_;
    std::set<std::string> dirty_;
    std::set<std::string> acks_due_;  ///< Workers with ends to acknowledge.
    std::set<std::string> attention_; ///< Workers with something new.
    time_point next_look_;            ///< At all workers.
    std::map<std::string, std::uint64_t> waiting_;
    bool counted_ = false;
    customer_rates rates_;
    time_point next_count_;
    time_point next_cleanup_;

    cell_workers workers_;
    std::optional<op_id> worker_watch_;
    std::uint64_t worker_version_ = 0;
    bool reread_workers_ = false;
    time_point next_worker_watch_;
    std::set<std::string> leased_;     ///< As recorded.
    std::set<std::string> unresolved_; ///< May run tasks of earlier owners.
    bool store_failing_ = false;
    bool has_unclear_ = true; ///< Tasks wait for the workers above.
    std::map<std::uint64_t, pending_call> calls_;
    std::vector<cell_agent> agents_;

    advice_lanes lanes_;
    std::map<std::uint64_t, reservation> reservations_;
    open_workers open_;
    bool dispatch_due_ = false;
    time_point next_dispatch_;
};

} // namespace carobcourse
