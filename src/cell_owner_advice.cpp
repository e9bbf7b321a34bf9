// Questions to the advice service, which decides which workers may run a step.
#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// Maximum time from the issue of a ticket to its arrival.
constexpr auto max_ticket_delay = std::chrono::milliseconds(100);
/// A call to the advice service whose fixed part takes longer than this is
/// long.
constexpr double long_call_ms = 100;
/// Added to twice the expected time of a call to the advice service.
constexpr std::int64_t advice_timeout_margin_ms = 1000;

// Maximum number of workers named in one call to the advice service, whose time
// grows with their number: for queues of priority 0, for other queues, and for
// gangs whose calls are long.
constexpr std::size_t max_workers_per_short_call = 16;
constexpr std::size_t max_workers_per_call = 30;
constexpr std::size_t max_workers_per_gang_call = 48;

/// Minimum time from an answer of the advice service to the next call for the
/// same step.
constexpr auto advice_retry_delay = std::chrono::milliseconds(30);
constexpr auto long_call_retry_delay = std::chrono::milliseconds(150);
/// A call names at least as many workers as take this part of the time that the
/// call takes anyway.
constexpr double workers_per_fixed_part = 4;

} // namespace

std::size_t cell_owner::max_workers_named(const ready_step& ready)
{
    if (ready.job->spec().steps[ready.step].gang &&
        ready.queue->advice->call_ms > long_call_ms)
        return max_workers_per_gang_call;
    return ready.queue->priority == 0 ? max_workers_per_short_call
                                      : max_workers_per_call;
}

/// Names first the allowed workers whose tickets have expired, then workers
/// from a random one on, so that the cost does not grow with the cell. Urgent
/// steps name the fastest workers with room.
std::vector<std::string>
cell_owner::choose_workers_to_advise(time_point now, const ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    std::vector<std::string> result;
    if (step->advice.calls_in_flight > 0 || now < step->advice.ask_again_at ||
        !advice_hosts_.has_free_host(now,
                                     advice_call_ms(*ready.queue->advice, 1)))
        return result;
    const bool urgent = ready.queue->priority == 0 && !ready.job->excess;
    // Returns the number of tasks that have room on the worker; 0 when it can
    // not be used for the step.
    const auto slots_on = [&](const cell_worker& worker) -> std::uint32_t
    {
        ++examined_;
        if (!meets_requirements(worker, ready.queue->service, spec))
            return 0;
        if (!urgent && reservations_.is_reserved_for_other(worker.number(),
                                                           ready.step_key))
            return 0;
        return tasks_that_fit(worker.room(), spec,
                              worker.runs_of_step(ready.step_key));
    };
    const auto max_workers = max_workers_named(ready);
    std::uint32_t expired_slots = 0;
    for (const auto& known : step->advice.by_worker)
    {
        if (!known.allowed ||
            now + config::cell_min_ticket_validity < known.valid_until)
            continue;
        const auto* worker = eligible_.find(known.worker);
        const auto slots = worker ? slots_on(*worker) : 0;
        expired_slots += slots;
        if (slots > 0 && result.size() < max_workers)
            result.push_back(worker->report().id);
    }
    // No further advice is needed when the workers with expired tickets have
    // enough room.
    if (expired_slots >= ready.waiting_tasks)
        return result;
    const auto known = known_workers(*step);
    visit_workers(urgent,
                  [&](const cell_worker& worker)
                  {
                      if (!known[worker.number()] && slots_on(worker) > 0)
                          result.push_back(worker.report().id);
                      return result.size() < max_workers;
                  });
    return result;
}

std::vector<bool> cell_owner::known_workers(const step_state& step) const
{
    std::vector<bool> known(eligible_.by_number.size());
    for (const auto& advice : step.advice.by_worker)
        if (advice.worker < known.size())
            known[advice.worker] = true;
    return known;
}

bool cell_owner::ask_about_gang(time_point now, const ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    const auto* step = ready.job->find_step(ready.occurrence, ready.step);
    const auto& cost = *ready.queue->advice;
    if (step->advice.calls_in_flight > 0 || now < step->advice.ask_again_at)
        return false;
    gang_call_limits limits;
    limits.workers_per_call = max_workers_named(ready);
    limits.calls = advice_hosts_.free_host_count(now, advice_call_ms(cost, 1));
    if (cost.worker_ms > 0)
        limits.min_workers = static_cast<std::size_t>(
            cost.call_ms / cost.worker_ms / workers_per_fixed_part);
    if (limits.calls == 0)
        return false;
    gang_room room;
    room.tasks = static_cast<std::uint32_t>(step->tasks.size());
    std::vector<advisable_worker> options;
    const auto known = known_workers(*step);
    const bool urgent = ready.queue->priority == 0 && !ready.job->excess;
    for (const auto* worker : eligible_.all)
    {
        ++examined_;
        if (!meets_requirements(*worker, ready.queue->service, spec))
            continue;
        const auto slots_when_empty =
            tasks_that_fit(worker->report().capacity, spec, 0);
        if (slots_when_empty == 0)
            continue;
        const bool reserved = reservations_.is_reserved_for_other(
            worker->number(), ready.step_key);
        const auto slots_now = tasks_that_fit(worker->room(), spec, 0);
        if (!known[worker->number()])
        {
            options.push_back({worker->number(), slots_now, slots_when_empty,
                               worker->room().cpu_millis, reserved,
                               urgent ? class_of(*worker).number : 0});
            continue;
        }
        const auto* advice = step->advice.find(worker->number());
        if (!advice->allowed || reserved)
            continue;
        room.slots_now += slots_now;
        room.slots_when_empty += slots_when_empty;
    }
    const auto calls =
        plan_gang_calls(room, std::move(options),
                        advice_shares_.share(ready.queue->name), limits);
    for (const auto& call : calls)
    {
        std::vector<std::string> worker_ids;
        worker_ids.reserve(call.size());
        for (const auto number : call)
            worker_ids.push_back(eligible_.find(number)->report().id);
        request_advice(now, ready, std::move(worker_ids));
    }
    return step->advice.calls_in_flight > 0;
}

