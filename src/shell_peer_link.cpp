#include "shell_peer_link_p.hpp"

#include <algorithm>
#include <atomic>
#include <boost/circular_buffer.hpp>
#include <carobcourse/config.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "peer_codec_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;
using ws_server = websocketpp::server<websocketpp::config::asio>;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;
using handle = websocketpp::connection_hdl;
using error_code = websocketpp::lib::error_code;
namespace close_status = websocketpp::close::status;

constexpr std::size_t nonce_bytes = 16;
constexpr auto refusal_report_period = std::chrono::seconds(1);
constexpr auto drain_retry_period = std::chrono::milliseconds(10);
constexpr auto close_timeout = std::chrono::milliseconds(1000);

long milliseconds_of(std::chrono::milliseconds value)
{
    return static_cast<long>(value.count());
}

/// A connection that a peer opened to this host.
struct incoming
{
    enum class step : std::uint8_t
    {
        expects_hello,
        expects_proof,
        authenticated,
        refused
    };
    step at = step::expects_hello;
    std::string from;
    std::string dialler_nonce;
    std::string acceptor_nonce;
    std::shared_ptr<asio::steady_timer> timeout;
};

/// A connection that this host opens to a peer. Used by the thread only.
struct outgoing
{
    enum class step : std::uint8_t
    {
        waiting,
        connecting,
        expects_challenge,
        expects_welcome,
        ready
    };
    std::string host;
    std::string address;
    step at = step::waiting;
    bool removed = false;
    std::string nonce;
    ws_client::connection_ptr connection;
    std::chrono::milliseconds backoff = config::peer_reconnect_min;
    std::shared_ptr<asio::steady_timer> timer;
};

using outgoing_ptr = std::shared_ptr<outgoing>;

std::size_t size_of(const peer_send& message)
{
    return message.body.size() + message.payload.size();
}

/// Messages to one peer that are not sent yet.
class message_ring
{
public:
    /// Returns false when there are too many, or too large ones.
    bool push(const peer_send& message)
    {
        const auto bytes = bytes_ + size_of(message);
        if (messages_.full() ||
            (!messages_.empty() && bytes > config::peer_ring_bytes))
            return false;
        bytes_ = bytes;
        messages_.push_back(message);
        return true;
    }
    /// Precondition: the ring is not empty.
    peer_send pop()
    {
        auto message = std::move(messages_.front());
        messages_.pop_front();
        bytes_ -= size_of(message);
        return message;
    }
    bool empty() const
    {
        return messages_.empty();
    }
    std::size_t size() const
    {
        return messages_.size();
    }

private:
    boost::circular_buffer<peer_send> messages_{config::peer_ring_capacity};
    std::size_t bytes_ = 0;
};

} // namespace

class websocket_peer_link::implementation
{
public:
    implementation(peer_link_options options, entropy_source& entropy,
                   event_sink sink)
        : options_(std::move(options)), entropy_(entropy),
          sink_(std::move(sink)),
          random_(std::stoull(entropy.hex(sizeof(std::uint64_t)), nullptr, 16)),
          report_timer_(io_), drain_timer_(io_)
    {
        server_.clear_access_channels(websocketpp::log::alevel::all);
        server_.clear_error_channels(websocketpp::log::elevel::all);
        client_.clear_access_channels(websocketpp::log::alevel::all);
        client_.clear_error_channels(websocketpp::log::elevel::all);
        server_.init_asio(&io_);
        client_.init_asio(&io_);
        server_.set_reuse_addr(true);
        server_.set_max_message_size(config::max_peer_handshake_bytes);
        server_.set_open_handshake_timeout(
            milliseconds_of(config::peer_handshake_timeout));
        client_.set_open_handshake_timeout(
            milliseconds_of(config::peer_handshake_timeout));
        server_.set_close_handshake_timeout(milliseconds_of(close_timeout));
        client_.set_close_handshake_timeout(milliseconds_of(close_timeout));
        client_.set_max_message_size(config::max_peer_handshake_bytes);
        server_.set_open_handler([this](const handle& h) { on_open(h); });
        server_.set_message_handler(
            [this](const handle& h, const ws_server::message_ptr& message)
            { on_message(h, message); });
        server_.set_close_handler([this](const handle& h) { on_close(h); });
        server_.set_fail_handler([this](const handle&)
                                 { count("not_websocket"); });
        server_.set_tcp_post_init_handler([this](const handle& h)
                                          { disable_delay(server_, h); });
        client_.set_tcp_post_init_handler([this](const handle& h)
                                          { disable_delay(client_, h); });
        server_.listen(asio::ip::tcp::endpoint(
            asio::ip::make_address(options_.address), options_.port));
        error_code ignored;
        port_ = server_.get_local_endpoint(ignored).port();
        server_.start_accept();
        report_later();
        thread_ = std::thread([this] { run(); });
    }

