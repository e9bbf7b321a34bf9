// Tests that no host answers by an older configuration than it may, on fakes.
#include "cell_harness.hpp"

#include <cstdlib>

using namespace cell_test;

namespace
{

/// The platform requires that a change is in force after this time.
constexpr auto change_bound = milliseconds(2000);
/// The platform requires that a withdrawn key does not work after this time.
constexpr auto key_bound = milliseconds(5000);
/// The platform requires that a host which has shown the effect of a version
/// does not answer by an older one after this time.
constexpr auto regression_bound = milliseconds(250);

struct config_cell : cell_with_owner
{
    using cell_with_owner::cell_with_owner;

    std::string other_host(const std::string& than = {})
    {
        const auto excluded = owner();
        for (const auto& [name, slot] : hosts)
            if (name != excluded && name != than)
                return name;
        return {};
    }
    void cut_from_hosts(const std::string& name, bool cut)
    {
        for (const auto& [other, slot] : hosts)
        {
            if (other == name)
                continue;
            if (cut)
                cut_links.insert({name, other});
            else
                cut_links.erase({name, other});
        }
    }
    /// From now on the watches of the host time out; those under way too.
    void silence_watches(const std::string& name)
    {
        hosts[name].watches_silent = true;
        run(milliseconds(1200));
    }
    /// Default queues and one more.
    static std::vector<queue_config> queues_with(const std::string& name)
    {
        auto queues = default_queues();
        auto added = queues.front();
        added.name = name;
        added.prefix = "/" + name + "/";
        queues.push_back(added);
        return queues;
    }
    void add_queue(const std::string& name)
    {
        configure(queues_with(name), default_customers());
    }
    static bool is_for_good(result_code code)
    {
        return code == result_code::not_found ||
               code == result_code::key_missing ||
               code == result_code::key_unknown;
    }
    result_code answer_to(call_id id, milliseconds time = milliseconds(900))
    {
        run_until(time, [&] { return answers.count(id) > 0; });
        return code_of(id);
    }
    result_code submit_and_wait(const std::string& host, unsigned job,
                                const std::string& queue,
                                const std::string& key = "key-big")
    {
        return answer_to(submit(host, job, make_work(1, 100), queue, key));
    }
    bool has_logged(log_code code) const
    {
        return std::any_of(log.begin(), log.end(),
                           [code](const log_record& each)
                           { return each.code == code; });
    }
};

} // namespace

TEST_CASE("A host does not refuse a call for good by a configuration that "
          "nobody confirms")
{
    // Guards against 404 and 401 for routes and keys added while the host was
    // out of touch.
    config_cell cell;
    const auto host = cell.other_host();
    cell.cut_from_hosts(host, true);
    cell.hosts[host].reaches_store = false;
    auto customers = cell.default_customers();
    customers.front().keys.push_back("key-added");
    cell.configure(config_cell::queues_with("added"), customers);
    cell.run(change_bound + milliseconds(100));
    CHECK(cell.submit_and_wait(host, 1, "added") ==
          result_code::configuration_stale);
    CHECK(cell.submit_and_wait(host, 2, "batch", "key-added") ==
          result_code::configuration_stale);
}

TEST_CASE("A host that the store turns away follows the configuration of the "
          "owner")
{
    // Guards against a host without the store that answers by an old version,
    // or refuses what it could serve by the new one.
    config_cell cell;
    const auto host = cell.other_host();
    cell.hosts[host].reaches_store = false;
    auto customers = cell.default_customers();
    customers.front().keys = {"key-new"};
    auto queues = config_cell::queues_with("added");
    queues.front().allows_anonymous = true;
    cell.configure(queues, customers);
    cell.run(change_bound);
    CHECK(cell.submit_and_wait(host, 1, "added", "key-new") == result_code::ok);
    CHECK(cell.submit_and_wait(host, 2, "added", "key-big") ==
          result_code::key_unknown);
    cell.run(milliseconds(10000));
    CHECK(cell.submit_and_wait(host, 3, "batch", "") == result_code::ok);
    CHECK(cell.submit_and_wait(host, 4, "none") == result_code::not_found);
    // Keys need a host that reaches the store itself.
    CHECK(cell.submit_and_wait(host, 5, "added", "key-new") ==
          result_code::configuration_stale);
    CHECK_FALSE(cell.hosts[host].ready);
}

