#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "bench_cell_p.hpp"

using namespace carobcourse;
using namespace carobcourse::bench;
using namespace std::chrono_literals;

TEST_CASE("the share of past usage halves in one half-life")
{
    // Guards against past usage that is forgotten at once or never, and against
    // tasks that are counted twice.
    fair_share shares;
    shares.set_capacity({1000, 1000, 0});
    time_point now;
    shares.charge(now, {"j", 0}, "a", {1000, 10, 0});
    shares.charge(now, {"j", 0}, "a", {1000, 10, 0});
    CHECK(shares.share_in_use("a") == Approx(1.0));
    now += 3600s;
    shares.release(now, {"j", 0});
    shares.release(now, {"j", 0});
    CHECK(shares.share_in_use("a") == 0);
    const auto initial_share = shares.weighted_share(now, "a");
    CHECK(initial_share > 0);
    CHECK(shares.weighted_share(now + 60s, "a") == Approx(initial_share / 2));
}

TEST_CASE("waiting tasks that do not fit are not retried without free capacity")
{
    // Guards against passes that try every waiting task, and against retries of
    // a refused size before a worker has enough free capacity for it.
    cell sim(order_method::dispatcher, 4, {32000, 131072, 0});
    sim.submit("fill",
               make_job("a", job_kind::batch, {32000, 1024, 0}, 4, 1000s));
    sim.run_until(time_point(1s));
    sim.submit("burst",
               make_job("b", job_kind::batch, {1000, 1024, 0}, 100000, 10s));
    sim.run_until(time_point(2s));
    const auto before = sim.tries();
    for (int i = 0; i < 1000; ++i)
        sim.run_until(time_point(2s) + std::chrono::milliseconds(i));
    CHECK(sim.tries() == before);
    CHECK(sim.reason("burst").find("CC-1601") == 0);
    // The four workers hold 128 of the tasks at a time.
    sim.run_until(time_point(1001s));
    CHECK(sim.waiting() == 100000 - 128);
}

TEST_CASE("a task that waited past the ageing bound starts before urgent tasks")
{
    // Guards against a team that starves under a flood of urgent tasks.
    cell sim(order_method::dispatcher, 1, {1000, 1024, 0});
    const resources worker_size{1000, 1024, 0};
    auto urgent = make_job("a", job_kind::service, worker_size, 1000, 1s);
    urgent.job.queued.urgency = job_class::urgent;
    sim.submit("urgent", urgent);
    sim.run_until(time_point(1ms));
    sim.submit("normal", make_job("b", job_kind::batch, worker_size, 1, 1s));
    sim.run_until(time_point(59s));
    CHECK_FALSE(std::any_of(sim.waits().begin(), sim.waits().end(),
                            [](const auto& w) { return w.team == "b"; }));
    sim.run_until(time_point(63s));
    CHECK(std::any_of(sim.waits().begin(), sim.waits().end(),
                      [](const auto& w) { return w.team == "b"; }));
}

namespace
{

struct share_deviation
{
    double max_sample = 0;    ///< Of any team in any second.
    double max_team_mean = 0; ///< Mean over all samples, of the worst team.
};

/// Measures the relative deviation of each team's cores in use from its
/// weighted share of the cell. Samples are taken each second, starting 30 s
/// after each change of demand. Every team always has more waiting work than
/// its share.
share_deviation measure_deviation(order_method order, int teams,
                                  std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const int workers = 50;
    const resources worker_size{32000, 131072, 0};
    const double cores = 32.0 * workers;
    cell sim(order, workers, worker_size);
    std::vector<std::string> names;
    double weights = 0;
    for (int i = 0; i < teams; ++i)
    {
        const auto weight = 1 + i % 3;
        weights += weight;
        names.push_back("t" + std::to_string(i) + ":" + std::to_string(weight));
    }
    share_deviation result;
    std::vector<double> sums(names.size());
    int samples = 0;
    int number = 0;
    for (int second = 0; second < 180; ++second)
    {
        for (int i = 0; i < teams; ++i)
        {
            // Demand of each team alternates every 60 s between 1.5 and 6
            // times its share.
            const auto phase = second / 60 + i;
            const double factor = phase % 2 == 0 ? 1.5 : 6.0;
            const double target_cores = cores * (1 + i % 3) / weights;
            const auto tasks = static_cast<std::uint32_t>(
                std::ceil(target_cores * factor / 2));
            const auto run = 2s + std::chrono::milliseconds(random() % 4000);
            sim.submit("j" + std::to_string(++number),
                       make_job(names[static_cast<std::size_t>(i)],
                                job_kind::batch, {500, 2048, 0}, tasks, run));
        }
        sim.run_until(time_point(std::chrono::seconds(second + 1)));
        if (second % 60 < 30)
            continue;
        ++samples;
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            const auto cores_in_use =
                static_cast<double>(sim.in_use(names[i]).cpu_millis) / 1000;
            const auto target_cores =
                cores * (1 + static_cast<double>(i % 3)) / weights;
            const auto relative_error =
                std::abs(cores_in_use / target_cores - 1);
            result.max_sample = std::max(result.max_sample, relative_error);
            sums[i] += relative_error;
        }
    }
    result.max_team_mean =
        *std::max_element(sums.begin(), sums.end()) / samples;
    return result;
}

} // namespace

TEST_CASE("shares of a full cell stay within 5% of their target")
{
    // Guards against an order in which the demand of a team, not its weight,
    // decides its share.
    for (const int teams : {6, 80})
    {
        const auto dispatcher_result =
            measure_deviation(order_method::dispatcher, teams, 7);
        const auto first_come_result =
            measure_deviation(order_method::first_come, teams, 7);
        INFO(teams << " teams: worst sample " << dispatcher_result.max_sample
                   << ", worst team " << dispatcher_result.max_team_mean
                   << "; first come " << first_come_result.max_sample << ", "
                   << first_come_result.max_team_mean);
        CHECK(dispatcher_result.max_team_mean <= 0.05);
        CHECK(dispatcher_result.max_sample <= 0.05);
        CHECK(dispatcher_result.max_team_mean <
              first_come_result.max_team_mean);
    }
}
