#include "cell_journal_p.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

} // namespace

std::string to_text(const owner_row& owner)
{
    return json{{"epoch", owner.epoch},
                {"host", owner.host},
                {"incarnation", owner.incarnation},
                {"address", owner.peer_address},
                {"sequence", owner.sequence},
                {"released", owner.released}}
        .dump();
}

std::optional<owner_row> parse_owner_row(const std::string& text)
{
    const auto value = json::parse(text, nullptr, false);
    try
    {
        return owner_row{value.at("epoch").get<std::uint64_t>(),
                         value.at("host").get<std::string>(),
                         value.at("incarnation").get<std::string>(),
                         value.at("address").get<std::string>(),
                         value.at("sequence").get<std::uint64_t>(),
                         value.at("released").get<bool>()};
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

cell_journal::cell_journal(owner_row owner, std::uint64_t version,
                           time_point claim_sent)
    : owner_(std::move(owner)), version_(version),
      smoothed_answer_time_(config::cell_initial_commit_answer_time),
      ownership_confirmed_at_(claim_sent)
{
}

void cell_journal::write(time_point now, const std::string& table,
                         const std::string& key,
                         std::optional<std::string> value, callback on_durable)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const queued_write& each) {
                                        return each.write.key == key &&
                                               each.write.table == table;
                                    });
    auto& target = found == queue_.end() ? queue_.emplace_back() : *found;
    if (found == queue_.end())
        target.queued_at = now;
    target.write = {table, key, std::nullopt, std::move(value)};
    if (on_durable)
        target.on_durable.push_back(std::move(on_durable));
}

void cell_journal::remove_lazily(time_point now, const std::string& table,
                                 const std::string& key)
{
    if (is_queued(table, key))
    {
        write(now, table, key, std::nullopt);
        return;
    }
    lazy_removals_.emplace_back();
    lazy_removals_.back().write = {table, key, std::nullopt, std::nullopt};
    lazy_removals_.back().queued_at = now;
}

time_point cell_journal::oldest_write_at(time_point now) const
{
    if (!batch_.empty())
        return std::min(now, batch_.front().queued_at);
    return queue_.empty() ? now : queue_.front().queued_at;
}

void cell_journal::when_durable(callback done)
{
    if (!queue_.empty())
        queue_.back().on_durable.push_back(std::move(done));
    else if (!batch_.empty())
        batch_.back().on_durable.push_back(std::move(done));
    else
        done();
}

bool cell_journal::is_queued(const std::string& table,
                             const std::string& key) const
{
    return std::any_of(queue_.begin(), queue_.end(),
                       [&](const queued_write& each) {
                           return each.write.key == key &&
                                  each.write.table == table;
                       });
}

void cell_journal::cancel_queued(const std::string& table,
                                 const std::string& key)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const queued_write& each) {
                                        return each.write.key == key &&
                                               each.write.table == table;
                                    });
    if (found != queue_.end())
        queue_.erase(found);
}

std::optional<store_commit> cell_journal::next_commit(time_point now, op_id op)
{
    if (released_)
        return std::nullopt;
    if (in_flight_.empty()
            ? now < next_commit_at_
            : now < resend_at_ ||
                  in_flight_.size() >= config::cell_max_commit_copies)
        return std::nullopt;
    // A commit whose answer is overdue is sent again with the same rows, so
    // that it does not matter which copy takes effect.
    if (!commit_pending_)
    {
        if (queue_.empty() && !release_requested_ &&
            lazy_removals_.size() < config::cell_max_commit_rows &&
            now < last_commit_at_ + config::cell_idle_commit_interval)
            return std::nullopt;
        std::size_t bytes = 0;
        while (!queue_.empty() &&
               batch_.size() < config::cell_max_commit_rows &&
               bytes < config::max_commit_bytes)
        {
            bytes += queue_.front().write.value
                         ? queue_.front().write.value->size()
                         : 0;
            batch_.push_back(std::move(queue_.front()));
            queue_.pop_front();
        }
        while (!lazy_removals_.empty() &&
               batch_.size() < config::cell_max_commit_rows)
        {
            batch_.push_back(std::move(lazy_removals_.front()));
            lazy_removals_.pop_front();
        }
        ++owner_.sequence;
        owner_.released = release_requested_;
        commit_pending_ = true;
        first_sent_at_ = now;
    }
    store_commit commit;
    commit.op = op;
    commit.writes.push_back(
        {cell_table::owner, owner_key, version_, to_text(owner_)});
    for (const auto& each : batch_)
        commit.writes.push_back(each.write);
    in_flight_.push_back({op, now});
    resend_at_ = resend_time(now);
    next_commit_at_ = now + config::cell_min_commit_interval;
    return commit;
}

time_point cell_journal::resend_time(time_point now) const
{
    auto wait = std::max<duration>(smoothed_answer_time_ *
                                       config::cell_commit_resend_factor,
                                   config::cell_min_commit_resend_delay);
    // Copies queue up at a slow store, so the wait grows with each copy.
    for (std::size_t i = 1; i < in_flight_.size(); ++i)
        wait *= config::cell_commit_resend_factor;
    return now + std::min<duration>(wait, config::cell_store_timeout);
}

void cell_journal::update_answer_time(duration time)
{
    // A longer time counts in full, so that a store that turns slow is not
    // flooded with copies. A shorter one is smoothed like round trip times in
    // RFC 6298.
    constexpr int weight = 8;
    smoothed_answer_time_ =
        time > smoothed_answer_time_
            ? time
            : smoothed_answer_time_ + (time - smoothed_answer_time_) / weight;
}

bool cell_journal::is_store_failing(time_point now) const
{
    return commit_pending_ &&
           now >= first_sent_at_ + config::cell_store_failure_timeout;
}

void cell_journal::on_committed(time_point now, std::uint64_t version)
{
    in_flight_.clear();
    version_ = version;
    consecutive_failures_ = 0;
    commit_pending_ = false;
    last_commit_at_ = now;
    ownership_confirmed_at_ = first_sent_at_;
    released_ = owner_.released;
    const auto written = std::exchange(batch_, {});
    confirmed_writes_ += written.size();
    for (const auto& each : written)
        for (const auto& on_durable : each.on_durable)
            on_durable();
}

cell_journal::outcome cell_journal::on_result(time_point now,
                                              const store_result& result)
{
    const auto copy = find_copy(result.op);
    if (result.status == store_status::ok ||
        result.status == store_status::conflict)
        update_answer_time(now - copy->sent_at);
    in_flight_.erase(copy);
    if (result.status == store_status::ok && !result.versions.empty())
    {
        on_committed(now, result.versions.front());
        return outcome::committed;
    }
    if (result.status == store_status::conflict)
    {
        for (const auto& row : result.rows)
        {
            if (row.key != owner_key)
                continue;
            const auto found = parse_owner_row(row.value);
            if (!found || !(*found == owner_))
                return outcome::ownership_lost;
            // Another copy of this commit has already taken effect.
            on_committed(now, row.version);
            return outcome::committed;
        }
        return outcome::ownership_lost;
    }
    if (!in_flight_.empty())
        return outcome::pending;
    ++consecutive_failures_;
    next_commit_at_ =
        now + std::min<duration>(config::cell_commit_retry_delay *
                                     consecutive_failures_,
                                 config::cell_max_commit_retry_delay);
    return outcome::pending;
}

} // namespace carobcourse