TEST_CASE("A host that has made calls for an owner of a newer version does not "
          "answer by its own older one")
{
    // Guards against a version that seems to come back: workers see its effect
    // through a host that then refuses its routes.
    config_cell cell;
    const auto host = cell.other_host();
    cell.silence_watches(host);
    cell.add_queue("added");
    REQUIRE(cell.run_until(milliseconds(500),
                           [&]
                           {
                               return cell.submit_and_wait(
                                          cell.other_host(host), 1, "added") ==
                                      result_code::ok;
                           }));
    cell.run(regression_bound);
    for (unsigned job = 2; job < 6; ++job)
        CHECK(cell.submit_and_wait(host, job, "added") == result_code::ok);
}

TEST_CASE("A call under a version that the owner does not have yet is held "
          "until it has it")
{
    // Guards against a refusal, or a start by an older version, at an owner
    // whose own watch has failed.
    config_cell cell;
    const auto owner = cell.owner();
    cell.silence_watches(owner);
    cell.add_queue("added");
    cell.run(milliseconds(50));
    CHECK(cell.submit_and_wait(cell.other_host(), 1, "added") ==
          result_code::ok);
    CHECK(cell.owner() == owner);
}

TEST_CASE("A suspended host does not accept a withdrawn key when it wakes")
{
    // Guards against an old configuration that looks confirmed because the host
    // did not run meanwhile.
    config_cell cell;
    const auto host = cell.other_host();
    cell.hosts[host].paused = true;
    auto customers = cell.default_customers();
    customers.front().keys = {"key-new"};
    cell.configure(cell.default_queues(), customers);
    cell.run(key_bound + milliseconds(1000));
    const auto call =
        cell.submit(host, 1, cell.make_work(1, 100), "batch", "key-big");
    cell.hosts[host].paused = false;
    CHECK(cell.answer_to(call) != result_code::ok);
}

TEST_CASE("A read that is behind does not bring a data centre back into use")
{
    // Guards against starts in a data centre that the operator has taken out,
    // after the history of the store was lost.
    config_cell cell;
    const auto before = std::make_shared<fake_store>(cell.store);
    cell.store.put(operator_rows_table, "out/dc0", "");
    cell.run(milliseconds(500));
    cell.store.compact(before);
    cell.run(milliseconds(1500));
    for (unsigned job = 1; job <= 20; ++job)
        cell.submit(cell.owner(), job, cell.make_work(1, 1000));
    cell.run(milliseconds(300));
    for (const auto& [id, worker] : cell.workers)
    {
        INFO("worker " << id);
        const bool is_out = id == "w0" || id == "w2";
        CHECK(worker.runs.empty() == is_out);
    }
    CHECK(cell.has_logged(log_code::cell_read_behind));
}

TEST_CASE("A read that is behind does not bring a worker back that has left")
{
    // Guards against starts on a worker that is no longer listed, or that
    // drains, after the history of the store was lost.
    config_cell cell;
    const auto before = std::make_shared<fake_store>(cell.store);
    cell.store.put(worker_rows_table, "w1", std::nullopt);
    cell.store.put(
        worker_rows_table, "w3",
        nlohmann::json{
            {"dc", "dc1"}, {"cpu", 8000}, {"mem", 16000}, {"draining", true}}
            .dump());
    cell.run(milliseconds(500));
    cell.store.compact(before);
    cell.run(milliseconds(1500));
    for (unsigned job = 1; job <= 20; ++job)
        cell.submit(cell.owner(), job, cell.make_work(1, 1000));
    cell.run(milliseconds(300));
    CHECK(cell.workers["w1"].runs.empty());
    CHECK(cell.workers["w3"].runs.empty());
    CHECK_FALSE(cell.workers["w0"].runs.empty());
}

