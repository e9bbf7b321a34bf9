/// JSON encoding of the cell's value types, for rows of the store and messages
/// between entry hosts. Optional members with their default value are left out.
#pragma once

#include <nlohmann/json.hpp>

#include "cell_event_p.hpp"
#include "cell_types_p.hpp"

namespace carobcourse
{

nlohmann::json to_json(const work_spec& work);
/// Throws nlohmann::json::exception when `value` is not an encoded work_spec.
work_spec work_from_json(const nlohmann::json& value);

nlohmann::json to_json(const worker_call& call);
/// Throws nlohmann::json::exception when `value` is not an encoded worker_call.
worker_call worker_call_from_json(const nlohmann::json& value);

nlohmann::json to_json(const worker_answer& answer);
/// Throws nlohmann::json::exception when `value` is not an encoded
/// worker_answer.
worker_answer worker_answer_from_json(const nlohmann::json& value);

} // namespace carobcourse
