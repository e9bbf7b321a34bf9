#include "peer_codec_p.hpp"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "keyring_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Maximum nesting depth of a valid frame. The decoder recurses once per level,
/// so a hostile frame could otherwise exhaust the stack.
constexpr int max_nesting_depth = 16;

/// Maps names to their abbreviations on the wire. In frequent messages the
/// names would take most of the bytes. The abbreviations are part of the
/// protocol, so changing one requires a new protocol version.
using name_table = std::map<std::string, std::string>;

const name_table short_types = {
    {"heartbeat", "h"}, {"heartbeat_ack", "a"}, {"summary_request", "q"},
    {"summary", "s"},   {"change", "c"},        {"change_ack", "d"}};

const name_table short_fields = {
    {"incarnation", "i"}, {"data_centre", "d"}, {"peer_address", "p"},
    {"seq", "n"},         {"version", "v"},     {"to", "t"},
    {"grant_ms", "g"},    {"shards_ms", "s"},   {"round", "r"},
    {"age_ms", "a"},      {"set", "m"},         {"grants", "k"},
    {"relayed", "l"},     {"all", "u"}};

name_table inverted(const name_table& table)
{
    name_table result;
    for (const auto& [name, code] : table)
        result[code] = name;
    return result;
}

const name_table long_types = inverted(short_types);
const name_table long_fields = inverted(short_fields);

/// Returns the table's replacement of `name`, or `name` itself when it has
/// none.
const std::string& translated(const name_table& table, const std::string& name)
{
    const auto found = table.find(name);
    return found == table.end() ? name : found->second;
}

/// Returns a copy of `body` with its top-level fields translated.
json translated(const name_table& table, const json& body)
{
    auto result = json::object();
    for (const auto& [name, value] : body.items())
        result[translated(table, name)] = value;
    return result;
}

/// SAX handler that rejects malformed frames and frames that are nested deeper
/// than `max_nesting_depth`.
class depth_check final : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return true;
    }
    bool string(string_t&) override
    {
        return true;
    }
    bool binary(binary_t&) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return ++depth_ <= max_nesting_depth;
    }
    bool key(string_t&) override
    {
        return true;
    }
    bool end_object() override
    {
        --depth_;
        return true;
    }
    bool start_array(std::size_t) override
    {
        return ++depth_ <= max_nesting_depth;
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    int depth_ = 0;
};

// CBOR (RFC 8949): the first byte of an item has the major type in its upper
// three bits, and in the others a length below 24 or the number of bytes that
// the length takes.
constexpr unsigned major_bytes = 2;
constexpr unsigned major_text = 3;
constexpr unsigned major_shift = 5;
constexpr unsigned length_mask = 0x1f;
constexpr unsigned first_long_length = 24;

/// What `encode_peer_frame` writes before the bytes, before the type and before
/// the version of a frame whose body is only bytes.
constexpr std::string_view before_payload = "\xa3\x64"
                                            "body\xa1\x67payload";
constexpr std::string_view before_type = "\x64type";
constexpr std::string_view before_version = "\x61v";
static_assert(peer_protocol_version < first_long_length);

/// Appends a string or bytes in the shortest form.
void append_item(std::string& out, unsigned major, const std::string& content)
{
    const auto size = content.size();
    unsigned length_bytes = 0;
    if (size >= first_long_length)
        length_bytes = size <= 0xff ? 1 : size <= 0xffff ? 2 : 4;
    const unsigned code = length_bytes == 0   ? static_cast<unsigned>(size)
                          : length_bytes == 1 ? first_long_length
                          : length_bytes == 2 ? first_long_length + 1
                                              : first_long_length + 2;
    out.push_back(static_cast<char>(major << major_shift | code));
    for (unsigned i = length_bytes; i > 0; --i)
        out.push_back(static_cast<char>(size >> 8 * (i - 1) & 0xff));
    out += content;
}

