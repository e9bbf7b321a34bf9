/// Settings of one `serve` process.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "document_p.hpp"

namespace carobcourse
{

/// Settings as read from TOML. Addresses are "IP:PORT"; port 0 binds any.
struct settings
{
    std::string host; ///< Id of this entry host.
    std::string data_centre;
    std::string listen;      ///< HTTP address for callers and operators.
    std::string peer_listen; ///< Address for other entry hosts.
    std::int64_t drain_deadline_ms = 30000;
    std::string operator_key;
    /// Memory for unread and unfinished input of all connections.
    std::int64_t input_budget_mb = 40;
    std::string table_url;
    std::string hosts_url;
    std::string cluster_secret;
    std::int64_t shards_per_data_centre = 1; ///< Same for all entry hosts.
    std::string log_level = "info";
};

/// Parses settings. Returns every problem at once. Thread safe.
tl::expected<settings, std::vector<problem>>
parse_settings(const std::string& text, const std::string& file);

/// Splits "IP:PORT". Returns an error when `address` has another form.
tl::expected<std::pair<std::string, std::uint16_t>, error>
parse_address(const std::string& address);

} // namespace carobcourse