TEST_CASE("A change between two pages of the operator's table is not missed")
{
    // Guards against a route that is not served until the next change.
    config_cell cell;
    for (unsigned i = 0; i < config::cell_scan_page_rows + 100; ++i)
        cell.store.put(operator_rows_table, fmt::format("out/none{:04}", i),
                       "");
    cell.run(milliseconds(500));
    bool changed = false;
    cell.on_scan = [&](const store_scan& scan)
    {
        if (scan.table != operator_rows_table || scan.after.empty() || changed)
            return;
        changed = true;
        cell.add_queue("added");
    };
    const auto host = cell.other_host();
    cell.kill_host(host);
    cell.start_host(host, cell.hosts[host].data_centre);
    cell.run(change_bound);
    REQUIRE(changed);
    cell.run(milliseconds(1000));
    CHECK(cell.submit_and_wait(host, 1, "added") == result_code::ok);
}

TEST_CASE("A lost history that reads do not reach does not become a flood of "
          "calls")
{
    // Guards against a host that watches and reads in turn, as fast as the
    // store answers, while reads are behind. Each call is billed.
    config_cell cell;
    const auto before = std::make_shared<fake_store>(cell.store);
    cell.store.put(operator_rows_table, "out/none", "");
    cell.run(milliseconds(500));
    cell.store.compact(before);
    const auto count = cell.watch_count;
    constexpr auto time = milliseconds(3000);
    cell.run(time);
    // The list of workers and the table of the operator, each at its interval.
    const auto most = (cell.hosts.size() + 1) *
                      (time / config::cell_min_worker_watch_interval + 2);
    CHECK(cell.watch_count - count <= most);
    cell.store.behind.reset();
    cell.add_queue("added");
    cell.run(change_bound);
    for (const auto& [name, slot] : cell.hosts)
        CHECK(cell.submit_and_wait(name, 1, "added") == result_code::ok);
}

TEST_CASE("A configuration that could not be read is read again")
{
    // Guards against a version that is left out for good because one answer
    // with it was damaged.
    config_cell cell;
    cell.rows.configs.push_back(std::make_shared<const cell_config>(
        cell.rows.configs.size() + 1, config_cell::queues_with("added"),
        cell.default_customers(), std::set<std::string>()));
    cell.store.put(operator_rows_table, "config", "unreadable");
    cell.run(milliseconds(1500));
    const auto host = cell.other_host();
    CHECK(cell.submit_and_wait(host, 1, "batch") == result_code::ok);
    CHECK(cell.hosts[host].host->counters().counter(
              "carobcourse_config_unreadable_total") > 0);
    // The store holds a newer version, which may have the queue.
    cell.run(milliseconds(2000));
    CHECK(cell.submit_and_wait(host, 3, "none") ==
          result_code::configuration_stale);
    cell.store.tables[operator_rows_table]["config"].value =
        std::to_string(cell.rows.configs.size() - 1);
    cell.run(milliseconds(4500));
    CHECK(cell.submit_and_wait(host, 2, "added") == result_code::ok);
    CHECK(cell.submit_and_wait(host, 4, "none") == result_code::not_found);
}

TEST_CASE("An answer to a watch that is behind confirms nothing")
{
    // Guards against 404 for a route that was added while watches were answered
    // from an older state.
    config_cell cell;
    cell.store.behind = std::make_shared<fake_store>(cell.store);
    cell.store.put(operator_rows_table, "out/none", "");
    cell.run(milliseconds(500));
    cell.store.watches_behind = true;
    cell.run(milliseconds(1200));
    cell.add_queue("added");
    cell.run(change_bound);
    for (const auto& [name, slot] : cell.hosts)
        CHECK(cell.submit_and_wait(name, 1, "added") ==
              result_code::configuration_stale);
    CHECK(cell.has_logged(log_code::cell_read_behind));
}

