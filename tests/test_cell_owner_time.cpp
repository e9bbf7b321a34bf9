// Processor time of the owner alone at the size of a large cell: one real
// host, with fakes of the store, the workers and the other hosts.
#include <cstdlib>
#include <ctime>
#include <deque>

#include "cell_harness.hpp"

using namespace cell_test;
using nlohmann::json;

namespace
{

constexpr std::size_t host_count = 147;
constexpr std::size_t worker_count = 1100;
/// Time that one batch of events covers; each batch has a fixed cost.
milliseconds batch_time()
{
    const char* given = std::getenv("OWNER_TIME_BATCH_MS");
    return milliseconds(given ? std::strtol(given, nullptr, 10) : 5);
}
/// Delay of a message between two hosts, and of a call to a worker.
constexpr auto hop = milliseconds(2);

double thread_ms()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e3 +
           static_cast<double>(spent.tv_nsec) / 1e6;
}

struct light_worker
{
    std::map<run_key, time_point> runs;
    std::deque<end_report> ends;
    std::uint64_t next_end = 1;
    std::uint64_t epoch = 0;
    /// Relay, call and deadline of a poll that waits for news.
    std::optional<std::tuple<std::string, worker_call, time_point>> poll;
};

/// Plays the load of a day against the host `h000`, which owns the cell.
class owner_alone
{
public:
    owner_alone()
    {
        std::vector<queue_config> queues;
        const int priorities[] = {0, 2, 1};
        const advice_cost costs[] = {
            {8.1, 0.12, 1500}, {46, 0.66, 1500}, {400, 5.7, 1500}};
        const double stretches[] = {1.5, 4, 2.2};
        const std::int64_t slacks[] = {250, 3000, 1000};
        for (std::size_t i = 0; i < 3; ++i)
        {
            queue_config queue;
            queue.name = names[i];
            queue.host = "example";
            queue.prefix = std::string("/") + names[i] + "/";
            queue.service = "service";
            queue.priority = priorities[i];
            queue.max_attempts = 4;
            queue.stretch = stretches[i];
            queue.slack_ms = slacks[i];
            queue.advice = costs[i];
            queues.push_back(queue);
        }
        rows_.configs.push_back(std::make_shared<const cell_config>(
            1, queues,
            std::vector<customer_config>{{"big", {"key-big"}, 1000, {}}},
            std::set<std::string>()));
        store_.put(operator_rows_table, "config", "0");
        for (std::size_t i = 0; i < worker_count; ++i)
        {
            const auto id = fmt::format("w{:04}", i);
            workers_[id];
            store_.put(
                worker_rows_table, id,
                json{{"dc", i % 2 ? "a" : "b"}, {"cpu", 32000}, {"mem", 131072}}
                    .dump());
        }
        for (std::size_t i = 1; i < host_count; ++i)
        {
            others_.push_back(fmt::format("h{:03}", i));
            store_.put(cell_table::member, others_.back(),
                       json{{"address", others_.back()},
                            {"data_centre", i % 2 ? "a" : "b"},
                            {"incarnation", "1"}}
                           .dump());
        }
        start_host();
    }

    /// Replaces the owner by a process that knows nothing.
    void start_host()
    {
        ++generation_;
        cell_identity identity;
        identity.host = "h000";
        identity.data_centre = "a";
        identity.incarnation = std::to_string(generation_);
        identity.peer_address = "h000";
        host_ = std::make_unique<cell_host>(identity, 77, entropy_, rows_);
        inbox_.clear();
        peers_.clear();
        for (auto& [id, worker] : workers_)
            worker.poll.reset();
    }

