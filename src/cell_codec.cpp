#include "cell_codec_p.hpp"

#include <type_traits>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Leaves out members that have their default value, as most do.
template <class Value>
void put_unless_default(json& object, const char* name, const Value& value)
{
    if (!(value == Value{}))
        object[name] = value;
}

json amount_to_json(const resources& amount)
{
    return json::array(
        {amount.cpu_millis, amount.memory_mb, amount.accelerators});
}

resources amount_from_json(const json& value)
{
    return {value.at(0).get<std::int64_t>(), value.at(1).get<std::int64_t>(),
            value.at(2).get<std::int64_t>()};
}

json task_to_json(const cell_task_id& task)
{
    return json::array({task.job, task.occurrence, task.step, task.index});
}

cell_task_id task_from_json(const json& value)
{
    return {value.at(0).get<std::string>(), value.at(1).get<std::uint32_t>(),
            value.at(2).get<std::uint32_t>(), value.at(3).get<std::uint32_t>()};
}

json step_to_json(const step_spec& step)
{
    json value{{"n", step.count}, {"a", amount_to_json(step.amount)}};
    put_unless_default(value, "ms", step.estimate_ms);
    if (!step.depends_on.empty())
        value["after"] = step.depends_on;
    put_unless_default(value, "gang", step.gang);
    put_unless_default(value, "same_rack", step.same_rack);
    put_unless_default(value, "label", step.label);
    put_unless_default(value, "data_rack", step.data_rack);
    put_unless_default(value, "per_worker", step.max_per_worker);
    put_unless_default(value, "speculative", step.speculative);
    put_unless_default(value, "checkpoints", step.checkpoints);
    put_unless_default(value, "long_running", step.long_running);
    put_unless_default(value, "image", step.image);
    put_unless_default(value, "target_ms", step.target_ms);
    put_unless_default(value, "fills", step.uses_spare_cpu);
    put_unless_default(value, "may_miss", step.max_unavailable);
    return value;
}

step_spec step_from_json(const json& value)
{
    step_spec step;
    step.count = value.at("n").get<std::uint32_t>();
    step.amount = amount_from_json(value.at("a"));
    step.estimate_ms = value.value("ms", std::int64_t{0});
    if (value.contains("after"))
        step.depends_on = value["after"].get<std::vector<std::uint32_t>>();
    step.gang = value.value("gang", false);
    step.same_rack = value.value("same_rack", false);
    step.label = value.value("label", std::string());
    step.data_rack = value.value("data_rack", std::string());
    step.max_per_worker = value.value("per_worker", 0U);
    step.speculative = value.value("speculative", false);
    step.checkpoints = value.value("checkpoints", false);
    step.long_running = value.value("long_running", false);
    step.image = value.value("image", std::string());
    step.target_ms = value.value("target_ms", std::int64_t{0});
    step.uses_spare_cpu = value.value("fills", false);
    step.max_unavailable = value.value("may_miss", 0U);
    return step;
}

// Major types of RFC 8949.
constexpr unsigned cbor_unsigned = 0;
constexpr unsigned cbor_negative = 1;
constexpr unsigned cbor_text = 3;
constexpr unsigned cbor_array = 4;
constexpr unsigned cbor_map = 5;

/// Appends CBOR to a text.
class cbor_writer
{
public:
    explicit cbor_writer(std::string& out) : out_(out) {}

    void put_head(unsigned major, std::uint64_t argument)
    {
        constexpr std::uint64_t max_direct = 23;
        constexpr unsigned first_sized = 24;
        if (argument <= max_direct)
        {
            put_byte(major << 5U | static_cast<unsigned>(argument));
            return;
        }
        // The argument takes 1, 2, 4 or 8 bytes, the highest first.
        unsigned size_code = 0;
        while (size_code < 3 && argument >> (8U << size_code) != 0)
            ++size_code;
        put_byte(major << 5U | (first_sized + size_code));
        for (auto shift = 8U << size_code; shift > 0; shift -= 8)
            put_byte(static_cast<unsigned>(argument >> (shift - 8)) & 0xffU);
    }
    void put(std::uint64_t number)
    {
        put_head(cbor_unsigned, number);
    }
    void put(std::int64_t number)
    {
        if (number >= 0)
            put_head(cbor_unsigned, static_cast<std::uint64_t>(number));
        else
            put_head(cbor_negative, static_cast<std::uint64_t>(-(number + 1)));
    }
    void put(const std::string& text)
    {
        put_head(cbor_text, text.size());
        out_ += text;
    }

private:
    void put_byte(unsigned value)
    {
        out_ += static_cast<char>(value);
    }

    std::string& out_;
};

} // namespace

json to_json(const job_spec& work)
{
    json steps = json::array();
    for (const auto& step : work.steps)
        steps.push_back(step_to_json(step));
    json value{{"p", work.payload}, {"s", steps}};
    put_unless_default(value, "times", work.occurrences);
    put_unless_default(value, "first", work.first_due_ms);
    put_unless_default(value, "every", work.interval_ms);
    return value;
}

job_spec work_from_json(const json& value)
{
    job_spec work;
    work.payload = value.at("p").get<std::string>();
    for (const auto& step : value.at("s"))
        work.steps.push_back(step_from_json(step));
    work.occurrences = value.value("times", 0U);
    work.first_due_ms = value.value("first", std::int64_t{0});
    work.interval_ms = value.value("every", std::int64_t{0});
    return work;
}

