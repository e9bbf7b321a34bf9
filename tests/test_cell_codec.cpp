// Encoding of messages between entry hosts.
#include <catch2/catch.hpp>
#include <limits>

#include "cell_codec_p.hpp"

using namespace carobcourse;
using nlohmann::json;

namespace
{

json decode(const worker_call& call)
{
    std::string message = cbor_array_head(1);
    append_call_item(call, message);
    const auto items = json::from_cbor(message);
    REQUIRE(items.size() == 1);
    CHECK(items[0].at("k") == "call");
    return items[0].at("v");
}

} // namespace

TEST_CASE("A call is read as it was written")
{
    // Guards against fields that are lost or mixed up, and against numbers
    // and texts whose length takes another form of head.
    const auto number = GENERATE(
        as<std::int64_t>{}, 1, 23, 24, 255, 256, 65535, 65536, 4294967295,
        4294967296, std::numeric_limits<std::int64_t>::max(), -1, -24, -25,
        -65537, std::numeric_limits<std::int64_t>::min());
    worker_call call;
    call.id = static_cast<std::uint64_t>(number);
    call.command = worker_command::advise;
    call.worker = "w1";
    call.address = "10.0.0.1:80";
    call.timeout_ms = number;
    call.epoch = 24;
    call.fence = static_cast<std::uint32_t>(number);
    call.task = {"job", 0, 70000, static_cast<std::uint32_t>(number)};
    call.run = static_cast<std::uint32_t>(number) | 1U;
    call.payload = std::string(300, 'p');
    call.checkpoint = std::string(70000, 'c');
    call.ticket = std::string(24, 'k');
    call.lease_until_ms = number;
    call.acked_end = static_cast<std::uint64_t>(number);
    call.wait_ms = number;
    call.pace_percent = -1;
    call.workers.assign(300, "worker");
    const auto read = worker_call_from_json(decode(call));
    CHECK(read.id == call.id);
    CHECK(read.command == call.command);
    CHECK(read.worker == call.worker);
    CHECK(read.address == call.address);
    CHECK(read.timeout_ms == call.timeout_ms);
    CHECK(read.epoch == call.epoch);
    CHECK(read.fence == call.fence);
    CHECK(read.task == call.task);
    CHECK(read.run == call.run);
    CHECK(read.payload == call.payload);
    CHECK(read.checkpoint == call.checkpoint);
    CHECK(read.ticket == call.ticket);
    CHECK(read.lease_until_ms == call.lease_until_ms);
    CHECK(read.acked_end == call.acked_end);
    CHECK(read.wait_ms == call.wait_ms);
    CHECK(read.pace_percent == call.pace_percent);
    CHECK(read.workers == call.workers);
}

TEST_CASE("A call is written without its default members")
{
    // Guards against messages that hosts of the version before can not read,
    // and against larger ones.
    CHECK(decode({}) == json{{"i", 0}, {"o", 2}, {"to", 0}});
}

TEST_CASE("The head of a message tells the number of its items")
{
    // Guards against a message of many items that is refused as a whole.
    const auto count = GENERATE(0U, 1U, 23U, 24U, 255U, 256U, 65536U);
    const auto items =
        json::from_cbor(cbor_array_head(count) + std::string(count, '\x01'));
    CHECK(items.size() == count);
}
