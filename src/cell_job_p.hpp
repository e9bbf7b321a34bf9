/// Jobs of the cell as their owner sees them: which tasks have ended, which
/// may be started, and what of it must be durable.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell_types_p.hpp"

namespace carobcourse
{

enum class cell_task_state : std::uint8_t
{
    waiting,
    /// An earlier owner may have started it; it waits for every worker to say
    /// what it runs, or for its lease to end.
    unresolved,
    starting, ///< Ordered, not yet confirmed.
    running,
    done
};

struct cell_task
{
    cell_task_state state = cell_task_state::waiting;
    std::string worker; ///< Where it runs or was last ordered to run.
    std::uint32_t run = 0;
    /// Runs whose failure is counted. Workers report them in any order, and
    /// again to a new owner.
    std::set<std::uint32_t> failed_runs;
    std::string checkpoint;
};

/// What the advice service has said about a step.
struct step_advice
{
    struct worker_advice
    {
        bool allowed = false;
        std::string ticket;
        time_point valid_until;
    };
    std::map<worker_number, worker_advice> by_worker;
    std::uint64_t call = 0; ///< In flight; 0: none.
    time_point ask_again_at;
};

/// The tasks of one step of one occurrence.
struct step_state
{
    std::uint64_t key = 0; ///< See `step_key_of`.
    std::vector<cell_task> tasks;
    std::uint32_t done = 0;
    std::uint32_t active = 0; ///< Starting, running or unclear.
    step_advice advice;
    std::set<std::uint32_t> gang_failed_runs;
};

struct occurrence_state
{
    std::vector<step_state> steps;
};

class cell_job
{
public:
    cell_job(std::string id, std::string customer, std::string queue,
             work_spec spec, std::int64_t accepted_unix_ms,
             std::uint64_t accepted_epoch);

    const std::string& id() const
    {
        return id_;
    }
    const std::string& customer() const
    {
        return customer_;
    }
    const std::string& queue() const
    {
        return queue_;
    }
    const work_spec& spec() const
    {
        return spec_;
    }
    std::int64_t accepted_unix_ms() const
    {
        return accepted_unix_ms_;
    }
    std::uint64_t accepted_epoch() const
    {
        return accepted_epoch_;
    }
    job_phase phase() const;
    bool has_started() const
    {
        return started_;
    }
    void mark_started()
    {
        started_ = true;
    }

    /// Adds occurrences that are due. Requires a non-final phase.
    void add_due_occurrences(std::int64_t unix_ms);
    /// Unix time of the next occurrence, nothing when all are due.
    std::optional<std::int64_t> next_due_ms() const;

    std::map<std::uint32_t, occurrence_state>& occurrences()
    {
        return occurrences_;
    }
    const std::map<std::uint32_t, occurrence_state>& occurrences() const
    {
        return occurrences_;
    }
    /// Null when the id names no task of an occurrence that is due.
    cell_task* find(const cell_task_id& task);
    step_state* find_step(std::uint32_t occurrence, std::uint32_t step);
    /// True when every step before has ended and this one has not.
    bool is_ready(const occurrence_state& occurrence, std::uint32_t step) const;

    /// Run number for the next start of a task; rises over owners, since each
    /// epoch has a range of its own.
    static std::uint32_t next_run_number(std::uint32_t last,
                                         std::uint64_t epoch,
                                         std::uint64_t accepted_epoch);

    /// Records the end of a task; of a gang one end stands for all.
    void mark_done(const cell_task_id& task);
    /// Records an end through a fault. Returns true when the attempts are
    /// spent and the job has failed.
    /// A run is counted once, however often its end is reported.
    bool mark_failed(const cell_task_id& task, std::uint32_t run,
                     std::uint32_t attempts);
    void cancel()
    {
        cancelled_ = true;
    }
    void fail()
    {
        failed_ = true;
    }
    bool is_cancelled() const
    {
        return cancelled_;
    }

    /// Text of the rows that make the job durable.
    std::string spec_text() const;
    std::string progress_text() const;
    /// Empty text when a row is unreadable.
    static std::unique_ptr<cell_job> from_text(const std::string& id,
                                               const std::string& spec);
    bool read_progress(const std::string& text);
    /// Marks all tasks that are not done as unclear.
    void mark_unresolved();

    /// Work left in core milliseconds, by the estimates.
    double remaining_core_ms() const;
    /// Longest chain of steps, by the estimates, in milliseconds.
    std::int64_t critical_path_ms() const;

    // Kept by the owner, not stored.
    time_point objective;     ///< Shown as completed later than this is late.
    time_point hard_deadline; ///< Worth nothing from here on.
    bool excess = false;      ///< Beyond what the customer may send.
    bool durable = false;

private:
    occurrence_state& occurrence_at(std::uint32_t number);
    bool all_ended() const;
    double compute_remaining_core_ms() const;

    std::string id_;
    std::string customer_;
    std::string queue_;
    work_spec spec_;
    std::int64_t accepted_unix_ms_;
    std::uint64_t accepted_epoch_;
    std::map<std::uint32_t, occurrence_state> occurrences_;
    std::uint32_t next_occurrence_ = 0;
    std::uint32_t occurrences_done_ = 0;
    mutable std::optional<double> remaining_core_ms_; ///< Empty: to be counted.
    bool started_ = false;
    bool cancelled_ = false;
    bool failed_ = false;
};

} // namespace carobcourse
