/// State shared by the components of the core: host identity, metrics, random
/// numbers and the effects of the current event.
#pragma once

#include <carobcourse/config.hpp>
#include <carobcourse/result_code.hpp>
#include <carobcourse/types.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "event_p.hpp"
#include "keyring_p.hpp"
#include "metrics_p.hpp"
#include "peer_grants_p.hpp"
#include "shard_balance_p.hpp"

namespace carobcourse
{

/// Identity and settings of this process, fixed at its start.
struct host_identity
{
    std::string host;
    std::string data_centre;
    std::string incarnation;  ///< Unique to each run of the process.
    std::string peer_address; ///< Address for other entry hosts.
    std::string operator_key;
    duration drain_deadline = std::chrono::seconds(30);
    /// With at most this many entry hosts, each requests grants from all
    /// others.
    std::size_t full_mesh_hosts = config::full_mesh_hosts;
    std::uint32_t shards_per_data_centre = 1;
};

/// Shared by the components of one entry host. Used by the core thread only.
class core_context
{
public:
    core_context(host_identity identity, std::uint64_t seed,
                 entropy_source& entropy)
        : identity(std::move(identity)), random(seed), entropy(entropy),
          balance(this->identity.shards_per_data_centre)
    {
    }

    const host_identity identity;
    std::mt19937_64 random;
    entropy_source& entropy;
    metrics counters;
    peer_grants grants;
    /// Row of this host in the table `member`; empty while its version is not
    /// known. Each commit of a change requires this row, so that a host whose
    /// row was removed cannot write.
    std::optional<row> member_row;
    shard_balance balance;
    effects out;

    /// Returns an operation identifier that is unique in this process.
    op_id next_op(component owner)
    {
        return {owner, ++sequence_};
    }

    /// Returns the number of a sync, unique across the shards of this host.
    std::uint64_t next_sync()
    {
        return ++syncs_;
    }

    /// Adds a log record. Secrets are removed from `detail`.
    void log(log_code code, std::string detail)
    {
        out.emplace_back(log_record{code, without_secrets(std::move(detail))});
    }

    /// Answers an API call with a JSON body.
    void reply(call_id call, int http_status, std::string json_body)
    {
        out.emplace_back(api_reply{call, http_status, "application/json",
                                   std::move(json_body)});
    }

    /// Answers an API call with a result code and counts the refusal.
    void refuse(call_id call, const error& why);

private:
    std::uint64_t sequence_ = 0;
    std::uint64_t syncs_ = 0;
};

/// Returns the JSON body of an error answer, with secrets removed.
std::string error_body(const error& why);

} // namespace carobcourse
