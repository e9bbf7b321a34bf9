// Adapters of the platform against a server that answers what it likes.
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>

#include "shell_http_server_p.hpp"
#include "shell_platform_p.hpp"

using namespace carobcourse;

namespace
{

/// Answers every call with one status.
class fixed_server
{
public:
    explicit fixed_server(int http_status)
    {
        http_server_options options;
        options.address = "127.0.0.1";
        server_ = std::make_unique<http_server>(
            options,
            [this, http_status](const api_call& call)
            {
                server_->reply({call.id, http_status, "application/json",
                                R"({"error":"no such path"})"});
                return true;
            });
    }
    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(server_->port());
    }

private:
    std::unique_ptr<http_server> server_;
};

template <class Send>
store_result ask(const fixed_server& server, const Send& send)
{
    std::promise<store_result> promise;
    auto answer = promise.get_future();
    http_table_service table(
        server.url(), [&promise](event what)
        { promise.set_value(std::get<store_result>(std::move(what))); });
    send(table);
    REQUIRE(answer.wait_for(std::chrono::seconds(5)) ==
            std::future_status::ready);
    return answer.get();
}

} // namespace

TEST_CASE("A 404 is an answer only to the read of one row")
{
    // Guards against a host that believes it has registered, owns a shard and
    // has a fresh configuration at a server that knows none of its paths.
    const fixed_server server(404);
    CHECK(ask(server,
              [](table_service& table) {
                  table.commit({op_id{}, {{"member", "a", {}, "{}"}}});
              })
              .status == store_status::unavailable);
    CHECK(ask(server,
              [](table_service& table) {
                  table.scan({op_id{}, "member", "", "", 10});
              })
              .status == store_status::unavailable);
    const auto read = ask(server,
                          [](table_service& table) {
                              table.read({op_id{}, "member", "a"});
                          });
    CHECK(read.status == store_status::ok);
    CHECK(read.rows.empty());
}
