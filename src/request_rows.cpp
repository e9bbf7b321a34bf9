#include "request_rows_p.hpp"

#include <utility>

#include "request_claims_p.hpp"

namespace carobcourse
{

namespace
{

/// Includes a drift margin, since the host that accepted a request may measure
/// the retention time on a slower clock.
constexpr duration own_row_removal_age =
    config::idempotency_row_age +
    config::idempotency_row_age / config::drift_margin_divisor +
    config::drift_margin_fixed;
constexpr duration other_row_removal_age =
    own_row_removal_age + config::idempotency_row_grace;

} // namespace

request_rows::request_rows(core_context& context) : context_(context) {}

void request_rows::add_own_row(time_point now, std::string key,
                               std::uint64_t version)
{
    // A row dropped from this bounded list is found by the scan.
    if (own_rows_.size() >= config::ledger_capacity)
        own_rows_.pop_front();
    own_rows_.push_back({std::move(key), version, now + own_row_removal_age});
}

void request_rows::set_scanning(bool scanning)
{
    if (scanning_ == scanning)
        return;
    scanning_ = scanning;
    observed_rows_.clear();
    scan_cursor_.clear();
    scan_.reset();
}

void request_rows::on_tick(time_point now)
{
    if (!commit_ && now >= next_removal_)
        remove_due(now);
    if (scanning_ && !scan_ && now >= next_scan_)
        scan_next(now);
}

bool request_rows::on_store_result(time_point now, const store_result& result)
{
    if (commit_ && result.op == *commit_)
        on_removed(result);
    else if (scan_ && result.op == *scan_)
        on_scanned(now, result);
    else
        return false;
    return true;
}

// ------------------------------------------------------------------ removal

void request_rows::remove_due(time_point now)
{
    while (!own_rows_.empty() && own_rows_.front().due <= now &&
           expired_rows_.size() < config::claim_batch)
    {
        expired_rows_.push_back(std::move(own_rows_.front()));
        own_rows_.pop_front();
    }
    if (expired_rows_.empty())
        return;
    next_removal_ = now + config::row_removal_period;
    store_commit commit;
    commit.op = context_.next_op(component::requests);
    while (!expired_rows_.empty() && batch_.size() < config::claim_batch)
    {
        const auto& row = expired_rows_.front();
        commit.writes.push_back(
            {idempotency_table, row.key, row.version, std::nullopt});
        batch_.push_back(std::move(expired_rows_.front()));
        expired_rows_.pop_front();
    }
    commit_ = commit.op;
    context_.out.emplace_back(std::move(commit));
}

void request_rows::on_removed(const store_result& result)
{
    commit_.reset();
    auto batch = std::exchange(batch_, {});
    if (result.status == store_status::ok)
    {
        context_.counters.count("carobcourse_idempotency_rows_removed_total",
                                "", batch.size());
        return;
    }
    // A conflict means that one row was rewritten or already removed, and the
    // commit wrote nothing. Drops that row and retries the others; retries all
    // rows after any other failure.
    if (result.status == store_status::conflict &&
        result.conflict_index < batch.size())
        batch.erase(batch.begin() +
                    static_cast<std::ptrdiff_t>(result.conflict_index));
    expired_rows_.insert(expired_rows_.begin(),
                         std::make_move_iterator(batch.begin()),
                         std::make_move_iterator(batch.end()));
}

// --------------------------------------------------------------------- scan

void request_rows::scan_next(time_point now)
{
    next_scan_ = now + config::row_scan_period;
    store_scan scan;
    scan.op = context_.next_op(component::requests);
    scan.table = idempotency_table;
    scan.after = scan_cursor_;
    scan.limit = config::row_scan_page;
    scan_ = scan.op;
    context_.out.emplace_back(std::move(scan));
}

void request_rows::on_scanned(time_point now, const store_result& result)
{
    scan_.reset();
    if (result.status != store_status::ok)
        return; // Retries the same page on a later tick.
    for (const auto& each : result.rows)
        on_row_scanned(now, each);
    if (result.rows.size() < config::row_scan_page)
        end_pass();
    else
        scan_cursor_ = result.rows.back().key;
}

void request_rows::on_row_scanned(time_point now, const row& seen)
{
    const auto found = observed_rows_.find(seen.key);
    if (found == observed_rows_.end())
    {
        if (observed_rows_.size() < config::max_rows_watched)
            observed_rows_[seen.key] = {seen.version, now, pass_};
        return;
    }
    auto& known = found->second;
    known.pass = pass_;
    if (known.version != seen.version)
    {
        known.version = seen.version;
        known.first_seen = now;
    }
    else if (now - known.first_seen >= other_row_removal_age &&
             expired_rows_.size() < config::claim_batch)
    {
        expired_rows_.push_back({seen.key, seen.version, now});
    }
}

void request_rows::end_pass()
{
    for (auto it = observed_rows_.begin(); it != observed_rows_.end();)
        it =
            it->second.pass == pass_ ? std::next(it) : observed_rows_.erase(it);
    ++pass_;
    scan_cursor_.clear();
}

} // namespace carobcourse
