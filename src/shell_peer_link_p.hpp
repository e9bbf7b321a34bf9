/// Links between entry hosts over WebSocket.
#pragma once

#include <carobcourse/ports.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "event_p.hpp"
#include "keyring_p.hpp"
#include "shell_platform_p.hpp"

namespace carobcourse
{

struct peer_link_options
{
    std::string host;    ///< Id of this entry host.
    std::string secret;  ///< Cluster secret.
    std::string address; ///< IP address to bind.
    std::uint16_t port = 0;
};

/// Opens one connection to each peer and sends only over it; messages of a
/// peer arrive over the connection that the peer opened. Both sides prove
/// knowledge of the secret first. Messages to a peer that is not connected
/// are dropped and counted. One thread of its own; calls are thread safe.
class websocket_peer_link final : public peer_link
{
public:
    /// Binds and starts. `entropy` is used by the link's thread only.
    /// Throws std::exception when the address can not be bound.
    websocket_peer_link(peer_link_options options, entropy_source& entropy,
                        event_sink sink);
    ~websocket_peer_link() override;
    websocket_peer_link(const websocket_peer_link&) = delete;
    websocket_peer_link& operator=(const websocket_peer_link&) = delete;

    void set_peers(const carobcourse::set_peers& peers) override;
    void send(const peer_send& message) override;

    /// Bound port.
    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace carobcourse
