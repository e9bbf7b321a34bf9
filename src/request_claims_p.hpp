/// Rows of the table that make callers' own idempotency keys unique.
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

/// Inserted idempotency keys, <team>/<key>.
constexpr char idempotency_table[] = "idempotency";

struct request_claim
{
    std::string request;
    std::string key;   ///< Row key: team/idempotency key.
    std::string claim; ///< Names the ledger entry of this incarnation.
    /// Grows each time the entry is used again after nothing ran.
    std::uint32_t use = 0;
    std::uint64_t expect = 0; ///< Version of the row, 0 when absent.
};

enum class claim_status : std::uint8_t
{
    taken,         ///< The row names this use of this claim.
    held_by_other, ///< The row names another claim.
    unavailable    ///< Not settled; this claim must not be acted on.
};

struct claim_outcome
{
    std::string request;
    claim_status status = claim_status::unavailable;
    std::string holder; ///< Host that holds the row.
    std::string incarnation;
    std::string key;           ///< Row key.
    std::uint64_t version = 0; ///< Of the row when taken.
};

/// Inserts rows if absent, several to a commit. A row of an earlier use of the
/// same claim is written again, so that its age counts from this use. Not
/// thread safe.
class request_claims
{
public:
    explicit request_claims(core_context& context);

    void add(request_claim claim);
    /// Sends the next commit unless one is in flight.
    void flush();
    /// Returns what was settled by the result.
    std::vector<claim_outcome> on_store_result(const store_result& result);

private:
    using outcomes = std::vector<claim_outcome>;

    outcomes on_commit(const store_result& result);
    /// Returns nothing when the row is to be written again.
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
