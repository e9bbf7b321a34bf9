/// State of the jobs of a cell at its owner: which tasks have ended, which can
/// be started, and which part of that state is stored.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell_job_memory_p.hpp"
#include "cell_locality_p.hpp"
#include "cell_types_p.hpp"

namespace carobcourse
{

/// State of a task at the owner of the cell.
enum class cell_task_state : std::uint8_t
{
    waiting,
    /// An earlier owner may have started the task. It is not started again
    /// until each worker has reported its runs or its lease has expired.
    unresolved,
    starting, ///< The start was sent and is not confirmed yet.
    running,
    done
};

/// A task and its current run, or its latest one while it has none.
struct cell_task
{
    cell_task_state state = cell_task_state::waiting;
    std::string worker;    ///< Worker of the run.
    std::uint32_t run = 0; ///< Number of the run; 0: never started.
    /// Highest number of any run. It is above `run` when a worker has listed an
    /// earlier run that had been given up.
    std::uint32_t highest_run = 0;
    /// Numbers of the failed runs. It is a set because workers report failures
    /// in any order, and report them again to a new owner.
    std::set<std::uint32_t> failed_runs;
    std::string checkpoint;           ///< Latest checkpoint; empty: none.
    std::uint32_t checkpoint_run = 0; ///< Run that has written it.
    unsigned preemptions = 0; ///< Stops in favour of others, by this owner.
    time_point preempted_at;  ///< Latest of them.
};

/// Answers of the advice service about a step.
struct step_advice
{
    /// Whether a worker may run the step, and the ticket that permits it.
    struct worker_advice
    {
        worker_number worker = 0;
        bool allowed = false;
        std::string ticket;
        time_point valid_until;
    };
    /// Returns null when the service has not been asked about the worker.
    const worker_advice* find(worker_number worker) const;
    /// Returns the entry of a worker, which is added when it does not exist.
    worker_advice& at(worker_number worker);

