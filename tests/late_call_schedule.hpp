/// Random schedules of a cell whose workers restart under their ids while calls
/// to them are carried out late, twice or without an answer and while the owner
/// changes.
#pragma once

#include "cell_harness.hpp"

#include <cstdlib>

namespace cell_test
{

/// Which starts a later incarnation of a worker than the one that they were
/// sent to may carry out. It can not refuse them when they are its first calls.
enum class stray_starts
{
    none,
    copies, ///< Second copies, some hundred milliseconds after the first ones.
    late    ///< These, and starts that are carried out seconds late.
};

class random_schedule : public cell_with_owner
{
public:
    random_schedule(std::uint64_t seed, stray_starts strays, bool pauses_hosts)
        : cell_with_owner(3, worker_count), random_(seed), strays_(strays),
          pauses_hosts_(pauses_hosts)
    {
        plan = [this](const cell_task_id&, std::uint32_t)
        {
            const auto time =
                chance(4) ? between(2000, 8000) : between(50, 500);
            return fake_run{time_point(time), end_kind::done, {}};
        };
        for (const auto& [id, worker] : workers)
            disturb_calls(id);
    }
    /// Submits jobs beside disturbances for 15 s, and then runs until all
    /// accepted jobs have ended.
    void play()
    {
        const auto end = now + milliseconds(15000);
        while (now < end)
        {
            submit_jobs();
            if (chance(3))
                disturb_worker();
            if (chance(8))
                disturb_host();
            run(between(100, 300));
        }
        is_calm_ = true;
        run(milliseconds(9000));
        run_until(milliseconds(40000), [this] { return have_ended(); });
    }
    /// Checks that each accepted job has ended.
    unsigned check_ends()
    {
        return check_accepted_jobs_ended(calls_);
    }

private:
    static constexpr unsigned worker_count = 5;

