/// Runs several decision cores on a virtual clock against small fakes at
/// their interfaces, with faults. The same seed gives the same run.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry_host_p.hpp"
#include "peer_codec_p.hpp"
#include "standin_p.hpp"

namespace carobcourse::test
{

using json = nlohmann::json;

constexpr const char* operator_key = "test-operator-key";

class seeded_entropy final : public entropy_source
{
public:
    explicit seeded_entropy(std::uint64_t seed) : engine_(seed) {}
    std::string hex(std::size_t bytes) override
    {
        std::string out;
        for (std::size_t i = 0; i < bytes; ++i)
            out += fmt::format("{:02x}", engine_() & 0xff);
        return out;
    }

private:
    std::mt19937_64 engine_;
};

/// Body of a commit as the table service takes it.
inline json commit_body(const store_commit& commit)
{
    json ops = json::array();
    for (const auto& write : commit.writes)
    {
        json op{{"table", write.table}, {"key", write.key}};
        if (write.expect)
            op["expect"] = *write.expect;
        op["value"] = write.value ? json(*write.value) : json();
        ops.push_back(op);
    }
    return json{{"ops", ops}};
}

/// What the answer of the table service says of a commit.
inline store_result commit_result(const op_id& op,
                                  const standin::response& answer)
{
    store_result result;
    result.op = op;
    result.status =
        answer.status == 200 ? store_status::ok : store_status::conflict;
    if (answer.status == 200)
        result.versions =
            answer.body["versions"].get<std::vector<std::uint64_t>>();
    else
        result.conflict_index = answer.body["conflict"];
    return result;
}

/// Rows of the answer of the table service to a read or a scan.
inline store_result read_result(const op_id& op,
                                const standin::response& answer)
{
    store_result result;
    result.op = op;
    result.status = store_status::ok;
    const auto add = [&](const json& item)
    {
        result.rows.push_back(
            {item.at("key"), item.at("version"), item.at("value")});
    };
    if (answer.body.contains("row"))
        add(answer.body["row"]);
    if (answer.body.contains("rows"))
    {
        for (const auto& item : answer.body["rows"])
            add(item);
    }
    return result;
}

/// How the table service behaves at present.
struct store_fault
{
    bool down = false;           ///< Nothing gets through.
    bool refuses = false;        ///< Answers "unavailable"; nothing written.
    int lose_replies = 0;        ///< So many writes take effect unanswered.
    duration extra_delay{0};     ///< Of each operation.
    double lose_probability = 0; ///< Of a reply to a write.
    /// A larger commit has no effect and is answered with `too_large`.
    std::size_t max_commit_bytes = std::size_t{1024} * 1024;
    store_status too_large = store_status::unavailable;
};

/// How the way to one worker behaves at present.
struct worker_fault
{
    bool cut = false;     ///< Messages vanish.
    int lose_replies = 0; ///< So many messages arrive unanswered.
    int deliver_late = 0; ///< So many messages arrive after `late_by`.
    duration late_by{std::chrono::seconds(20)};
};

/// One execution at a fake backend server.
struct execution
{
    time_point at;
    std::string executor;
    std::string request;
    std::uint32_t attempt = 0;
    std::string body;
};

/// How a fake backend server behaves at present.
struct executor_fault
{
    bool refuse_connection = false; ///< Certain: nothing arrives.
    int lose_replies = 0;           ///< So many requests run unanswered.
    bool leaving = false;           ///< Says so in its answers.
    std::string answer_as;          ///< Answers with this request id instead.
};

/// One change of the configuration, noted when the table took it.
struct noted_change
{
    time_point at;
    std::string kind;
    std::string name;
    std::string value; ///< Empty when removed.
};

/// How the hosts ask for grants. In a mixed cell their views of its size
/// differ, as around a change of the membership.
enum class peer_mode : std::uint8_t
{
    mesh,
    summaries,
    mixed
};

/// Limit of the full mesh of a host in that mode.
inline std::size_t mesh_limit(peer_mode mode, const std::string& host)
{
    if (mode == peer_mode::mixed)
        return host.back() == '1' ? 4 : 3; // Of four hosts.
    return mode == peer_mode::mesh ? 1000 : 0;
}

class fake_cell
{
public:
    explicit fake_cell(std::uint64_t seed) : random_(seed), seed_(seed)
    {
        // Away from zero, so that "long ago" can be told apart.
        now_ = time_point(std::chrono::hours(1));
    }

