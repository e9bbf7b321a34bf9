#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>

#include "process_harness.hpp"
#include "shell_http_server_p.hpp"

using namespace carobcourse;
using namespace carobcourse::test;
using namespace std::chrono_literals;

namespace
{

/// Sends raw bytes and returns what comes back until the server closes or
/// `patience` passes. Ends its side first unless `stays`.
std::string exchange(int port, const std::string& bytes, bool stays = false,
                     std::chrono::microseconds patience = 500ms)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    const timeval timeout{patience / 1s, (patience % 1s).count()};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (!stays)
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

bool is_refusal(const std::string& answer, const std::string& status,
                const std::string& code)
{
    return answer.rfind("HTTP/1.1 " + status + " ", 0) == 0 &&
           answer.find("\"code\":\"" + code + "\"") != std::string::npos &&
           answer.find("\"ran\":\"not run\"") != std::string::npos;
}

constexpr auto long_patience = 30s;

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
    SECTION("a key that is empty or given twice")
    {
        // Taken for no key, the request could run twice.
        const auto head = fmt::format("POST /v1/services/bookings/requests "
                                      "HTTP/1.1\r\nAuthorization: Bearer {}\r\n"
                                      "Content-Length: 1\r\n",
                                      key);
        for (const std::string keys :
             {"Idempotency-Key:\r\n",
              "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"})
        {
            const auto answer =
                exchange(port_of(url), head + keys + "\r\nb", true);
            CAPTURE(answer);
            CHECK(is_refusal(answer, "400", "CC-1001"));
        }
        CHECK(cell.record("north")["requests"].empty());
    }
    SECTION("input that is no request")
    {
        const std::string begin = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n";
        const std::vector<std::string> inputs = {
            "no request\r\n\r\n",
            begin + "Content-Length: -1\r\n\r\n",
            begin + "no field\r\n\r\n",
            begin + "Long: " + std::string(20000, 'x') + "\r\n\r\n",
            "GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n",
            begin + "Content-Length: 10\r\n\r\n{}"};
        for (const auto& input : inputs)
        {
            const auto answer =
                exchange(port_of(url), input, false, long_patience);
            CAPTURE(input.substr(0, 60), answer);
            CHECK(is_refusal(answer, "400", "CC-1001"));
        }
        // So long that the caller may see a reset before the answer.
        auto huge = begin + "Content-Length: 9000000\r\n\r\n";
        huge.resize(huge.size() + 9000000, 'x');
        exchange(port_of(url), huge);
        const auto has = [&](const std::string& line)
        {
            http_request request;
            request.url = url + "/metrics";
            request.deadline = boot_clock::now() + 5s;
            return http_call(std::move(request)).body.find(line) !=
                   std::string::npos;
        };
        for (const std::string line :
             {"\"malformed\"} 3\n", "\"over_limit\"} 2\n", "\"cut_short\"} 1\n",
              "\"body_too_large\"} 1\n"})
        {
            CAPTURE(line);
            CHECK(eventually(start_timeout,
                             [&]
                             {
                                 return has("carobcourse_input_refusals_total{"
                                            "reason=" +
                                            line);
                             }));
        }
        CHECK(cell.process("north-1").output().find("CE-2505") !=
              std::string::npos);
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

TEST_CASE("a request that arrives too slowly gets a numbered error")
{
    // Guards against a bare close, which a caller can not tell from a crash,
    // and against counting connections that are merely idle.
    http_server_options options;
    options.address = "127.0.0.1";
    options.idle_timeout = 300ms;
    http_server server(options, [](const api_call&) { return true; });
    const auto answer =
        exchange(server.port(), "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n", true,
                 long_patience);
    CAPTURE(answer);
    CHECK(is_refusal(answer, "408", "CC-1008"));
    CHECK(exchange(server.port(), "", true, long_patience).empty());
    const std::map<std::string, std::uint64_t> expected{{"too_slow", 1}};
    CHECK(server.take_refusals() == expected);
}

TEST_CASE("bad input behind a request is not answered in place of it")
{
    // Guards against an error that says "not run" and is taken for the answer
    // to the request before it, which runs (I6, I7).
    std::atomic<int> taken{0};
    std::atomic<int> abandoned{0};
    http_server server(
        {"127.0.0.1", 0}, [&](const api_call&) { return ++taken > 0; },
        [&](call_id) { ++abandoned; });
    CHECK(exchange(server.port(),
                   "POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nb"
                   "no request\r\n\r\n",
                   true, long_patience)
              .empty());
    CHECK(taken == 1);
    CHECK(eventually(start_timeout, [&] { return abandoned == 1; }));
}
