#include "cell_locality_waits_p.hpp"

#include <algorithm>
#include <utility>

namespace carobcourse
{

namespace
{

/// Waits that count for `broken_share`. With more the share would follow a
/// change of the load too slowly.
constexpr double max_counted_waits = 64;
/// Interval at which half of what the waits have shown is forgotten: about the
/// time for which a burst lasts.
constexpr auto decay_interval = std::chrono::seconds(10);
/// Interval at which entries whose time is over are removed.
constexpr auto removal_interval = std::chrono::seconds(1);

} // namespace

const char* to_string(locality_end end)
{
    switch (end)
    {
    case locality_end::near_start:
        return "near_start";
    case locality_end::expired:
        return "expired";
    case locality_end::broken:
        break;
    }
    return "broken";
}

locality_waits::outcome locality_waits::hold(time_point now,
                                             std::uint64_t step_key,
                                             const locality_wait& wait,
                                             time_point expected_at)
{
    const auto found = entries_.find(step_key);
    if (found == entries_.end())
    {
        if (now >= wait.deadline)
            return outcome::refused;
        const auto sequence = ++last_sequence_;
        entries_[step_key] = {wait, sequence, false};
        by_rack_[wait.rack][sequence] = step_key;
        return outcome::begun;
    }
    auto& entry = found->second;
    if (entry.excluded)
        return outcome::refused;
    if (now >= entry.wait.deadline)
    {
        close(step_key, entry, true);
        return outcome::expired;
    }
    if (expected_at > entry.wait.deadline || wait.rack != entry.wait.rack)
    {
        close(step_key, entry, true);
        return outcome::broken;
    }
    entry.wait.tasks = wait.tasks;
    entry.wait.cpu_millis = wait.cpu_millis;
    return outcome::continued;
}

bool locality_waits::break_off(std::uint64_t step_key)
{
    const auto found = entries_.find(step_key);
    if (found == entries_.end() || found->second.excluded)
        return false;
    close(step_key, found->second, true);
    return true;
}

bool locality_waits::fulfil(std::uint64_t step_key)
{
    const auto found = entries_.find(step_key);
    if (found == entries_.end() || found->second.excluded)
        return false;
    close(step_key, found->second, false);
    return true;
}

bool locality_waits::exclude(std::uint64_t step_key, time_point forget_at)
{
    auto& entry = entries_[step_key];
    if (entry.excluded)
        return false;
    if (entry.sequence > 0)
        close(step_key, entry, true);
    entry.excluded = true;
    entry.wait.forget_at = forget_at;
    return true;
}

bool locality_waits::is_excluded(std::uint64_t step_key) const
{
    const auto found = entries_.find(step_key);
    return found != entries_.end() && found->second.excluded;
}

const locality_wait* locality_waits::find(std::uint64_t step_key) const
{
    const auto found = entries_.find(step_key);
    return found == entries_.end() || found->second.excluded
               ? nullptr
               : &found->second.wait;
}

std::pair<std::int64_t, std::uint32_t>
locality_waits::claimed_before(time_point now, std::uint64_t step_key,
                               const std::string& rack) const
{
    std::pair<std::int64_t, std::uint32_t> claimed{0, 0};
    const auto found = by_rack_.find(rack);
    if (found == by_rack_.end())
        return claimed;
    for (const auto& [sequence, key] : found->second)
    {
        if (key == step_key)
            break;
        const auto& wait = entries_.at(key).wait;
        if (now >= wait.deadline)
            continue;
        claimed.first += wait.cpu_millis;
        claimed.second += wait.tasks;
    }
    return claimed;
}

double locality_waits::broken_share() const
{
    return failed_ / (kept_ + failed_);
}

void locality_waits::forget_old(time_point now)
{
    if (now >= next_decay_)
    {
        kept_ = (kept_ + initial_kept) / 2;
        failed_ = (failed_ + initial_failed) / 2;
        next_decay_ = now + decay_interval;
    }
    if (now < next_removal_)
        return;
    next_removal_ = now + removal_interval;
    for (auto i = entries_.begin(); i != entries_.end();)
    {
        if (now < i->second.wait.forget_at)
        {
            ++i;
            continue;
        }
        const auto rack = by_rack_.find(i->second.wait.rack);
        if (rack != by_rack_.end() &&
            rack->second.erase(i->second.sequence) > 0 && rack->second.empty())
            by_rack_.erase(rack);
        i = entries_.erase(i);
    }
}

void locality_waits::close(std::uint64_t step_key, entry& entry, bool failed)
{
    (failed ? failed_ : kept_) += 1;
    if (kept_ + failed_ > max_counted_waits)
    {
        kept_ /= 2;
        failed_ /= 2;
    }
    const auto rack = by_rack_.find(entry.wait.rack);
    rack->second.erase(entry.sequence);
    if (rack->second.empty())
        by_rack_.erase(rack);
    if (failed)
        entry.excluded = true;
    else
        entries_.erase(step_key);
}

} // namespace carobcourse
