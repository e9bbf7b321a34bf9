#include "shell_cell_p.hpp"

#include <atomic>
#include <carobcourse/config.hpp>
#include <chrono>
#include <csignal>
#include <fmt/format.h>
#include <utility>

#include "bounded_ring_p.hpp"
#include "cell_host_p.hpp"
#include "cell_limits_p.hpp"
#include "http_status_p.hpp"
#include "shell_entropy_p.hpp"
#include "shell_http_server_p.hpp"
#include "shell_input_gate_p.hpp"
#include "shell_log_p.hpp"
#include "shell_peer_link_p.hpp"
#include "shell_platform_p.hpp"
#include "shell_signals_p.hpp"

namespace carobcourse
{

namespace
{

constexpr std::size_t incarnation_bytes = 8;
constexpr auto tick_period = std::chrono::milliseconds(20);
/// Calls for readiness and metrics have no body.
constexpr std::size_t max_probe_body_bytes = std::size_t{4} * 1024;
constexpr auto refusals_period = std::chrono::seconds(1);
/// Time in which answers are written before the process exits.
constexpr auto last_writes = std::chrono::milliseconds(300);

class cell_process
{
public:
    cell_process(cell_process_options options, cell_adapters adapters)
        : options_(std::move(options)), adapters_(std::move(adapters)),
          input_(std::make_shared<input_gate>(options_.input)),
          ring_(config::event_ring_capacity),
          sink_([this](cell_event what)
                { ring_.push_promised(std::move(what)); })
    {
        std::signal(SIGPIPE, SIG_IGN);
        options_.identity.incarnation = entropy_.hex(incarnation_bytes);
        options_.identity.peer_address =
            fmt::format("{}:{}", options_.peer.address, options_.peer.port);
        const auto seed =
            std::stoull(entropy_.hex(sizeof(std::uint64_t)), nullptr, 16);
        core_ = std::make_unique<cell_host>(options_.identity, seed, entropy_,
                                            *adapters_.rows);
        store_ = adapters_.make_store(sink_);
        workers_ = adapters_.make_workers(sink_);
        front_ = std::make_unique<http_server>(
            server_options(options_.front, config::cell_max_body_bytes),
            [this](const api_call& call) { return take_call(call); },
            [this](call_id id) { ring_.push_promised(call_abandoned{id}); });
        ready_server_ = std::make_unique<http_server>(
            server_options(options_.ready, max_probe_body_bytes),
            [this](const api_call& call) { return on_ready_call(call); });
        write_log({log_code::started,
                   fmt::format(
                       "host={} data_centre={} incarnation={} "
                       "front={}:{} ready={}:{} peer={}",
                       options_.identity.host, options_.identity.data_centre,
                       options_.identity.incarnation, options_.front.address,
                       front_->port(), options_.ready.address,
                       ready_server_->port(), options_.identity.peer_address)});
    }

    void run()
    {
        auto next_tick = now();
        while (!stopped_)
        {
            const auto wait = std::max(duration(0), next_tick - now());
            auto events = ring_.pop_all(wait);
            if (now() >= next_tick)
            {
                next_tick = now() + tick_period;
                take_signals(events);
                report_refusals();
                input_->release_memory();
                events.emplace_back(wall_clock{unix_ms()});
                events.emplace_back(timer_tick{});
            }
            if (!events.empty())
                handle(std::move(events));
            if (metrics_asked_.exchange(false))
                publish_metrics();
        }
        write_log({log_code::stopped, options_.identity.host});
        const auto end = now() + last_writes;
        // Calls that were read meanwhile are refused, not dropped.
        while (now() < end)
        {
            auto events = ring_.pop_all(tick_period);
            if (!events.empty())
                handle(std::move(events));
            else if (!front_->is_writing())
                break;
        }
    }

private:
    http_server_options server_options(const listen_address& address,
                                       std::size_t max_body_bytes) const
    {
        http_server_options options;
        options.address = address.address;
        options.port = address.port;
        options.input = input_;
        options.max_body_bytes = max_body_bytes;
        return options;
    }

    time_point now() const
    {
        return clock_.now();
    }

    static std::int64_t unix_ms()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void take_signals(std::vector<cell_event>& events)
    {
        for (auto number = signals_.take(); number != 0;
             number = signals_.take())
        {
            if (number == SIGHUP)
                adapters_.reload();
            else
                events.emplace_back(stop_request{});
        }
    }

    /// Returns false when there is no room for what the call becomes.
    bool take_call(const api_call& call)
    {
        auto request = adapters_.callers->decode(call, now());
        if (request.work && *request.work)
        {
            const auto& work = **request.work;
            request.decoded = input_->hold(
                work.payload.size() + work.steps.size() * sizeof(step_spec));
            if (!request.decoded)
                return false;
        }
        return ring_.try_push(std::move(request));
    }