    // -------------------------------------------------------------- set-up

    /// Of the hosts added from now on.
    std::uint32_t shards_per_data_centre = 1;

    void add_entry_host(const std::string& id, const std::string& data_centre)
    {
        auto& host = hosts_[id];
        ++host.generation;
        host.data_centre = data_centre;
        host.alive = true;
        host.paused = false;
        host.held.clear();
        host.peers.clear();
        host.entropy = std::make_unique<seeded_entropy>(random_());
        host_identity identity;
        identity.host = id;
        identity.data_centre = data_centre;
        identity.incarnation = host.entropy->hex(8);
        identity.peer_address = id;
        identity.operator_key = operator_key;
        identity.drain_deadline = std::chrono::seconds(30);
        if (full_mesh_hosts)
            identity.full_mesh_hosts = full_mesh_hosts(id);
        identity.shards_per_data_centre = shards_per_data_centre;
        host.core =
            std::make_unique<entry_host>(identity, random_(), *host.entropy);
        list_host(id, host_kind::entry, data_centre, "", {}, {});
        schedule_tick(id, host.generation);
    }

    /// Sets how fast the clock of an entry host or worker runs, 1 being the
    /// rate of the virtual clock. Takes effect from now on without a jump.
    void set_clock_rate(const std::string& id, double rate)
    {
        auto& clock = clocks_[id];
        clock.offset = to_local(id, now_);
        clock.since = now_;
        clock.rate = rate;
    }

    void add_worker(const std::string& id, const std::string& data_centre,
                    const std::string& rack, const resources& capacity)
    {
        workers_.emplace(id, standin::worker(id, capacity));
        list_host(id, host_kind::worker, data_centre, rack, capacity, {});
    }

    void add_executor(const std::string& id, const std::string& data_centre,
                      const std::vector<std::string>& services)
    {
        executors_[id];
        list_host(id, host_kind::executor, data_centre, "", {}, services);
    }

    /// Changes the state of a listed host, seen after the list's lag.
    void set_leaving(const std::string& id)
    {
        at(now_ + list_lag,
           [this, id] { listed_[id].state = host_state::leaving; });
    }

    void unlist(const std::string& id)
    {
        at(now_ + list_lag, [this, id] { listed_.erase(id); });
    }

    /// Takes a host off the list at once, as if it had not been listed yet.
    void hide(const std::string& id)
    {
        listed_.erase(id);
    }

    // -------------------------------------------------------------- faults

    void kill(const std::string& id)
    {
        hosts_.at(id).alive = false;
        ++hosts_.at(id).generation;
        for (auto& [other, host] : hosts_)
            disconnect(other, id);
    }

    /// Stops a host from handling events; they are kept for it.
    void pause(const std::string& id)
    {
        hosts_.at(id).paused = true;
    }

    void resume(const std::string& id)
    {
        auto& host = hosts_.at(id);
        host.paused = false;
        auto held = std::exchange(host.held, {});
        for (auto& what : held)
            deliver(id, host.generation, std::move(what));
    }

    /// Cuts or heals the link between two hosts, both ways.
    void set_cut(const std::string& a, const std::string& b, bool cut)
    {
        if (cut)
        {
            cuts_.insert(std::minmax(a, b));
            disconnect(a, b);
            disconnect(b, a);
        }
        else
        {
            cuts_.erase(std::minmax(a, b));
        }
    }

    /// Links two hosts without waiting for their membership.
    void connect(const std::string& a, const std::string& b)
    {
        hosts_.at(a).peers.insert(b);
        hosts_.at(b).peers.insert(a);
    }