    /// Submits the load at `rate` times its usual rate for `time`.
    void run(milliseconds time, double rate)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (const auto end = now + time; now < end;)
        {
            now += milliseconds(1);
            for (std::size_t i = 0; i < 3; ++i)
                if (chance(random_) < per_second[i] * rate / 1000)
                    submit(i);
            while (!timers_.empty() && timers_.begin()->first <= now)
            {
                const auto action = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                action();
            }
            for (auto& [id, worker] : workers_)
                advance(worker);
            if (now.time_since_epoch() / milliseconds(1) %
                    batch_time_.count() ==
                0)
                handle();
        }
    }

    time_point now = time_point(std::chrono::hours(1));
    bool store_down = false;
    double spent_ms = 0;
    double longest_batch_ms = 0;
    std::size_t starts = 0;
    std::size_t done_jobs = 0;
    std::size_t refused = 0;
    std::map<std::size_t, std::size_t> events;
    std::map<std::string, std::size_t> items;
    std::map<log_code, std::size_t> logged;

    std::size_t unacknowledged() const
    {
        std::size_t ends = 0;
        for (const auto& [id, worker] : workers_)
            ends += worker.ends.size();
        return ends;
    }
    std::size_t running() const
    {
        std::size_t runs = 0;
        for (const auto& [id, worker] : workers_)
            runs += worker.runs.size();
        return runs;
    }
    const cell_owner* owner() const
    {
        return host_->owner();
    }

    /// Changes with each decision of the owner that a worker has seen.
    std::uint64_t decisions = 0;

