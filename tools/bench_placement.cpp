// Placement at three fleet sizes beside full-scan best fit and random first
// fit.
#include <chrono>
#include <random>
#include <string>

#include "bench_p.hpp"
#include "policy_p.hpp"

namespace carobcourse::bench
{

namespace
{

using json = nlohmann::json;
using wall_clock = std::chrono::steady_clock;

constexpr int per_rack = 8;
const resources worker_total{32000, 131072, 2};

struct held_task
{
    worker_handle worker = no_worker;
    resources amount;
};

/// Task sizes: mostly small, some large, a few with an accelerator.
resources draw_amount(std::mt19937_64& random)
{
    static constexpr std::int64_t cores[] = {250,  250,  500,  500,  500,
                                             1000, 1000, 2000, 4000, 8000};
    const auto cpu = cores[random() % std::size(cores)];
    const auto memory =
        (cpu * static_cast<std::int64_t>(1 + random() % 6) * 1024) / 1000;
    return {cpu, memory, random() % 50 == 0 ? 1 : 0};
}

enum class method : std::uint8_t
{
    indexed,
    indexed_spread,
    full_scan,
    random_first_fit
};

const char* to_string(method how)
{
    switch (how)
    {
    case method::indexed:
        return "indexed best fit";
    case method::indexed_spread:
        return "indexed spread";
    case method::full_scan:
        return "full-scan best fit";
    case method::random_first_fit:
        break;
    }
    return "random first fit";
}

/// A fleet with the free amounts in a plain array for the baselines and in
/// the index for ours.
class fleet
{
public:
    fleet(method how, int workers, std::uint64_t seed)
        : how_(how), random_(seed)
    {
        for (int i = 0; i < workers; ++i)
        {
            const worker_capacity worker{"w" + std::to_string(i),
                                         "r" + std::to_string(i / per_rack),
                                         worker_total, worker_total};
            if (is_indexed())
                index_.update(worker);
            free_.push_back(worker_total);
        }
        index_.take_freed_workers();
        // Racks of a service that already runs; a spread decision has to
        // avoid them.
        for (rack_handle rack = 0; rack < 5; ++rack)
            service_.tasks_per_rack[rack] = 1;
    }

    worker_handle choose(const resources& amount)
    {
        switch (how_)
        {
        case method::indexed:
            return index_.best_fit(amount);
        case method::indexed_spread:
            service_.amount = amount;
            return first(
                policy_for(job_kind::service).choose(index_, service_));
        case method::full_scan:
            return scan(amount);
        case method::random_first_fit:
            break;
        }
        return random_fit(amount);
    }

    void change(worker_handle worker, const resources& by, int sign)
    {
        free_[worker] += by * sign;
        if (is_indexed())
            index_.set_free(worker, free_[worker]);
    }

    worker_handle random_fit(const resources& amount)
    {
        const auto start = random_() % free_.size();
        for (std::size_t i = 0; i < free_.size(); ++i)
        {
            const auto at = (start + i) % free_.size();
            if (amount.fits_in(free_[at]))
                return static_cast<worker_handle>(at);
        }
        return no_worker;
    }

    void drop_news()
    {
        index_.take_freed_workers();
    }

private:
    bool is_indexed() const
    {
        return how_ == method::indexed || how_ == method::indexed_spread;
    }

    static worker_handle first(const std::vector<placement>& chosen)
    {
        return chosen.empty() ? no_worker : chosen.front().worker;
    }

    worker_handle scan(const resources& amount) const
    {
        worker_handle best = no_worker;
        for (worker_handle i = 0; i < free_.size(); ++i)
        {
            if (!amount.fits_in(free_[i]))
                continue;
            if (best == no_worker ||
                free_[i].cpu_millis < free_[best].cpu_millis ||
                (free_[i].cpu_millis == free_[best].cpu_millis &&
                 free_[i].memory_mb < free_[best].memory_mb))
                best = i;
        }
        return best;
    }