    /// Cuts a host off from the whole platform: table and host list.
    void set_platform_cut(const std::string& host, bool cut)
    {
        hosts_.at(host).platform_cut = cut;
    }

    /// Limit of the full mesh by host; the default when empty.
    std::function<std::size_t(const std::string&)> full_mesh_hosts;
    store_fault store;
    std::map<std::string, worker_fault> worker_faults;
    std::map<std::string, executor_fault> executor_faults;
    duration service_time{std::chrono::milliseconds(20)};
    double lose_peer_message = 0;
    double duplicate_peer_message = 0;
    static constexpr duration list_lag = std::chrono::milliseconds(500);

    // ---------------------------------------------------------------- time

    time_point now() const
    {
        return now_;
    }

    void run_for(duration length)
    {
        const auto end = now_ + length;
        while (!queue_.empty() && queue_.top().at <= end)
        {
            auto next = queue_.top();
            queue_.pop();
            now_ = std::max(now_, next.at);
            next.run();
        }
        now_ = end;
        for (auto& [id, each] : workers_)
            each.advance(to_worker_time(id, now_));
    }

    /// Runs in small steps until `check` is true; false after `most`.
    bool run_until(duration most, const std::function<bool()>& check)
    {
        const auto end = now_ + most;
        while (now_ < end)
        {
            if (check())
                return true;
            run_for(std::chrono::milliseconds(20));
        }
        return check();
    }

    void at(time_point when, std::function<void()> run)
    {
        queue_.push({when, ++order_, std::move(run)});
    }

    /// Every change of the configuration, in order.
    const std::vector<noted_change>& config_log() const
    {
        return config_log_;
    }

    // --------------------------------------------------------------- calls

    /// Makes a call and returns its id; the answer is in `answers`.
    call_id send(const std::string& host, api_call call)
    {
        call.id = ++last_call_;
        const auto id = call.id;
        deliver(host, hosts_.at(host).generation, std::move(call));
        return id;
    }

    call_id send(const std::string& host, const std::string& method,
                 const std::string& path, const std::string& key = {},
                 const std::string& body = {})
    {
        api_call call;
        call.method = method;
        call.path = path;
        call.key = key;
        call.body = body;
        return send(host, std::move(call));
    }

    /// Makes a call and runs until it is answered.
    api_reply call(const std::string& host, const std::string& method,
                   const std::string& path, const std::string& key = {},
                   const std::string& body = {})
    {
        const auto id = send(host, method, path, key, body);
        run_until(std::chrono::seconds(30),
                  [&] { return answers.count(id) > 0; });
        return answers.count(id) ? answers.at(id) : api_reply{};
    }

    /// Puts a team in force and returns a key for it.
    std::string add_team(const std::string& host, const std::string& team,
                         const std::string& more = {},
                         const resources& limit = {1000000, 4000000, 1000})
    {
        const auto text = fmt::format(
            "team = \"{}\"\n[limit]\ncpu_millis = {}\nmemory_mb = {}\n"
            "accelerators = {}\n{}",
            team, limit.cpu_millis, limit.memory_mb, limit.accelerators, more);
        const auto put =
            call(host, "PUT", "/v1/teams/" + team, operator_key, text);
        INFO(put.body);
        REQUIRE(put.http_status == 200);
        run_for(std::chrono::seconds(2));
        const auto given = call(host, "POST", "/v1/keys", operator_key,
                                json{{"team", team}}.dump());
        INFO(given.body);
        REQUIRE(given.http_status == 200);
        run_for(std::chrono::seconds(2));
        return json::parse(given.body)["key"].get<std::string>();
    }

    static std::string error_code(const api_reply& reply)
    {
        const auto body = json::parse(reply.body, nullptr, false);
        return body.is_object() && body.contains("error")
                   ? body["error"]["code"].get<std::string>()
                   : std::string();
    }

