/// JSON forms of the cell's own values, for rows of the store and for
/// messages between entry hosts.
#pragma once

#include <nlohmann/json.hpp>

#include "cell_event_p.hpp"
#include "cell_types_p.hpp"

namespace carobcourse
{

nlohmann::json to_json(const work_spec& work);
/// Throws nlohmann::json::exception.
work_spec work_from_json(const nlohmann::json& value);

nlohmann::json to_json(const worker_call& call);
/// Throws nlohmann::json::exception.
worker_call worker_call_from_json(const nlohmann::json& value);

nlohmann::json to_json(const worker_answer& answer);
/// Throws nlohmann::json::exception.
worker_answer worker_answer_from_json(const nlohmann::json& value);

} // namespace carobcourse