/// Removes `text` from the front of `bytes`. Returns false when it is not
/// there.
bool skip(std::string_view& bytes, std::string_view text)
{
    if (bytes.substr(0, text.size()) != text)
        return false;
    bytes.remove_prefix(text.size());
    return true;
}

/// Removes a string or bytes from the front of `bytes` and returns the content.
/// Returns nothing when there is no such item or not all of it.
std::optional<std::string> take_item(std::string_view& bytes, unsigned major)
{
    if (bytes.empty())
        return std::nullopt;
    const auto first = static_cast<unsigned char>(bytes.front());
    const unsigned code = first & length_mask;
    if (first >> major_shift != major || code > first_long_length + 2)
        return std::nullopt;
    bytes.remove_prefix(1);
    std::size_t size = code;
    if (code >= first_long_length)
    {
        const std::size_t length_bytes = std::size_t{1}
                                         << (code - first_long_length);
        if (bytes.size() < length_bytes)
            return std::nullopt;
        size = 0;
        for (std::size_t i = 0; i < length_bytes; ++i)
            size = size << 8 | static_cast<unsigned char>(bytes[i]);
        bytes.remove_prefix(length_bytes);
    }
    if (bytes.size() < size)
        return std::nullopt;
    std::string content(bytes.substr(0, size));
    bytes.remove_prefix(size);
    return content;
}

} // namespace

std::string encode_peer_frame(const std::string& type, const json& body)
{
    const json frame{{"v", peer_protocol_version},
                     {"type", translated(short_types, type)},
                     {"body", translated(short_fields, body)}};
    std::string bytes;
    json::to_cbor(frame, bytes);
    return bytes;
}

tl::expected<peer_frame, std::string>
decode_peer_frame(const std::string& bytes)
{
    const auto malformed = tl::make_unexpected(std::string("malformed"));
    depth_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor))
        return malformed;
    const auto frame = json::from_cbor(bytes, true, false);
    if (!frame.is_object() || !frame.contains("v") ||
        !frame["v"].is_number_unsigned())
        return malformed;
    if (frame["v"] != peer_protocol_version)
        return tl::make_unexpected(std::string("version"));
    if (!frame.contains("type") || !frame["type"].is_string() ||
        !frame.contains("body") || !frame["body"].is_object())
        return malformed;
    return peer_frame{translated(long_types, frame["type"].get<std::string>()),
                      translated(long_fields, frame["body"])};
}

std::string encode_payload_frame(const payload_frame& frame)
{
    std::string bytes(before_payload);
    bytes.reserve(frame.payload.size() + frame.type.size() +
                  before_payload.size() + 32);
    append_item(bytes, major_bytes, frame.payload);
    bytes += before_type;
    append_item(bytes, major_text, translated(short_types, frame.type));
    bytes += before_version;
    bytes.push_back(static_cast<char>(peer_protocol_version));
    return bytes;
}

std::optional<payload_frame> decode_payload_frame(std::string_view bytes)
{
    if (!skip(bytes, before_payload))
        return std::nullopt;
    auto payload = take_item(bytes, major_bytes);
    if (!payload || !skip(bytes, before_type))
        return std::nullopt;
    const auto type = take_item(bytes, major_text);
    if (!type || !skip(bytes, before_version) || bytes.size() != 1 ||
        static_cast<unsigned char>(bytes.front()) != peer_protocol_version)
        return std::nullopt;
    return payload_frame{translated(long_types, *type), std::move(*payload)};
}

std::string text_field(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::string peer_proof(const std::string& secret, const std::string& role,
                       const std::string& dialler, const std::string& acceptor,
                       const std::string& dialler_nonce,
                       const std::string& acceptor_nonce)
{
    // Encoding the parts as a JSON array keeps their boundaries unambiguous.
    return hmac_sha256_hex(
        secret,
        json::array({role, dialler, acceptor, dialler_nonce, acceptor_nonce})
            .dump(-1, ' ', true, json::error_handler_t::replace));
}

} // namespace carobcourse