    std::map<call_id, api_reply> answers;
    std::vector<execution> executions;
    std::vector<std::pair<std::string, log_record>> logs;
    std::uint64_t store_writes = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t peer_messages = 0;
    /// Counts bytes as encoded by the peer codec. Off by default, as encoding
    /// takes most of the time of a large cell.
    bool measures_peers = false;
    std::uint64_t peer_bytes = 0;
    std::map<std::string, std::uint64_t> peer_bytes_from;
    std::map<std::string, std::uint64_t> peer_bytes_to;
    std::uint64_t worker_syncs = 0; ///< That reached a worker.

    entry_host& core(const std::string& id)
    {
        return *hosts_.at(id).core;
    }
    bool is_alive(const std::string& id) const
    {
        return hosts_.at(id).alive;
    }
    /// True once the planned stop of the host is complete.
    bool is_stopped(const std::string& id) const
    {
        return hosts_.at(id).stopped;
    }
    void request_stop(const std::string& id)
    {
        deliver(id, hosts_.at(id).generation, stop_request{});
    }
    standin::worker& worker(const std::string& id)
    {
        return workers_.at(id);
    }
    standin::table_store& table()
    {
        return table_;
    }

    /// All starts and ends at the workers, in order of time.
    std::vector<json> task_record()
    {
        std::vector<json> all;
        for (auto& [id, each] : workers_)
        {
            each.advance(to_worker_time(id, now_));
            for (auto item : each.record())
            {
                const time_point local(
                    std::chrono::milliseconds(item["at_ms"].get<long>()));
                item["at_ms"] =
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        from_local(id, local).time_since_epoch())
                        .count();
                all.push_back(std::move(item));
            }
        }
        std::stable_sort(all.begin(), all.end(),
                         [](const json& a, const json& b)
                         { return a["at_ms"] < b["at_ms"]; });
        return all;
    }

    /// The record by time. An end comes before a start of the same
    /// millisecond, as the two do not overlap.
    json sorted_task_record()
    {
        auto record = task_record();
        std::stable_sort(record.begin(), record.end(),
                         [](const json& a, const json& b)
                         {
                             return std::make_tuple(a["at_ms"].get<long>(),
                                                    a["what"] == "start") <
                                    std::make_tuple(b["at_ms"].get<long>(),
                                                    b["what"] == "start");
                         });
        return record;
    }

    /// Tasks that ran in two places at once, as printed text.
    std::vector<std::string> overlapping_tasks()
    {
        std::vector<std::string> found;
        std::map<std::string, int> running;
        for (const auto& item : sorted_task_record())
        {
            const auto task =
                fmt::format("{}/{}", item["attempt"]["job"].get<std::string>(),
                            item["attempt"]["index"].get<int>());
            auto& count = running[task];
            count += item["what"] == "start" ? 1 : -1;
            if (count > 1)
                found.push_back(
                    fmt::format("{} at {}", task, item["at_ms"].get<long>()));
        }
        return found;
    }

    std::size_t count_starts(const std::string& job)
    {
        const auto record = task_record();
        return static_cast<std::size_t>(std::count_if(
            record.begin(), record.end(),
            [&](const json& item) {
                return item["what"] == "start" && item["attempt"]["job"] == job;
            }));
    }

private:
    struct scheduled
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const scheduled& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    struct host
    {
        std::unique_ptr<seeded_entropy> entropy;
        std::unique_ptr<entry_host> core;
        std::string data_centre;
        std::uint64_t generation = 0;
        bool alive = false;
        bool paused = false;
        bool stopped = false;
        bool platform_cut = false;
        std::deque<event> held;
        std::set<std::string> peers; ///< Connected to.
        std::set<std::string> wanted_peers;
    };

    struct fake_executor
    {
        std::uint32_t busy = 0;
    };

    /// A clock that was at `offset` at `since` and runs at `rate` after it.
    struct node_clock
    {
        time_point since;
        time_point offset;
        double rate = 1;
    };

    static duration scale(duration length, double by)
    {
        return duration(static_cast<duration::rep>(
            std::llround(static_cast<double>(length.count()) * by)));
    }

    time_point to_local(const std::string& id, time_point t) const
    {
        const auto found = clocks_.find(id);
        if (found == clocks_.end())
            return t;
        const auto& clock = found->second;
        return clock.offset + scale(t - clock.since, clock.rate);
    }

