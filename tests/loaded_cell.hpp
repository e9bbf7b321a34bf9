/// Replays the peak load of the standard days against all entry hosts of a
/// cell, with fakes of the store, the workers and the advice service: 48
/// workers at 73% utilisation, with bursts.
#pragma once

#include "cell_harness.hpp"

namespace cell_test
{

/// Distribution of the jobs of one queue.
struct job_profile
{
    const char* queue;
    double per_second;
    double mean_tasks;   ///< Mean number of tasks of a job.
    double mean_cpu;     ///< Mean of one task, in thousandths of a core.
    double mean_work_ms; ///< Mean run time of one task.
    bool gang;
    /// A job must end within its run time multiplied by `stretch`, plus
    /// `slack_ms`.
    double stretch;
    std::int64_t slack_ms;
};

inline const job_profile job_profiles[] = {
    {"urgent", 38.5, 2, 2600, 800, false, 1.5, 250},
    {"batch", 6.8, 15, 1800, 2200, false, 4, 3000},
    {"gang", 1.64, 9.6, 9000, 4000, true, 2.2, 1000}};

/// Probability that the advice service allows a worker to run a job of the
/// queue.
inline double allowed_probability(const std::string& queue)
{
    return queue == "urgent" ? 0.7 : queue == "batch" ? 0.45 : 0.25;
}

struct loaded_cell : simulated_cell
{
    explicit loaded_cell(
        std::uint64_t seed, std::size_t worker_count = 48,
        std::vector<job_profile> load = {std::begin(job_profiles),
                                         std::end(job_profiles)},
        std::size_t host_count = 5, std::size_t data_centre_count = 2,
        bool with_advice = true)
        : simulated_cell(host_count, 0, data_centre_count),
          profiles(std::move(load)), host_count(host_count), random(seed)
    {
        std::vector<queue_config> queues;
        int priorities[] = {0, 2, 1};
        const advice_cost advice_costs[] = {
            {8.1, 0.12, 1500}, {46, 0.66, 1500}, {400, 5.7, 1500}};
        for (std::size_t i = 0; i < 3; ++i)
        {
            queue_config queue;
            queue.name = profiles[i].queue;
            queue.host = "example";
            queue.prefix = std::string("/") + profiles[i].queue + "/";
            queue.service = "service";
            queue.priority = priorities[i];
            queue.max_attempts = 4;
            queue.stretch = profiles[i].stretch;
            queue.slack_ms = profiles[i].slack_ms;
            if (with_advice)
                queue.advice = advice_costs[i];
            queues.push_back(queue);
        }
        for (std::size_t i = 0; i < worker_count; ++i)
            add_worker(fmt::format("w{:03}", i),
                       fmt::format("dc{}", i % data_centre_count),
                       {32000, 131072, 0});
        configure(queues, {{"big", {"key-big"}, 1000, {}},
                           {"hot", {"key-hot"}, 8, {}}});
        is_step_advised = [this](const worker_call& call, const std::string& id)
        {
            const auto found = queue_of.find(call.task.job);
            return found == queue_of.end() ||
                   is_allowed(call.task.job, id, found->second);
        };
        queue_of_job = [this](const std::string& job)
        {
            const auto found = queue_of.find(job);
            return found == queue_of.end() ? std::string() : found->second;
        };
        plan = [this](const cell_task_id& task, std::uint32_t)
        {
            return fake_run{time_point(milliseconds(work_ms_of[task.job])),
                            end_kind::done,
                            {}};
        };
        run(milliseconds(2500));
        REQUIRE(!owner().empty());
    }

    /// Draws from a log-normal distribution, limited to `max_value`.
    double draw(double mean, double sigma, double max_value)
    {
        std::lognormal_distribution<double> distribution(-sigma * sigma / 2,
                                                         sigma);
        return std::min(max_value, mean * distribution(random));
    }

    bool is_allowed(const std::string& job, const std::string& worker,
                    const std::string& queue) const
    {
        const auto hash = std::hash<std::string>()(job + worker);
        return static_cast<double>(hash % 1000) <
               allowed_probability(queue) * 1000;
    }
    /// Returns the number of gang members that fit on the allowed workers when
    /// they are idle; at least 1.
    std::uint32_t max_gang_size(const std::string& job,
                                const job_profile& profile,
                                std::int64_t cpu) const
    {
        std::int64_t capacity = 0;
        for (const auto& [id, worker] : workers)
            if (is_allowed(job, id, profile.queue))
                capacity += worker.capacity.cpu_millis / cpu;
        return static_cast<std::uint32_t>(std::max<std::int64_t>(1, capacity));
    }

