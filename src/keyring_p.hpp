/// Keys that callers show, kept as salted MACs.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include <carobcourse/result_code.hpp>

namespace carobcourse
{

/// Source of unpredictable bytes. The shell uses the system's generator;
/// tests use a seeded one.
class entropy_source
{
public:
    virtual ~entropy_source() = default;
    /// Returns `bytes` random bytes in lower case hexadecimal.
    virtual std::string hex(std::size_t bytes) = 0;
};

/// What is kept of a key.
struct key_record
{
    std::string id;
    std::string team;
    std::string salt;
    std::string mac; ///< HMAC-SHA256 of the secret under the salt, hex.

    friend bool operator==(const key_record& a, const key_record& b)
    {
        return a.id == b.id && a.team == b.team && a.salt == b.salt &&
               a.mac == b.mac;
    }
};

struct issued_key
{
    key_record record;
    std::string printed; ///< Shown once to the operator, never kept.
};

/// Makes a key for `team`.
issued_key issue_key(const std::string& team, entropy_source& entropy);

/// Returns the key id within the printed form, empty when it is malformed.
std::string key_id_of(const std::string& printed);

/// Compares in constant time. `printed` is what the caller showed.
bool matches(const key_record& record, const std::string& printed);

/// Returns `text` with the secret part of each printed key in it masked, for
/// log lines and error details that repeat what a caller sent.
std::string without_secrets(std::string text);

/// HMAC-SHA256 in lower case hexadecimal.
std::string hmac_sha256_hex(const std::string& key, const std::string& text);

/// Compares two strings without a data dependent branch.
bool equal_constant_time(const std::string& a, const std::string& b);

std::string to_json_text(const key_record& record);
tl::expected<key_record, error> key_record_from_json(const std::string& text);

} // namespace carobcourse
