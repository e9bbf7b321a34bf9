// Delay until the end of a task is recorded, and the worker syncs needed for
// it.
#include "recovery_cell.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

constexpr int worker_count = 8;
constexpr int job_count = 120;
/// Number of probes while their interval doubles from the probe gap to the sync
/// period.
constexpr int max_doubling_probes = 4;

std::int64_t to_ms(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

/// Longest time from a probe to the durable row: the write period, one round
/// trip to the worker and one to the table of at most 6 ms in each direction,
/// and the ticks of the timer.
const std::int64_t max_row_delay_ms = to_ms(config::job_write_period) + 100;

struct completion_stats
{
    std::vector<std::int64_t>
        end_to_row_ms; ///< From the end of a task to its row.
    std::vector<std::int64_t> run_ms;
    double syncs_per_worker_second = 0;
    double starts_per_worker_second = 0;

    std::int64_t quantile(double fraction) const
    {
        auto sorted = end_to_row_ms;
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(
            fraction * static_cast<double>(sorted.size() - 1))];
    }
    std::string summary() const
    {
        return fmt::format("end to durable row p50 {} ms, p99 {} ms, most {} "
                           "ms; {:.2f} syncs/s and {:.2f} starts/s a worker",
                           quantile(0.5), quantile(0.99), quantile(1),
                           syncs_per_worker_second, starts_per_worker_second);
    }
};

/// Runs jobs of one task each that take 0.3 s to 8 s. `declared` maps the
/// actual run time of a task to the declared one; both are in ms.
completion_stats measure(const std::function<int(int)>& declared)
{
    fake_cell cell(501);
    cell.add_entry_host("north-1", "north");
    for (int i = 0; i < worker_count; ++i)
        cell.add_worker(fmt::format("w{}", i), "north", "r", {4000, 16000, 0});
    cell.run_for(3s);
    const auto key = cell.add_team("north-1", "climb-desk");
    std::mt19937_64 random(7);
    completion_stats result;
    std::map<std::string, time_point> finished_at;
    const auto began = cell.now();
    const auto syncs = cell.worker_syncs;
    const auto record_finished = [&]
    {
        for (int i = 0; i < job_count; ++i)
        {
            const auto id = fmt::format("j{}", i);
            if (finished_at.count(id))
                continue;
            const auto row = cell.table().read("jobs", "north.0/" + id);
            if (row.status == 200 &&
                row.body["row"]["value"].get<std::string>().find("succeeded") !=
                    std::string::npos)
                finished_at[id] = cell.now();
        }
        return finished_at.size() == job_count;
    };
    for (int i = 0; i < job_count; ++i)
    {
        const auto run = std::uniform_int_distribution<int>(300, 8000)(random);
        result.run_ms.push_back(run);
        cell.send(
            "north-1", "POST", "/v1/jobs", key,
            json{{"id", fmt::format("j{}", i)},
                 {"run_ms", declared(run)},
                 {"payload", {{"run_ms", run}}},
                 {"resources", {{"cpu_millis", 1000}, {"memory_mb", 100}}}}
                .dump());
        cell.run_until(std::chrono::milliseconds(
                           std::uniform_int_distribution<int>(50, 400)(random)),
                       [&]
                       {
                           record_finished();
                           return false;
                       });
    }
    REQUIRE(cell.run_until(60s, record_finished));
    const auto seconds =
        std::chrono::duration<double>(cell.now() - began).count();
    result.syncs_per_worker_second =
        static_cast<double>(cell.worker_syncs - syncs) / seconds / worker_count;
    result.starts_per_worker_second = job_count / seconds / worker_count;
    std::map<std::string, std::int64_t> ends;
    for (const auto& item : cell.task_record())
    {
        if (item["what"] == "end")
            ends[item["attempt"]["job"]] = item["at_ms"];
    }
    for (int i = 0; i < job_count; ++i)
    {
        const auto id = fmt::format("j{}", i);
        result.end_to_row_ms.push_back(
            to_ms(finished_at.at(id).time_since_epoch()) - ends.at(id));
    }
    return result;
}

/// Returns the syncs of the sync period plus those of each task: one start, one
/// acknowledgement and `probes` probes.
double max_syncs_per_worker_second(const completion_stats& run, int probes)
{
    return 1000.0 / static_cast<double>(to_ms(config::worker_sync_period)) +
           run.starts_per_worker_second * (2 + probes);
}

} // namespace

TEST_CASE(
    "completion: the end of a task of known run time is seen within the probe "
    "gap")
{
    // Guards against results that are reported, and capacity that is freed,
    // only at the next periodic sync.
    const auto exact = measure([](int run) { return run; });
    const auto bound = to_ms(config::worker_probe_gap) + max_row_delay_ms;
    CHECK(exact.quantile(1) <= bound);
    CHECK(exact.syncs_per_worker_second <=
          max_syncs_per_worker_second(exact, 1));
    WARN("declared as it is: " << exact.summary());
    const auto too_long = measure([](int run) { return 3 * run; });
    CHECK(too_long.syncs_per_worker_second <=
          max_syncs_per_worker_second(too_long, 1));
    WARN("declared three times too long: " << too_long.summary());
}

TEST_CASE(
    "completion: the end of a task of unknown run time is seen after at most "
    "its run time")
{
    // Guards against short tasks whose end is seen only at the next periodic
    // sync, and against a sync rate that grows with the run time.
    const auto unknown = measure([](int) { return 0; });
    for (std::size_t i = 0; i < unknown.end_to_row_ms.size(); ++i)
    {
        INFO("ran " << unknown.run_ms[i] << " ms");
        CHECK(unknown.end_to_row_ms[i] <=
              std::min(to_ms(config::worker_sync_period),
                       std::max(to_ms(config::worker_probe_gap),
                                unknown.run_ms[i])) +
                  max_row_delay_ms);
    }
    CHECK(unknown.syncs_per_worker_second <=
          max_syncs_per_worker_second(unknown, max_doubling_probes));
    WARN("not declared: " << unknown.summary());
    const auto too_short = measure([](int run) { return run / 3; });
    CHECK(too_short.syncs_per_worker_second <=
          max_syncs_per_worker_second(too_short, 1 + max_doubling_probes));
    WARN("declared three times too short: " << too_short.summary());
}