    std::vector<worker_advice> by_worker; ///< Sorted by worker.
    unsigned calls_in_flight = 0;
    time_point ask_again_at; ///< No call for the step is made earlier.
};

/// The tasks of one step of one occurrence.
struct step_state
{
    std::uint64_t key = 0; ///< Value of `stable_hash`.
    std::vector<cell_task> tasks;
    std::uint32_t done = 0;   ///< Number of tasks that are done.
    std::uint32_t active = 0; ///< Tasks starting, running or unresolved.
    step_advice advice;
    std::uint64_t latest_pass = 0; ///< See `dispatch_turns::take`.
    /// Runs are being stopped for the step until this time.
    time_point preempting_until;
    time_point next_preemption_at; ///< No stops are considered earlier.
    /// Numbers of the failed runs of a gang, whose tasks share run numbers.
    std::set<std::uint32_t> gang_failed_runs;
    /// Of the ended runs, where the step has a rack with its data.
    locality_durations durations;
};

/// One occurrence of a job; a job that is not periodic has a single one.
struct occurrence_state
{
    std::vector<step_state> steps;
};

/// A job of the cell with the state of its tasks. Core thread only.
class cell_job
{
public:
    /// Creates a job without occurrences. Precondition: `validate_job(spec)`
    /// finds no error. `accepted_epoch` is the epoch of the owner that accepts
    /// the job.
    cell_job(std::string id, std::string customer, std::string queue,
             job_spec spec, std::int64_t accepted_unix_ms,
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
    const job_spec& spec() const
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
    /// Returns true once a worker is known to have begun a task of the job. A
    /// start that was only sent does not count: the worker may refuse it.
    bool has_started() const
    {
        return started_;
    }
    void mark_started()
    {
        started_ = true;
    }

    /// Adds the occurrences that are due at `unix_ms`. Precondition: the phase
    /// is not final.
    void add_due_occurrences(std::int64_t unix_ms);
    /// Adds the occurrences up to `number`, because a worker reports a run of
    /// it: the earlier owner's clock may be ahead.
    void add_occurrences_through(std::uint32_t number);
    /// Number of the next occurrence to be added.
    std::uint32_t next_occurrence() const
    {
        return next_occurrence_;
    }
    /// Returns true when tasks of the occurrence may start at `unix_ms`.
    bool is_due(std::uint32_t occurrence, std::int64_t unix_ms) const
    {
        return spec_.occurrences == 0 || due_ms(occurrence) <= unix_ms;
    }
    /// Returns the Unix time of the next occurrence, 0 for a job that runs once
    /// immediately, and `std::nullopt` when all occurrences have been added.
    std::optional<std::int64_t> next_due_ms() const;

    /// Occurrences added so far, by number.
    std::map<std::uint32_t, occurrence_state>& occurrences()
    {
        return occurrences_;
    }
    const std::map<std::uint32_t, occurrence_state>& occurrences() const
    {
        return occurrences_;
    }
    /// Returns null when `task` is not a task of an added occurrence. The job
    /// that the id names is not compared.
    cell_task* find(const cell_task_id& task);
    /// Returns null when there is no such step in an added occurrence.
    step_state* find_step(std::uint32_t occurrence, std::uint32_t step);
    /// Returns true when the step has not ended and all steps that it depends
    /// on have.
    bool is_ready(const occurrence_state& occurrence, std::uint32_t step) const;

    /// Returns the run number for the next start of a task whose latest run is
    /// `last`. Each epoch has its own range of numbers, so the numbers of a
    /// later owner are above those of earlier ones. Thread safe.
    static std::uint32_t next_run_number(std::uint32_t last,
                                         std::uint64_t epoch,
                                         std::uint64_t accepted_epoch);

    /// Marks a task as done. In a gang, the end of one task marks all of them.
    /// Ignores unknown tasks and those of long-running steps.
    void mark_done(const cell_task_id& task);
    /// Records the failure of a run, and fails the job and returns true once
    /// `max_attempts` runs have failed. A run counts once, however often its
    /// failure is reported. Runs of long-running steps do not count. Without
    /// `max_attempts` the job goes on until `apply_attempt_limit` is called.
    bool mark_failed(const cell_task_id& task, std::uint32_t run,
                     std::optional<std::uint32_t> max_attempts);
    /// Fails the job and returns true when `max_attempts` runs of a task that
    /// is not done, or of a gang, have failed.
    bool apply_attempt_limit(std::uint32_t max_attempts);
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

    /// Returns the value of the row that stores the job as submitted.
    std::string spec_text() const;
    /// Returns the value of the row that stores the progress of the job. It
    /// takes at most `cell_max_entry_bytes` without the failed runs of single
    /// tasks.
    std::string progress_text(bool with_failed_runs = true) const;
    /// Restores a job from the value of its `spec_text` row. Returns null when
    /// the row is unreadable.
    static std::unique_ptr<cell_job> from_text(const std::string& id,
                                               const std::string& spec);
    /// Restores the progress of the job from its row. Returns false when the
    /// row is unreadable; a part of it may have been applied then.
    bool read_progress(const std::string& text);
    /// Marks all waiting tasks of the occurrences from `first` on as
    /// unresolved, since an earlier owner may have started them.
    void mark_unresolved(std::uint32_t first = 0);

    /// Returns the estimated remaining work of the added occurrences, in core
    /// milliseconds.
    double remaining_core_ms() const;
    /// Returns the estimated duration of the longest chain of dependent steps,
    /// in milliseconds.
    std::int64_t critical_path_ms() const;

    // Set by the owner; not stored.
    job_memory_share memory;  ///< Of the memory of all jobs.
    time_point objective;     ///< A job that completes later is late.
    time_point hard_deadline; ///< A result after this time has no value.
    /// These two follow from the settings of the job's queue.
    bool has_queue_objective = false;
    bool excess = false;  ///< Submitted beyond the customer's rate.
    bool durable = false; ///< The job's row is stored.

private:
    /// Returns the occurrence, which is created when it does not exist.
    occurrence_state& occurrence_at(std::uint32_t number);
    /// Precondition: the job has several occurrences.
    std::int64_t due_ms(std::uint32_t occurrence) const
    {
        return spec_.first_due_ms + occurrence * spec_.interval_ms;
    }
    bool all_ended() const;
    double compute_remaining_core_ms() const;

    std::string id_;
    std::string customer_;
    std::string queue_;
    job_spec spec_;
    std::int64_t accepted_unix_ms_;
    std::uint64_t accepted_epoch_;
    std::map<std::uint32_t, occurrence_state> occurrences_;
    std::uint32_t next_occurrence_ = 0;
    std::uint32_t occurrences_done_ = 0;
    /// Cached result of `remaining_core_ms`; empty after a change of the tasks.
    mutable std::optional<double> remaining_core_ms_;
    bool started_ = false;
    bool cancelled_ = false;
    bool failed_ = false;
};

} // namespace carobcourse
