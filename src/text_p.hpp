/// Small functions on texts.
#pragma once

#include <string>

namespace carobcourse
{

inline bool ends_with(const std::string& text, const std::string& suffix)
{
    return text.size() >= suffix.size() &&
           text.compare(text.size() - suffix.size(), suffix.size(), suffix) ==
               0;
}

} // namespace carobcourse
