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

std::optional<owner_row> owner_row_from(const std::string& text)
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
      answer_time_(config::cell_commit_answer_first), confirmed_at_(claim_sent)
{
}

void cell_journal::write(const std::string& table, const std::string& key,
                         std::optional<std::string> value, continuation durable)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const item& each) {
                                        return each.write.key == key &&
                                               each.write.table == table;
                                    });
    auto& target = found == queue_.end() ? queue_.emplace_back() : *found;
    target.write = {table, key, std::nullopt, std::move(value)};
    if (durable)
        target.durable.push_back(std::move(durable));
}

void cell_journal::discard(const std::string& table, const std::string& key)
{
    if (is_queued(table, key))
    {
        write(table, key, std::nullopt);
        return;
    }
    discarded_.emplace_back();
    discarded_.back().write = {table, key, std::nullopt, std::nullopt};
}

void cell_journal::after_all(continuation done)
{
    if (!queue_.empty())
        queue_.back().durable.push_back(std::move(done));
    else if (!batch_.empty())
        batch_.back().durable.push_back(std::move(done));
    else
        done();
}

bool cell_journal::is_queued(const std::string& table,
                             const std::string& key) const
{
    return std::any_of(queue_.begin(), queue_.end(),
                       [&](const item& each) {
                           return each.write.key == key &&
                                  each.write.table == table;
                       });
}

void cell_journal::withdraw(const std::string& table, const std::string& key)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const item& each) {
                                        return each.write.key == key &&
                                               each.write.table == table;
                                    });
    if (found != queue_.end())
        queue_.erase(found);
}

std::optional<store_commit> cell_journal::next(time_point now, op_id op)
{
    if (released_)
        return std::nullopt;
    if (in_flight_.empty() ? now < next_commit_
                           : now < resend_at_ || in_flight_.size() >=
                                                     config::cell_commit_copies)
        return std::nullopt;
    // A commit whose answer is overdue is sent again as it was, row for row.
    if (!unsettled_)
    {
        if (queue_.empty() && !release_wanted_ &&
            discarded_.size() < config::cell_commit_rows &&
            now < last_written_ + config::cell_beat_period)
            return std::nullopt;
        std::size_t bytes = 0;
        while (!queue_.empty() && batch_.size() < config::cell_commit_rows &&
               bytes < config::max_commit_bytes)
        {
            bytes += queue_.front().write.value
                         ? queue_.front().write.value->size()
                         : 0;
            batch_.push_back(std::move(queue_.front()));
            queue_.pop_front();
        }
        while (!discarded_.empty() && batch_.size() < config::cell_commit_rows)
        {
            batch_.push_back(std::move(discarded_.front()));
            discarded_.pop_front();
        }
        ++owner_.sequence;
        owner_.released = release_wanted_;
        unsettled_ = true;
        first_sent_ = now;
    }
    store_commit commit;
    commit.op = op;
    commit.writes.push_back(
        {cell_table::owner, owner_key, version_, to_text(owner_)});
    for (const auto& each : batch_)
        commit.writes.push_back(each.write);
    in_flight_.push_back({op, now});
    resend_at_ = overdue_at(now);
    next_commit_ = now + config::cell_commit_gap;
    return commit;
}

time_point cell_journal::overdue_at(time_point now) const
{
    auto wait =
        std::max<duration>(answer_time_ * config::cell_commit_overdue_factor,
                           config::cell_commit_overdue_least);
    // Copies queue up at a slow store, so each one is waited for longer.
    for (std::size_t i = 1; i < in_flight_.size(); ++i)
        wait *= config::cell_commit_overdue_factor;
    return now + std::min<duration>(wait, config::cell_store_timeout);
}

void cell_journal::note_answer_time(duration time)
{
    // Up at once, so that a store that turns slow is not flooded with copies;
    // down with the usual smoothing of round trip times (RFC 6298).
    constexpr int weight = 8;
    answer_time_ = time > answer_time_
                       ? time
                       : answer_time_ + (time - answer_time_) / weight;
}

bool cell_journal::is_failing(time_point now) const
{
    return unsettled_ && now >= first_sent_ + config::cell_commit_patience;
}

void cell_journal::succeed(time_point now, std::uint64_t version)
{
    in_flight_.clear();
    version_ = version;
    failures_ = 0;
    unsettled_ = false;
    last_written_ = now;
    confirmed_at_ = first_sent_;
    released_ = owner_.released;
    const auto written = std::exchange(batch_, {});
    for (const auto& each : written)
        for (const auto& durable : each.durable)
            durable();
}

cell_journal::verdict cell_journal::on_result(time_point now,
                                              const store_result& result)
{
    const auto copy = copy_of(result.op);
    if (result.status == store_status::ok ||
        result.status == store_status::conflict)
        note_answer_time(now - copy->sent_at);
    in_flight_.erase(copy);
    if (result.status == store_status::ok && !result.versions.empty())
    {
        succeed(now, result.versions.front());
        return verdict::written;
    }
    if (result.status == store_status::conflict)
    {
        for (const auto& row : result.rows)
        {
            if (row.key != owner_key)
                continue;
            const auto found = owner_row_from(row.value);
            if (!found || !(*found == owner_))
                return verdict::deposed;
            // An earlier copy of this commit has taken effect.
            succeed(now, row.version);
            return verdict::written;
        }
        return verdict::deposed;
    }
    if (!in_flight_.empty())
        return verdict::failing;
    ++failures_;
    next_commit_ =
        now + std::min<duration>(config::cell_commit_retry * failures_,
                                 config::cell_commit_retry_most);
    return verdict::failing;
}

} // namespace carobcourse
