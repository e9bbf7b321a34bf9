/// Frames between entry hosts: CBOR maps with a protocol version.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace carobcourse
{

constexpr unsigned peer_protocol_version = 2;

struct peer_frame
{
    std::string type;
    nlohmann::json body;
};

/// Encodes a frame. Frequent types and fields of the body have short names on
/// the wire; a body has no fields of one letter of its own. Thread safe.
std::string encode_peer_frame(const std::string& type,
                              const nlohmann::json& body);

/// Decodes a frame. The error is the reason of the refusal as a metric label:
/// "malformed" or "version". Thread safe; never throws.
tl::expected<peer_frame, std::string>
decode_peer_frame(const std::string& bytes);

/// Text member of a frame's body; empty when it is absent or no text. Thread
/// safe.
std::string text_field(const nlohmann::json& body, const char* name);

/// MAC that proves knowledge of the cluster secret. The role and both names
/// are part of it, so a MAC of one side can not be reflected as that of the
/// other. Thread safe.
std::string peer_proof(const std::string& secret, const std::string& role,
                       const std::string& dialler, const std::string& acceptor,
                       const std::string& dialler_nonce,
                       const std::string& acceptor_nonce);

} // namespace carobcourse