TEST_CASE("A version that is no number does not stop a host")
{
    // Guards against a malformed message after which a host waits for a version
    // that does not exist, and serves nothing.
    config_cell cell;
    const auto host = cell.other_host();
    const nlohmann::json items = {
        {{"k", "config_version"}, {"v", -1}, {"cv", -1}}};
    std::string payload;
    nlohmann::json::to_cbor(items, payload);
    cell.hosts[host].inbox.emplace_back(
        peer_received{cell.owner(), "cell", {}, payload});
    cell.run(milliseconds(50));
    CHECK(cell.submit_and_wait(host, 1, "batch") == result_code::ok);
}

TEST_CASE("A host stays ready while it waits for a newer configuration")
{
    // Guards against hosts that leave the balancer at each change.
    config_cell cell;
    const auto host = cell.other_host();
    cell.silence_watches(host);
    REQUIRE(cell.hosts[host].ready);
    const auto before = cell.hosts[host].readiness_changes;
    cell.add_queue("added");
    cell.run(milliseconds(500));
    CHECK(cell.has_logged(log_code::cell_config_superseded));
    CHECK(cell.hosts[host].readiness_changes == before);
}

namespace
{

/// Random changes of the configuration beside cuts, lost histories, pauses and
/// restarts. Each queue and key exists during one span of time.
class config_schedule
{
public:
    explicit config_schedule(std::uint64_t seed) : random_(seed), cell_(4, 4)
    {
        for (const auto& [name, slot] : cell_.hosts)
            names_.push_back(name);
        change();
    }
    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            act();
            cell_.run(milliseconds(pick(20, 300)));
            judge();
        }
    }
    int refused_for_good = 0;
    int accepted = 0;
    std::set<std::string> faults;

