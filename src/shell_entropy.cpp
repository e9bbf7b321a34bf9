#include "shell_entropy_p.hpp"

#include <fmt/format.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace carobcourse
{

std::string random_hex(std::size_t bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes; ++i)
    {
        unsigned char byte = 0;
        if (RAND_bytes(&byte, 1) != 1)
            throw std::runtime_error("no random bytes from the system");
        out += fmt::format("{:02x}", byte);
    }
    return out;
}

} // namespace carobcourse
