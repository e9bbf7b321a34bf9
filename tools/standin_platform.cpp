#include "standin_p.hpp"

namespace carobcourse::standin
{

response table_store::commit(const json& body)
{
    const auto& ops = body.at("ops");
    for (std::size_t i = 0; i < ops.size(); ++i)
    {
        const auto& op = ops[i];
        if (!op.contains("expect"))
            continue;
        const auto& rows = tables_[op.at("table").get<std::string>()];
        const auto found = rows.find(op.at("key").get<std::string>());
        const auto current = found == rows.end() ? 0 : found->second.version;
        if (current != op["expect"].get<std::uint64_t>())
            return {409, {{"conflict", i}}};
    }
    json versions = json::array();
    for (const auto& op : ops)
    {
        auto& rows = tables_[op.at("table").get<std::string>()];
        const auto key = op.at("key").get<std::string>();
        const auto version = ++next_version_;
        if (op.at("value").is_null())
            rows.erase(key);
        else
            rows[key] = {version, op["value"].get<std::string>()};
        versions.push_back(version);
    }
    return {200, {{"versions", versions}}};
}

response table_store::read(const std::string& table,
                           const std::string& key) const
{
    const auto rows = tables_.find(table);
    if (rows == tables_.end() || rows->second.count(key) == 0)
        return {404, json::object()};
    const auto& found = rows->second.at(key);
    return {
        200,
        {{"row",
          {{"key", key}, {"version", found.version}, {"value", found.value}}}}};
}

response table_store::scan(const std::string& table, const std::string& prefix,
                           const std::string& after, std::size_t limit) const
{
    json list = json::array();
    const auto rows = tables_.find(table);
    if (rows != tables_.end())
    {
        auto it = after.empty() ? rows->second.lower_bound(prefix)
                                : rows->second.upper_bound(after);
        for (; it != rows->second.end() && list.size() < limit; ++it)
        {
            if (it->first.compare(0, prefix.size(), prefix) != 0)
                break;
            list.push_back({{"key", it->first},
                            {"version", it->second.version},
                            {"value", it->second.value}});
        }
    }
    return {200, {{"rows", list}}};
}

} // namespace carobcourse::standin
