/// Replays load at its worst against the whole cell on fakes: 48 workers at
/// 73% with bursts, as the standard days have them.
#pragma once

#include "cell_harness.hpp"

namespace cell_test
{

struct kind
{
    const char* queue;
    double per_second;
    double width;   ///< Mean tasks of a job.
    double cpu;     ///< Mean of a task, thousandths of a core.
    double work_ms; ///< Mean of a task.
    bool gang;
    double objective; ///< Times the work, and...
    std::int64_t slack_ms;
};

inline const kind kinds[] = {{"urgent", 38.5, 2, 2600, 800, false, 1.5, 250},
                             {"batch", 6.8, 15, 1800, 2200, false, 4, 3000},
                             {"gang", 1.64, 9.6, 9000, 4000, true, 2.2, 1000}};

/// Advice lets a worker run a step with the kind's probability.
inline double good_share(const std::string& queue)
{
    return queue == "urgent" ? 0.7 : queue == "batch" ? 0.45 : 0.25;
}

struct loaded_cell : simulated_cell
{
    explicit loaded_cell(std::uint64_t seed, std::size_t worker_count = 48)
        : simulated_cell(5, 0), random(seed)
    {
        std::vector<queue_config> queues;
        int priority[] = {0, 2, 1};
        const advice_cost costs[] = {
            {8.1, 0.12, 1500}, {46, 0.66, 1500}, {400, 5.7, 1500}};
        for (std::size_t i = 0; i < 3; ++i)
        {
            queue_config queue;
            queue.name = kinds[i].queue;
            queue.host = "example";
            queue.prefix = std::string("/") + kinds[i].queue + "/";
            queue.service = "service";
            queue.priority = priority[i];
            queue.attempts = 4;
            queue.stretch = kinds[i].objective;
            queue.slack_ms = kinds[i].slack_ms;
            queue.advice = costs[i];
            queues.push_back(queue);
        }
        for (std::size_t i = 0; i < worker_count; ++i)
            add_worker(fmt::format("w{:03}", i), fmt::format("dc{}", i % 2),
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
            return fake_run{time_point(milliseconds(work_of[task.job])),
                            end_kind::done,
                            {}};
        };
        run(milliseconds(2500));
        REQUIRE(!owner().empty());
    }

    double draw(double mean, double spread, double most)
    {
        std::lognormal_distribution<double> shape(-spread * spread / 2, spread);
        return std::min(most, mean * shape(random));
    }

    bool is_allowed(const std::string& job, const std::string& worker,
                    const std::string& queue) const
    {
        const auto draw = std::hash<std::string>()(job + worker);
        return static_cast<double>(draw % 1000) < good_share(queue) * 1000;
    }
    std::uint32_t most_members(const std::string& job, const kind& of,
                               std::int64_t cpu) const
    {
        std::int64_t fits = 0;
        for (const auto& [id, worker] : workers)
            if (is_allowed(job, id, of.queue))
                fits += worker.capacity.cpu_millis / cpu;
        return static_cast<std::uint32_t>(std::max<std::int64_t>(1, fits));
    }

    void submit_one(const kind& of, const std::string& key = "key-big")
    {
        const auto number = ++jobs;
        const auto id = job_id(number);
        auto count = static_cast<std::uint32_t>(
            std::max(1.0, draw(of.width, 0.7, of.width * 5)));
        const auto cpu = static_cast<std::int64_t>(draw(of.cpu, 0.4, 15000));
        // No gang is larger than what its workers hold when they are empty.
        if (of.gang)
            count = std::min(count, most_members(id, of, cpu));
        work_of[id] =
            static_cast<std::int64_t>(draw(of.work_ms, 0.5, of.work_ms * 2.5));
        auto work = make_work(count, cpu,
                              static_cast<std::int64_t>(draw(
                                  static_cast<double>(work_of[id]), 0.5, 1e5)));
        work.steps.front().gang = of.gang;
        queue_of[id] = of.queue;
        amounts[id] = {cpu, 100, 0};
        submitted[id] = now;
        key_of[id] = key;
        calls[id] =
            submit(fmt::format("h{}", number % 5), number, work, of.queue, key);
    }

    /// `factor(kind, second)` times the usual rate; beside it one customer
    /// sends `hot` times the rate of one that may send 8 jobs a second.
    void play(int seconds,
              const std::function<double(const kind&, int)>& factor,
              double hot = 0)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (int ms = 0; ms < seconds * 1000; ms += 5)
        {
            for (const auto& of : kinds)
                if (chance(random) <
                    of.per_second * factor(of, ms / 1000) * 0.005)
                    submit_one(of);
            // From numbers of its own: the other jobs stay the same.
            std::swap(random, hot_random);
            if (hot > 0 && chance(random) < 8 * hot * 0.005)
                submit_one(kinds[0], "key-hot");
            std::swap(random, hot_random);
            run(milliseconds(5));
            note_ends();
        }
    }
    /// 2.1 times the urgent work for 4 s.
    void play_burst(double hot)
    {
        play(
            14,
            [](const kind& of, int second)
            {
                const bool burst = second >= 5 && second < 9;
                return burst && std::string(of.queue) == "urgent" ? 2.1 : 1.0;
            },
            hot);
        play_out();
    }
    /// Until the longest objective has passed.
    void play_out()
    {
        constexpr int longest_s = 25;
        play(longest_s, [](const kind&, int) { return 0.0; });
    }
    void note_ends()
    {
        for (const auto& [id, row] : store.tables[cell_table::ended])
            ended.emplace(id, now);
    }
    /// Share of a kind's jobs that ended within their objective, of those
    /// that customers sent within their share.
    double in_time(const kind& of) const
    {
        int all = 0;
        int good = 0;
        for (const auto& [id, queue] : queue_of)
        {
            if (queue != of.queue || key_of.at(id) != "key-big")
                continue;
            ++all;
            const auto found = ended.find(id);
            if (found == ended.end())
                continue;
            const auto aim =
                of.objective * static_cast<double>(work_of.at(id)) +
                static_cast<double>(of.slack_ms);
            const auto took = std::chrono::duration_cast<milliseconds>(
                found->second - submitted.at(id));
            if (static_cast<double>(took.count()) <= aim)
                ++good;
        }
        return all == 0 ? 1 : static_cast<double>(good) / all;
    }

    std::mt19937_64 random;
    std::mt19937_64 hot_random{99};
    unsigned jobs = 0;
    std::map<std::string, std::string> queue_of;
    std::map<std::string, std::string> key_of;
    std::map<std::string, call_id> calls;
    std::map<std::string, std::int64_t> work_of;
    std::map<std::string, time_point> submitted;
    std::map<std::string, time_point> ended;
};

} // namespace cell_test
