#include "toml_reader_p.hpp"

#include <fmt/format.h>
#include <utility>

namespace carobcourse
{

toml_reader::toml_reader(const toml::table& table, std::string prefix,
                         std::string file, result_code code,
                         std::vector<problem>& problems)
    : table_(table), prefix_(std::move(prefix)), file_(std::move(file)),
      code_(code), problems_(problems)
{
}

const toml::node* toml_reader::find(const char* key)
{
    known_.insert(key);
    return table_.get(key);
}

int toml_reader::line_of(const char* key) const
{
    const auto* node = table_.get(key);
    const auto& source = node ? node->source() : table_.source();
    return static_cast<int>(source.begin.line);
}

void toml_reader::report(const char* key, const std::string& detail)
{
    problems_.push_back(
        problem{file_, line_of(key), prefix_ + key, code_, detail});
}

std::string toml_reader::required_string(const char* key)
{
    if (!find(key))
    {
        report(key, "is missing");
        return {};
    }
    auto value = optional_string(key, {});
    const auto* node = table_.get(key);
    if (value.empty() && node->is_string())
        report(key, "must not be empty");
    return value;
}

std::string toml_reader::optional_string(const char* key,
                                         const std::string& fallback)
{
    const auto* node = find(key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<std::string>())
        return *value;
    report(key, "must be a string");
    return fallback;
}

std::int64_t toml_reader::required_integer(const char* key, std::int64_t low,
                                           std::int64_t high)
{
    if (!find(key))
    {
        report(key, "is missing");
        return low;
    }
    return optional_integer(key, low, low, high);
}

std::int64_t toml_reader::optional_integer(const char* key,
                                           std::int64_t fallback,
                                           std::int64_t low, std::int64_t high)
{
    const auto* node = find(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (!value)
    {
        report(key, "must be a whole number");
        return fallback;
    }
    if (*value < low || *value > high)
    {
        report(key, fmt::format("must be from {} to {}", low, high));
        return fallback;
    }
    return *value;
}

bool toml_reader::optional_bool(const char* key, bool fallback)
{
    const auto* node = find(key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<bool>())
        return *value;
    report(key, "must be true or false");
    return fallback;
}

std::vector<std::string> toml_reader::optional_strings(const char* key)
{
    std::vector<std::string> values;
    const auto* node = find(key);
    if (!node)
        return values;
    const auto* array = node->as_array();
    if (!array)
    {
        report(key, "must be a list of strings");
        return values;
    }
    for (const auto& item : *array)
    {
        if (const auto value = item.value_exact<std::string>())
            values.push_back(*value);
        else
            report(key, "must be a list of strings");
    }
    return values;
}

const toml::table* toml_reader::optional_table(const char* key)
{
    const auto* node = find(key);
    if (!node)
        return nullptr;
    if (!node->is_table())
        report(key, "must be a table");
    return node->as_table();
}

const toml::table* toml_reader::required_table(const char* key)
{
    if (!find(key))
        report(key, "is missing");
    return optional_table(key);
}

std::vector<const toml::table*> toml_reader::optional_tables(const char* key)
{
    std::vector<const toml::table*> tables;
    const auto* node = find(key);
    if (!node)
        return tables;
    const auto* array = node->as_array();
    if (!array)
    {
        report(key, "must be a list of tables");
        return tables;
    }
    for (const auto& item : *array)
    {
        if (item.is_table())
            tables.push_back(item.as_table());
        else
            report(key, "must be a list of tables");
    }
    return tables;
}

void toml_reader::finish()
{
    for (const auto& [key, node] : table_)
    {
        const std::string name(key.str());
        if (known_.count(name) == 0)
            report(name.c_str(), "is not a known key");
    }
}

} // namespace carobcourse
