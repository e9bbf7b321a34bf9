/// Frames between entry hosts: CBOR maps with a protocol version.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace carobcourse
{

/// A frame of another version is refused.
constexpr unsigned peer_protocol_version = 2;

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
