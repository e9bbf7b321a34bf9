#include "settings_p.hpp"

#include <algorithm>
#include <charconv>

#include "toml_reader_p.hpp"

namespace carobcourse
{

namespace
{

constexpr std::int64_t max_drain_seconds = 3600;
/// Below this a request of the largest size may not fit beside the reserve.
constexpr std::int64_t min_input_budget_mb = 40;
constexpr std::int64_t max_input_budget_mb = 4096;
constexpr std::int64_t max_shards = 64;
constexpr std::size_t min_secret_length = 16;

void check_address(toml_reader& reader, const char* key,
                   const std::string& address)
{
    if (!address.empty() && !parse_address(address))
        reader.report(key, "must be IP:PORT");
}

void check_url(toml_reader& reader, const char* key, const std::string& url)
{
    if (!url.empty() && url.rfind("http://", 0) != 0 &&
        url.rfind("https://", 0) != 0)
        reader.report(key, "must be an http:// or https:// URL");
}

void check_secret(toml_reader& reader, const char* key,
                  const std::string& secret)
{
    if (!secret.empty() && secret.size() < min_secret_length)
        reader.report(key, "must have at least 16 characters");
}

void read_entry_host(const toml::table& table, const std::string& file,
                     settings& out, std::vector<problem>& problems)
{
    toml_reader reader(table, "entry_host.", file,
                       result_code::invalid_settings, problems);
    out.host = reader.required_string("id");
    if (!out.host.empty() && !is_valid_name(out.host))
        reader.report("id", "must be 1 to 63 of a-z, 0-9, '-', '_'");
    out.data_centre = reader.required_string("data_centre");
    if (!out.data_centre.empty() && !is_valid_name(out.data_centre))
        reader.report("data_centre", "must be 1 to 63 of a-z, 0-9, '-', '_'");
    out.listen = reader.required_string("listen");
    check_address(reader, "listen", out.listen);
    out.peer_listen = reader.required_string("peer_listen");
    check_address(reader, "peer_listen", out.peer_listen);
    out.drain_deadline_ms =
        1000 *
        reader.optional_integer("drain_deadline_s", 30, 1, max_drain_seconds);
    out.input_budget_mb =
        reader.optional_integer("input_budget_mb", out.input_budget_mb,
                                min_input_budget_mb, max_input_budget_mb);
    out.operator_key = reader.required_string("operator_key");
    check_secret(reader, "operator_key", out.operator_key);
    reader.finish();
}

void read_platform(const toml::table& table, const std::string& file,
                   settings& out, std::vector<problem>& problems)
{
    toml_reader reader(table, "platform.", file, result_code::invalid_settings,
                       problems);
    out.table_url = reader.required_string("table");
    check_url(reader, "table", out.table_url);
    out.hosts_url = reader.required_string("hosts");
    check_url(reader, "hosts", out.hosts_url);
    reader.finish();
}

void read_log(const toml::table& table, const std::string& file, settings& out,
              std::vector<problem>& problems)
{
    toml_reader reader(table, "log.", file, result_code::invalid_settings,
                       problems);
    out.log_level = reader.optional_string("level", out.log_level);
    static const std::vector<std::string> levels = {"debug", "info", "warning",
                                                    "error"};
    if (std::find(levels.begin(), levels.end(), out.log_level) == levels.end())
        reader.report("level", "must be debug, info, warning or error");
    reader.finish();
}

} // namespace

tl::expected<std::pair<std::string, std::uint16_t>, error>
parse_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    const error bad{result_code::invalid_settings, "must be IP:PORT"};
    if (colon == std::string::npos || colon == 0)
        return tl::make_unexpected(bad);
    const char* begin = address.data() + colon + 1;
    const char* end = address.data() + address.size();
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(begin, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return tl::make_unexpected(bad);
    return std::make_pair(address.substr(0, colon), port);
}

tl::expected<settings, std::vector<problem>>
parse_settings(const std::string& text, const std::string& file)
{
    std::vector<problem> problems;
    settings out;
    try
    {
        const toml::table table = toml::parse(text, file);
        toml_reader reader(table, "", file, result_code::invalid_settings,
                           problems);
        if (const auto* part = reader.required_table("entry_host"))
            read_entry_host(*part, file, out, problems);
        if (const auto* part = reader.required_table("platform"))
            read_platform(*part, file, out, problems);
        if (const auto* part = reader.required_table("cluster"))
        {
            toml_reader cluster(*part, "cluster.", file,
                                result_code::invalid_settings, problems);
            out.cluster_secret = cluster.required_string("secret");
            check_secret(cluster, "secret", out.cluster_secret);
            out.shards_per_data_centre = cluster.optional_integer(
                "shards_per_data_centre", 1, 1, max_shards);
            cluster.finish();
        }
        if (const auto* part = reader.optional_table("log"))
            read_log(*part, file, out, problems);
        reader.finish();
    }
    catch (const toml::parse_error& e)
    {
        problems.push_back(problem{
            file, static_cast<int>(e.source().begin.line), "syntax",
            result_code::invalid_settings, std::string(e.description())});
    }
    if (!problems.empty())
        return tl::make_unexpected(problems);
    return out;
}

} // namespace carobcourse
