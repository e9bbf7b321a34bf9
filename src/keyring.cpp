#include "keyring_p.hpp"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace carobcourse
{

namespace
{

constexpr std::size_t id_bytes = 6;
constexpr std::size_t secret_bytes = 24;
constexpr std::size_t salt_bytes = 16;
constexpr char prefix[] = "cck_";

} // namespace

std::string hmac_sha256_hex(const std::string& key, const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data(), &length);
    std::string out;
    for (unsigned int i = 0; i < length; ++i)
        out += fmt::format("{:02x}", digest[i]);
    return out;
}

bool equal_constant_time(const std::string& a, const std::string& b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

issued_key issue_key(const std::string& team, entropy_source& entropy)
{
    issued_key key;
    key.record.id = entropy.hex(id_bytes);
    key.record.team = team;
    key.record.salt = entropy.hex(salt_bytes);
    key.printed = prefix + key.record.id + "_" + entropy.hex(secret_bytes);
    key.record.mac = hmac_sha256_hex(key.record.salt, key.printed);
    return key;
}

std::string key_id_of(const std::string& printed)
{
    constexpr std::size_t prefix_length = sizeof(prefix) - 1;
    constexpr std::size_t id_length = 2 * id_bytes;
    constexpr std::size_t total =
        prefix_length + id_length + 1 + 2 * secret_bytes;
    if (printed.size() != total ||
        printed.compare(0, prefix_length, prefix) != 0)
        return {};
    return printed.substr(prefix_length, id_length);
}

std::string without_secrets(std::string text)
{
    constexpr std::size_t secret_from =
        sizeof(prefix) - 1 + 2 * id_bytes + 1; // Behind "cck_<id>_".
    for (auto at = text.find(prefix); at != std::string::npos;
         at = text.find(prefix, at + 1))
    {
        const auto from = at + secret_from;
        for (auto i = from; i < text.size() && i < from + 2 * secret_bytes; ++i)
            text[i] = '*';
    }
    return text;
}

bool matches(const key_record& record, const std::string& printed)
{
    return equal_constant_time(record.mac,
                               hmac_sha256_hex(record.salt, printed));
}

std::string to_json_text(const key_record& record)
{
    return nlohmann::json{{"id", record.id},
                          {"team", record.team},
                          {"salt", record.salt},
                          {"mac", record.mac}}
        .dump();
}

tl::expected<key_record, error> key_record_from_json(const std::string& text)
{
    try
    {
        const auto value = nlohmann::json::parse(text);
        key_record record;
        record.id = value.at("id").get<std::string>();
        record.team = value.at("team").get<std::string>();
        record.salt = value.at("salt").get<std::string>();
        record.mac = value.at("mac").get<std::string>();
        return record;
    }
    catch (const nlohmann::json::exception& e)
    {
        return tl::make_unexpected(
            error{result_code::invalid_document, e.what()});
    }
}

} // namespace carobcourse
