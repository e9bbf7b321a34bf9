#include "shell_serve_p.hpp"

#include <array>
#include <carobcourse/config.hpp>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <utility>

#include "bounded_ring_p.hpp"
#include "entry_host_p.hpp"
#include "shell_entropy_p.hpp"
#include "shell_http_server_p.hpp"
#include "shell_input_gate_p.hpp"
#include "shell_log_p.hpp"
#include "shell_peer_link_p.hpp"
#include "shell_platform_p.hpp"
#include "shell_signals_p.hpp"
#include "trace_p.hpp"

namespace carobcourse
{

namespace
{

constexpr std::size_t incarnation_bytes = 8;
constexpr char traced_operator_key[] = "operator";

class system_entropy final : public entropy_source
{
public:
    /// Records what is drawn from now on.
    void record_to(trace_writer& trace)
    {
        trace_ = &trace;
    }

    std::string hex(std::size_t bytes) override
    {
        auto out = random_hex(bytes);
        if (trace_)
            trace_->write_entropy(out);
        return out;
    }

private:
    trace_writer* trace_ = nullptr;
};

/// Time after the planned stop in which calls that are still arriving are
/// refused and messages to peers are sent.
constexpr auto last_answers = std::chrono::milliseconds(200);
/// Time after the planned stop in which answers are written to slow callers.
constexpr auto last_writes = std::chrono::milliseconds(2000);

constexpr auto refusals_period = std::chrono::seconds(1);

class serve_process
{
public:
    serve_process(const settings& settings, const std::string& trace_path)
        : ring_(config::event_ring_capacity),
          sink_([this](event what) { ring_.push_promised(std::move(what)); }),
          table_(settings.table_url, sink_), hosts_(settings.hosts_url, sink_),
          workers_(sink_), executors_(sink_)
    {
        const auto address = parse_address(settings.listen);
        http_server_options options;
        options.address = address->first;
        options.port = address->second;
        auto limits = input_limits_for(0, open_file_limit());
        limits.bytes =
            static_cast<std::size_t>(settings.input_budget_mb) * 1024 * 1024;
        limits.reserved_bytes = limits.bytes / 4;
        input_ = std::make_shared<input_gate>(limits);
        options.input = input_;
        server_ = std::make_unique<http_server>(
            options,
            [this](api_call call) { return ring_.try_push(std::move(call)); },
            [this](call_id id) { ring_.push_promised(call_abandoned{id}); });
        const auto peer_listen = parse_address(settings.peer_listen);
        peers_ = std::make_unique<websocket_peer_link>(
            peer_link_options{settings.host, settings.cluster_secret,
                              peer_listen->first, peer_listen->second},
            peer_entropy_, sink_);
        host_identity identity;
        const auto peer_address =
            fmt::format("{}:{}", peer_listen->first, peers_->port());
        identity.peer_address = peer_address;
        identity.host = settings.host;
        identity.data_centre = settings.data_centre;
        identity.incarnation = entropy_.hex(incarnation_bytes);
        identity.operator_key = settings.operator_key;
        identity.drain_deadline =
            std::chrono::milliseconds(settings.drain_deadline_ms);
        identity.shards_per_data_centre =
            static_cast<std::uint32_t>(settings.shards_per_data_centre);
        const auto seed =
            std::stoull(entropy_.hex(sizeof(std::uint64_t)), nullptr, 16);
        if (!trace_path.empty())
            start_trace(trace_path, identity, seed);
        core_ =
            std::make_unique<entry_host>(std::move(identity), seed, entropy_);
        write_log({log_code::started,
                   fmt::format("{} in {} http={}:{} peer={}", settings.host,
                               settings.data_centre, address->first,
                               server_->port(), peer_address)});
    }

