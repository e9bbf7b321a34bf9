/// Proxies on the links between entry hosts, for cases that cut off a zone.
#pragma once

#include "world.h"

namespace review
{

/// Passes connections on to another address. While it is cut, nothing passes;
/// at the end of the cut, the connections that were held up are reset.
class tcp_proxy
{
public:
    tcp_proxy(std::string to_ip, std::uint16_t to_port)
        : to_ip_(std::move(to_ip)), to_port_(to_port),
          acceptor_("127.0.0.1", [this](int fd) { pass_on(fd); })
    {
    }

    std::string address() const
    {
        return acceptor_.address();
    }
    void set_cut(bool cut)
    {
        cut_ = cut;
    }

private:
    /// Returns true when a cut has passed.
    bool waited_out_cut() const
    {
        if (!cut_)
            return false;
        while (cut_ && !acceptor_.is_stopped())
            sleep_for(10ms);
        return true;
    }

    /// Moves bytes one way. Returns false when the connection has ended.
    static bool move_bytes(int from, int to)
    {
        std::array<char, 65536> bytes{};
        const auto count = ::recv(from, bytes.data(), bytes.size(), 0);
        return count > 0 &&
               write_all(to, std::string(bytes.data(),
                                         static_cast<std::size_t>(count)));
    }

    void pass_on(int fd)
    {
        if (waited_out_cut())
        {
            reset_on_close(fd);
            return;
        }
        const int other = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = to_address(to_ip_, to_port_);
        const int on = 1;
        ::setsockopt(other, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        bool open =
            ::connect(other, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0;
        std::array<pollfd, 2> ends{{{fd, POLLIN, 0}, {other, POLLIN, 0}}};
        while (open && !acceptor_.is_stopped())
        {
            ::poll(ends.data(), ends.size(), 20);
            if (waited_out_cut())
            {
                reset_on_close(fd);
                reset_on_close(other);
                break;
            }
            for (std::size_t i = 0; i < ends.size(); ++i)
                if (ends[i].revents != 0)
                    open = open && move_bytes(ends[i].fd, ends[1 - i].fd);
        }
        ::close(other);
    }

    std::string to_ip_;
    std::uint16_t to_port_;
    std::atomic<bool> cut_{false};
    tcp_acceptor acceptor_; // Last: its threads use all of the above.
};

/// The links between all hosts of a world, each through a proxy.
class host_links
{
public:
    /// Precondition: the hosts have not started.
    explicit host_links(world& place)
    {
        for (std::size_t from = 0; from < place.hosts.size(); ++from)
        {
            std::map<std::string, std::string> translated;
            for (std::size_t to = 0; to < place.hosts.size(); ++to)
            {
                if (from == to)
                    continue;
                const auto& host = *place.hosts[to];
                auto proxy =
                    std::make_unique<tcp_proxy>(host.ip(), host.peer_port());
                translated[concat(host.ip(), ":", host.peer_port())] =
                    proxy->address();
                links_[{from, to}] = std::move(proxy);
            }
            place.hosts[from]->translate_addresses(std::move(translated));
        }
    }

    /// Cuts the links from and to one host.
    void set_cut(std::size_t host, bool cut)
    {
        for (const auto& [ends, link] : links_)
            if (ends.first == host || ends.second == host)
                link->set_cut(cut);
    }

private:
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<tcp_proxy>>
        links_;
};

} // namespace review
