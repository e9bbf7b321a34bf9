#include "json_limits_p.hpp"

#include <carobcourse/config.hpp>
#include <cstddef>

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

/// Counts without keeping anything.
class limit_check final : public json::json_sax_t
{
public:
    bool null() override
    {
        return add_value();
    }
    bool boolean(bool) override
    {
        return add_value();
    }
    bool number_integer(number_integer_t) override
    {
        return add_value();
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return add_value();
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return add_value();
    }
    bool string(string_t&) override
    {
        return add_value();
    }
    bool binary(binary_t&) override
    {
        return add_value();
    }
    bool start_object(std::size_t) override
    {
        return open_level();
    }
    bool key(string_t&) override
    {
        return true;
    }
    bool end_object() override
    {
        --levels_;
        return true;
    }
    bool start_array(std::size_t) override
    {
        return open_level();
    }
    bool end_array() override
    {
        --levels_;
        return true;
    }
    bool parse_error(std::size_t, const std::string&,
                     const json::exception&) override
    {
        return false;
    }

private:
    bool add_value()
    {
        return ++values_ <= config::max_json_values;
    }
    bool open_level()
    {
        return ++levels_ <= config::max_json_levels && add_value();
    }

    std::size_t values_ = 0;
    std::size_t levels_ = 0;
};

} // namespace

json parse_limited(const std::string& text)
{
    limit_check check;
    if (!json::sax_parse(text, &check))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

} // namespace carobcourse