    ~implementation()
    {
        io_.stop();
        thread_.join();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    void set_peers(const carobcourse::set_peers& peers)
    {
        asio::post(io_, [this, peers] { change_peers(peers); });
    }

    void send(const peer_send& message)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto ring = rings_.find(message.to);
        if (ring == rings_.end())
        {
            ++counts_["not_connected"];
            return;
        }
        if (!ring->second.push(message))
        {
            ++counts_["ring_full"];
            return;
        }
        if (std::exchange(drain_posted_, true))
            return;
        asio::post(io_, [this] { drain(); });
    }

private:
    void run()
    {
        while (true)
        {
            try
            {
                io_.run();
                return;
            }
            catch (const std::exception&)
            {
                count("exception");
            }
        }
    }

    void count(const std::string& reason)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_[reason];
    }

    template <class Endpoint>
    static void disable_delay(Endpoint& endpoint, const handle& h)
    {
        error_code failed;
        const auto connection = endpoint.get_con_from_hdl(h, failed);
        if (!failed)
            connection->get_raw_socket().set_option(
                asio::ip::tcp::no_delay(true), failed);
    }

    template <class Connection>
    static error_code send_frame(Connection& connection,
                                 const std::string& type, const json& body)
    {
        return connection->send(encode_peer_frame(type, body),
                                websocketpp::frame::opcode::binary);
    }

    static error_code send_message(const ws_client::connection_ptr& connection,
                                   const peer_send& message)
    {
        if (!message.payload.empty())
            return connection->send(
                encode_payload_frame({message.type, message.payload}),
                websocketpp::frame::opcode::binary);
        const auto body = json::parse(message.body, nullptr, false);
        return body.is_object() ? send_frame(connection, message.type, body)
                                : websocketpp::error::make_error_code(
                                      websocketpp::error::invalid_state);
    }

    /// Reports refusals at most once a second, so that a flood of them does
    /// not flood the core.
    void report_later()
    {
        report_timer_.expires_after(refusal_report_period);
        report_timer_.async_wait(
            [this](const error_code& failed)
            {
                if (failed)
                    return;
                peer_refusals refusals;
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    refusals.counts = std::exchange(counts_, {});
                }
                if (!refusals.counts.empty())
                    sink_(std::move(refusals));
                report_later();
            });
    }

    // -------------------------------------------------- connections of peers

    void on_open(const handle& h)
    {
        error_code failed;
        const auto connection = server_.get_con_from_hdl(h, failed);
        if (failed)
            return;
        if (incoming_.size() >= config::max_peer_connections)
        {
            count("too_many");
            connection->close(close_status::try_again_later, "", failed);
            return;
        }
        incoming state;
        state.timeout = std::make_shared<asio::steady_timer>(
            io_, config::peer_handshake_timeout);
        state.timeout->async_wait(
            [this, h](const error_code& cancelled)
            {
                if (!cancelled)
                    refuse_incoming(h, "handshake_timeout");
            });
        incoming_[h] = std::move(state);
    }

    void on_close(const handle& h)
    {
        error_code failed;
        const auto connection = server_.get_con_from_hdl(h, failed);
        if (!failed &&
            connection->get_local_close_code() == close_status::message_too_big)
            count("oversized");
        const auto found = incoming_.find(h);
        if (found == incoming_.end())
            return;
        found->second.timeout->cancel();
        incoming_.erase(found);
    }

    void refuse_incoming(const handle& h, const std::string& reason)
    {
        const auto found = incoming_.find(h);
        if (found == incoming_.end() ||
            found->second.at == incoming::step::refused)
            return;
        found->second.at = incoming::step::refused;
        found->second.timeout->cancel();
        count(reason);
        error_code failed;
        server_.close(h, close_status::policy_violation, reason, failed);
    }

    /// Passes a message on, or drops it while the core has too much to handle:
    /// messages may be lost on any link, and what matters is sent again.
    void deliver(peer_received message)
    {
        const auto bytes = message.body.size() + message.payload.size();
        if (*unhandled_ + bytes > config::peer_unhandled_bytes)
        {
            count("overload");
            return;
        }
        *unhandled_ += bytes;
        message.received = {nullptr, [unhandled = unhandled_, bytes](
                                         const void*) { *unhandled -= bytes; }};
        sink_(std::move(message));
    }

    void on_message(const handle& h, const ws_server::message_ptr& message)
    {
        const auto found = incoming_.find(h);
        if (found == incoming_.end() ||
            found->second.at == incoming::step::refused)
            return;
        if (message->get_opcode() != websocketpp::frame::opcode::binary)
        {
            refuse_incoming(h, "malformed");
            return;
        }
        if (found->second.at == incoming::step::authenticated)
        {
            if (auto bytes = decode_payload_frame(message->get_payload()))
            {
                deliver(peer_received{found->second.from,
                                      std::move(bytes->type),
                                      {},
                                      std::move(bytes->payload)});
                return;
            }
        }
        const auto frame = decode_peer_frame(message->get_payload());
        if (!frame)
        {
            refuse_incoming(h, frame.error());
            return;
        }
        switch (found->second.at)
        {
        case incoming::step::expects_hello:
            on_hello(h, found->second, *frame);
            break;
        case incoming::step::expects_proof:
            on_proof(h, found->second, *frame);
            break;
        case incoming::step::authenticated:
            deliver(peer_received{
                found->second.from, frame->type, frame->body.dump(), {}});
            break;
        case incoming::step::refused:
            break;
        }
    }

    void on_hello(const handle& h, incoming& state, const peer_frame& frame)
    {
        state.from = text_field(frame.body, "from");
        state.dialler_nonce = text_field(frame.body, "nonce");
        if (frame.type != "hello" || state.from.empty() ||
            state.from == options_.host ||
            state.dialler_nonce.size() != 2 * nonce_bytes)
        {
            refuse_incoming(h, "handshake");
            return;
        }
        // The address of a host that is gone may have passed to this one.
        if (text_field(frame.body, "to") != options_.host)
        {
            refuse_incoming(h, "wrong_host");
            return;
        }
        error_code failed;
        const auto connection = server_.get_con_from_hdl(h, failed);
        if (failed)
            return;
        state.acceptor_nonce = entropy_.hex(nonce_bytes);
        state.at = incoming::step::expects_proof;
        send_frame(
            connection, "challenge",
            {{"nonce", state.acceptor_nonce},
             {"proof",
              peer_proof(options_.secret, "acceptor", state.from, options_.host,
                         state.dialler_nonce, state.acceptor_nonce)}});
    }

    void on_proof(const handle& h, incoming& state, const peer_frame& frame)
    {
        const auto expected =
            peer_proof(options_.secret, "dialler", state.from, options_.host,
                       state.dialler_nonce, state.acceptor_nonce);
        if (frame.type != "proof" ||
            !equal_constant_time(text_field(frame.body, "proof"), expected))
        {
            refuse_incoming(h, "handshake");
            return;
        }
        error_code failed;
        const auto connection = server_.get_con_from_hdl(h, failed);
        if (failed)
            return;
        connection->set_max_message_size(config::max_peer_frame_bytes);
        state.timeout->cancel();
        state.at = incoming::step::authenticated;
        send_frame(connection, "welcome", json::object());
    }

    // -------------------------------------------------- connections to peers

    void change_peers(const carobcourse::set_peers& peers)
    {
        std::map<std::string, std::string> wanted;
        for (const auto& peer : peers.peers)
            wanted[peer.host] = peer.address;
        for (auto at = outgoing_.begin(); at != outgoing_.end();)
        {
            const auto found = wanted.find(at->first);
            if (found != wanted.end() && found->second == at->second->address)
            {
                ++at;
                continue;
            }
            const auto peer = at->second;
            at = outgoing_.erase(at);
            peer->removed = true;
            peer->timer->cancel();
            lose(peer);
        }
        for (const auto& [host, address] : wanted)
        {
            if (outgoing_.count(host))
                continue;
            auto peer = std::make_shared<outgoing>();
            peer->host = host;
            peer->address = address;
            peer->timer = std::make_shared<asio::steady_timer>(io_);
            outgoing_[host] = peer;
            dial(peer);
        }
    }

    void dial(const outgoing_ptr& peer)
    {
        error_code failed;
        const auto connection =
            client_.get_connection("ws://" + peer->address + "/peer", failed);
        if (failed)
        {
            count("bad_address");
            dial_later(peer);
            return;
        }
        peer->connection = connection;
        peer->at = outgoing::step::connecting;
        connection->set_open_handler([this, peer, connection](const handle&)
                                     { on_dialled(peer, connection); });
        connection->set_fail_handler([this, peer, connection](const handle&)
                                     { on_lost(peer, connection); });
        connection->set_close_handler([this, peer, connection](const handle&)
                                      { on_lost(peer, connection); });
        connection->set_message_handler(
            [this, peer, connection](const handle&,
                                     const ws_client::message_ptr& message)
            { on_reply(peer, connection, message); });
        client_.connect(connection);
    }

    void on_dialled(const outgoing_ptr& peer,
                    const ws_client::connection_ptr& connection)
    {
        if (peer->removed || peer->connection != connection)
            return;
        peer->nonce = entropy_.hex(nonce_bytes);
        peer->at = outgoing::step::expects_challenge;
        peer->timer->expires_after(config::peer_handshake_timeout);
        peer->timer->async_wait(
            [this, peer, connection](const error_code& cancelled)
            {
                if (!cancelled)
                    refuse_outgoing(peer, connection, "handshake_timeout");
            });
        send_frame(connection, "hello",
                   {{"from", options_.host},
                    {"to", peer->host},
                    {"nonce", peer->nonce}});
    }

    void refuse_outgoing(const outgoing_ptr& peer,
                         const ws_client::connection_ptr& connection,
                         const std::string& reason)
    {
        if (peer->connection != connection)
            return;
        count(reason);
        lose(peer);
        dial_later(peer);
    }

    void on_reply(const outgoing_ptr& peer,
                  const ws_client::connection_ptr& connection,
                  const ws_client::message_ptr& message)
    {
        if (peer->removed || peer->connection != connection)
            return;
        const bool binary =
            message->get_opcode() == websocketpp::frame::opcode::binary;
        const auto frame = binary
                               ? decode_peer_frame(message->get_payload())
                               : tl::make_unexpected(std::string("malformed"));
        if (!frame)
        {
            refuse_outgoing(peer, connection, frame.error());
            return;
        }
        if (peer->at == outgoing::step::expects_challenge &&
            frame->type == "challenge")
        {
            on_challenge(peer, connection, *frame);
        }
        else if (peer->at == outgoing::step::expects_welcome &&
                 frame->type == "welcome")
        {
            peer->timer->cancel();
            peer->at = outgoing::step::ready;
            peer->backoff = config::peer_reconnect_min;
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                rings_.try_emplace(peer->host);
            }
            sink_(peer_state{peer->host, true});
        }
        else
        {
            refuse_outgoing(peer, connection, "handshake");
        }
    }

    void on_challenge(const outgoing_ptr& peer,
                      const ws_client::connection_ptr& connection,
                      const peer_frame& frame)
    {
        const auto nonce = text_field(frame.body, "nonce");
        const auto expected =
            peer_proof(options_.secret, "acceptor", options_.host, peer->host,
                       peer->nonce, nonce);
        if (nonce.size() != 2 * nonce_bytes ||
            !equal_constant_time(text_field(frame.body, "proof"), expected))
        {
            refuse_outgoing(peer, connection, "handshake");
            return;
        }
        peer->at = outgoing::step::expects_welcome;
        send_frame(
            connection, "proof",
            {{"proof", peer_proof(options_.secret, "dialler", options_.host,
                                  peer->host, peer->nonce, nonce)}});
    }

    /// Ends the connection of a peer, without another attempt.
    void lose(const outgoing_ptr& peer)
    {
        const auto connection = std::exchange(peer->connection, nullptr);
        const bool was_ready = peer->at == outgoing::step::ready;
        peer->at = outgoing::step::waiting;
        if (connection)
        {
            error_code ignored;
            connection->close(close_status::going_away, "", ignored);
        }
        if (!was_ready)
            return;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto ring = rings_.find(peer->host);
            if (ring != rings_.end())
            {
                if (!ring->second.empty())
                    counts_["not_connected"] += ring->second.size();
                rings_.erase(ring);
            }
        }
        sink_(peer_state{peer->host, false});
    }

    void on_lost(const outgoing_ptr& peer,
                 const ws_client::connection_ptr& connection)
    {
        if (peer->removed || peer->connection != connection)
            return;
        peer->timer->cancel();
        lose(peer);
        dial_later(peer);
    }

    void dial_later(const outgoing_ptr& peer)
    {
        // Jitter keeps the hosts from reconnecting all at once after a cut.
        std::uniform_int_distribution<std::int64_t> jitter(
            peer->backoff.count() / 2, peer->backoff.count());
        const std::chrono::milliseconds wait(jitter(random_));
        peer->backoff = std::min<std::chrono::milliseconds>(
            2 * peer->backoff, config::peer_reconnect_max);
        peer->timer->expires_after(wait);
        peer->timer->async_wait(
            [this, peer](const error_code& cancelled)
            {
                if (!cancelled && !peer->removed)
                    dial(peer);
            });
    }

    /// Passes messages from the rings to the connections. A ring whose
    /// connection is not read by the peer keeps its messages.
    void drain()
    {
        bool held_back = false;
        std::vector<std::pair<outgoing_ptr, peer_send>> taken;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            drain_posted_ = false;
            for (auto& [host, ring] : rings_)
            {
                const auto found = outgoing_.find(host);
                if (found == outgoing_.end() || !found->second->connection)
                    continue;
                auto room = found->second->connection->get_buffered_amount();
                while (!ring.empty() && room < config::peer_send_buffer_bytes)
                {
                    auto message = ring.pop();
                    room += size_of(message);
                    taken.emplace_back(found->second, std::move(message));
                }
                held_back = held_back || !ring.empty();
            }
            drain_posted_ = held_back;
        }
        for (auto& [peer, message] : taken)
        {
            if (!peer->connection || send_message(peer->connection, message))
                count("not_sent");
        }
        if (!held_back)
            return;
        drain_timer_.expires_after(drain_retry_period);
        drain_timer_.async_wait(
            [this](const error_code& cancelled)
            {
                if (!cancelled)
                    drain();
            });
    }

    const peer_link_options options_;
    entropy_source& entropy_;
    event_sink sink_;
    std::mt19937_64 random_;
    asio::io_context io_;
    ws_server server_;
    ws_client client_;
    asio::steady_timer report_timer_;
    asio::steady_timer drain_timer_;
    /// Bytes of received messages that the core has not handled.
    std::shared_ptr<std::atomic<std::size_t>> unhandled_ =
        std::make_shared<std::atomic<std::size_t>>(0);
    std::uint16_t port_ = 0;
    std::map<handle, incoming, std::owner_less<handle>> incoming_;
    std::map<std::string, outgoing_ptr> outgoing_;

    std::mutex mutex_; ///< Guards the members below.
    std::map<std::string, message_ring> rings_;
    std::map<std::string, std::uint64_t> counts_;
    bool drain_posted_ = false;

    std::thread thread_; // Last: uses all of the above.
};

websocket_peer_link::websocket_peer_link(peer_link_options options,
                                         entropy_source& entropy,
                                         event_sink sink)
    : implementation_(std::make_unique<implementation>(
          std::move(options), entropy, std::move(sink)))
{
}

websocket_peer_link::~websocket_peer_link() = default;

void websocket_peer_link::set_peers(const carobcourse::set_peers& peers)
{
    implementation_->set_peers(peers);
}

void websocket_peer_link::send(const peer_send& message)
{
    implementation_->send(message);
}

std::uint16_t websocket_peer_link::port() const
{
    return implementation_->port();
}

} // namespace carobcourse
