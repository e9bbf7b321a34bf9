#include "cell_owner_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// Time that a ticket must be valid for when its start is sent.
constexpr auto ticket_margin = std::chrono::milliseconds(150);
/// From the issue of a ticket to its arrival, at most.
constexpr auto ticket_travel = std::chrono::milliseconds(100);
/// Workers named in one call, by how much the call costs.
constexpr std::size_t most_named_cheap = 16;
constexpr std::size_t most_named = 30;
constexpr std::size_t most_named_gang = 48;
/// A round of dispatch takes time for each waiting step and worker. Beyond so
/// many of them, rounds keep a distance that grows by this much for each, so
/// that a long queue and a large cell leave time for events.
constexpr int dispatch_free_items = 100;
constexpr auto dispatch_item_gap = std::chrono::microseconds(15);
constexpr auto ask_again = std::chrono::milliseconds(30);
constexpr auto ask_again_gang = std::chrono::milliseconds(150);
/// A gang keeps its reserved workers for so long before it chooses again: long
/// enough for a call for advice.
constexpr auto reservation_time = std::chrono::seconds(1);
/// Part of all workers that gangs may reserve, in percent.
constexpr std::size_t reserved_percent = 50;

bool suits(const cell_worker& worker, const std::string& service,
           const step_spec& step)
{
    const auto& report = worker.report();
    return report.service == service &&
           (step.label.empty() ||
            std::find(report.labels.begin(), report.labels.end(), step.label) !=
                report.labels.end());
}

} // namespace

std::vector<cell_owner::ready_step> cell_owner::ready_steps(time_point now)
{
    std::vector<ready_step> ready;
    for (auto& [id, job] : jobs_)
    {
        if (is_final(job->phase()))
            continue;
        const auto* queue = context_.config->queue_named(job->queue());
        if (!queue)
            continue;
        for (auto& [number, occurrence] : job->occurrences())
        {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
            {
                const auto& step = occurrence.steps[s];
                const auto waiting =
                    static_cast<std::uint32_t>(step.tasks.size()) - step.done -
                    step.active;
                const bool gang = job->spec().steps[s].gang;
                if (waiting == 0 || (gang && step.active > 0) ||
                    !job->is_ready(occurrence, s))
                    continue;
                order_input input;
                input.priority = queue->priority;
                input.excess = job->excess;
                input.objective = job->objective;
                input.chain_ms = job->spec().steps[s].estimate_ms;
                input.tie = step.key;
                ready.push_back({order_of(input, now), job.get(), queue, number,
                                 s, input.tie, waiting});
            }
        }
    }
    std::sort(ready.begin(), ready.end(),
              [](const ready_step& a, const ready_step& b)
              { return a.order < b.order; });
    return ready;
}

void cell_owner::dispatch(time_point now)
{
    // A start that could not be given a lease would be refused.
    if (lease_left(now) < duration(config::cell_start_timeout))
        return;
    auto ready = ready_steps(now);
    find_open_workers(now);
    const auto items = static_cast<int>(ready.size() + open_.all.size());
    next_dispatch_ =
        now + dispatch_item_gap * std::max(0, items - dispatch_free_items);
    for (auto at = reservations_.begin(); at != reservations_.end();)
    {
        const bool waits = std::any_of(ready.begin(), ready.end(),
                                       [&](const ready_step& each)
                                       { return each.key == at->first; });
        at = waits && now < at->second.until ? std::next(at)
                                             : reservations_.erase(at);
    }
    for (auto& each : ready)
    {
        if (each.job->spec().steps[each.step].gang)
            place_gang(now, each);
        else
            place_tasks(now, each);
    }
}