private:
    struct entry
    {
        time_point added_at;
        std::optional<time_point> removed_at;
    };
    struct probe
    {
        std::string host;
        std::uint64_t generation = 0;
        std::string queue;
        std::string key;
        time_point sent_at;
    };

    int pick(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }
    void note(const char* fault)
    {
        faults.insert(fault);
    }
    void change()
    {
        const auto number = ++changes_;
        queues_[fmt::format("queue{}", number)] = {cell_.now, {}};
        keys_[fmt::format("key{}", number)] = {cell_.now, {}};
        if (number > 2)
        {
            queues_[fmt::format("queue{}", number - 2)].removed_at = cell_.now;
            keys_[fmt::format("key{}", number - 2)].removed_at = cell_.now;
        }
        std::vector<queue_config> queues;
        for (const auto& [name, when] : queues_)
        {
            if (when.removed_at)
                continue;
            auto queue = cell_.default_queues().front();
            queue.name = name;
            queue.prefix = "/" + name + "/";
            queues.push_back(queue);
        }
        customer_config customer;
        customer.name = "customer";
        customer.jobs_per_second = 1000;
        for (const auto& [key, when] : keys_)
            if (!when.removed_at)
                customer.keys.push_back(key);
        cell_.configure(queues, {customer});
    }
    void act()
    {
        const auto& name = names_[static_cast<std::size_t>(
            pick(0, static_cast<int>(names_.size()) - 1))];
        auto& slot = cell_.hosts[name];
        switch (pick(0, 15))
        {
        case 0:
        case 1:
        case 2:
            change();
            break;
        case 3:
            note("turned away");
            slot.reaches_store = false;
            break;
        case 4:
            note("silent watch");
            slot.watches_silent = true;
            break;
        case 5:
            note("cut");
            cell_.cut_from_hosts(name, true);
            break;
        case 6:
            note("paused");
            slot.paused = slot.host != nullptr;
            break;
        case 7:
            if (!slot.host)
                break;
            note("killed");
            cell_.kill_host(name);
            break;
        case 8:
            note("lost history");
            cell_.store.compact();
            break;
        case 9:
            note("store down");
            cell_.store_down = true;
            break;
        case 10:
        case 11:
            heal();
            break;
        default:
            send();
            break;
        }
    }
    void heal()
    {
        cell_.store_down = false;
        for (const auto& name : names_)
        {
            auto& slot = cell_.hosts[name];
            slot.reaches_store = true;
            slot.watches_silent = false;
            slot.paused = false;
            cell_.cut_from_hosts(name, false);
            if (!slot.host)
                cell_.start_host(name, slot.data_centre);
        }
    }
    void send()
    {
        for (const auto& name : names_)
        {
            auto& slot = cell_.hosts[name];
            if (!slot.host || slot.paused)
                continue;
            const auto recent = [this](const char* what) {
                return fmt::format("{}{}", what,
                                   std::max(1, changes_ - pick(0, 5)));
            };
            probe probe{name, slot.generation, recent("queue"), recent("key"),
                        cell_.now};
            probes_[cell_.submit(name, ++jobs_, cell_.make_work(1, 10),
                                 probe.queue, probe.key)] = probe;
        }
    }
    static bool in_force(const entry& about, time_point at)
    {
        return at >= about.added_at + change_bound && !about.removed_at;
    }
    static bool gone(const entry& about, time_point at, milliseconds bound)
    {
        return about.removed_at && at > *about.removed_at + bound;
    }
    void judge()
    {
        for (auto it = probes_.begin(); it != probes_.end();)
        {
            const auto answer = cell_.answers.find(it->first);
            if (answer == cell_.answers.end())
            {
                ++it;
                continue;
            }
            judge(it->second, answer->second.code);
            it = probes_.erase(it);
        }
    }
    void judge(const probe& probe, result_code code)
    {
        const auto& queue = queues_.at(probe.queue);
        const auto& key = keys_.at(probe.key);
        INFO("host " << probe.host << " queue " << probe.queue << " key "
                     << probe.key << " code " << to_string(code));
        if (config_cell::is_for_good(code))
        {
            ++refused_for_good;
            CHECK_FALSE((in_force(queue, probe.sent_at) &&
                         in_force(key, probe.sent_at)));
            // A host that has served both does not forget them again.
            const auto seen = served_.find({probe.host, probe.generation});
            if (seen != served_.end() && !queue.removed_at && !key.removed_at)
                CHECK(seen->second < std::max(queue.added_at, key.added_at));
        }
        if (code != result_code::ok)
            return;
        ++accepted;
        CHECK_FALSE(gone(key, probe.sent_at, key_bound));
        CHECK_FALSE(gone(queue, probe.sent_at, key_bound));
        auto& served = served_[{probe.host, probe.generation}];
        served = std::max(served, std::max(queue.added_at, key.added_at));
    }

    std::mt19937_64 random_;
    config_cell cell_;
    std::vector<std::string> names_;
    std::map<std::string, entry> queues_;
    std::map<std::string, entry> keys_;
    std::map<call_id, probe> probes_;
    /// When the newest version was made whose effect a host has shown.
    std::map<std::pair<std::string, std::uint64_t>, time_point> served_;
    int changes_ = 0;
    unsigned jobs_ = 0;
};

} // namespace

TEST_CASE("No host answers by an older configuration than it may, over random "
          "schedules")
{
    // Guards against orders of changes, cuts and restarts that no other case
    // has. More seeds: CAROBCOURSE_CONFIG_SEEDS.
    constexpr int steps = 250;
    const char* more = std::getenv("CAROBCOURSE_CONFIG_SEEDS");
    const auto seeds = more ? std::stoull(more) : 16;
    std::set<std::string> faults;
    int refused = 0;
    int accepted = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        INFO("seed " << seed);
        config_schedule schedule(seed);
        schedule.run(steps);
        refused += schedule.refused_for_good;
        accepted += schedule.accepted;
        faults.insert(schedule.faults.begin(), schedule.faults.end());
    }
    CHECK(refused > 100);
    CHECK(accepted > 100);
    CHECK(faults.size() == 7);
}
