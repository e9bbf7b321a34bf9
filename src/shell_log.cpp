#include "shell_log_p.hpp"

#include <fmt/format.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace carobcourse
{

namespace
{

log4cxx::LoggerPtr logger()
{
    static const auto instance = log4cxx::Logger::getLogger("carobcourse");
    return instance;
}

log4cxx::LevelPtr level_of(const std::string& name)
{
    if (name == "debug")
        return log4cxx::Level::getDebug();
    if (name == "warning")
        return log4cxx::Level::getWarn();
    if (name == "error")
        return log4cxx::Level::getError();
    return log4cxx::Level::getInfo();
}

} // namespace

void init_log(const std::string& level)
{
    const log4cxx::LayoutPtr layout(
        new log4cxx::PatternLayout("%d{ISO8601} %-5p %m%n"));
    const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout));
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(level_of(level));
}

void write_log(const log_record& record)
{
    const auto& description = info(record.code);
    const auto text = fmt::format("CE-{:04} {}: {}", description.number,
                                  description.text, record.detail);
    switch (description.level)
    {
    case log_level::info:
        LOG4CXX_INFO(logger(), text);
        break;
    case log_level::warning:
        LOG4CXX_WARN(logger(), text);
        break;
    case log_level::error:
        LOG4CXX_ERROR(logger(), text);
        break;
    }
}

} // namespace carobcourse
