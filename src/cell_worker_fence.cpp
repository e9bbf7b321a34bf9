#include "cell_worker_fence_p.hpp"

#include <algorithm>

namespace carobcourse
{

void worker_fence::raise()
{
    ++last_;
    has_open_poll_ = false;
    has_lost_call_ = false;
}

void worker_fence::record_lost_call(std::uint32_t fence)
{
    has_lost_call_ = has_lost_call_ || fence == last_;
}

void worker_fence::begin_start()
{
    if (has_open_poll_ || has_lost_call_)
        raise();
    ++open_starts_;
}

void worker_fence::end_start(std::uint32_t fence, bool is_answered)
{
    // A call to a worker that has been removed and is listed again.
    if (fence < first_)
        return;
    --open_starts_;
    if (is_answered)
        return;
    lost_start_ = std::max(lost_start_.value_or(fence), fence);
    record_lost_call(fence);
}

void worker_fence::begin_poll()
{
    if (has_lost_call_)
        raise();
    has_open_poll_ = true;
}

void worker_fence::end_poll(std::uint32_t fence, bool is_answered)
{
    // A call to a worker that has been removed and is listed again.
    if (fence < first_)
        return;
    has_open_poll_ = false;
    if (!is_answered)
        record_lost_call(fence);
    else if (lost_start_ && *lost_start_ < fence)
        lost_start_.reset();
}

} // namespace carobcourse
