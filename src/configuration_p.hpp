/// The configuration in force: team documents, keys and data centre states
/// under one growing version.
#pragma once

#include <carobcourse/result_code.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "document_p.hpp"
#include "keyring_p.hpp"

namespace carobcourse
{

enum class entry_kind : std::uint8_t
{
    team,
    key,
    data_centre,
    none ///< A change of nothing; it only takes up a version.
};

/// One change as written to the configuration log.
struct config_change
{
    std::uint64_t version = 0;
    std::string write_id; ///< Unique to the try that wrote it.
    entry_kind kind = entry_kind::team;
    std::string name;
    std::optional<std::string> value; ///< JSON text; empty when removed.

    friend bool operator==(const config_change& a, const config_change& b)
    {
        return a.version == b.version && a.write_id == b.write_id &&
               a.kind == b.kind && a.name == b.name && a.value == b.value;
    }
};

std::string to_json_text(const config_change& change);
tl::expected<config_change, error>
config_change_from_json(const std::string& text);

/// Key of a change's entry in the table, for example "team/climb-desk".
std::string entry_key(entry_kind kind, const std::string& name);

/// Aggregate. Rule: the version of an entry never falls, and neither does
/// the version of the whole. Not thread safe.
class configuration
{
public:
    /// True once a first version was applied.
    bool is_loaded() const
    {
        return loaded_;
    }
    std::uint64_t version() const
    {
        return version_;
    }

    /// Applies one entry. An entry version that is not larger than the one
    /// in force changes nothing and returns false. Errors: a malformed value.
    tl::expected<bool, error> apply(const config_change& change);

    /// States that every change up to `version` was applied.
    void advance(std::uint64_t version);

    /// Returns null when there is no such team.
    const team_document* find_team(const std::string& team) const;
    /// Version of the team's document in force, 0 when there is none.
    std::uint64_t team_version(const std::string& team) const;

    /// Returns the team of a key that is in force.
    tl::expected<std::string, error>
    authenticate(const std::string& printed_key) const;

    /// Returns the service and the team that owns it, null when unknown.
    struct service_entry
    {
        const team_document* owner = nullptr;
        const service_queue* queue = nullptr;
    };
    service_entry find_service(const std::string& name) const;

    bool is_data_centre_out(const std::string& data_centre) const;
    std::uint64_t data_centre_version(const std::string& data_centre) const;

    /// All entries of a kind: name to entry version and JSON text.
    struct entry
    {
        std::uint64_t version = 0;
        std::optional<std::string> value;
    };
    const std::map<std::string, entry>& entries(entry_kind kind) const;

private:
    tl::expected<void, error> apply_value(const config_change& change);

    bool loaded_ = false;
    std::uint64_t version_ = 0;
    std::map<entry_kind, std::map<std::string, entry>> entries_;
    std::map<std::string, team_document> teams_;
    std::map<std::string, key_record> keys_;
    std::map<std::string, bool> data_centre_out_;
};

} // namespace carobcourse
