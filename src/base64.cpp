#include "base64_p.hpp"

#include <openssl/evp.h>

namespace carobcourse
{

namespace
{

constexpr std::size_t base64_text_group = 4;
constexpr std::size_t base64_byte_group = 3;

} // namespace

std::string to_base64(const std::string& bytes)
{
    std::string text(base64_text_group * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> from_base64(const std::string& text)
{
    if (text.size() % base64_text_group != 0)
        return std::nullopt;
    std::string bytes(base64_byte_group * (text.size() / base64_text_group),
                      '\0');
    const auto length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    // The decoder counts the padding as zero bytes.
    auto padding = std::size_t{0};
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace carobcourse