void cell_owner::find_open_workers(time_point now)
{
    open_.all.clear();
    open_.by_number.clear();
    open_.largest_room = {};
    for (const auto& [id, worker] : workers_.all())
    {
        const auto& report = worker.report();
        if (!worker.held || !worker.reachable || !worker.listed ||
            report.draining || now < worker.avoid_until ||
            worker.has_unknown_run() ||
            context_.data_centres_out.count(report.data_centre) > 0)
            continue;
        open_.all.push_back(&worker);
        if (worker.number() >= open_.by_number.size())
            open_.by_number.resize(worker.number() + 1);
        open_.by_number[worker.number()] = &worker;
        const auto room = worker.room();
        auto& largest = open_.largest_room;
        largest = {std::max(largest.cpu_millis, room.cpu_millis),
                   std::max(largest.memory_mb, room.memory_mb),
                   std::max(largest.accelerators, room.accelerators)};
    }
}

bool cell_owner::is_reserved(worker_number worker, std::uint64_t key) const
{
    return std::any_of(reservations_.begin(), reservations_.end(),
                       [&](const auto& each) {
                           return each.first != key &&
                                  each.second.workers.count(worker) > 0;
                       });
}

std::vector<placement_candidate> cell_owner::candidates(time_point now,
                                                        const ready_step& ready,
                                                        bool with_ticket) const
{
    const auto& step = ready.job->spec().steps[ready.step];
    std::vector<placement_candidate> result;
    const bool urgent = ready.queue->priority == 0 && !ready.job->excess;
    const auto add = [&](const cell_worker& worker, const std::string& ticket)
    {
        if (!suits(worker, ready.queue->service, step))
            return;
        const bool reserved = is_reserved(worker.number(), ready.key);
        if (reserved && !urgent)
            return;
        result.push_back({&worker, ticket, reserved});
    };
    if (!ready.queue->advice)
    {
        for (const auto* worker : open_.all)
            add(*worker, {});
        return result;
    }
    const auto* run = ready.job->find_step(ready.occurrence, ready.step);
    for (const auto& [number, verdict] : run->advice.by_worker)
    {
        if (!verdict.good || number >= open_.by_number.size() ||
            !open_.by_number[number] ||
            (with_ticket && now + ticket_margin >= verdict.valid_until))
            continue;
        add(*open_.by_number[number], verdict.ticket);
    }
    return result;
}

bool cell_owner::within_cap(const cell_job& job, const resources& more) const
{
    const auto* customer = context_.config->customer_named(job.customer());
    if (!customer)
        return true;
    const auto used = workers_.usage_of(job.customer()) + more;
    const auto over = [](std::int64_t amount, std::int64_t cap)
    { return cap > 0 && amount > cap; };
    return !over(used.cpu_millis, customer->cap.cpu_millis) &&
           !over(used.memory_mb, customer->cap.memory_mb) &&
           !over(used.accelerators, customer->cap.accelerators);
}

void cell_owner::start_task(time_point now, const ready_step& ready,
                            std::uint32_t index, const cell_worker& worker,
                            const std::string& ticket, std::uint32_t run)
{
    auto& job = *ready.job;
    const auto& spec = job.spec().steps[ready.step];
    auto* step = job.find_step(ready.occurrence, ready.step);
    auto& task = step->tasks[index];
    auto& at = *workers_.find(worker.report().id);
    const cell_task_id id{job.id(), ready.occurrence, ready.step, index};
    task.state = cell_task_state::starting;
    task.worker = at.report().id;
    task.run = run;
    ++step->active;
    cell_run entry;
    entry.amount = spec.amount;
    entry.fills = spec.fills;
    entry.customer = job.customer();
    entry.step_key = ready.key;
    entry.start_checkpoint = task.checkpoint;
    entry.expected_end = now + std::chrono::milliseconds(spec.estimate_ms);
    workers_.add_run(at, {id, run}, std::move(entry));
    if (!job.has_started())
    {
        job.note_started();
        context_.counters.observe(
            "carobcourse_job_wait_seconds",
            std::chrono::milliseconds(std::max<std::int64_t>(
                0, context_.unix_ms - job.accepted_unix_ms())));
    }
    context_.log(log_code::cell_task_started,
                 fmt::format("task={} run={} worker={} room_cpu={} "
                             "room_memory_mb={} config={} epoch={}",
                             to_string(id), run, at.report().id,
                             at.room().cpu_millis, at.room().memory_mb,
                             context_.config->version(), row().epoch));
    send_start(now, at, {id, run}, ticket, 0);
}

