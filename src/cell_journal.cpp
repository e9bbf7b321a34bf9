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

void cell_journal::append(time_point now, log_entry entry, callback on_durable)
{
    const entry_key key{entry.kind, entry.job};
    auto found = queued_.find(key);
    const auto progress =
        entry.kind == log_entry_kind::ended
            ? queued_.find({log_entry_kind::progress, entry.job})
            : queued_.end();
    if (found == queued_.end() && progress != queued_.end())
    {
        // In the place of the progress: what waits for that waits for the end.
        found = queued_.emplace(key, progress->second).first;
        queued_.erase(progress);
    }
    if (found == queued_.end())
    {
        queue_.push_back({std::move(entry), {}, now, ++last_sequence_});
        queued_.emplace(key, std::prev(queue_.end()));
    }
    else
        found->second->entry = std::move(entry);
    if (on_durable)
        queued_.at(key)->on_durable.push_back(std::move(on_durable));
}

void cell_journal::write_row(const std::string& table, const std::string& key,
                             std::string value)
{
    queued_rows_[{table, key}] = std::move(value);
}

time_point cell_journal::oldest_entry_at(time_point now) const
{
    if (!batch_.empty())
        return batch_.front().queued_at;
    return queue_.empty() ? now : queue_.front().queued_at;
}

void cell_journal::when_durable(callback done)
{
    if (queue_.empty() && batch_.empty())
        done();
    else
        barriers_.push_back({last_sequence_, std::move(done)});
}

void cell_journal::cancel_queued(log_entry_kind kind, const std::string& job)
{
    const auto found = queued_.find({kind, job});
    if (found == queued_.end())
        return;
    queue_.erase(found->second);
    queued_.erase(found);
}

void cell_journal::finish_batch_row(std::string& row_text)
{
    if (row_text.empty())
        return;
    commit_writes_.push_back({cell_table::log,
                              log_row_key(batch_rows_.back().number),
                              std::nullopt, std::exchange(row_text, {})});
}

void cell_journal::add_to_batch(std::string& row_text, const log_entry& entry)
{
    auto line = to_line(entry);
    if (!row_text.empty() &&
        row_text.size() + line.size() > config::cell_max_log_row_bytes)
        finish_batch_row(row_text);
    if (row_text.empty())
        batch_rows_.push_back({log_.next_number() + batch_rows_.size(), {}});
    batch_rows_.back().entries.push_back(entry);
    row_text += line;
}

void cell_journal::build_commit(time_point now)
{
    commit_writes_.clear();
    batch_rows_.clear();
    std::string row_text;
    std::size_t bytes = 0;
    // Before the queued entries, which are newer.
    for (const auto& entry :
         log_.entries_to_rewrite(config::cell_max_rewritten_bytes))
        add_to_batch(row_text, entry);
    // A job may be submitted again after its id was forgotten.
    for (const auto& job : std::exchange(forgotten_jobs_, {}))
        add_to_batch(row_text, {log_entry_kind::forgotten, job, {}});
    while (!queue_.empty() && bytes < config::max_commit_bytes)
    {
        const auto& entry = queue_.front().entry;
        bytes += to_line(entry).size();
        add_to_batch(row_text, entry);
        queued_.erase({entry.kind, entry.job});
        batch_.splice(batch_.end(), queue_, queue_.begin());
    }
    finish_batch_row(row_text);
    for (auto& [name, value] : std::exchange(queued_rows_, {}))
        commit_writes_.push_back(
            {name.first, name.second, std::nullopt, std::move(value)});
    removed_rows_ = log_.removable_rows(config::cell_max_removed_rows);
    for (const auto number : removed_rows_)
        commit_writes_.push_back(
            {cell_table::log, log_row_key(number), std::nullopt, std::nullopt});
    ++owner_.sequence;
    owner_.released = release_requested_;
    commit_pending_ = true;
    first_sent_at_ = now;
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
        if (queue_.empty() && queued_rows_.empty() && !release_requested_ &&
            now < last_commit_at_ + config::cell_idle_commit_interval)
            return std::nullopt;
        build_commit(now);
    }
    store_commit commit;
    commit.op = op;
    commit.timeout_ms = answer_timeout() / std::chrono::milliseconds(1);
    commit.writes.push_back(
        {cell_table::owner, owner_key, version_, to_text(owner_)});
    commit.writes.insert(commit.writes.end(), commit_writes_.begin(),
                         commit_writes_.end());
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
    return now + std::min<duration>(wait, answer_timeout());
}

duration cell_journal::answer_timeout() const
{
    return std::clamp<duration>(
        smoothed_answer_time_ * config::cell_commit_resend_factor,
        config::cell_store_timeout, config::cell_max_commit_timeout);
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
    // A store that answers slowly does not fail.
    const auto timeout = std::clamp<duration>(
        smoothed_answer_time_ * config::cell_store_failure_factor,
        config::cell_store_failure_timeout,
        config::cell_max_store_failure_timeout);
    return commit_pending_ && now >= first_sent_at_ + timeout;
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
    for (const auto number : std::exchange(removed_rows_, {}))
        log_.remove_row(number);
    for (auto& each : std::exchange(batch_rows_, {}))
        log_.add_row(each.number, std::move(each.entries));
    const auto confirmed = std::exchange(batch_, {});
    confirmed_entries_ += confirmed.size();
    for (const auto& each : confirmed)
        for (const auto& on_durable : each.on_durable)
            on_durable();
    const auto durable_sequence =
        queue_.empty() ? last_sequence_ : queue_.front().sequence - 1;
    while (!barriers_.empty() && barriers_.front().sequence <= durable_sequence)
    {
        const auto done = std::move(barriers_.front().done);
        barriers_.pop_front();
        done();
    }
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
