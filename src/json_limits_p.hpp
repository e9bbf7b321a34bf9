/// Limits of JSON documents that callers send.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace carobcourse
{

/// Parses a document of a caller. Returns a discarded value when it is
/// malformed, or has more values or levels than `config` allows: a document in
/// memory takes up to a hundred times its text, and to write one again takes
/// stack for each level. Thread safe.
nlohmann::json parse_limited(const std::string& text);

} // namespace carobcourse