private:
    static constexpr const char* names[] = {"urgent", "batch", "gang"};
    static constexpr double per_second[] = {114, 11.2, 7.93};

    double draw(double mean, double sigma, double most)
    {
        std::lognormal_distribution<double> distribution(-sigma * sigma / 2,
                                                         sigma);
        return std::min(most, mean * distribution(random_));
    }
    void after(duration delay, std::function<void()> action)
    {
        timers_.emplace(
            now + delay,
            [generation = generation_, this, action = std::move(action)]
            {
                if (generation == generation_)
                    action();
            });
    }
    void submit(std::size_t kind)
    {
        const double tasks[] = {4.5, 50, 48};
        const double cpu[] = {7400, 5200, 9000};
        const double time[] = {1000, 2200, 4000};
        const auto id = fmt::format("{:016x}", ++job_count_);
        job_spec work;
        work.payload = "payload";
        step_spec step;
        step.count = static_cast<std::uint32_t>(
            std::max(1.0, draw(tasks[kind], 0.7, tasks[kind] * 5)));
        step.amount = {static_cast<std::int64_t>(draw(cpu[kind], 0.4, 15000)),
                       100, 0};
        step.gang = kind == 2;
        const auto run_ms =
            static_cast<std::int64_t>(draw(time[kind], 0.5, time[kind] * 2.5));
        step.estimate_ms = std::max<std::int64_t>(
            1, static_cast<std::int64_t>(
                   draw(static_cast<double>(run_ms), 0.5, 1e5)));
        work.steps.push_back(step);
        run_ms_[id] = run_ms;
        send(others_[job_count_ % others_.size()], {{"k", "submit"},
                                                    {"c", job_count_},
                                                    {"id", id},
                                                    {"cu", "big"},
                                                    {"q", names[kind]},
                                                    {"w", to_json(work)}});
    }
    /// Sends an item to the owner with the next message of `host`.
    void send(const std::string& host, json item)
    {
        outbox_[host].push_back(std::move(item));
    }
    void reply(const std::string& relay, const worker_answer& answer)
    {
        after(hop,
              [this, relay, answer] {
                  send(relay, {{"k", "reply"}, {"v", to_json(answer)}});
              });
    }

    void handle()
    {
        for (auto& [host, list] : std::exchange(outbox_, {}))
        {
            peer_received message;
            message.from = host;
            message.type = "cell";
            json::to_cbor(list, message.payload);
            if (peers_.count(host))
                inbox_.emplace_back(std::move(message));
        }
        if (now.time_since_epoch() / milliseconds(1) % 20 == 0)
        {
            inbox_.emplace_back(wall_clock{
                1700000000000 + now.time_since_epoch() / milliseconds(1)});
            inbox_.emplace_back(timer_tick{});
        }
        if (inbox_.empty())
            return;
        const auto batch = std::exchange(inbox_, {});
        for (const auto& event : batch)
            ++events[event.index()];
        const auto before = thread_ms();
        const auto out = host_->handle(now, batch);
        const auto spent = thread_ms() - before;
        spent_ms += spent;
        longest_batch_ms = std::max(longest_batch_ms, spent);
        for (const auto& effect : out)
            std::visit([this](const auto& each) { execute(each); }, effect);
    }

    template <class Operation, class Perform>
    void use_store(const Operation& operation, const Perform& perform)
    {
        after(milliseconds(6),
              [this, operation, perform]
              {
                  if (store_down)
                  {
                      store_result result;
                      result.op = operation.op;
                      inbox_.emplace_back(result);
                      return;
                  }
                  inbox_.emplace_back(perform(operation));
              });
    }
    void execute(const store_commit& operation)
    {
        use_store(operation, [this](const store_commit& each)
                  { return store_.commit(each); });
    }
    void execute(const store_read& operation)
    {
        use_store(operation,
                  [this](const store_read& each) { return store_.read(each); });
    }
    void execute(const store_scan& operation)
    {
        use_store(operation,
                  [this](const store_scan& each) { return store_.scan(each); });
    }
    void execute(const store_watch& operation)
    {
        after(store_.changes(operation).rows.empty() ? milliseconds(500)
                                                     : milliseconds(6),
              [this, operation]
              { inbox_.emplace_back(store_.changes(operation)); });
    }
    void execute(const worker_call& call)
    {
        worker_answer none;
        none.id = call.id;
        after(hop, [this, none] { inbox_.emplace_back(none); });
    }
    void execute(const set_peers& peers)
    {
        for (const auto& peer : peers.peers)
            if (peers_.insert(peer.host).second)
                inbox_.emplace_back(peer_state{peer.host, true});
    }
    void execute(const peer_send& message)
    {
        const auto list = json::from_cbor(message.payload);
        for (const auto& item : list)
        {
            const auto kind = item.at("k").get<std::string>();
            ++items[kind];
            if (kind == "heartbeat")
                send(message.to, {{"k", "ack"}, {"leaving", false}});
            else if (kind == "answer")
                refused += item.at("code") == 0 ? 0 : 1;
            else if (kind == "call")
            {
                auto call = worker_call_from_json(item.at("v"));
                after(hop + hop,
                      [this, relay = message.to, call] { take(relay, call); });
            }
        }
    }
    void execute(const log_record& record)
    {
        ++logged[record.code];
        done_jobs += record.code == log_code::job_ended ? 1 : 0;
    }
    template <class Other>
    void execute(const Other&)
    {
    }

    bool is_allowed(const std::string& job, const std::string& worker,
                    std::size_t cost) const
    {
        return stable_hash(job + worker, 0, 0) % 100 < cost;
    }
    void take(const std::string& relay, const worker_call& call)
    {
        worker_answer answer;
        answer.id = call.id;
        answer.status = command_status::ok;
        if (call.command == worker_command::advise)
        {
            for (const auto& id : call.workers)
                if (is_allowed(call.task.job, id, 50))
                    answer.tickets.push_back(
                        {id, "ticket-of-a-usual-length-" + id});
            after(milliseconds(10),
                  [this, relay, answer] { reply(relay, answer); });
            return;
        }
        auto& worker = workers_.at(call.address);
        answer.clock_ms = now.time_since_epoch() / milliseconds(1);
        answer.incarnation_start_ms = 1;
        const run_key key{call.task, call.run};
        if (call.command == worker_command::start)
        {
            decisions =
                decisions * 31 + stable_hash(call.task.job + call.address,
                                             call.task.index, call.run);
            worker.runs[key] = now + milliseconds(run_ms_.at(call.task.job));
            ++starts;
        }
        else if (call.command == worker_command::stop)
        {
            const auto found = worker.runs.find(key);
            if (found != worker.runs.end())
                found->second = now;
        }
        else
        {
            while (!worker.ends.empty() &&
                   worker.ends.front().number <= call.acked_end)
                worker.ends.pop_front();
            if (call.wait_ms > 0 && worker.ends.empty())
            {
                worker.poll = {relay, call, now + milliseconds(call.wait_ms)};
                return;
            }
            list(worker, answer);
        }
        reply(relay, answer);
    }
    static void list(const light_worker& worker, worker_answer& answer)
    {
        for (const auto& [key, ends_at] : worker.runs)
            answer.running.push_back({key.first, key.second, "", 50, 0});
        answer.ended.assign(worker.ends.begin(), worker.ends.end());
    }
    void advance(light_worker& worker)
    {
        bool has_news = false;
        for (auto it = worker.runs.begin(); it != worker.runs.end();)
        {
            if (now < it->second)
            {
                ++it;
                continue;
            }
            worker.ends.push_back({worker.next_end++, it->first.first,
                                   it->first.second, end_kind::done, ""});
            it = worker.runs.erase(it);
            has_news = true;
        }
        if (!worker.poll || (!has_news && now < std::get<2>(*worker.poll)))
            return;
        const auto [relay, call, until] = *std::exchange(worker.poll, {});
        worker_answer answer;
        answer.id = call.id;
        answer.status = command_status::ok;
        answer.clock_ms = now.time_since_epoch() / milliseconds(1);
        answer.incarnation_start_ms = 1;
        list(worker, answer);
        reply(relay, answer);
    }

    const milliseconds batch_time_ = batch_time();
    fake_row_reader rows_;
    fake_store store_;
    seeded_entropy entropy_{1};
    std::mt19937_64 random_{1};
    std::unique_ptr<cell_host> host_;
    int generation_ = 0;
    std::vector<std::string> others_;
    std::set<std::string> peers_;
    std::map<std::string, light_worker> workers_;
    std::map<std::string, std::int64_t> run_ms_;
    std::multimap<time_point, std::function<void()>> timers_;
    std::map<std::string, json> outbox_;
    std::vector<cell_event> inbox_;
    std::uint64_t job_count_ = 0;
};

