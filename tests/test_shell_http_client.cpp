// What the client says about requests whose connection breaks.
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "shell_http_client_p.hpp"

using namespace carobcourse;

namespace
{

/// Answers one request on its only connection, reads a second one whole, then
/// breaks the connection and takes no further ones.
class breaking_server
{
public:
    breaking_server()
        : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
          port_(acceptor_.local_endpoint().port()), thread_([this] { serve(); })
    {
    }
    ~breaking_server()
    {
        thread_.join();
    }
    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_) + "/start";
    }

private:
    static void read_request(asio::ip::tcp::socket& socket)
    {
        std::string text;
        asio::read_until(socket, asio::dynamic_buffer(text), "body");
    }
    void serve()
    {
        auto socket = acceptor_.accept();
        read_request(socket);
        asio::write(socket,
                    asio::buffer(std::string(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        read_request(socket);
        acceptor_.close();
        socket.close();
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    unsigned short port_;
    std::thread thread_;
};

http_response post(http_client& client, const std::string& url)
{
    std::promise<http_response> promise;
    auto answer = promise.get_future();
    http_request request;
    request.method = "POST";
    request.url = url;
    request.body = "body";
    request.deadline =
        boot_clock::now() + std::chrono::seconds(5);
    request.send_before = request.deadline;
    client.send(request, [&promise](const http_response& response)
                { promise.set_value(response); });
    REQUIRE(answer.wait_for(std::chrono::seconds(10)) ==
            std::future_status::ready);
    return answer.get();
}

} // namespace

TEST_CASE("A request that was read before its connection broke has an unknown "
          "outcome, though no new connection can be made")
{
    http_client client(http_client_limits{});
    std::string url;
    {
        breaking_server server;
        url = server.url();
        REQUIRE(post(client, url).status == send_status::answered);
        const auto second = post(client, url);
        CHECK(second.status == send_status::unknown);
    }
    // Nothing listens any more, and nothing of this one is sent.
    CHECK(post(client, url).status == send_status::not_sent);
}
