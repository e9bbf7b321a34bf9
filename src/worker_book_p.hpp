/// The workers of a shard: leases, granted capacity and running attempts.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <optional>
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
    void begin_epoch(std::uint64_t epoch);

    /// Adds new workers of the list and notes those that are leaving.
    void update_hosts(time_point now, const std::vector<host_entry>& hosts);

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

    /// True when every worker has answered in this epoch, or its lease under
    /// an older epoch is certainly over.
    bool is_recovered(time_point now) const;

    /// Reserves capacity and queues the start. Precondition: the worker is
    /// in the index with room for the amount.
    void start(const std::string& worker, start_task start);
    /// Queues a stop; the attempt stays recorded until the worker reports.
    void stop(const std::string& worker, const attempt_id& attempt,
              bool checkpoint);

    /// Sends what is due; nothing goes out after `acts_until`.
    void send_due(time_point now, time_point acts_until);
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
    struct worker_record
    {
        host_entry host;
        resources capacity;
        bool answered = false; ///< In this epoch.
        bool leaving = false;
        std::map<attempt_id, attempt_record> attempts;
        std::vector<start_task> starts; ///< Not yet sent.
        std::vector<stop_task> stops;
        std::vector<attempt_id> acks;
        std::vector<start_task> sent_starts; ///< In the sync in flight.
        std::vector<stop_task> sent_stops;
        std::vector<attempt_id> sent_acks;
        std::optional<std::uint64_t> in_flight;
        time_point next_sync;
        /// Latest token of the worker and when it arrived here. A lease
        /// counts from the issue of the token, which was before that.
        std::uint64_t token = 0;
        time_point token_at;
        time_point lease_over; ///< Everything granted has ended by then.
    };

    resources granted(const worker_record& worker) const;
    void reindex(const worker_record& worker);
    void sync(time_point now, time_point acts_until, worker_record& worker);
    void on_answer(time_point now, worker_record& worker,
                   const sync_reply& reply, std::vector<attempt_news>& news);
    void on_no_answer(worker_record& worker, send_status status);
    void requeue(worker_record& worker);
    void take_finished(worker_record& worker, const sync_reply& reply,
                       std::vector<attempt_news>& news);
    void take_running(worker_record& worker, const sync_reply& reply,
                      std::vector<attempt_news>& news);
    void take_refused(worker_record& worker, const sync_reply& reply,
                      std::vector<attempt_news>& news);

    core_context& context_;
    placement_index index_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_epoch_seen_ = 0;
    std::map<std::string, worker_record> workers_;
};

} // namespace carobcourse