    bool chance(unsigned of)
    {
        return random_() % of == 0;
    }
    milliseconds between(std::int64_t first, std::int64_t last)
    {
        return milliseconds(first + static_cast<std::int64_t>(
                                        random_() % static_cast<std::uint64_t>(
                                                        last - first + 1)));
    }
    bool may_be_late(const worker_call& call) const
    {
        return call.command != worker_command::start ||
               strays_ == stray_starts::late;
    }
    bool may_be_copied(const worker_call& call) const
    {
        return call.command != worker_command::start ||
               strays_ != stray_starts::none;
    }
    bool is_disturbed(const std::string& id) const
    {
        const auto found = disturbed_until_.find(id);
        return !is_calm_ && found != disturbed_until_.end() &&
               now < found->second;
    }
    /// One call of six has each disturbance while the worker is disturbed, and
    /// one of sixty at other times.
    bool is_hit(const std::string& id)
    {
        return !is_calm_ && chance(is_disturbed(id) ? 6 : 60);
    }
    void disturb_calls(const std::string& id)
    {
        auto& worker = workers[id];
        worker.lateness = [this, id](const worker_call& call)
        {
            return may_be_late(call) && is_hit(id) ? between(300, 6000)
                                                   : milliseconds(0);
        };
        worker.copy_delay = [this, id](const worker_call& call)
        {
            return may_be_copied(call) && is_hit(id) ? between(100, 900)
                                                     : milliseconds(0);
        };
        worker.delivery_delay = [this, id](const worker_call&)
        { return is_hit(id) ? between(1, 200) : milliseconds(0); };
        worker.answer_delay = [this, id](const worker_call&)
        { return is_hit(id) ? between(1, 400) : milliseconds(0); };
        worker.drops_answer = [this, id](const worker_call&)
        { return is_hit(id); };
    }
    void submit_jobs()
    {
        for (unsigned i = 0; i < 2; ++i)
        {
            const auto host = "h" + std::to_string(random_() % 3);
            if (!hosts[host].host)
                continue;
            const auto cpu = between(200, 2000).count();
            const auto job = static_cast<unsigned>(calls_.size()) + 1;
            amounts[job_id(job)] = {cpu, 100, 0};
            calls_[job] = submit(
                host, job,
                make_work(static_cast<std::uint32_t>(1 + random_() % 4), cpu));
        }
    }
    /// Restarts a worker or cuts it off, while calls to it are disturbed.
    void disturb_worker()
    {
        const auto id = "w" + std::to_string(random_() % worker_count);
        if (!workers[id].reachable || is_disturbed(id))
            return;
        disturbed_until_[id] = now + between(1000, 4000);
        if (chance(4))
            after(between(0, 1000), [this, id] { cut_off(id); });
        else if (!chance(4))
            after(between(0, 1000), [this, id] { restart(id); });
    }
    void cut_off(const std::string& id)
    {
        auto& worker = workers[id];
        if (!worker.reachable)
            return;
        worker.reachable = false;
        worker.pending_polls.clear();
        after(between(300, 8000), [this, id] { workers[id].reachable = true; });
    }
    void restart(const std::string& id)
    {
        if (!workers[id].reachable)
            return;
        crash_worker(id);
        // Calls on their way to the earlier incarnation are lost.
        workers[id].incarnation_start_ms = 0;
        const auto clock_ms = chance(2)   ? 0
                              : chance(2) ? between(0, 20000).count()
                                          : between(0, 86400000).count();
        after(between(50, 2000),
              [this, id, clock_ms]
              {
                  restart_worker(id, clock_ms);
                  disturb_calls(id);
              });
    }
    /// Kills, pauses or cuts off a host, which is the owner one time of two.
    void disturb_host()
    {
        const auto owned = owner();
        const auto name = !owned.empty() && chance(2)
                              ? owned
                              : "h" + std::to_string(random_() % 3);
        if (!disturbed_hosts_.insert(name).second)
            return;
        const auto time = between(300, 4000);
        auto& slot = hosts[name];
        const auto kind = random_() % 4;
        if (kind == 0)
            kill_host(name);
        else if (kind == 1)
            slot.paused = pauses_hosts_;
        else
            slot.reaches_store = false;
        if (kind == 3)
            for (const auto& [other, each] : hosts)
                cut_links.insert({name, other});
        after(time,
              [this, name, kind]
              {
                  auto& at = hosts[name];
                  if (kind == 0)
                      start_host(name, at.data_centre);
                  at.paused = false;
                  at.reaches_store = true;
                  for (const auto& [other, each] : hosts)
                      cut_links.erase({name, other});
                  disturbed_hosts_.erase(name);
              });
    }
    bool have_ended() const
    {
        std::set<std::string> ended;
        for_each_ended_job([&ended](const std::string& job)
                           { ended.insert(job); });
        return std::all_of(calls_.begin(), calls_.end(),
                           [&](const auto& each)
                           {
                               return code_of(each.second) != result_code::ok ||
                                      ended.count(job_id(each.first)) > 0;
                           });
    }

    std::mt19937_64 random_;
    stray_starts strays_;
    bool pauses_hosts_;
    bool is_calm_ = false;
    std::map<unsigned, call_id> calls_;
    std::map<std::string, time_point> disturbed_until_;
    std::set<std::string> disturbed_hosts_;
};

/// Returns the last seed of a test that begins at seed `first`: the value of
/// the environment variable LATE_CALL_LAST_SEED if it is set.
inline int last_seed(int last)
{
    const char* value = std::getenv("LATE_CALL_LAST_SEED");
    return value ? std::atoi(value) : last;
}

inline void check_schedule(int seed, stray_starts strays,
                           bool pauses_hosts = true)
{
    INFO("seed " << seed);
    random_schedule schedule(static_cast<std::uint64_t>(seed), strays,
                             pauses_hosts);
    schedule.play();
    CHECK(schedule.first_violation() == "none");
    CHECK(schedule.check_ends() > 20);
}

} // namespace cell_test
