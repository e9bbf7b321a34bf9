/// Claims idempotency keys by inserting rows into a stored table, so that each
/// key chosen by a caller is used for one request only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core_context_p.hpp"

namespace carobcourse
{

/// Stored table with one row per claimed key; row keys are <team>/<key>.
constexpr char idempotency_table[] = "idempotency";

/// A request that waits for the row of its idempotency key.
struct request_claim
{
    std::string request; ///< Identifier of the request.
    std::string key;     ///< Row key, <team>/<idempotency key>.
    std::string claim;   ///< Identifies the ledger entry in this process.
    /// Incremented each time the entry is reused because its request did not
    /// run.
    std::uint32_t use = 0;
    /// Expected row version, 0 if the row must be absent.
    std::uint64_t expect = 0;
};

/// Result of an attempt to insert a claim.
enum class claim_status : std::uint8_t
{
    taken,         ///< The row holds this use of this claim.
    held_by_other, ///< The row holds another claim.
    unavailable    ///< The claim is undecided; the request must not run.
};

/// The resolved claim of one request.
struct claim_outcome
{
    std::string request;
    claim_status status = claim_status::unavailable;
    std::string holder;      ///< Entry host named in the row of another claim.
    std::string incarnation; ///< Process incarnation named in the row.
    std::string key;         ///< Row key.
    std::uint64_t version = 0; ///< Version of the row if the status is `taken`.
};

/// Inserts rows for idempotency keys in batches. The row of an earlier use of
/// the same claim is rewritten, so that its age is measured from the latest
/// use. Not thread safe.
class request_claims
{
public:
    explicit request_claims(core_context& context);

    /// Queues a claim; `flush` sends it.
    void add(request_claim claim);
    /// Commits the next batch of claims, unless a commit is in flight.
    void flush();
    /// Handles the result of a commit or read. Returns the claims that it
    /// resolves; empty if the operation belongs to another component.
    std::vector<claim_outcome> on_store_result(const store_result& result);

private:
    using outcomes = std::vector<claim_outcome>;

    outcomes on_commit(const store_result& result);
    /// Returns `nullopt` if the claim is queued again to rewrite its row.
    std::optional<claim_outcome> on_read(const store_result& result,
                                         const request_claim& claim);
    void read_back(const request_claim& claim);

    core_context& context_;
    std::deque<request_claim> waiting_;
    std::vector<request_claim> batch_;
    std::optional<op_id> commit_;
    std::map<op_id, request_claim> reads_;
};

} // namespace carobcourse
