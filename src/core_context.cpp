#include "core_context_p.hpp"

#include <nlohmann/json.hpp>

namespace carobcourse
{

std::string error_body(const error& why)
{
    const auto& description = info(why.code);
    nlohmann::json body{{"code", to_string(why.code)},
                        {"name", description.name},
                        {"text", description.text},
                        {"ran", to_string(description.ran_state)}};
    if (!why.detail.empty())
        body["detail"] = without_secrets(why.detail);
    return nlohmann::json{{"error", body}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void core_context::refuse(call_id call, const error& why)
{
    counters.count_refusal(why.code);
    reply(call, info(why.code).http_status, error_body(why));
}

} // namespace carobcourse