    void run()
    {
        auto next_tick = clock_.now();
        while (!stopped_)
        {
            const auto wait = std::max(duration(0), next_tick - clock_.now());
            for (auto& what : ring_.pop_all(wait))
                handle(what);
            if (clock_.now() < next_tick)
                continue;
            next_tick = clock_.now() + config::tick_period;
            if (signals_.take() != 0)
                handle(stop_request{});
            report_refusals();
            input_->release_memory();
            handle(timer_tick{});
        }
        write_log({log_code::stopped, ""});
        // Answers that were given to the server are still being written, and
        // calls that arrive meanwhile are refused.
        const auto end = clock_.now() + last_answers;
        const auto last = clock_.now() + last_writes;
        for (auto now = clock_.now();
             now < end || (now < last && server_->is_writing());
             now = clock_.now())
        {
            for (auto& what : ring_.pop_all(config::tick_period))
                handle(what);
        }
    }

private:
    void start_trace(const std::string& path, host_identity identity,
                     std::uint64_t seed)
    {
        trace_file_.open(path);
        if (!trace_file_)
            throw std::runtime_error("can not write " + path);
        trace_ = std::make_unique<trace_writer>(trace_file_);
        operator_key_ = identity.operator_key;
        identity.operator_key = traced_operator_key;
        trace_->write_header(identity, seed);
        entropy_.record_to(*trace_);
    }

    /// Writes the event after it was handled, behind the random bytes that
    /// it drew. The operator key does not go into the trace.
    void record(time_point now, event what, const effects& out)
    {
        if (auto* call = std::get_if<api_call>(&what);
            call && call->key == operator_key_)
            call->key = traced_operator_key;
        trace_->write_event(now, what);
        trace_->write_replies(out);
    }

    /// At most once a second, so that a flood of bad input does not flood the
    /// core.
    void report_refusals()
    {
        if (clock_.now() < next_refusals_)
            return;
        next_refusals_ = clock_.now() + refusals_period;
        auto counts = server_->take_refusals();
        if (!counts.empty())
            handle(input_refusals{std::move(counts)});
    }

    void handle(const event& what)
    {
        const auto now = clock_.now();
        const auto out = core_->handle(now, what);
        if (trace_)
            record(now, what, out);
        for (const auto& each : out)
            std::visit([this](const auto& e) { carry_out(e); }, each);
    }

    void carry_out(const api_reply& reply)
    {
        server_->reply(reply);
    }
    void carry_out(const store_commit& operation)
    {
        table_.commit(operation);
    }
    void carry_out(const store_read& operation)
    {
        table_.read(operation);
    }
    void carry_out(const store_scan& operation)
    {
        table_.scan(operation);
    }
    void carry_out(const list_hosts&)
    {
        hosts_.list();
    }
    void carry_out(const worker_sync& message)
    {
        workers_.sync(message);
    }
    void carry_out(const execute_request& request)
    {
        executors_.execute(request);
    }
    void carry_out(const set_peers& peers)
    {
        peers_->set_peers(peers);
    }
    void carry_out(const peer_send& message)
    {
        peers_->send(message);
    }
    void carry_out(const log_record& record)
    {
        write_log(record);
    }
    void carry_out(const stop_complete&)
    {
        stopped_ = true;
    }

    std::ofstream trace_file_;
    std::unique_ptr<trace_writer> trace_;
    std::string operator_key_;
    // First: blocks the signals for all threads.
    blocked_signals signals_{SIGTERM, SIGINT};
    system_entropy entropy_;
    system_entropy peer_entropy_; // Of the links' thread; never traced.
    boot_clock_adapter clock_;
    bounded_ring<event> ring_;
    event_sink sink_;
    std::unique_ptr<entry_host> core_;
    http_table_service table_;
    http_host_list hosts_;
    http_worker_link workers_;
    http_executor_link executors_;
    std::shared_ptr<input_gate> input_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<websocket_peer_link> peers_;
    time_point next_refusals_;
    bool stopped_ = false;
};

} // namespace

int run_entry_host(const settings& settings, const std::string& trace_path)
{
    serve_process process(settings, trace_path);
    process.run();
    return 0;
}

} // namespace carobcourse