void append_call_item(const worker_call& call, std::string& message,
                      std::optional<std::int64_t> deadline_us)
{
    cbor_writer item(message);
    item.put_head(cbor_map, deadline_us ? 3 : 2);
    item.put("k");
    item.put("call");
    if (deadline_us)
    {
        item.put("d");
        item.put(*deadline_us);
    }
    item.put("v");
    // Members are appended to a text of their own, because their number comes
    // first.
    std::string members;
    cbor_writer value(members);
    std::size_t count = 0;
    const auto put = [&](const char* name, const auto& member)
    {
        value.put(name);
        value.put(member);
        ++count;
    };
    const auto put_if_set = [&put](const char* name, const auto& member)
    {
        if (!(member == std::decay_t<decltype(member)>{}))
            put(name, member);
    };
    put("i", call.id);
    put("o", static_cast<std::uint64_t>(call.command));
    put("to", call.timeout_ms);
    put_if_set("w", call.worker);
    put_if_set("a", call.address);
    put_if_set("e", call.epoch);
    put_if_set("f", std::uint64_t{call.fence});
    if (!call.task.job.empty())
    {
        value.put("t");
        value.put_head(cbor_array, 4);
        value.put(call.task.job);
        for (const auto number :
             {call.task.occurrence, call.task.step, call.task.index})
            value.put(std::uint64_t{number});
        ++count;
    }
    put_if_set("r", std::uint64_t{call.run});
    put_if_set("p", call.payload);
    put_if_set("c", call.checkpoint);
    put_if_set("k", call.ticket);
    put_if_set("l", call.lease_until_ms);
    put_if_set("n", call.acked_end);
    put_if_set("m", call.wait_ms);
    if (call.pace_percent != 100)
        put("pc", std::int64_t{call.pace_percent});
    if (!call.workers.empty())
    {
        value.put("ws");
        value.put_head(cbor_array, call.workers.size());
        for (const auto& worker : call.workers)
            value.put(worker);
        ++count;
    }
    item.put_head(cbor_map, count);
    message += members;
}

std::string cbor_array_head(std::size_t count)
{
    std::string head;
    cbor_writer(head).put_head(cbor_array, count);
    return head;
}

worker_call worker_call_from_json(const json& value)
{
    worker_call call;
    call.id = value.at("i").get<std::uint64_t>();
    call.command = static_cast<worker_command>(value.at("o").get<int>());
    call.timeout_ms = value.at("to").get<std::int64_t>();
    call.worker = value.value("w", std::string());
    call.address = value.value("a", std::string());
    call.epoch = value.value("e", std::uint64_t{0});
    call.fence = value.value("f", 0U);
    if (value.contains("t"))
        call.task = task_from_json(value["t"]);
    call.run = value.value("r", 0U);
    call.payload = value.value("p", std::string());
    call.checkpoint = value.value("c", std::string());
    call.ticket = value.value("k", std::string());
    call.lease_until_ms = value.value("l", std::int64_t{0});
    call.acked_end = value.value("n", std::uint64_t{0});
    call.wait_ms = value.value("m", std::int64_t{0});
    call.pace_percent = value.value("pc", 100);
    if (value.contains("ws"))
        call.workers = value["ws"].get<std::vector<std::string>>();
    return call;
}

json to_json(const worker_answer& answer)
{
    json value{{"i", answer.id}, {"s", static_cast<int>(answer.status)}};
    if (answer.clock_ms >= 0)
        value["c"] = answer.clock_ms;
    put_unless_default(value, "b", answer.incarnation_start_ms);
    for (const auto& each : answer.running)
        value["r"].push_back({task_to_json(each.task), each.run,
                              each.checkpoint, each.progress_percent,
                              each.metric});
    for (const auto& each : answer.ended)
        value["f"].push_back({each.number, task_to_json(each.task), each.run,
                              static_cast<int>(each.kind), each.checkpoint});
    for (const auto& each : answer.tickets)
        value["k"].push_back({each.worker, each.ticket});
    return value;
}

worker_answer worker_answer_from_json(const json& value)
{
    worker_answer answer;
    answer.id = value.at("i").get<std::uint64_t>();
    answer.status = static_cast<command_status>(value.at("s").get<int>());
    answer.clock_ms = value.value("c", std::int64_t{-1});
    answer.incarnation_start_ms = value.value("b", std::int64_t{0});
    if (value.contains("r"))
    {
        for (const auto& each : value["r"])
            answer.running.push_back(
                {task_from_json(each.at(0)), each.at(1).get<std::uint32_t>(),
                 each.at(2).get<std::string>(), each.at(3).get<int>(),
                 each.at(4).get<std::int64_t>()});
    }
    if (value.contains("f"))
    {
        for (const auto& each : value["f"])
            answer.ended.push_back(
                {each.at(0).get<std::uint64_t>(), task_from_json(each.at(1)),
                 each.at(2).get<std::uint32_t>(),
                 static_cast<end_kind>(each.at(3).get<int>()),
                 each.at(4).get<std::string>()});
    }
    if (value.contains("k"))
    {
        for (const auto& each : value["k"])
            answer.tickets.push_back(
                {each.at(0).get<std::string>(), each.at(1).get<std::string>()});
    }
    return answer;
}

} // namespace carobcourse
