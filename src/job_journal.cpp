#include "job_journal_p.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "ownership_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr auto retry_period = std::chrono::milliseconds(200);

} // namespace

void job_journal::begin(std::string shard, std::uint64_t epoch,
                        std::uint64_t fence_version)
{
    shard_ = std::move(shard);
    epoch_ = epoch;
    fence_version_ = fence_version;
    writes_.clear();
    op_.reset();
    reading_ = false;
    in_doubt_ = false;
    conflicted_ = false;
    resend_ = false;
}

void job_journal::commit(std::vector<row_write> writes)
{
    writes_ = std::move(writes);
    in_doubt_ = false;
    conflicted_ = false;
    send();
}

void job_journal::send()
{
    store_commit commit;
    commit.op = context_.next_op(component::jobs);
    // The write id stays the same when the commit is sent again: at most one
    // of the tries can take effect, and either settles it.
    if (!in_doubt_)
        write_id_ = fmt::format("{}-{}", context_.identity.incarnation,
                                commit.op.sequence);
    commit.writes.push_back(
        {fence_table, shard_, fence_version_, fence_value(epoch_, write_id_)});
    commit.writes.insert(commit.writes.end(), writes_.begin(), writes_.end());
    op_ = commit.op;
    reading_ = false;
    resend_ = false;
    context_.out.emplace_back(std::move(commit));
}

void job_journal::read_back()
{
    op_ = context_.next_op(component::jobs);
    reading_ = true;
    context_.out.emplace_back(store_read{*op_, fence_table, shard_});
}

void job_journal::on_tick(time_point now)
{
    if (!is_busy() || op_ || now < retry_at_)
        return;
    if (resend_)
        send();
    else
        read_back();
}

std::optional<job_journal::settlement>
job_journal::on_store_result(time_point now, const store_result& result)
{
    op_.reset();
    return reading_ ? on_read_back(now, result) : on_commit(now, result);
}

std::optional<job_journal::settlement>
job_journal::on_commit(time_point now, const store_result& result)
{
    switch (result.status)
    {
    case store_status::ok:
        if (result.versions.size() != writes_.size() + 1)
            break; // Not a whole reply; read back.
        fence_version_ = result.versions.front();
        return settle(outcome::written,
                      {result.versions.begin() + 1, result.versions.end()});
    case store_status::not_sent:
    case store_status::unavailable:
        if (!in_doubt_)
            return settle(outcome::not_written);
        retry_at_ = now + retry_period;
        return std::nullopt;
    case store_status::conflict:
        conflicted_ = true;
        read_back();
        return std::nullopt;
    case store_status::unknown:
        break;
    }
    context_.counters.count("carobcourse_job_commits_unknown_total");
    in_doubt_ = true;
    read_back();
    return std::nullopt;
}

std::optional<job_journal::settlement>
job_journal::on_read_back(time_point now, const store_result& result)
{
    if (result.status != store_status::ok)
    {
        retry_at_ = now + retry_period;
        return std::nullopt;
    }
    if (result.rows.empty())
        return settle(outcome::contradicted);
    const auto& row = result.rows.front();
    const auto value = json::parse(row.value, nullptr, false);
    if (!value.is_object() || value.value("epoch", std::uint64_t{0}) != epoch_)
        return settle(outcome::contradicted);
    if (value.value("write_id", std::string()) == write_id_)
    {
        fence_version_ = row.version;
        return settle(outcome::written);
    }
    // The fence is as before, so another row was not as expected.
    if (conflicted_ || row.version != fence_version_)
        return settle(outcome::contradicted);
    // Not at once: a service that refuses a commit every time would be sent
    // it as fast as it answers.
    context_.counters.count_retry("job_commit_absent");
    resend_ = true;
    retry_at_ = now + retry_period;
    return std::nullopt;
}

job_journal::settlement job_journal::settle(outcome what,
                                            std::vector<std::uint64_t> versions)
{
    writes_.clear();
    return {what, std::move(versions)};
}

} // namespace carobcourse
