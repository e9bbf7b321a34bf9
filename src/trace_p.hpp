/// Recorded traces: the events of one entry host with the random bytes it
/// drew, and the outcomes that are stated for them. One JSON object a line.
///
///   {"host": {...}, "seed": 1}              first line
///   {"entropy": "0a1b..."}                  random bytes, in drawing order
///   {"at_us": 10, "event": {"type": ...}}   an event
///   {"expect": {"type": ..., ...}}          an effect of the last event
///   {"expect_none": {"type": ..., ...}}     no such effect of any event from
///                                           here on
///
/// An expectation matches an effect that has at least its members, with
/// equal values, at every depth; of lists each element must be found.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core_context_p.hpp"
#include "event_p.hpp"

namespace carobcourse
{

nlohmann::json event_to_json(const event& what);
/// Throws nlohmann::json::exception on malformed input.
event event_from_json(const nlohmann::json& value);

nlohmann::json effect_to_json(const effect& what);

/// True when `whole` has at least what `part` has.
bool matches_part(const nlohmann::json& part, const nlohmann::json& whole);

/// Result of replaying a trace.
struct replay_report
{
    std::size_t events = 0;
    std::size_t effects = 0;
    std::size_t expectations = 0;
    /// Expectations that were not met, as "LINE: what".
    std::vector<std::string> unmet;
};

/// Replays a trace. Errors: a malformed line, by number.
tl::expected<replay_report, error> replay_trace(std::istream& trace);

/// Writes a trace while a process runs. Not thread safe.
class trace_writer
{
public:
    /// `out` must outlive the writer.
    explicit trace_writer(std::ostream& out);
    void write_header(const host_identity& identity, std::uint64_t seed);
    void write_entropy(const std::string& hex);
    void write_event(time_point now, const event& what);
    /// States the answers to callers as expected outcomes.
    void write_replies(const effects& out);

private:
    std::ostream& out_;
};

} // namespace carobcourse
