/// Random bytes of the system, for names and secrets.
#pragma once

#include <string>

#include "keyring_p.hpp"

namespace carobcourse
{

/// `bytes` random bytes in hexadecimal. Thread safe. Throws std::runtime_error
/// when the system has none.
std::string random_hex(std::size_t bytes);

/// Thread safe.
class random_bytes final : public entropy_source
{
public:
    std::string hex(std::size_t bytes) override
    {
        return random_hex(bytes);
    }
};

} // namespace carobcourse