    method how_;
    std::mt19937_64 random_;
    placement_index index_;
    std::vector<resources> free_;
    placement_request service_;
};

/// Fills the fleet up to the first refused task and returns the part of the
/// processors in use then.
double packing(method how, int workers, std::uint64_t seed)
{
    fleet cell(how, workers, seed);
    std::mt19937_64 random(seed + 1);
    std::int64_t used = 0;
    for (;;)
    {
        const auto amount = draw_amount(random);
        const auto worker = cell.choose(amount);
        if (worker == no_worker)
            break;
        cell.change(worker, amount, -1);
        used += amount.cpu_millis;
    }
    return static_cast<double>(used) /
           static_cast<double>(worker_total.cpu_millis * workers);
}

/// Fills the fleet with `running` tasks, then ends a random task and places a
/// new one per decision. The time covers the choice and both changes of free
/// capacity.
json churn(method how, int workers, std::size_t running, std::size_t decisions,
           std::uint64_t seed)
{
    const auto memory_before = resident_mb();
    fleet cell(how, workers, seed);
    std::mt19937_64 random(seed + 2);
    // About 25 tasks a worker at the target size: the average task must be
    // below 1.28 cores, so the filling skips the largest ones.
    std::vector<held_task> held;
    held.reserve(running);
    while (held.size() < running)
    {
        auto amount = draw_amount(random);
        if (amount.cpu_millis > 2000)
            amount = {1000, 2048, 0};
        const auto worker = how == method::full_scan ? cell.random_fit(amount)
                                                     : cell.choose(amount);
        if (worker == no_worker)
            break;
        cell.change(worker, amount, -1);
        held.push_back({worker, amount});
    }
    const auto memory = resident_mb() - memory_before;
    std::vector<double> micros;
    micros.reserve(decisions);
    std::size_t refused = 0;
    double total = 0;
    for (std::size_t i = 0; i < decisions; ++i)
    {
        const auto at = random() % held.size();
        const auto ended = held[at];
        const auto amount = draw_amount(random);
        const auto begin = wall_clock::now();
        if (ended.worker != no_worker)
            cell.change(ended.worker, ended.amount, 1);
        const auto worker = cell.choose(amount);
        if (worker != no_worker)
            cell.change(worker, amount, -1);
        const std::chrono::duration<double, std::micro> took =
            wall_clock::now() - begin;
        held[at] = {worker, amount};
        refused += worker == no_worker ? 1 : 0;
        total += took.count();
        micros.push_back(took.count());
        if (i % 1000 == 0)
            cell.drop_news();
    }
    return {{"method", to_string(how)},
            {"workers", workers},
            {"running", held.size()},
            {"decisions", decisions},
            {"refused", refused},
            {"decisions_per_s", static_cast<double>(decisions) * 1e6 / total},
            {"mean_us", total / static_cast<double>(decisions)},
            {"p50_us", percentile(micros, 0.5)},
            {"p99_us", percentile(micros, 0.99)},
            {"memory_mb", memory}};
}

} // namespace

nlohmann::json run_placement(std::uint64_t seed, int only_workers,
                             std::size_t decisions)
{
    struct size
    {
        int workers;
        std::size_t running;
    };
    static constexpr size sizes[] = {
        {50, 1240}, {1120, 27700}, {19000, 470000}};
    json result = {{"decisions", json::array()}, {"packing", json::array()}};
    for (const auto& s : sizes)
    {
        if (only_workers != 0 && s.workers != only_workers)
            continue;
        for (const auto how : {method::indexed, method::indexed_spread,
                               method::full_scan, method::random_first_fit})
        {
            const bool indexed =
                how == method::indexed || how == method::indexed_spread;
            if (only_workers != 0 && !indexed)
                continue;
            const auto count = how == method::full_scan && s.workers > 10000
                                   ? decisions / 10
                                   : decisions;
            result["decisions"].push_back(
                churn(how, s.workers, s.running, count, seed));
        }
    }
    if (only_workers != 0)
        return result;
    for (const int workers : {50, 1120})
    {
        // The mean over several task sequences: the first refused task of one
        // sequence varies by several percent at 50 workers.
        constexpr int sequences = 10;
        for (const auto how :
             {method::indexed, method::full_scan, method::random_first_fit})
        {
            double sum = 0;
            for (int i = 0; i < sequences; ++i)
                sum += packing(how, workers,
                               seed + static_cast<std::uint64_t>(i) * 10);
            result["packing"].push_back({{"method", to_string(how)},
                                         {"workers", workers},
                                         {"sequences", sequences},
                                         {"used", sum / sequences}});
        }
    }
    return result;
}

} // namespace carobcourse::bench
