#include <array>
#include <carobcourse/result_code.hpp>
#include <fmt/format.h>

namespace carobcourse
{

namespace
{

constexpr result_info infos[] = {
#define CAROBCOURSE_INFO(name, number, http, ran_value, text)                  \
    {#name, number, http, ran::ran_value, text},
    CAROBCOURSE_RESULT_CODES(CAROBCOURSE_INFO)
#undef CAROBCOURSE_INFO
};

} // namespace

const result_info& info(result_code code)
{
    const auto number = static_cast<std::uint16_t>(code);
    for (const auto& entry : infos)
    {
        if (entry.number == number)
            return entry;
    }
    return info(result_code::internal_error);
}

std::string to_string(result_code code)
{
    return fmt::format("CC-{:04}", static_cast<unsigned>(code));
}

const char* to_string(ran value)
{
    switch (value)
    {
    case ran::not_run:
        return "not run";
    case ran::unknown:
        return "unknown";
    case ran::not_applicable:
        break;
    }
    return "not applicable";
}

} // namespace carobcourse
