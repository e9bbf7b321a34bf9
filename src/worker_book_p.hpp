/// The workers of a shard: leases, granted capacity and running attempts.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core_context_p.hpp"
#include "placement_p.hpp"

namespace carobcourse
{

/// What the owner knows of one attempt on a worker.
struct attempt_record
{
    resources amount;
    std::string team;
    bool confirmed = false; ///< The worker reported it as running.
    bool sent = false;      ///< The start may have reached the worker.
    duration declared{0};   ///< Run time, zero when unknown.
    /// When the worker first reported it here; empty when an owner before
    /// started it.
    std::optional<time_point> running_since;
};

/// News about an attempt, for the scheduler.
struct attempt_news
{
    enum class kind : std::uint8_t
    {
        running,
        finished,
        refused, ///< Certain: it never started.
        lost     ///< The worker's lease is over; it runs no more.
    };
    kind what = kind::running;
    std::string worker;
    attempt_id attempt;
    std::string team;
    resources amount;
    task_outcome outcome = task_outcome::failed;
    std::string detail;
    std::string checkpoint;
};

/// Aggregate. Rule: the sum of the amounts of all attempts recorded on a
/// worker never passes its reported capacity, and an attempt leaves the
/// record only when it is certain that it does not run. Not thread safe.
class worker_book
{
public:
    explicit worker_book(core_context& context);

    /// Takes over the shard with a new epoch: every worker is asked what it
    /// runs before it gets work.
    void begin_epoch(time_point now, std::uint64_t epoch);

    /// Adds new workers of the list and notes those that are leaving. A
    /// worker that is listed twice counts once. `known` states that the list
    /// was seen, as a shard may have no workers.
    void update_hosts(time_point now, const std::vector<host_entry>& hosts,
                      bool known);
    void update_hosts(time_point now, const std::vector<host_entry>& hosts)
    {
        update_hosts(now, hosts, !hosts.empty());
    }
    /// Counts with a worker that a task was recorded on, listed or not: until
    /// it answers or the longest lease is over, it may run tasks.
    void expect(time_point now, const std::string& worker);

    /// Free capacity of the workers that may get work now.
    const placement_index& index() const
    {
        return index_;
    }
    /// For trial placements, which restore what they change.
    placement_index& index()
    {
        return index_;
    }

    /// True when placement may begin: a worker has answered in this epoch.
    /// The index has only workers that have answered.
    bool is_recovered(time_point now) const;
    /// True when no unreported attempt of an earlier epoch can be running:
    /// every worker has answered in this epoch, or the longest lease that an
    /// earlier owner may have granted is over.
    bool all_settled(time_point now) const;

    /// Capacity of the workers that may run tasks of an earlier owner that
    /// are not known here; empty while the workers themselves are not known.
    std::optional<resources> unsettled_capacity(time_point now) const;

    /// Reserves capacity and queues the start. Precondition: the worker is
    /// in the index with room for the amount.
    void start(const std::string& worker, start_task start);
    /// Queues a stop; the attempt stays recorded until the worker reports.
    void stop(const std::string& worker, const attempt_id& attempt,
              bool checkpoint);

    /// Acknowledges a result; the worker forgets it. Precondition: the job
    /// row that holds the result is durable, or the result is of no use.
    void acknowledge(const std::string& worker, const attempt_id& attempt);
    /// Withdraws the starts that were never sent, and turns those that may
    /// have arrived into stops.
    std::vector<attempt_news> withdraw_starts();

    /// Sends what is due; nothing goes out after `acts_until`, and no start
    /// unless `may_start`.
    void send_due(time_point now, time_point acts_until, bool may_start);
    /// True when the result answers a sync of this shard.
    bool awaits(const worker_result& result) const;
    std::vector<attempt_news> on_result(time_point now,
                                        const worker_result& result);
    /// Expires leases of workers that do not answer.
    std::vector<attempt_news> on_tick(time_point now);

    std::size_t worker_count() const
    {
        return workers_.size();
    }

    /// Highest epoch that a worker reported; above the own epoch another
    /// host has taken over.
    std::uint64_t highest_epoch_seen() const
    {
        return highest_epoch_seen_;
    }

private:
    /// Failures in a row of the tasks of one worker.
    struct quarantine_record
    {
        std::uint32_t failures = 0;
        std::set<std::string> jobs;
        duration length{0}; ///< Of the latest quarantine, zero when none.
        std::optional<time_point> until;
        bool on_trial = false; ///< One task at a time until one succeeds.
    };
    struct worker_record
    {
        host_entry host;
        resources capacity;
        bool answered = false; ///< In this epoch.
        bool leaving = false;
        /// Set when the address changed: until then the process at the old
        /// address may run attempts that the new one does not report.
        time_point reserved_until;
        std::map<attempt_id, attempt_record> attempts;
        std::vector<start_task> starts; ///< Not yet sent.
        std::vector<stop_task> stops;
        std::vector<attempt_id> acks;
        std::vector<start_task> sent_starts; ///< In the sync in flight.
        std::vector<stop_task> sent_stops;
        std::vector<attempt_id> sent_acks;
        /// Results that were passed on and that the worker still keeps.
        std::set<attempt_id> results;
        quarantine_record quarantine;
        std::optional<std::uint64_t> in_flight;
        time_point next_sync;
        time_point retry_at; ///< No sync before it, after one that failed.
        /// Latest token of the worker and when it arrived here. A lease
        /// counts from the issue of the token, which was before that.
        std::uint64_t token = 0;
        time_point token_at;
        time_point lease_over; ///< Everything granted has ended by then.
    };

    resources granted(const worker_record& worker) const;
    /// When a sync should look for the end of a task of the worker.
    static time_point next_probe(time_point now, const worker_record& worker);
    void reindex(const worker_record& worker);
    void sync(time_point now, time_point acts_until, bool may_start,
              worker_record& worker);
    void on_answer(time_point now, worker_record& worker,
                   const sync_reply& reply, std::vector<attempt_news>& news);
    void on_no_answer(time_point now, worker_record& worker,
                      send_status status);
    void requeue(worker_record& worker);
    void take_finished(time_point now, worker_record& worker,
                       const sync_reply& reply,
                       std::vector<attempt_news>& news);
    void count_outcome(time_point now, worker_record& worker,
                       const finished_task& finished);
    void expire(const std::string& name, worker_record& worker,
                std::vector<attempt_news>& news);
    void take_running(time_point now, worker_record& worker,
                      const sync_reply& reply, std::vector<attempt_news>& news);
    void take_refused(worker_record& worker, const sync_reply& reply,
                      std::vector<attempt_news>& news);

    core_context& context_;
    placement_index index_;
    std::uint64_t epoch_ = 0;
    bool listed_ = false; ///< The host list was seen in this epoch.
    time_point epoch_began_;
    std::uint64_t highest_epoch_seen_ = 0;
    std::map<std::string, worker_record> workers_;
    /// Workers of the data centre by the time of the latest list that had
    /// them, kept over a change of epoch.
    std::map<std::string, time_point> last_listed_;
};

} // namespace carobcourse
