/// Abstract interfaces of everything outside the decision core. The shell
/// has HTTP and CBOR adapters; tests and benches bring their own.
///
/// Each call returns at once and is answered by exactly one event, passed to
/// the `event_sink` from any thread. A call that can not be taken (its ring
/// is full) is answered at once with a "not sent" status.
#pragma once

#include <carobcourse/types.hpp>
#include <functional>

namespace carobcourse
{

struct store_commit;
struct store_read;
struct store_scan;
struct worker_sync;
struct execute_request;
struct peer_send;
struct set_peers;

/// Transactional table service of the platform. Thread safe.
class table_service
{
public:
    virtual ~table_service() = default;
    /// Writes all rows or none. Answered by `store_result`.
    virtual void commit(const store_commit& operation) = 0;
    /// Answered by `store_result` with at most one row.
    virtual void read(const store_read& operation) = 0;
    /// Answered by `store_result` with rows in key order.
    virtual void scan(const store_scan& operation) = 0;
};

/// Lagging list of live and leaving hosts. Thread safe.
class host_list
{
public:
    virtual ~host_list() = default;
    /// Answered by `host_list_result`.
    virtual void list() = 0;
};

/// Link to the workers. Thread safe.
class worker_link
{
public:
    virtual ~worker_link() = default;
    /// Answered by `worker_result`. Not sent after `send_before`.
    virtual void sync(const worker_sync& message) = 0;
};

/// Link to the backend servers. Thread safe.
class executor_link
{
public:
    virtual ~executor_link() = default;
    /// Answered by `execute_result`. Sent at most once per call.
    virtual void execute(const execute_request& request) = 0;
};

/// Links between entry hosts. Thread safe. Delivery is best effort; received
/// messages arrive as `peer_received`.
class peer_link
{
public:
    virtual ~peer_link() = default;
    virtual void set_peers(const carobcourse::set_peers& peers) = 0;
    virtual void send(const peer_send& message) = 0;
};

/// Monotonic time. Thread safe.
class clock
{
public:
    virtual ~clock() = default;
    virtual time_point now() const = 0;
};

} // namespace carobcourse
