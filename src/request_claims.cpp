#include "request_claims_p.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

} // namespace

request_claims::request_claims(core_context& context) : context_(context) {}

void request_claims::add(request_claim claim)
{
    waiting_.push_back(std::move(claim));
}

void request_claims::flush()
{
    if (commit_ || waiting_.empty())
        return;
    store_commit commit;
    commit.op = context_.next_op(component::requests);
    while (!waiting_.empty() && batch_.size() < config::claim_batch)
    {
        auto& claim = waiting_.front();
        commit.writes.push_back(
            {idempotency_table, claim.key, claim.expect,
             json{{"host", context_.identity.host},
                  {"incarnation", context_.identity.incarnation},
                  {"claim", claim.claim},
                  {"use", claim.use}}
                 .dump()});
        batch_.push_back(std::move(claim));
        waiting_.pop_front();
    }
    commit_ = commit.op;
    context_.counters.count("carobcourse_claim_commits_total");
    context_.out.emplace_back(std::move(commit));
}

std::vector<claim_outcome>
request_claims::on_store_result(const store_result& result)
{
    if (commit_ && result.op == *commit_)
        return on_commit(result);
    const auto read = reads_.find(result.op);
    if (read == reads_.end())
        return {};
    const auto claim = read->second;
    reads_.erase(read);
    if (auto outcome = on_read(result, claim))
        return {*std::move(outcome)};
    return {};
}

request_claims::outcomes request_claims::on_commit(const store_result& result)
{
    commit_.reset();
    const auto batch = std::exchange(batch_, {});
    outcomes resolved;
    switch (result.status)
    {
    case store_status::ok:
        for (std::size_t i = 0; i < batch.size(); ++i)
            resolved.push_back(
                {batch[i].request, claim_status::taken, "", "", batch[i].key,
                 i < result.versions.size() ? result.versions[i] : 0});
        break;
    case store_status::conflict:
        // The commit wrote nothing. Reads the conflicting row and puts the
        // other claims back at the front of the queue, in order.
        for (std::size_t i = batch.size(); i-- > 0;)
        {
            if (i == result.conflict_index)
                read_back(batch[i]);
            else
                waiting_.push_front(batch[i]);
        }
        break;
    case store_status::not_sent:
    case store_status::unavailable:
        for (const auto& claim : batch)
            resolved.push_back({claim.request, claim_status::unavailable, "",
                                "", claim.key, 0});
        break;
    case store_status::unknown:
        for (const auto& claim : batch)
            read_back(claim);
        break;
    }
    return resolved;
}

void request_claims::read_back(const request_claim& claim)
{
    const auto op = context_.next_op(component::requests);
    reads_.emplace(op, claim);
    context_.out.emplace_back(store_read{op, idempotency_table, claim.key});
}

std::optional<claim_outcome> request_claims::on_read(const store_result& result,
                                                     const request_claim& claim)
{
    claim_outcome outcome{
        claim.request, claim_status::unavailable, "", "", claim.key, 0};
    if (result.status != store_status::ok || result.rows.empty())
        return outcome;
    const auto row = json::parse(result.rows.front().value, nullptr, false);
    outcome.status = claim_status::held_by_other;
    if (!row.is_object())
        return outcome;
    outcome.holder = row.value("host", "");
    outcome.incarnation = row.value("incarnation", "");
    if (outcome.incarnation != context_.identity.incarnation ||
        row.value("claim", "") != claim.claim)
        return outcome;
    const auto version = result.rows.front().version;
    if (row.value("use", std::uint32_t{0}) != claim.use)
    {
        auto again = claim;
        again.expect = version;
        waiting_.push_front(std::move(again));
        return std::nullopt;
    }
    outcome.status = claim_status::taken;
    outcome.version = version;
    return outcome;
}

} // namespace carobcourse
