/// JSON encoding of the cell's value types, for rows of the store and messages
/// between entry hosts. Optional members with their default value are left out.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cell_event_p.hpp"
#include "cell_types_p.hpp"

namespace carobcourse
{

nlohmann::json to_json(const job_spec& work);
/// Throws nlohmann::json::exception when `value` is not an encoded job_spec.
job_spec work_from_json(const nlohmann::json& value);

/// Appends the CBOR encoding of the message item that carries `call`:
/// {"k": "call", "v": the call, "d": the deadline}. The deadline is on the
/// clock of the receiver, in microseconds; without one the member is left out.
/// Most of the owner's messages are calls, so they are written without a JSON
/// value in between.
void append_call_item(const worker_call& call, std::string& message,
                      std::optional<std::int64_t> deadline_us = {});
/// Throws nlohmann::json::exception when `value` is not an encoded worker_call.
worker_call worker_call_from_json(const nlohmann::json& value);

nlohmann::json to_json(const worker_answer& answer);
/// Throws nlohmann::json::exception when `value` is not an encoded
/// worker_answer.
worker_answer worker_answer_from_json(const nlohmann::json& value);

/// Returns the CBOR head of an array of `count` items.
std::string cbor_array_head(std::size_t count);

} // namespace carobcourse
