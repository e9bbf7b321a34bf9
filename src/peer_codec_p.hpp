/// Frames between entry hosts: CBOR maps with a protocol version.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace carobcourse
{

/// A frame of another version is refused.
constexpr unsigned peer_protocol_version = 3;

/// A decoded frame; the type and the fields of the body have their long names.
struct peer_frame
{
    std::string type;
    nlohmann::json body;
};

/// Encodes a frame. Frequent message types and body fields are abbreviated to
/// one letter on the wire, so a body must not have fields of one letter.
/// Thread safe.
std::string encode_peer_frame(const std::string& type,
                              const nlohmann::json& body);

/// Decodes a frame. On failure, returns the reason as the label of the refusal
/// metric: "malformed" or "version". Thread safe; does not throw on malformed
/// input.
tl::expected<peer_frame, std::string>
decode_peer_frame(const std::string& bytes);

/// A frame whose body is only bytes.
struct payload_frame
{
    std::string type;
    std::string payload;

    friend bool operator==(const payload_frame& a, const payload_frame& b)
    {
        return a.type == b.type && a.payload == b.payload;
    }
};

/// Encodes a frame as `encode_peer_frame` does for a body with the field
/// `payload` alone, without a JSON value in between. Thread safe.
std::string encode_payload_frame(const payload_frame& frame);

/// Decodes the result of `encode_payload_frame`. Returns nothing for any other
/// frame, which `decode_peer_frame` decodes or refuses. Thread safe.
std::optional<payload_frame> decode_payload_frame(std::string_view bytes);

/// Returns the string field `name` of a frame body, or an empty string when the
/// field is absent or is not a string. Thread safe.
std::string text_field(const nlohmann::json& body, const char* name);

/// Computes the handshake MAC that proves knowledge of the cluster secret. It
/// covers the role and both host names, so that a MAC from one side cannot be
/// reflected as the proof of the other. Thread safe.
std::string peer_proof(const std::string& secret, const std::string& role,
                       const std::string& dialler, const std::string& acceptor,
                       const std::string& dialler_nonce,
                       const std::string& acceptor_nonce);

} // namespace carobcourse
