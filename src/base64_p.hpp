/// Bytes as text, where a message or row holds text only.
#pragma once

#include <optional>
#include <string>

namespace carobcourse
{

/// Thread safe.
std::string to_base64(const std::string& bytes);
/// Nothing when the text is no base64. Thread safe.
std::optional<std::string> from_base64(const std::string& text);

} // namespace carobcourse