/// A worker takes a start once however often it is sent, so one without an
/// answer is sent again to the same worker.
void cell_owner::send_start(time_point now, cell_worker& worker,
                            const run_key& key, const std::string& ticket,
                            unsigned attempt)
{
    const auto& job = *jobs_.at(key.first.job);
    auto& run = *worker.find(key);
    const auto until =
        worker.clock_at(now) +
        std::min(duration(config::cell_start_window), lease_left(now)) /
            std::chrono::milliseconds(1);
    run.start_until_ms = std::max(run.start_until_ms, until);
    worker_call call;
    call.command = worker_command::start;
    call.worker = worker.report().id;
    call.address = worker.report().address;
    call.timeout_ms = config::cell_start_timeout.count();
    call.task = key.first;
    call.run = key.second;
    call.payload = job.spec().payload;
    call.checkpoint = run.start_checkpoint;
    call.ticket = ticket;
    call.lease_until_ms = until;
    pending_call pending;
    pending.key = key;
    pending.ticket = ticket;
    pending.attempt = attempt;
    send_call(now, agent_for(worker, attempt), std::move(call),
              std::move(pending));
}

void cell_owner::place_tasks(time_point now, ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    if (tasks_that_fit(open_.largest_room, spec, 0) == 0)
        return;
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    if (ready.job->durable)
    {
        const auto usable = candidates(now, ready, true);
        for (std::uint32_t i = 0; i < step->tasks.size(); ++i)
        {
            auto& task = step->tasks[i];
            if (task.state != cell_task_state::waiting)
                continue;
            if (!within_cap(*ready.job, spec.amount))
                return;
            const auto* best = choose_worker(usable, spec, ready.key);
            if (!best)
                break;
            start_task(now, ready, i, *best->worker, best->ticket,
                       cell_job::next_run(task.run, row().epoch,
                                          ready.job->accepted_epoch()));
            --ready.waiting;
        }
    }
    if (ready.waiting > 0 && ready.queue->advice &&
        within_cap(*ready.job, spec.amount))
        ask_advice(now, ready, workers_to_ask(now, ready));
}

void cell_owner::place_gang(time_point now, ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    const auto count = static_cast<std::uint32_t>(step->tasks.size());
    if (!within_cap(*ready.job, spec.amount * count))
        return;
    if (ready.job->durable)
    {
        const auto plan = plan_gang(candidates(now, ready, true), spec, count);
        if (!plan.empty())
        {
            std::uint32_t last = 0;
            std::string checkpoint;
            for (const auto& task : step->tasks)
            {
                last = std::max(last, task.run);
                checkpoint = std::max(checkpoint, task.checkpoint);
            }
            const auto run = cell_job::next_run(last, row().epoch,
                                                ready.job->accepted_epoch());
            std::uint32_t index = 0;
            for (const auto& share : plan)
            {
                for (std::uint32_t i = 0; i < share.tasks; ++i, ++index)
                {
                    // One checkpoint is valid for all members.
                    step->tasks[index].checkpoint = checkpoint;
                    start_task(now, ready, index, *share.worker, share.ticket,
                               run);
                }
            }
            reservations_.erase(ready.key);
            return;
        }
    }
    if (!ready.queue->advice)
    {
        reserve(now, ready);
        return;
    }
    if (step->advice.call != 0)
        return;
    const auto fresh = plan_gang(candidates(now, ready, false), spec, count);
    if (!fresh.empty())
    {
        // The room is kept until the tickets arrive.
        std::vector<std::string> names;
        names.reserve(fresh.size());
        reservation kept;
        kept.until = now + reservation_time;
        for (const auto& share : fresh)
        {
            names.push_back(share.worker->report().id);
            kept.workers.insert(share.worker->number());
        }
        ask_advice(now, ready, std::move(names));
        if (step->advice.call != 0)
            reservations_[ready.key] = std::move(kept);
        return;
    }
    auto names = workers_to_ask(now, ready);
    if (names.empty())
        names = tickets_to_renew(now, ready);
    ask_advice(now, ready, std::move(names));
    reserve(now, ready);
}