void report(const char* phase, owner_alone& cell)
{
    fmt::print("phase={} owner_ms={:.0f} longest_batch_ms={:.1f} starts={} "
               "us_per_start={:.0f} jobs_ended={} jobs={} refused={} "
               "unacknowledged={} running={} decisions={:016x}\n",
               phase, cell.spent_ms, cell.longest_batch_ms, cell.starts,
               1000 * cell.spent_ms /
                   static_cast<double>(std::max<std::size_t>(1, cell.starts)),
               cell.done_jobs, cell.owner() ? cell.owner()->job_count() : 0,
               cell.refused, cell.unacknowledged(), cell.running(),
               cell.decisions);
    for (const auto& [kind, count] : cell.items)
        fmt::print("  sent {}={}\n", kind, count);
    for (const auto& [kind, count] : cell.events)
        fmt::print("  event {}={}\n", kind, count);
    cell.items.clear();
    cell.events.clear();
    cell.spent_ms = cell.longest_batch_ms = 0;
    cell.starts = cell.done_jobs = cell.refused = 0;
}

} // namespace

TEST_CASE("Owner's time by phase of a large cell", "[.figures]")
{
    owner_alone cell;
    cell.run(milliseconds(1500), 0);
    REQUIRE(cell.owner());
    report("start", cell);
    cell.run(milliseconds(4000), 1);
    report("ramp", cell);
    cell.run(milliseconds(2000), 1);
    report("steady", cell);
    CHECK(cell.owner()->job_count() > 0);
    cell.run(milliseconds(2000), 2);
    report("overload", cell);
    // Nothing is committed for a time, so that ends are not acknowledged, and
    // then another host owns the cell.
    cell.store_down = true;
    cell.run(milliseconds(3000), 0.5);
    report("store_down", cell);
    cell.store_down = false;
    cell.start_host();
    cell.run(milliseconds(2500), 1);
    report("takeover", cell);
    CHECK(cell.owner());
}