    time_point from_local(const std::string& id, time_point t) const
    {
        const auto found = clocks_.find(id);
        if (found == clocks_.end() || t < found->second.offset)
            return t; // Before the rate was set.
        const auto& clock = found->second;
        return clock.since + scale(t - clock.offset, 1 / clock.rate);
    }

    standin::steady::time_point to_worker_time(const std::string& id,
                                               time_point t) const
    {
        return standin::steady::time_point(
            std::chrono::duration_cast<standin::steady::duration>(
                to_local(id, t).time_since_epoch()));
    }

    void list_host(const std::string& id, host_kind kind,
                   const std::string& data_centre, const std::string& rack,
                   const resources& capacity,
                   const std::vector<std::string>& services)
    {
        host_entry entry;
        entry.id = id;
        entry.kind = kind;
        entry.data_centre = data_centre;
        entry.rack = rack;
        entry.address = id;
        entry.capacity = capacity;
        entry.services = services;
        listed_[id] = entry;
    }

    duration latency()
    {
        std::uniform_int_distribution<int> pick(300, 3000);
        return std::chrono::microseconds(pick(random_));
    }

    bool chance(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(
                                      random_) < probability;
    }

    void schedule_tick(const std::string& id, std::uint64_t generation)
    {
        at(now_ + config::tick_period,
           [this, id, generation]
           {
               auto& host = hosts_.at(id);
               if (!host.alive || host.generation != generation)
                   return;
               if (!host.paused)
                   deliver(id, generation, timer_tick{});
               schedule_tick(id, generation);
           });
    }

    void deliver(const std::string& id, std::uint64_t generation, event what)
    {
        auto& host = hosts_.at(id);
        if (!host.alive || host.generation != generation)
            return;
        if (host.paused)
        {
            host.held.push_back(std::move(what));
            return;
        }
        for (const auto& each : host.core->handle(to_local(id, now_), what))
            std::visit([&](const auto& e) { carry_out(id, e); }, each);
    }

    void deliver_after(duration delay, const std::string& id, event what)
    {
        const auto generation = hosts_.at(id).generation;
        at(now_ + delay, [this, id, generation, what = std::move(what)]
           { deliver(id, generation, what); });
    }

    // ------------------------------------------------------------- effects

    void carry_out(const std::string&, const api_reply& reply)
    {
        INFO("a call is answered once");
        REQUIRE(answers.count(reply.id) == 0);
        answers[reply.id] = reply;
    }

    void carry_out(const std::string& id, const log_record& record)
    {
        logs.emplace_back(id, record);
    }

    void carry_out(const std::string& id, const stop_complete&)
    {
        hosts_.at(id).stopped = true;
        kill(id);
    }

    template <class Operation>
    void store_operation(const std::string& id, const Operation& operation,
                         bool writes,
                         const std::function<store_result()>& effect)
    {
        store_result failed;
        failed.op = operation.op;
        failed.status = store_status::unknown;
        if (store.down || hosts_.at(id).platform_cut)
        {
            // A connection is refused or hangs.
            const bool refused = chance(0.5);
            failed.status =
                refused ? store_status::not_sent : store_status::unknown;
            deliver_after(refused ? latency() : config::store_timeout, id,
                          failed);
            return;
        }
        if (store.refuses)
        {
            failed.status = store_status::unavailable;
            deliver_after(latency(), id, failed);
            return;
        }
        bool lost = writes && chance(store.lose_probability);
        if (writes && store.lose_replies > 0)
        {
            --store.lose_replies;
            lost = true;
        }
        const auto generation = hosts_.at(id).generation;
        const auto arrives = latency() + store.extra_delay;
        at(now_ + arrives,
           [this, id, generation, lost, failed, effect, writes]
           {
               auto result = effect();
               ++(writes ? store_writes : store_reads);
               const auto delay =
                   lost ? duration(config::store_timeout) : latency();
               at(now_ + delay, [this, id, generation, lost, failed, result]
                  { deliver(id, generation, lost ? failed : result); });
           });
    }

