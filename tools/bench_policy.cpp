// Waiting time, shares and gangs on a virtual clock, beside plain
// first-come-first-served over the same work.
#include <array>
#include <cmath>
#include <random>

#include "bench_cell_p.hpp"
#include "bench_p.hpp"

namespace carobcourse::bench
{

namespace
{

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr int workers = 50;
constexpr int seconds = 300;
const resources each{32000, 131072, 0};

const char* to_string(order_method how)
{
    return how == order_method::dispatcher ? "dispatcher" : "first come";
}

/// Work of six teams: many batch tasks, some gangs, a few services and urgent
/// tasks. `load` is the wanted part of the cell's processors. `wanted` is the
/// balance of processor-seconds, kept from second to second: the last job of
/// a second is often larger than what is left of it.
void submit_second(cell& hosts, std::mt19937_64& random, double load,
                   int second, int& number, double& wanted)
{
    wanted += load * workers * 32;
    const auto team = [&random]
    {
        // A few large teams: half of the work is the first team's.
        const auto i = random() % 10;
        return "t" + std::to_string(i < 5 ? 0 : i - 4) + ":1";
    };
    const auto run = [&random](int low, int high)
    {
        return duration(std::chrono::milliseconds(
            low + static_cast<int>(random() %
                                   static_cast<std::uint64_t>(high - low))));
    };
    const auto submit = [&](job_kind kind, const resources& amount,
                            std::uint32_t tasks, duration length,
                            bool is_urgent)
    {
        auto job = make_job(team(), kind, amount, tasks, length);
        // Declared run times are up to three times too long.
        job.job.declared_run = length * static_cast<int>(1 + random() % 3);
        if (is_urgent)
            job.job.queued.urgency = job_class::urgent;
        wanted -= static_cast<double>(amount.cpu_millis) / 1000 * tasks *
                  std::chrono::duration<double>(length).count();
        hosts.submit("j" + std::to_string(++number), std::move(job));
    };
    for (int i = 0; i < 2; ++i)
        submit(job_kind::batch, {1000, 2048, 0}, 1, run(1000, 5000), true);
    submit(job_kind::service, {2000, 4096, 0}, 3, run(10000, 40000), false);
    if (second % 5 == 0)
        submit(job_kind::gang, {8000, 16384, 0}, 20, run(2000, 8000), false);
    while (wanted > 0)
    {
        static constexpr std::array<std::int64_t, 5> cores = {500, 1000, 1000,
                                                              2000, 8000};
        const auto cpu = cores.at(random() % cores.size());
        submit(job_kind::batch, {cpu, cpu * 2, 0},
               static_cast<std::uint32_t>(1 + random() % 20), run(1000, 12000),
               false);
    }
}

const char* kind_of(const cell::wait_record& wait)
{
    if (wait.urgency == job_class::urgent)
        return "urgent";
    switch (wait.kind)
    {
    case job_kind::service:
        return "service";
    case job_kind::gang:
        return "gang";
    case job_kind::batch:
        break;
    }
    return "batch";
}

/// The team that sends half of the work. Above 100% load it alone asks for
/// more than its share, so its work has to wait and that of the others not.
const char* const large_team = "t0:1";

void measure_waits(order_method how, double load, std::uint64_t seed,
                   json& waiting, json& work)
{
    std::mt19937_64 random(seed);
    cell hosts(how, workers, each);
    int number = 0;
    double wanted = 0;
    for (int second = 0; second < seconds; ++second)
    {
        submit_second(hosts, random, load, second, number, wanted);
        hosts.run_until(time_point(std::chrono::seconds(second + 1)));
    }
    const auto open = hosts.waiting();
    constexpr double capacity = workers * 32.0 * seconds;
    const double large = hosts.work_done(large_team) / capacity;
    double others = 0;
    for (int i = 1; i < 6; ++i)
        others += hosts.work_done("t" + std::to_string(i) + ":1") / capacity;
    work.push_back({{"method", to_string(how)},
                    {"load", load},
                    {"done", large + others},
                    {"done_large_team", large},
                    {"done_other_teams", others},
                    {"lost_to_preemption", hosts.work_lost() / capacity},
                    {"waiting_at_300s", open},
                    {"preemptions", hosts.preemptions()}});
    // What waits at the end counts too: it runs to its end without new work.
    hosts.run_until(time_point(std::chrono::seconds(seconds * 10)));
    std::map<std::pair<std::string, std::string>, std::vector<double>> groups;
    for (const auto& wait : hosts.waits())
    {
        const auto waited = std::chrono::duration<double>(wait.waited).count();
        groups[{kind_of(wait), "all"}].push_back(waited);
        groups[{kind_of(wait), wait.team == large_team ? "large" : "others"}]
            .push_back(waited);
    }
    for (auto& [group, waits] : groups)
    {
        double sum = 0;
        for (const double waited : waits)
            sum += waited;
        waiting.push_back(
            {{"method", to_string(how)},
             {"load", load},
             {"kind", group.first},
             {"teams", group.second},
             {"starts", waits.size()},
             {"wait_mean_s", sum / static_cast<double>(waits.size())},
             {"wait_p50_s", percentile(waits, 0.5)},
             {"wait_p99_s", percentile(waits, 0.99)},
             {"never_started", hosts.waiting()}});
    }
}

} // namespace

nlohmann::json run_policy(std::uint64_t seed)
{
    json waiting = json::array();
    json work = json::array();
    for (const double load : {0.5, 0.8, 0.95, 1.2})
    {
        for (const auto how :
             {order_method::dispatcher, order_method::first_come})
            measure_waits(how, load, seed, waiting, work);
    }
    return {{"waiting", std::move(waiting)}, {"work", std::move(work)}};
}

} // namespace carobcourse::bench