/// Workers kept for a waiting gang whose tickets would be over when the room
/// is there.
std::vector<std::string>
cell_owner::tickets_to_renew(time_point now, const ready_step& ready) const
{
    const auto kept = reservations_.find(ready.key);
    if (kept == reservations_.end())
        return {};
    const auto& advice =
        ready.job->find_step(ready.occurrence, ready.step)->advice;
    const auto call = std::chrono::milliseconds(static_cast<std::int64_t>(
        advice_ms(*ready.queue->advice, kept->second.workers.size())));
    std::vector<std::string> names;
    bool is_due = false;
    for (const auto number : kept->second.workers)
    {
        const auto verdict = advice.by_worker.find(number);
        if (number >= open_.by_number.size() || !open_.by_number[number] ||
            verdict == advice.by_worker.end())
            continue;
        names.push_back(open_.by_number[number]->report().id);
        is_due = is_due || now + call >= verdict->second.valid_until;
    }
    if (!is_due || now < advice.ask_again_at)
        names.clear();
    return names;
}

/// Keeps workers free for a gang that does not fit now, so that small tasks
/// do not take each gap before all members have room.
void cell_owner::reserve(time_point now, const ready_step& ready)
{
    if (reservations_.count(ready.key) || !ready.job->durable)
        return;
    const auto& spec = ready.job->spec().steps[ready.step];
    std::set<worker_number> taken;
    for (const auto& [key, each] : reservations_)
        taken.insert(each.workers.begin(), each.workers.end());
    const auto most = workers_.all().size() * reserved_percent / 100;
    const auto usable = candidates(now, ready, false);
    reservation next;
    next.until = now + reservation_time;
    for (const auto* worker : soonest_room(usable, spec, spec.count, now))
        next.workers.insert(worker->number());
    if (next.workers.empty() || taken.size() + next.workers.size() > most)
        return;
    context_.log(log_code::cell_gang_waits,
                 fmt::format("job={} step={} tasks={} kept={} allowed={} "
                             "kept_for_others={} epoch={}",
                             ready.job->id(), ready.step, spec.count,
                             next.workers.size(), usable.size(), taken.size(),
                             row().epoch));
    reservations_.emplace(ready.key, std::move(next));
}

// -------------------------------------------------------------------- advice

