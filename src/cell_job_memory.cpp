#include "cell_job_memory_p.hpp"

#include <algorithm>
#include <utility>

#include "cell_job_p.hpp"
#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

/// Nodes of the tables that name a job, and its entry of the log.
constexpr std::size_t job_overhead_bytes = 1024;
/// A job that has ended: its phase, and its entry of the log.
constexpr std::size_t ended_job_bytes = 400;
/// Members of a step in the entry of the log.
constexpr std::size_t step_text_bytes = 256;
/// State of a task, its character in the entry of the log, and its worker,
/// checkpoint and failed runs.
constexpr std::size_t task_bytes = sizeof(cell_task) + 64;

} // namespace

std::size_t estimate_job_bytes(const job_spec& work)
{
    // The text is in the job and in its entry of the log.
    auto bytes = job_overhead_bytes + 2 * work.payload.size();
    std::size_t tasks = 0;
    for (const auto& step : work.steps)
    {
        const auto text = step.label.size() + step.data_rack.size() +
                          step.image.size() +
                          step.depends_on.size() * sizeof(std::uint32_t);
        bytes += sizeof(step_spec) + step_text_bytes + 2 * text;
        tasks += step.count;
    }
    const std::size_t occurrences = std::max(1U, work.occurrences);
    return bytes + occurrences * (work.steps.size() * sizeof(step_state) +
                                  tasks * task_bytes);
}

bool job_memory::has_room(const std::string& customer, std::size_t bytes,
                          std::size_t ended) const
{
    const auto found = by_customer_.find(customer);
    const auto own = found == by_customer_.end() ? 0 : found->second;
    return own + bytes <= config::cell_max_customer_memory_bytes &&
           total_ + bytes + ended * ended_job_bytes <=
               config::cell_max_job_memory_bytes;
}

void job_memory::add(const std::string& customer, std::size_t bytes)
{
    total_ += bytes;
    by_customer_[customer] += bytes;
}

void job_memory::remove(const std::string& customer, std::size_t bytes)
{
    total_ -= bytes;
    const auto found = by_customer_.find(customer);
    found->second -= bytes;
    if (found->second == 0)
        by_customer_.erase(found);
}

job_memory_share::job_memory_share(job_memory& memory, std::string customer,
                                   std::size_t bytes)
    : memory_(&memory), customer_(std::move(customer)), bytes_(bytes)
{
    memory_->add(customer_, bytes_);
}

job_memory_share::job_memory_share(job_memory_share&& other) noexcept
    : memory_(std::exchange(other.memory_, nullptr)),
      customer_(std::move(other.customer_)), bytes_(other.bytes_)
{
}

job_memory_share& job_memory_share::operator=(job_memory_share&& other) noexcept
{
    std::swap(memory_, other.memory_);
    std::swap(customer_, other.customer_);
    std::swap(bytes_, other.bytes_);
    return *this;
}

job_memory_share::~job_memory_share()
{
    if (memory_)
        memory_->remove(customer_, bytes_);
}

} // namespace carobcourse