    void note_changes(const json& ops)
    {
        for (const auto& op : ops)
        {
            if (op["table"] != "config_log")
                continue;
            const auto change = json::parse(op["value"].get<std::string>());
            config_log_.push_back({now_, change["kind"], change["name"],
                                   change["value"].is_null()
                                       ? std::string()
                                       : change["value"].get<std::string>()});
        }
    }

    void carry_out(const std::string& id, const store_commit& operation)
    {
        store_operation(
            id, operation, true,
            [this, body = commit_body(operation), op = operation.op]
            {
                if (body.dump().size() > store.max_commit_bytes)
                    return store_result{op, store.too_large, 0, {}, {}};
                const auto answer = table_.commit(body);
                if (answer.status == 200)
                    note_changes(body["ops"]);
                return commit_result(op, answer);
            });
    }

    void carry_out(const std::string& id, const store_read& operation)
    {
        store_operation(id, operation, false,
                        [this, operation]
                        {
                            return read_result(
                                operation.op,
                                table_.read(operation.table, operation.key));
                        });
    }

    void carry_out(const std::string& id, const store_scan& operation)
    {
        store_operation(id, operation, false,
                        [this, operation]
                        {
                            return read_result(
                                operation.op,
                                table_.scan(operation.table, operation.prefix,
                                            operation.after, operation.limit));
                        });
    }

    void carry_out(const std::string& id, const list_hosts&)
    {
        host_list_result result;
        result.ok = !store.down && !hosts_.at(id).platform_cut;
        if (result.ok)
        {
            for (const auto& [name, entry] : listed_)
                result.hosts.push_back(entry);
        }
        deliver_after(latency(), id, result);
    }

    void carry_out(const std::string& id, const worker_sync& message)
    {
        worker_result result;
        result.worker = message.worker;
        result.sequence = message.sequence;
        auto& fault = worker_faults[message.worker];
        const auto apply = [this, message]
        {
            auto answer =
                workers_.at(message.worker)
                    .sync(to_worker_time(message.worker, now_), message);
            ++worker_syncs;
            return sync_reply_from_json(answer.body);
        };
        if (fault.deliver_late > 0)
        {
            --fault.deliver_late;
            at(now_ + fault.late_by, [apply] { apply(); });
            deliver_after(config::worker_sync_timeout, id, result);
            return;
        }
        if (fault.cut || workers_.count(message.worker) == 0)
        {
            const bool refused = chance(0.5);
            result.status =
                refused ? send_status::not_sent : send_status::unknown;
            deliver_after(refused ? latency() : config::worker_sync_timeout, id,
                          result);
            return;
        }
        bool lost = false;
        if (fault.lose_replies > 0)
        {
            --fault.lose_replies;
            lost = true;
        }
        const auto generation = hosts_.at(id).generation;
        at(now_ + latency(),
           [this, id, generation, result, apply, lost]() mutable
           {
               result.reply = apply();
               if (!lost)
                   result.status = send_status::answered;
               const auto delay =
                   lost ? duration(config::worker_sync_timeout) : latency();
               at(now_ + delay, [this, id, generation, result]
                  { deliver(id, generation, result); });
           });
    }

