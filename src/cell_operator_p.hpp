/// The operator's rows: read whole once, then followed.
#pragma once

#include <carobcourse/types.hpp>
#include <map>
#include <optional>
#include <string>

#include "cell_context_p.hpp"

namespace carobcourse
{

/// Core thread only.
class cell_operator
{
public:
    explicit cell_operator(cell_context& context) : context_(context) {}

    void tick(time_point now);
    /// True when the event belonged here.
    bool on_store(time_point now, const store_result& result);
    bool on_watch(time_point now, const watch_result& result);
    /// What is in force was current at this moment.
    time_point confirmed_at() const
    {
        return confirmed_at_;
    }

private:
    void apply(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void scan(std::string after);

    cell_context& context_;
    std::optional<op_id> op_;
    time_point sent_at_;
    time_point next_;
    time_point confirmed_at_;
    std::uint64_t version_ = 0;
    bool followed_ = false;
    bool failing_ = false;
    /// Rows of the scan that is under way.
    std::map<std::string, std::string> scanned_;
};

} // namespace carobcourse