    /// Readiness for the balancer and metrics for operators.
    bool on_ready_call(const api_call& call)
    {
        if (call.path == "/metrics")
        {
            metrics_asked_ = true;
            const std::lock_guard<std::mutex> lock(metrics_mutex_);
            ready_server_->reply({call.id, http_status::ok,
                                  "text/plain; version=0.0.4", metrics_text_});
            return true;
        }
        const bool is_probe = call.path == "/readiness";
        const auto status = !is_probe ? http_status::not_found
                            : ready_  ? http_status::ok
                                      : http_status::unavailable;
        ready_server_->reply({call.id, status, "application/json", "{}"});
        return true;
    }

    /// Logs each kind of refused input at most once a second.
    void report_refusals()
    {
        if (now() < next_report_)
            return;
        next_report_ = now() + refusals_period;
        auto counts = front_->take_refusals();
        for (const auto& [reason, count] : ready_server_->take_refusals())
            counts[reason] += count;
        for (const auto& [reason, count] : counts)
        {
            refusals_[reason] += count;
            write_log({log_code::cell_input_refused,
                       fmt::format("reason={} count={}", reason, count)});
        }
    }

    void publish_metrics()
    {
        auto text = core_->counters().render();
        for (const auto& [reason, count] : refusals_)
            text += fmt::format(
                "carobcourse_input_refusals_total{{reason=\"{}\"}} {}\n",
                reason, count);
        const std::lock_guard<std::mutex> lock(metrics_mutex_);
        metrics_text_ = std::move(text);
    }

    void handle(std::vector<cell_event> events)
    {
        bool is_first = true;
        for (const auto& part : split_batch(std::move(events)))
        {
            const auto out = core_->handle(now(), part, !is_first);
            is_first = false;
            for (const auto& each : out)
                std::visit([this](const auto& e) { carry_out(e); }, each);
        }
    }

    void carry_out(const caller_answer& answer)
    {
        const auto encoded = adapters_.callers->encode(answer);
        front_->reply(encoded.reply, encoded.headers);
    }
    void carry_out(const store_commit& operation)
    {
        store_->commit(operation);
    }
    void carry_out(const store_read& operation)
    {
        store_->read(operation);
    }
    void carry_out(const store_scan& operation)
    {
        store_->scan(operation);
    }
    void carry_out(const store_watch& operation)
    {
        store_->watch(operation);
    }
    void carry_out(const worker_call& call)
    {
        workers_->call(call);
    }
    void carry_out(const set_link_secret& links)
    {
        if (peers_)
            return;
        peers_ = std::make_unique<websocket_peer_link>(
            peer_link_options{options_.identity.host, links.secret,
                              options_.peer.address, options_.peer.port},
            peer_entropy_, [this](event what) { take_peer_event(what); });
    }
    void carry_out(const set_peers& peers)
    {
        if (peers_)
            peers_->set_peers(peers);
    }
    void carry_out(const peer_send& message)
    {
        if (peers_)
            peers_->send(message);
    }
    void carry_out(const log_record& record)
    {
        write_log(record);
    }
    void carry_out(const readiness& state)
    {
        ready_ = state.ready;
        write_log({log_code::cell_ready_changed,
                   fmt::format("ready={}", state.ready)});
    }
    void carry_out(const stop_complete&)
    {
        stopped_ = true;
    }

    void take_peer_event(event& what)
    {
        if (auto* message = std::get_if<peer_received>(&what))
            ring_.push_promised(std::move(*message));
        else if (auto* state = std::get_if<peer_state>(&what))
            ring_.push_promised(std::move(*state));
        else if (auto* refusals = std::get_if<peer_refusals>(&what))
            ring_.push_promised(std::move(*refusals));
    }

    // First: blocks the signals for all threads.
    blocked_signals signals_{SIGTERM, SIGINT, SIGHUP};
    cell_process_options options_;
    cell_adapters adapters_;
    std::shared_ptr<input_gate> input_;
    std::map<std::string, std::uint64_t> refusals_; ///< By reason.
    time_point next_report_;
    random_bytes entropy_;
    random_bytes peer_entropy_; // Of the links' thread.
    boot_clock_adapter clock_;
    bounded_ring<cell_event> ring_;
    cell_event_sink sink_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> metrics_asked_{false};
    std::mutex metrics_mutex_;
    std::string metrics_text_;
    std::unique_ptr<cell_host> core_;
    std::unique_ptr<watchable_table_service> store_;
    std::unique_ptr<worker_client> workers_;
    std::unique_ptr<http_server> front_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<websocket_peer_link> peers_;
    bool stopped_ = false;
};

} // namespace

int run_cell_process(cell_process_options options, cell_adapters adapters)
{
    cell_process process(std::move(options), std::move(adapters));
    process.run();
    return 0;
}

} // namespace carobcourse