/// Returns the reserved workers of a gang when their tickets are to be renewed.
std::vector<std::string>
cell_owner::workers_to_renew(time_point now, const ready_step& ready) const
{
    const auto kept = reservations_.workers_of(ready.step_key);
    const auto& advice =
        ready.job->find_step(ready.occurrence, ready.step)->advice;
    if (advice.calls_in_flight > 0 || now < advice.ask_again_at)
        return {};
    std::vector<std::string> worker_ids;
    auto valid_until = time_point::max();
    for (const auto number : kept)
    {
        const auto* worker = eligible_.find(number);
        const auto* known = advice.find(number);
        if (!worker || !known)
            continue;
        worker_ids.push_back(worker->report().id);
        valid_until = std::min(valid_until, known->valid_until);
    }
    const auto call_time = std::chrono::milliseconds(static_cast<std::int64_t>(
        advice_call_ms(*ready.queue->advice, worker_ids.size())));
    if (!is_renewal_due(now, call_time,
                        reservations_.expected_at(ready.step_key), valid_until))
        worker_ids.clear();
    return worker_ids;
}

void cell_owner::request_advice(time_point now, const ready_step& ready,
                                std::vector<std::string> workers)
{
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    if (workers.empty())
        return;
    const auto& cost = *ready.queue->advice;
    const auto expected = advice_call_ms(cost, workers.size());
    const auto host = advice_hosts_.acquire(now, expected);
    if (!host)
        return;
    worker_call call;
    call.command = worker_command::advise;
    call.task = {ready.job->id(), ready.occurrence, ready.step, 0};
    call.workers = workers;
    call.timeout_ms =
        static_cast<std::int64_t>(2 * expected) + advice_timeout_margin_ms;
    pending_call pending;
    pending.job = ready.job->id();
    pending.occurrence = ready.occurrence;
    pending.step = ready.step;
    pending.advised_workers = std::move(workers);
    ++step->advice.calls_in_flight;
    context_.counters.count("carobcourse_advice_calls_total",
                            ready.queue->name);
    context_.counters.count("carobcourse_advice_workers_named_total",
                            ready.queue->name, call.workers.size());
    send_call(now, *host, std::move(call), std::move(pending));
}

void cell_owner::on_advice_answer(time_point now, const pending_call& pending,
                                  const worker_answer& answer)
{
    advice_hosts_.release(now, pending.relay);
    auto* job = find_job(pending.job);
    auto* step =
        job ? job->find_step(pending.occurrence, pending.step) : nullptr;
    if (!step)
        return;
    if (step->advice.calls_in_flight > 0)
        --step->advice.calls_in_flight;
    step->latest_pass = 0;
    const auto* queue = find_queue(*job);
    const bool is_long_call =
        queue && queue->advice && queue->advice->call_ms > long_call_ms;
    step->advice.ask_again_at =
        now + (is_long_call ? long_call_retry_delay : advice_retry_delay);
    if (answer.status != command_status::ok)
    {
        context_.counters.count("carobcourse_advice_failures_total",
                                to_string(answer.status));
        context_.log(log_code::cell_advice_failed,
                     fmt::format("job={} step={} agent={} status={}",
                                 pending.job, pending.step, pending.relay,
                                 to_string(answer.status)));
        return;
    }
    if (!queue || !queue->advice)
        return;
    advice_shares_.record(queue->name, pending.advised_workers.size(),
                          answer.tickets.size());
    for (const auto& id : pending.advised_workers)
        if (const auto* worker = workers_.find(id))
            step->advice.at(worker->number()).allowed = false;
    const auto valid_until =
        now + std::chrono::milliseconds(queue->advice->valid_ms) -
        max_ticket_delay;
    for (const auto& ticket : answer.tickets)
        if (const auto* worker = workers_.find(ticket.worker))
            step->advice.at(worker->number()) = {worker->number(), true,
                                                 ticket.ticket, valid_until};
}

} // namespace carobcourse
