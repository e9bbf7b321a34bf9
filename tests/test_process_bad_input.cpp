#include <arpa/inet.h>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>

#include "process_harness.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

/// Sends raw bytes and returns what comes back until the server closes or
/// half a second passes.
std::string exchange(int port, const std::string& bytes)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    const timeval timeout{0, 500000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(fd, SHUT_WR);
    std::string answer;
    char buffer[4096];
    for (;;)
    {
        const auto count = recv(fd, buffer, sizeof(buffer), 0);
        if (count <= 0)
            break;
        answer.append(buffer, static_cast<std::size_t>(count));
    }
    close(fd);
    return answer;
}

int port_of(const std::string& url)
{
    return std::stoi(url.substr(url.rfind(':') + 1));
}

} // namespace

TEST_CASE("bad input ends in a numbered error and the entry host serves on")
{
    // Guards against input that ends the process or goes unanswered by a
    // number.
    deployment cell;
    cell.add_data_centre("north");
    const auto url = cell.add_entry_host("north-1", "north");
    const auto key =
        add_team(url, "climb-desk", "[[service]]\nname = \"bookings\"\n");

    SECTION("bodies that are no job")
    {
        const std::vector<std::string> bodies = {
            "",
            "{",
            "[]",
            "null",
            "{\"resources\":3}",
            "\xff\xfe",
            R"({"resources":{"cpu_millis":-1,"memory_mb":1}})",
            R"({"tasks":0,"resources":{"cpu_millis":1,"memory_mb":1}})",
            R"({"tasks":1e300,"resources":{"cpu_millis":1,"memory_mb":1}})",
            R"({"id":"../x","resources":{"cpu_millis":1,"memory_mb":1}})"};
        for (const auto& body : bodies)
        {
            const auto answer = call(url, "POST", "/v1/jobs", key, body);
            INFO(body);
            CHECK(answer.status == 400);
            CHECK(answer.body["error"]["code"] == "CC-1001");
            CHECK(answer.body["error"]["ran"] == "not run");
        }
    }
    SECTION("a body over the limit")
    {
        const auto answer =
            call(url, "POST", "/v1/services/bookings/requests", key,
                 std::string(std::size_t{2} * 1024 * 1024, 'x'));
        CHECK(answer.status == 413);
        CHECK(answer.body["error"]["code"] == "CC-1004");
        CHECK(cell.record("north")["requests"].empty());
    }
    SECTION("bad queries and paths")
    {
        const auto path = "/v1/services/bookings/requests";
        for (const std::string query :
             {"?deadline_ms=0", "?deadline_ms=x", "?deadline_ms=-5",
              "?deadline_ms=99999999999999999999"})
            CHECK(call(url, "POST", path + query, key, "b")
                      .body["error"]["code"] == "CC-1001");
        CHECK(call(url, "GET", path, key).status == 405);
        CHECK(call(url, "GET", "/v1/nothing", key).status == 404);
        CHECK(call(url, "PUT", "/v1/datacentres/UPPER", operator_key,
                   R"({"state":"out"})")
                  .status == 400);
    }
    SECTION("random bytes and mutated requests on the socket")
    {
        std::mt19937 random(42);
        const std::string good = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                                 "Content-Length: 2\r\n\r\n{}";
        for (int i = 0; i < 100; ++i)
        {
            auto bytes = good;
            for (int k = 0; k < 4; ++k)
                bytes[random() % bytes.size()] =
                    static_cast<char>(random() % 256);
            if (i % 3 == 0)
                bytes.resize(random() % bytes.size());
            const auto answer = exchange(port_of(url), bytes);
            if (!answer.empty())
                CHECK(answer.rfind("HTTP/1.1 ", 0) == 0);
        }
    }
    CHECK(call(url, "GET", "/readyz").status == 200);
}