    void submit_job(const job_profile& profile,
                    const std::string& key = "key-big")
    {
        const auto job_number = ++job_count;
        const auto id = job_id(job_number);
        auto count = static_cast<std::uint32_t>(std::max(
            1.0, draw(profile.mean_tasks, 0.7, profile.mean_tasks * 5)));
        const auto cpu =
            static_cast<std::int64_t>(draw(profile.mean_cpu, 0.4, 15000));
        // A gang that does not fit on its allowed workers when they are idle
        // could never start.
        if (profile.gang)
            count = std::min(count, max_gang_size(id, profile, cpu));
        work_ms_of[id] = static_cast<std::int64_t>(
            draw(profile.mean_work_ms, 0.5, profile.mean_work_ms * 2.5));
        auto work =
            make_work(count, cpu,
                      static_cast<std::int64_t>(
                          draw(static_cast<double>(work_ms_of[id]), 0.5, 1e5)));
        work.steps.front().gang = profile.gang;
        queue_of[id] = profile.queue;
        amounts[id] = {cpu, 100, 0};
        submitted_at[id] = now;
        key_of[id] = key;
        work_of[id] = work;
        calls[id] = submit(entry_host(job_number), job_number, work,
                           profile.queue, key);
    }
    /// Returns the host that takes the call of a job: the hosts that are up
    /// take turns.
    std::string entry_host(unsigned job_number) const
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            auto name = fmt::format("h{}", (job_number + i) % host_count);
            if (hosts.at(name).host)
                return name;
        }
        return fmt::format("h{}", job_number % host_count);
    }

    /// Submits jobs for `seconds`, each profile at its usual rate multiplied by
    /// `factor(profile, second)`. In addition customer `hot`, whose share is 8
    /// jobs per second, sends urgent jobs at `excess_factor` times its share.
    void replay(int seconds,
                const std::function<double(const job_profile&, int)>& factor,
                double excess_factor = 0)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (int ms = 0; ms < seconds * 1000; ms += 5)
        {
            for (const auto& profile : profiles)
                if (chance(random) <
                    profile.per_second * factor(profile, ms / 1000) * 0.005)
                    submit_job(profile);
            // A generator of its own keeps the other jobs the same for each
            // `excess_factor`.
            std::swap(random, excess_random);
            if (excess_factor > 0 && chance(random) < 8 * excess_factor * 0.005)
                submit_job(profiles[0], "key-hot");
            std::swap(random, excess_random);
            run(milliseconds(5));
            record_ended_jobs();
        }
    }
    /// Replays 14 s of load with 2.1 times the urgent jobs for 4 s, and waits
    /// for the objectives of all jobs.
    void replay_urgent_burst(double excess_factor)
    {
        replay(
            14,
            [](const job_profile& profile, int second)
            {
                const bool burst = second >= 5 && second < 9;
                return burst && std::string(profile.queue) == "urgent" ? 2.1
                                                                       : 1.0;
            },
            excess_factor);
        wait_for_objectives();
    }
    /// Runs without new jobs until the longest objective has passed.
    void wait_for_objectives()
    {
        constexpr int longest_s = 25;
        replay(longest_s, [](const job_profile&, int) { return 0.0; });
    }
    void record_ended_jobs()
    {
        for_each_ended_job([this](const std::string& job)
                           { ended_at.emplace(job, now); });
    }
    /// Returns the fraction of jobs of this profile that ended within their
    /// objective. Counts only jobs of the customer that stays within its share,
    /// submitted at `from` or later and before `until`.
    double fraction_in_time(const job_profile& profile,
                            time_point from = time_point::min(),
                            time_point until = time_point::max()) const
    {
        int submitted_jobs = 0;
        int jobs_in_time = 0;
        for (const auto& [id, queue] : queue_of)
        {
            if (queue != profile.queue || key_of.at(id) != "key-big" ||
                submitted_at.at(id) < from || submitted_at.at(id) >= until)
                continue;
            ++submitted_jobs;
            const auto found = ended_at.find(id);
            if (found == ended_at.end())
                continue;
            const auto objective_ms =
                profile.stretch * static_cast<double>(work_ms_of.at(id)) +
                static_cast<double>(profile.slack_ms);
            const auto response_time = std::chrono::duration_cast<milliseconds>(
                found->second - submitted_at.at(id));
            if (static_cast<double>(response_time.count()) <= objective_ms)
                ++jobs_in_time;
        }
        return submitted_jobs == 0
                   ? 1
                   : static_cast<double>(jobs_in_time) / submitted_jobs;
    }

    std::vector<job_profile> profiles;
    std::size_t host_count;
    std::mt19937_64 random;
    std::mt19937_64 excess_random{99};
    unsigned job_count = 0;
    std::map<std::string, std::string> queue_of;
    std::map<std::string, std::string> key_of;
    std::map<std::string, call_id> calls;
    std::map<std::string, std::int64_t> work_ms_of;
    std::map<std::string, job_spec> work_of;
    std::map<std::string, time_point> submitted_at;
    std::map<std::string, time_point> ended_at;
};

} // namespace cell_test
