/// Socket of the HTTP server for callers. It accounts for all input before the
/// library's parser keeps it, and answers input that is no request.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <restinio/all.hpp>
#include <string>
#include <utility>

#include "shell_input_gate_p.hpp"

namespace carobcourse
{

/// Seconds after which a caller may try again that was refused for want of
/// room: stalled connections give way within one.
constexpr char retry_after_s[] = "1";

/// Counts refused input by reason. Thread safe.
class refusal_counter
{
public:
    void count(const std::string& reason);
    std::map<std::string, std::uint64_t> take();

private:
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

/// What all connections of a server share. Outlives them.
struct socket_context
{
    refusal_counter& refusals;
    std::shared_ptr<input_gate> gate;
};

/// What a connection has received. Used by the thread of its connection, but
/// for what says otherwise.
class input_state : public std::enable_shared_from_this<input_state>
{
public:
    explicit input_state(socket_context& context) : context_(context) {}

    bool partial = false; ///< Bytes arrived that are no whole request yet.
    bool ended = false;   ///< The caller closed its side, or failed.
    bool no_room = false; ///< Refused by the budget of the process.
    /// Requests whose answer is not written yet. Used by any thread.
    std::atomic<int> calls{0};

    /// Registers the connection with the budget.
    void attach(int descriptor);
    /// To be called before the descriptor is closed.
    void detach();
    bool is_attached() const
    {
        return descriptor_ >= 0;
    }

    /// Charges input. Returns false when the connection has to be closed.
    bool take(const char* bytes, std::size_t count);
    /// See input_gate. Thread safe.
    bool begin_call();
    bool give_answer(std::size_t bytes);
    void end_call();
    /// Number of refused connections that may be read from until they close.
    std::size_t max_lingering() const;
    /// Makes the thread of the connection close it. Thread safe.
    void evict();

    refusal_counter& refusals()
    {
        return context_.refusals;
    }

private:
    socket_context& context_;
    std::mutex mutex_; ///< Guards the descriptor against use after its close.
    std::atomic<int> descriptor_{-1};
    std::atomic<input_number> number_{0};
};

using input_state_handle = std::shared_ptr<input_state>;

/// RESTinio closes a connection without an answer when the input is no
/// request. It reports to the logger and closes the socket next, in the same
/// thread; these pass the reason and the server on.
extern thread_local std::string parser_error;
extern thread_local socket_context* current_context;
/// State of the connection whose input is being handled in this thread.
extern thread_local input_state_handle current_input;

/// Holds the state of a socket and detaches it before the socket closes.
class input_state_owner
{
public:
    input_state_owner() = default;
    input_state_owner(input_state_owner&&) = default;
    input_state_owner& operator=(input_state_owner&& other) noexcept
    {
        std::swap(state_, other.state_);
        return *this;
    }
    ~input_state_owner()
    {
        if (state_)
            state_->detach();
    }

    input_state_handle& get()
    {
        return state_;
    }

private:
    input_state_handle state_;
};

class caller_socket : public asio::ip::tcp::socket
{
public:
    using base = asio::ip::tcp::socket;
    using base::base;

    template <class Buffer, class Handler>
    void async_read_some(const Buffer& buffer, Handler&& handler)
    {
        // The acceptor uses a socket that was moved from for the next
        // connection, so the state may be absent.
        auto& owned = owner_.get();
        if (!owned)
            owned = std::make_shared<input_state>(*current_context);
        if (!owned->is_attached() && is_open())
            owned->attach(native_handle());
        const auto* bytes = static_cast<const char*>(buffer.data());
        const auto executor =
            asio::get_associated_executor(handler, get_executor());
        base::async_read_some(
            buffer, asio::bind_executor(
                        executor,
                        [state = owned, bytes,
                         handler = std::decay_t<Handler>(
                             std::forward<Handler>(handler))](
                            asio::error_code error, std::size_t count) mutable
                        {
                            state->partial = state->partial || count > 0;
                            // An operation that was cancelled has no
                            // connection.
                            if (error != asio::error::operation_aborted &&
                                !state->take(bytes, count))
                            {
                                error = asio::error::connection_reset;
                                count = 0;
                            }
                            state->ended = state->ended || error;
                            current_input = state;
                            handler(error, count);
                            current_input.reset();
                        }));
    }

    /// Answers input that was no request. The socket is closed afterwards
    /// where the answer may still be on its way.
    void shutdown(shutdown_type what, asio::error_code& error);

private:
    bool answer_bad_input(input_state& state);

    input_state_owner owner_;
};

/// Hands parser errors to the socket that is closed next.
class parser_error_logger
{
public:
    explicit parser_error_logger(socket_context& context) : context_(context) {}

    /// Called before each read and each close, among others.
    template <class Builder>
    void trace(Builder&&)
    {
        current_context = &context_;
    }
    template <class Builder>
    void info(Builder&&)
    {
    }
    template <class Builder>
    void warn(Builder&&)
    {
    }
    template <class Builder>
    void error(Builder&& builder)
    {
        const std::string text = builder();
        const auto at = text.find("parser error ");
        if (at != std::string::npos)
            parser_error = text.substr(at);
    }

private:
    socket_context& context_;
};

} // namespace carobcourse
