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
class cell_config_watcher
{
public:
    explicit cell_config_watcher(cell_context& context) : context_(context) {}

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
    std::optional<op_id> pending_op_;
    time_point request_sent_at_;
    time_point next_request_at_;
    time_point confirmed_at_;
    std::uint64_t version_ = 0;
    bool watching_ = false;
    bool watch_failing_ = false;
    /// Rows of the scan that is under way.
    std::map<std::string, std::string> scanned_rows_;
};

} // namespace carobcourse
