#include "configuration_p.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr const char* kind_names[] = {"team", "key", "datacentre", "none"};

} // namespace

std::string entry_key(entry_kind kind, const std::string& name)
{
    return std::string(kind_names[static_cast<int>(kind)]) + "/" + name;
}

std::string to_json_text(const config_change& change)
{
    json value{{"version", change.version},
               {"write_id", change.write_id},
               {"kind", kind_names[static_cast<int>(change.kind)]},
               {"name", change.name}};
    value["value"] = change.value ? json(*change.value) : json();
    return value.dump();
}

tl::expected<config_change, error>
config_change_from_json(const std::string& text)
{
    try
    {
        const auto value = json::parse(text);
        config_change change;
        change.version = value.at("version").get<std::uint64_t>();
        change.write_id = value.at("write_id").get<std::string>();
        const auto kind = value.at("kind").get<std::string>();
        const auto* found =
            std::find(std::begin(kind_names), std::end(kind_names), kind);
        if (found == std::end(kind_names))
            return tl::make_unexpected(error{result_code::invalid_document,
                                             "unknown entry kind " + kind});
        change.kind = static_cast<entry_kind>(std::distance(kind_names, found));
        change.name = value.at("name").get<std::string>();
        if (!value.at("value").is_null())
            change.value = value.at("value").get<std::string>();
        return change;
    }
    catch (const json::exception& e)
    {
        return tl::make_unexpected(
            error{result_code::invalid_document, e.what()});
    }
}

tl::expected<bool, error> configuration::apply(const config_change& change)
{
    if (change.kind == entry_kind::none)
        return false;
    auto& by_name = entries_[change.kind];
    const auto found = by_name.find(change.name);
    if (found != by_name.end() && found->second.version >= change.version)
        return false;
    if (auto applied = apply_value(change); !applied)
        return tl::make_unexpected(applied.error());
    by_name[change.name] = entry{change.version, change.value};
    return true;
}

tl::expected<void, error>
configuration::apply_value(const config_change& change)
{
    switch (change.kind)
    {
    case entry_kind::team:
    {
        if (!change.value)
        {
            teams_.erase(change.name);
            return {};
        }
        auto document = team_document_from_json(*change.value);
        if (!document)
            return tl::make_unexpected(document.error());
        teams_[change.name] = *document;
        return {};
    }
    case entry_kind::key:
    {
        if (!change.value)
        {
            keys_.erase(change.name);
            return {};
        }
        auto record = key_record_from_json(*change.value);
        if (!record)
            return tl::make_unexpected(record.error());
        keys_[change.name] = *record;
        return {};
    }
    case entry_kind::data_centre:
        data_centre_out_[change.name] = change.value && *change.value == "out";
        return {};
    case entry_kind::none:
        return {};
    }
    return {};
}

void configuration::advance(std::uint64_t version)
{
    loaded_ = true;
    version_ = std::max(version_, version);
}

const team_document* configuration::find_team(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? nullptr : &found->second;
}

std::uint64_t configuration::team_version(const std::string& team) const
{
    const auto& teams = entries(entry_kind::team);
    const auto found = teams.find(team);
    return found == teams.end() ? 0 : found->second.version;
}

tl::expected<std::string, error>
configuration::authenticate(const std::string& printed_key) const
{
    if (printed_key.empty())
        return tl::make_unexpected(error{result_code::key_missing, ""});
    // An unknown id costs the same comparison as a known one, so that the
    // time of a refusal does not tell which ids exist.
    static const key_record decoy{"", "", std::string(32, '0'),
                                  std::string(64, '0')};
    const auto found = keys_.find(key_id_of(printed_key));
    const bool known = found != keys_.end();
    const bool right = matches(known ? found->second : decoy, printed_key);
    if (!known || !right)
        return tl::make_unexpected(error{result_code::key_unknown, ""});
    return found->second.team;
}

configuration::service_entry
configuration::find_service(const std::string& name) const
{
    for (const auto& [team, document] : teams_)
    {
        for (const auto& queue : document.services)
        {
            if (queue.name == name)
                return {&document, &queue};
        }
    }
    return {};
}

bool configuration::is_data_centre_out(const std::string& data_centre) const
{
    const auto found = data_centre_out_.find(data_centre);
    return found != data_centre_out_.end() && found->second;
}

std::uint64_t
configuration::data_centre_version(const std::string& data_centre) const
{
    const auto& states = entries(entry_kind::data_centre);
    const auto found = states.find(data_centre);
    return found == states.end() ? 0 : found->second.version;
}

const std::map<std::string, configuration::entry>&
configuration::entries(entry_kind kind) const
{
    static const std::map<std::string, entry> none;
    const auto found = entries_.find(kind);
    return found == entries_.end() ? none : found->second;
}

} // namespace carobcourse