std::vector<std::string> cell_owner::workers_to_ask(time_point now,
                                                    const ready_step& ready)
{
    const auto& spec = ready.job->spec().steps[ready.step];
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    std::vector<std::string> result;
    if (step->advice.call != 0 || now < step->advice.ask_again_at ||
        !lanes_.is_free(now, advice_ms(*ready.queue->advice, 1)))
        return result;
    const bool urgent = ready.queue->priority == 0 && !ready.job->excess;
    struct option
    {
        const cell_worker* worker;
        std::uint32_t fits;
        bool reserved;
        std::uint64_t rank;
    };
    std::vector<option> known;
    std::vector<option> unknown;
    std::uint32_t known_fits = 0;
    for (const auto* open : open_.all)
    {
        const auto& worker = *open;
        if (!suits(worker, ready.queue->service, spec))
            continue;
        const bool reserved = is_reserved(worker.number(), ready.key);
        if (reserved && !urgent && !spec.gang)
            continue;
        const auto& room = spec.gang ? worker.report().capacity : worker.room();
        const auto fits =
            tasks_that_fit(room, spec, worker.runs_of_step(ready.key));
        if (fits == 0)
            continue;
        const auto verdict = step->advice.by_worker.find(worker.number());
        const option each{&worker, fits, reserved, context_.random()};
        if (verdict == step->advice.by_worker.end())
            unknown.push_back(each);
        else if (verdict->second.good &&
                 now + ticket_margin >= verdict->second.valid_until)
        {
            known.push_back(each);
            known_fits += fits;
        }
    }
    const auto& cost = *ready.queue->advice;
    std::size_t most = most_named;
    if (spec.gang && cost.call_ms > 100)
        most = most_named_gang;
    else if (ready.queue->priority == 0)
        most = most_named_cheap;
    if (spec.gang)
    {
        // Known workers are asked for again when the gang has room on them.
        std::sort(unknown.begin(), unknown.end(),
                  [](const option& a, const option& b) {
                      return a.worker->room().cpu_millis >
                             b.worker->room().cpu_millis;
                  });
        known.clear();
    }
    else
    {
        std::sort(unknown.begin(), unknown.end(),
                  [](const option& a, const option& b) {
                      return std::tie(a.reserved, a.rank) <
                             std::tie(b.reserved, b.rank);
                  });
        // Enough known ones need no further verdicts.
        if (known_fits >= ready.waiting)
            unknown.clear();
    }
    for (const auto* list : {&known, &unknown})
        for (const auto& each : *list)
            if (result.size() < most)
                result.push_back(each.worker->report().id);
    return result;
}

void cell_owner::ask_advice(time_point now, const ready_step& ready,
                            std::vector<std::string> workers)
{
    auto* step = ready.job->find_step(ready.occurrence, ready.step);
    if (workers.empty() || step->advice.call != 0)
        return;
    const auto& cost = *ready.queue->advice;
    const auto expected = advice_ms(cost, workers.size());
    const auto host = lanes_.begin(now, expected);
    if (!host)
        return;
    worker_call call;
    call.command = worker_command::advise;
    call.task = {ready.job->id(), ready.occurrence, ready.step, 0};
    call.workers = workers;
    call.timeout_ms = static_cast<std::int64_t>(2 * expected) + 1000;
    pending_call pending;
    pending.job = ready.job->id();
    pending.occurrence = ready.occurrence;
    pending.step = ready.step;
    pending.asked = std::move(workers);
    step->advice.call =
        send_call(now, *host, std::move(call), std::move(pending));
}

void cell_owner::on_advice(time_point now, const pending_call& pending,
                           const worker_answer& answer)
{
    lanes_.end(now, pending.agent);
    auto* job = find_job(pending.job);
    auto* step =
        job ? job->find_step(pending.occurrence, pending.step) : nullptr;
    if (!step)
        return;
    step->advice.call = 0;
    const bool gang = job->spec().steps[pending.step].gang;
    step->advice.ask_again_at = now + (gang ? ask_again_gang : ask_again);
    if (answer.status != command_status::ok)
    {
        context_.counters.count("carobcourse_advice_failures_total",
                                to_string(answer.status));
        context_.log(log_code::cell_advice_failed,
                     fmt::format("job={} step={} agent={} status={}",
                                 pending.job, pending.step, pending.agent,
                                 to_string(answer.status)));
        return;
    }
    const auto* queue =
        context_.config ? context_.config->queue_named(job->queue()) : nullptr;
    if (!queue || !queue->advice)
        return;
    for (const auto& id : pending.asked)
        if (const auto* worker = workers_.find(id))
            step->advice.by_worker[worker->number()].good = false;
    const auto valid_until =
        now + std::chrono::milliseconds(queue->advice->valid_ms) -
        ticket_travel;
    for (const auto& ticket : answer.tickets)
        if (const auto* worker = workers_.find(ticket.worker))
            step->advice.by_worker[worker->number()] = {true, ticket.ticket,
                                                        valid_until};
}

} // namespace carobcourse
