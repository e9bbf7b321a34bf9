#include "log_event_p.hpp"

namespace carobcourse
{

const log_info& info(log_code code)
{
    static constexpr log_info infos[] = {
#define CAROBCOURSE_INFO(name, number, level, text)                            \
    {#name, number, log_level::level, text},
        CAROBCOURSE_LOG_EVENTS(CAROBCOURSE_INFO)
#undef CAROBCOURSE_INFO
    };
    for (const auto& entry : infos)
    {
        if (entry.number == static_cast<std::uint16_t>(code))
            return entry;
    }
    return infos[0];
}

} // namespace carobcourse
