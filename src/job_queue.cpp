#include "job_queue_p.hpp"

#include <algorithm>
#include <carobcourse/config.hpp>
#include <cmath>
#include <utility>

namespace carobcourse
{

namespace
{

constexpr double steps_per_octave = 8;

std::int64_t size_step(std::int64_t value)
{
    if (value <= 0)
        return -1;
    return static_cast<std::int64_t>(
        std::floor(std::log2(static_cast<double>(value)) * steps_per_octave));
}

resources lower_of(const resources& a, const resources& b)
{
    return {std::min(a.cpu_millis, b.cpu_millis),
            std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

} // namespace

job_queue::size_class job_queue::class_of(const queued_job& job)
{
    size_class of;
    of.kind = job.kind;
    of.cpu = size_step(job.amount.cpu_millis);
    of.memory = size_step(job.amount.memory_mb);
    of.accelerators = job.amount.accelerators;
    of.gang_tasks = job.kind == job_kind::gang ? job.tasks : 0;
    return of;
}

void job_queue::insert(const task_id& task)
{
    if (jobs_.count(task) == 0)
        fresh_.insert(task);
}

void job_queue::erase(const task_id& task)
{
    if (fresh_.erase(task) == 0 && jobs_.count(task) != 0)
        take(task);
}

void job_queue::clear()
{
    teams_.clear();
    classes_.clear();
    jobs_.clear();
    fresh_.clear();
}

job_queue::waiting_set& job_queue::set_of(const queued_task& task)
{
    auto& team = teams_[task.team];
    return task.urgent ? team.urgent : team.normal;
}

void job_queue::add(const task_id& task, const queued_job& job)
{
    queued_task queued;
    queued.team = job.team;
    queued.urgent = job.urgency == job_class::urgent;
    queued.of = class_of(job);
    queued.amount = job.amount;
    queued.accepted_at = job.accepted_at;
    // The bound keeps a long task from waiting for ever behind short ones.
    queued.at = {job.accepted_at +
                     std::min(job.estimate, duration(config::ageing_bound)),
                 task};
    auto [state, added] = classes_.try_emplace(queued.of);
    auto& of = state->second;
    of.smallest = added ? job.amount : lower_of(of.smallest, job.amount);
    of.teams.insert(job.team);
    // A task below the size that was refused may still fit.
    if (of.blocked && !of.refused.fits_in(job.amount))
        set_blocked(queued.of, false);
    auto& set = set_of(queued);
    auto& members = set.classes[queued.of];
    if (!of.blocked)
    {
        if (!members.empty())
            set.ready.erase({*members.begin(), queued.of});
        members.insert(queued.at);
        set.ready.insert({*members.begin(), queued.of});
    }
    else
    {
        members.insert(queued.at);
    }
    jobs_.emplace(task, std::move(queued));
}

void job_queue::take(const task_id& task)
{
    const auto found = jobs_.find(task);
    const auto queued = found->second;
    jobs_.erase(found);
    auto& set = set_of(queued);
    const auto members = set.classes.find(queued.of);
    auto& state = classes_[queued.of];
    if (!state.blocked)
        set.ready.erase({*members->second.begin(), queued.of});
    members->second.erase(queued.at);
    if (!members->second.empty())
    {
        if (!state.blocked)
            set.ready.insert({*members->second.begin(), queued.of});
        return;
    }
    set.classes.erase(members);
    const auto& team = teams_[queued.team];
    if (team.urgent.classes.count(queued.of) == 0 &&
        team.normal.classes.count(queued.of) == 0)
        state.teams.erase(queued.team);
    if (state.teams.empty())
        classes_.erase(queued.of);
}

void job_queue::set_blocked(const size_class& of, bool blocked)
{
    auto& state = classes_[of];
    if (state.blocked == blocked)
        return;
    state.blocked = blocked;
    for (const auto& name : state.teams)
    {
        auto& team = teams_[name];
        for (auto* set : {&team.urgent, &team.normal})
        {
            const auto members = set->classes.find(of);
            if (members == set->classes.end() || members->second.empty())
                continue;
            if (blocked)
                set->ready.erase({*members->second.begin(), of});
            else
                set->ready.insert({*members->second.begin(), of});
        }
    }
}

void job_queue::freed(const resources& free)
{
    for (const auto& [of, state] : classes_)
    {
        if (state.blocked && state.smallest.fits_in(free))
            set_blocked(of, false);
    }
}

bool job_queue::is_aged(time_point now, const team_state& team,
                        const task_id& task) const
{
    const auto since =
        std::max(team.last_normal_start, jobs_.at(task).accepted_at);
    return now - since >= config::ageing_bound;
}

const task_id* job_queue::head(time_point now, const team_state& team,
                               bool& first) const
{
    const auto task_of = [](const waiting_set& set)
    { return &std::get<1>(set.ready.begin()->first); };
    first = true;
    if (!team.normal.ready.empty() && is_aged(now, team, *task_of(team.normal)))
        return task_of(team.normal);
    if (!team.urgent.ready.empty())
        return task_of(team.urgent);
    first = false;
    return team.normal.ready.empty() ? nullptr : task_of(team.normal);
}

std::size_t job_queue::pass(time_point now, const fair_share& shares,
                            const lookup& find, const attempt& place,
                            std::size_t max_tries)
{
    for (const auto& task : std::exchange(fresh_, {}))
    {
        queued_job job;
        if (find(task, job))
            add(task, job);
    }
    std::set<team_position> order;
    const auto enter = [&](const std::string& name)
    {
        bool first = false;
        if (head(now, teams_[name], first))
            order.emplace(!first, shares.weighted_share(now, name), name);
    };
    for (const auto& [name, team] : teams_)
        enter(name);
    std::size_t tries = 0;
    while (!order.empty() && tries < max_tries)
    {
        const auto name = std::get<2>(*order.begin());
        order.erase(order.begin());
        bool first = false;
        const auto* at = head(now, teams_[name], first);
        if (!at)
            continue;
        const auto task = *at;
        ++tries;
        const bool urgent = jobs_.at(task).urgent;
        switch (place(task))
        {
        case try_result::placed:
            if (!urgent)
                teams_[name].last_normal_start = now;
            erase(task);
            break;
        case try_result::gone:
            erase(task);
            break;
        case try_result::no_room:
            if (const auto queued = jobs_.find(task); queued != jobs_.end())
            {
                const auto of = queued->second.of;
                classes_[of].refused = queued->second.amount;
                set_blocked(of, true);
            }
            break;
        case try_result::team_refused:
            continue;
        }
        enter(name);
    }
    return tries;
}

} // namespace carobcourse
