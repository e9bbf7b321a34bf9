/// JSON forms of the values that cross process boundaries. Readers throw
/// nlohmann::json::exception on malformed input; callers catch it at the
/// boundary.
#pragma once

#include <carobcourse/types.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "event_p.hpp"

namespace carobcourse
{

nlohmann::json to_json(const resources& amount);
resources resources_from_json(const nlohmann::json& value);

nlohmann::json to_json(const attempt_id& attempt);
attempt_id attempt_from_json(const nlohmann::json& value);

nlohmann::json to_json(const worker_sync& message);
worker_sync worker_sync_from_json(const nlohmann::json& value);

nlohmann::json to_json(const sync_reply& reply);
sync_reply sync_reply_from_json(const nlohmann::json& value);

nlohmann::json to_json(const host_entry& host);
host_entry host_entry_from_json(const nlohmann::json& value);

const char* to_string(job_kind kind);
const char* to_string(job_class value);
const char* to_string(task_outcome outcome);

} // namespace carobcourse
