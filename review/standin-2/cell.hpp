/// Starts the entry hosts of a cell as the deploy file says, and calls them as
/// clients do.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "platform.hpp"

namespace review
{

/// A directory that is removed at the end, unless KEEP is set.
class work_directory
{
public:
    work_directory();
    ~work_directory();
    work_directory(const work_directory&) = delete;
    work_directory& operator=(const work_directory&) = delete;

    const std::string& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

/// One entry host: a process and its settings.
class entry_host
{
public:
    entry_host(std::string name, std::string zone, const std::string& store,
               const work_directory& directory, recorder& log);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    const std::string& name() const
    {
        return name_;
    }
    int front() const
    {
        return front_;
    }
    void start();
    /// Sends a signal; waits for the end of the process after SIGKILL.
    void signal(int number);
    bool is_ready() const;
    /// Returns true when the process runs.
    bool is_running();

private:
    std::string name_;
    int front_;
    int ready_;
    std::string settings_;
    std::string output_;
    recorder& log_;
    pid_t pid_ = -1;
};

/// The store, executors and entry hosts of one case.
class cell
{
public:
    explicit cell(const std::string& record);

    recorder& log()
    {
        return log_;
    }
    metadata_store& store()
    {
        return store_;
    }
    run_history& history()
    {
        return history_;
    }
    executor& add_executor(const executor_traits& traits);
    entry_host& add_host(const std::string& name, const std::string& zone);
    /// Puts a version of the configuration in force. `routes` are the names of
    /// the queues that it holds; each has three attempts.
    void configure(std::uint64_t version,
                   const std::vector<std::string>& routes);
    /// Returns the host that the owner's row names, or an empty text.
    std::string owner();
    std::uint64_t epoch();

    http_reply submit(const entry_host& host, const std::string& queue,
                      const std::string& id, const json& job);
    http_reply state(const entry_host& host, const std::string& queue,
                     const std::string& id);
    http_reply cancel(const entry_host& host, const std::string& queue,
                      const std::string& id);

private:
    http_reply call(const entry_host& host, const char* method,
                    const std::string& queue, const std::string& id,
                    const std::string& body);

    recorder log_;
    work_directory directory_;
    metadata_store store_;
    run_history history_;
    std::vector<std::unique_ptr<executor>> executors_;
    std::vector<std::unique_ptr<entry_host>> hosts_;
};

/// Calls `check` until it is true or the time is over. Returns its result.
template <class Check>
bool eventually(std::chrono::milliseconds most, const Check& check)
{
    const auto end = steady::now() + most;
    while (steady::now() < end)
    {
        if (check())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return check();
}

inline void pause(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace review
