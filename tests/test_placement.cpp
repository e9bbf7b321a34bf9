#include <catch2/catch.hpp>
#include <random>

#include "policy_p.hpp"

using namespace carobcourse;

namespace
{

worker_capacity make_worker(int number, int workers_per_rack,
                            const resources& total)
{
    return {"w" + std::to_string(number),
            "r" + std::to_string(number / workers_per_rack), total, total};
}

/// Reference for best_fit: scans all workers with room for the one with the
/// fewest free accelerators, then the least free CPU and memory.
worker_handle scan_best_fit(const placement_index& index, std::size_t workers,
                            const resources& amount)
{
    worker_handle best = no_worker;
    const auto sort_key = [&index](worker_handle h)
    {
        const auto& f = index.free(h);
        return std::make_tuple(f.accelerators, f.cpu_millis, f.memory_mb, h);
    };
    for (worker_handle h = 0; h < workers; ++h)
    {
        if (!index.contains(h) || !amount.fits_in(index.free(h)))
            continue;
        if (best == no_worker || sort_key(h) < sort_key(best))
            best = h;
    }
    return best;
}

} // namespace

TEST_CASE("best_fit returns the same worker as a full scan")
{
    // Guards against a tree that loses a worker or keeps an outdated maximum
    // after free amounts change and workers are removed and added again.
    std::mt19937_64 random(42);
    placement_index index;
    const std::size_t workers = 200;
    const resources total{32000, 131072, 4};
    for (int i = 0; i < static_cast<int>(workers); ++i)
        index.update(make_worker(i, 6, total));
    const auto random_below = [&random](std::int64_t n) {
        return static_cast<std::int64_t>(random() %
                                         static_cast<std::uint64_t>(n));
    };
    for (int step = 0; step < 20000; ++step)
    {
        const auto h = static_cast<worker_handle>(random() % workers);
        if (random() % 50 == 0)
        {
            const auto name = index.name(h);
            const auto rack = index.rack_name(index.rack(h));
            index.remove(name);
            CHECK_FALSE(index.contains(h));
            REQUIRE(index.update({name, rack, total, total}) == h);
        }
        index.set_free(h, {random_below(33) * 1000, random_below(129) * 1024,
                           random_below(5)});
        const resources amount{random_below(33) * 1000,
                               random_below(129) * 1024, random_below(5)};
        REQUIRE(index.best_fit(amount) ==
                scan_best_fit(index, workers, amount));
    }
    resources sum;
    for (worker_handle h = 0; h < workers; ++h)
        sum += index.free(h);
    CHECK(sum == index.free_capacity());
    CHECK(index.total_capacity() == total * 200);
}

TEST_CASE("every rack gets one task of a service before any gets a second")
{
    // Guards against a service with most of its tasks in one rack, where one
    // rack failure ends them.
    placement_index index;
    const resources total{32000, 131072, 0};
    for (int i = 0; i < 60; ++i)
        index.update(make_worker(i, 6, total));
    placement_request request;
    request.amount = {1000, 1024, 0};
    for (int task = 0; task < 30; ++task)
    {
        const auto chosen =
            policy_for(job_kind::service).choose(index, request);
        REQUIRE(chosen.size() == 1);
        const auto worker = chosen.front().worker;
        CHECK(std::string(chosen.front().reason).find("spread") == 0);
        index.set_free(worker, index.free(worker) - request.amount);
        ++request.tasks_per_rack[index.rack(worker)];
    }
    CHECK(request.tasks_per_rack.size() == 10);
    for (const auto& [rack, count] : request.tasks_per_rack)
        CHECK(count == 3);
}

TEST_CASE("a gang is placed whole or not at all, and a trial leaves no trace")
{
    // Guards against a gang of which a part holds capacity while the rest
    // waits, and against a trial placement that changes the index.
    placement_index index;
    for (int i = 0; i < 4; ++i)
        index.update(make_worker(i, 2, {4000, 8192, 0}));
    index.take_freed_workers();
    placement_request request;
    request.amount = {1500, 1024, 0};
    // Two tasks fit on each worker; the sum of the free capacity holds ten.
    request.task_count = 9;
    const auto free = index.free_capacity();
    CHECK(policy_for(job_kind::gang).choose(index, request).empty());
    CHECK(index.free_capacity() == free);
    CHECK(index.take_freed_workers().empty());
    request.task_count = 8;
    const auto chosen = policy_for(job_kind::gang).choose(index, request);
    REQUIRE(chosen.size() == 8);
    CHECK(index.free_capacity() == free);
    std::map<worker_handle, int> per_worker;
    for (const auto& placed : chosen)
        ++per_worker[placed.worker];
    CHECK(per_worker.size() == 4);
}

TEST_CASE("a task without accelerators avoids workers with free accelerators")
{
    // Guards against accelerators that no task can use because other tasks
    // occupy the processors of their worker.
    placement_index index;
    index.update(make_worker(0, 1, {2000, 4096, 2}));
    index.update(make_worker(1, 1, {32000, 131072, 0}));
    CHECK(index.name(index.best_fit({1000, 1024, 0})) == "w1");
    CHECK(index.name(index.best_fit({1000, 1024, 1})) == "w0");
    CHECK(index.fits_empty_worker({32000, 131072, 0}));
    CHECK_FALSE(index.fits_empty_worker({32000, 131072, 1}));
}

TEST_CASE("the index matches a full scan while 1200 workers join and leave")
{
    // Guards against leaf splits and merges that break the order or keep an
    // outdated maximum. With the 200 workers of the first test a tree has only
    // one or two leaves.
    std::mt19937_64 random(7);
    placement_index index;
    const std::size_t workers = 1200;
    const resources total{32000, 131072, 1};
    const auto random_below = [&random](std::int64_t n) {
        return static_cast<std::int64_t>(random() %
                                         static_cast<std::uint64_t>(n));
    };
    const auto random_amount = [&random_below]
    {
        return resources{random_below(65) * 500, random_below(129) * 1024,
                         random_below(2)};
    };
    const auto scan_spread_fit = [&](const resources& amount)
    {
        const auto sort_key = [&index](worker_handle h)
        {
            const auto& f = index.free(h);
            return std::make_tuple(-f.accelerators, f.cpu_millis, f.memory_mb,
                                   h);
        };
        worker_handle best = no_worker;
        index.for_each(
            [&](worker_handle h)
            {
                if (amount.fits_in(index.free(h)) &&
                    (best == no_worker || sort_key(h) > sort_key(best)))
                    best = h;
            });
        return best;
    };
    for (int round = 0; round < 4; ++round)
    {
        for (int i = 0; i < static_cast<int>(workers); ++i)
        {
            auto worker = make_worker(i, 6, total);
            worker.free = random_amount();
            index.update(worker);
            const auto amount = random_amount();
            REQUIRE(index.best_fit(amount) ==
                    scan_best_fit(index, workers, amount));
        }
        while (index.size() > 5)
        {
            const auto h = static_cast<worker_handle>(random() % workers);
            if (!index.contains(h))
                continue;
            index.remove(index.name(h));
            const auto amount = random_amount();
            REQUIRE(index.best_fit(amount) ==
                    scan_best_fit(index, workers, amount));
            REQUIRE(index.spread_fit(amount, {}) == scan_spread_fit(amount));
        }
    }
}