    void carry_out(const std::string& id, const execute_request& request)
    {
        execute_result result;
        result.request = request.request;
        result.attempt = request.attempt;
        result.executor = request.executor;
        auto& fault = executor_faults[request.executor];
        if (fault.refuse_connection || executors_.count(request.executor) == 0)
        {
            result.status = send_status::not_sent;
            deliver_after(latency(), id, result);
            return;
        }
        bool lost = false;
        if (fault.lose_replies > 0)
        {
            --fault.lose_replies;
            lost = true;
        }
        const auto generation = hosts_.at(id).generation;
        at(now_ + latency(),
           [this, id, generation, request, result, lost]() mutable
           {
               auto& server = executors_.at(request.executor);
               result.status = send_status::answered;
               result.answered_request = request.request;
               result.answered_attempt = request.attempt;
               if (server.busy >= config::executor_slots)
               {
                   result.http_status = 503;
                   result.body = R"({"error":"no slot"})";
                   result.no_slot = true;
                   deliver_after(latency(), id, result);
                   return;
               }
               ++server.busy;
               executions.push_back({now_, request.executor, request.request,
                                     request.attempt, request.body});
               at(now_ + service_time,
                  [this, id, generation, request, result, lost]() mutable
                  {
                      auto& done = executors_.at(request.executor);
                      --done.busy;
                      const auto& fault = executor_faults[request.executor];
                      result.http_status = 200;
                      result.content_type = "text/plain";
                      result.body = request.body;
                      result.slots_free = config::executor_slots - done.busy;
                      result.leaving = fault.leaving;
                      if (!fault.answer_as.empty())
                          result.answered_request = fault.answer_as;
                      auto delay = latency();
                      if (lost)
                      {
                          result.status = send_status::unknown;
                          delay = std::max(
                              delay, from_local(id, request.deadline) - now_);
                      }
                      at(now_ + delay, [this, id, generation, result]
                         { deliver(id, generation, result); });
                  });
           });
    }

    bool is_linked(const std::string& a, const std::string& b) const
    {
        return cuts_.count(std::minmax(a, b)) == 0;
    }

    void disconnect(const std::string& id, const std::string& peer)
    {
        if (hosts_.count(id) == 0 || hosts_.at(id).peers.erase(peer) == 0)
            return;
        deliver_after(latency(), id, peer_state{peer, false});
        reconnect_later(id, peer);
    }

    void reconnect_later(const std::string& id, const std::string& peer)
    {
        const auto generation = hosts_.at(id).generation;
        at(now_ + std::chrono::milliseconds(500),
           [this, id, peer, generation]
           {
               auto& host = hosts_.at(id);
               if (!host.alive || host.generation != generation ||
                   host.wanted_peers.count(peer) == 0 || host.peers.count(peer))
                   return;
               if (!is_linked(id, peer) || hosts_.count(peer) == 0 ||
                   !hosts_.at(peer).alive)
               {
                   reconnect_later(id, peer);
                   return;
               }
               host.peers.insert(peer);
               deliver(id, generation, peer_state{peer, true});
           });
    }

    void carry_out(const std::string& id, const set_peers& wanted)
    {
        auto& host = hosts_.at(id);
        host.wanted_peers.clear();
        for (const auto& peer : wanted.peers)
        {
            if (peer.host == id)
                continue;
            host.wanted_peers.insert(peer.host);
            if (host.peers.count(peer.host) == 0)
                reconnect_later(id, peer.host);
        }
    }

    void carry_out(const std::string& id, const peer_send& message)
    {
        auto& host = hosts_.at(id);
        if (host.peers.count(message.to) == 0 || !is_linked(id, message.to) ||
            chance(lose_peer_message))
            return;
        ++peer_messages;
        if (measures_peers)
        {
            const auto size =
                encode_peer_frame(message.type, json::parse(message.body))
                    .size();
            peer_bytes += size;
            peer_bytes_from[id] += size;
            peer_bytes_to[message.to] += size;
        }
        const peer_received received{id, message.type, message.body};
        deliver_after(latency(), message.to, received);
        if (chance(duplicate_peer_message))
            deliver_after(latency(), message.to, received);
    }

    std::mt19937_64 random_;
    std::uint64_t seed_;
    time_point now_;
    std::uint64_t order_ = 0;
    call_id last_call_ = 0;
    std::priority_queue<scheduled> queue_;
    std::map<std::string, host> hosts_;
    std::map<std::string, node_clock> clocks_;
    std::map<std::string, host_entry> listed_;
    std::map<std::string, standin::worker> workers_;
    std::map<std::string, fake_executor> executors_;
    std::set<std::pair<std::string, std::string>> cuts_;
    standin::table_store table_;
    std::vector<noted_change> config_log_;
};

} // namespace carobcourse::test
