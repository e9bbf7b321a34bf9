#include "shell_http_client_p.hpp"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstring>
#include <curl/curl.h>
#include <fmt/format.h>
#include <future>
#include <thread>

#include "bounded_ring_p.hpp"

namespace carobcourse
{

namespace
{

constexpr long connect_timeout_ms = 1000;
constexpr int poll_ms = 500;
/// Connections kept open; the library's own limit follows the requests in
/// flight and would close those that are used again soon.
constexpr long max_idle_connections = 1024;
constexpr std::size_t max_idle_handles = 64;

/// Bytes of the unfinished answers of a client. Used by its thread only.
struct answer_budget
{
    std::size_t used = 0;
    std::size_t most = 0;
};

struct transfer
{
    http_request request;
    http_callback callback;
    http_response response;
    std::size_t body_sent = 0;
    std::size_t max_answer_bytes = 0;
    answer_budget* budget = nullptr;
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    ~transfer()
    {
        if (budget)
            budget->used -= response.body.size();
        curl_slist_free_all(headers);
        if (handle)
            curl_easy_cleanup(handle);
    }
};

std::size_t read_body(char* buffer, std::size_t size, std::size_t count,
                      void* user)
{
    auto& self = *static_cast<transfer*>(user);
    const auto left = self.request.body.size() - self.body_sent;
    const auto taken = std::min(size * count, left);
    std::memcpy(buffer, self.request.body.data() + self.body_sent, taken);
    self.body_sent += taken;
    return taken;
}

std::size_t write_body(char* data, std::size_t size, std::size_t count,
                       void* user)
{
    auto& self = *static_cast<transfer*>(user);
    const auto bytes = size * count;
    // Less than all ends the transfer.
    if (self.response.body.size() + bytes > self.max_answer_bytes ||
        self.budget->used + bytes > self.budget->most)
        return 0;
    self.budget->used += bytes;
    self.response.body.append(data, bytes);
    return bytes;
}

std::size_t write_header(char* data, std::size_t size, std::size_t count,
                         void* user)
{
    const std::string line(data, size * count);
    const auto colon = line.find(':');
    if (colon != std::string::npos)
    {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto first = line.find_first_not_of(" \t", colon + 1);
        const auto last = line.find_last_not_of("\r\n \t");
        if (first != std::string::npos && last >= first)
            static_cast<transfer*>(user)->response.headers[name] =
                line.substr(first, last - first + 1);
    }
    return size * count;
}

/// `issued`: some of the request went out on an earlier connection. When a
/// pooled connection breaks, the library tries a new one, and reports only
/// that this could not be made.
send_status status_of(CURLcode code, bool issued)
{
    switch (code)
    {
    case CURLE_OK:
        return send_status::answered;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return issued ? send_status::unknown : send_status::not_sent;
    default:
        return send_status::unknown;
    }
}

void prepare(transfer& self)
{
    auto* handle = self.handle;
    const auto& request = self.request;
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.deadline - boot_clock::now());
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     std::max(1L, static_cast<long>(left.count())));
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &self);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, write_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &self);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, write_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &self);
    if (request.method == "POST" || request.method == "PUT")
    {
        // The library repeats a request by itself when a pooled connection
        // turns out to be closed. It can not rewind this read callback, so a
        // body that was sent is never sent twice.
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, read_body);
        curl_easy_setopt(handle, CURLOPT_READDATA, &self);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        if (request.body.empty())
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    self.headers = curl_slist_append(self.headers, "Expect:");
    for (const auto& [name, value] : request.headers)
        self.headers = curl_slist_append(
            self.headers, fmt::format("{}: {}", name, value).c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, self.headers);
}

} // namespace

class http_client::loop
{
public:
    explicit loop(http_client_limits limits)
        : limits_(limits), answers_{0, limits.max_unfinished_bytes},
          ring_(limits.in_flight), multi_(curl_multi_init())
    {
        curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                          limits.connections_per_host);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
        thread_ = std::thread([this] { run(); });
    }

    ~loop()
    {
        stop_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        for (auto* handle : idle_)
            curl_easy_cleanup(handle);
        curl_multi_cleanup(multi_);
    }

    void send(http_request request, http_callback callback)
    {
        if (in_flight_.fetch_add(1) >= limits_.in_flight)
        {
            --in_flight_;
            http_response response;
            response.status = send_status::not_sent;
            callback(response);
            return;
        }
        auto item = std::make_unique<transfer>();
        item->request = std::move(request);
        item->callback = std::move(callback);
        ring_.push_promised(std::move(item));
        curl_multi_wakeup(multi_);
    }

private:
    void run()
    {
        while (!stop_)
        {
            take_new();
            int running = 0;
            curl_multi_perform(multi_, &running);
            take_done();
            curl_multi_poll(multi_, nullptr, 0, poll_ms, nullptr);
        }
        abandon();
    }

    void take_new()
    {
        for (auto& item : ring_.pop_all(std::chrono::microseconds(0)))
        {
            const auto now = boot_clock::now();
            if (now >= item->request.send_before ||
                now >= item->request.deadline)
            {
                complete(*item, send_status::not_sent);
                continue;
            }
            item->handle = take_handle();
            item->budget = &answers_;
            item->max_answer_bytes = limits_.max_answer_bytes;
            prepare(*item);
            auto* handle = item->handle;
            if (fresh_left_ > 0)
            {
                --fresh_left_;
                curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
            }
            active_[handle] = std::move(item);
            curl_multi_add_handle(multi_, handle);
        }
    }

    CURL* take_handle()
    {
        if (idle_.empty())
            return curl_easy_init();
        auto* handle = idle_.back();
        idle_.pop_back();
        return handle;
    }

    /// Setting a handle up costs more than a small request.
    void keep_handle(transfer& item)
    {
        if (idle_.size() >= max_idle_handles)
            return;
        curl_easy_reset(item.handle);
        idle_.push_back(std::exchange(item.handle, nullptr));
    }

    void take_done()
    {
        int left = 0;
        while (auto* message = curl_multi_info_read(multi_, &left))
        {
            if (message->msg != CURLMSG_DONE)
                continue;
            auto* handle = message->easy_handle;
            const auto code = message->data.result;
            curl_multi_remove_handle(multi_, handle);
            auto item = std::move(active_[handle]);
            active_.erase(handle);
            long http_status = 0;
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &http_status);
            item->response.http_status = static_cast<int>(http_status);
            long request_bytes = 0;
            curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
            if (code == CURLE_OPERATION_TIMEDOUT)
                fresh_left_ = limits_.fresh_after_timeout;
            const bool issued = request_bytes > 0 || item->body_sent > 0;
            keep_handle(*item);
            complete(*item, status_of(code, issued));
        }
    }

    void complete(transfer& item, send_status status)
    {
        item.response.status = status;
        --in_flight_;
        item.callback(item.response);
    }

    void abandon()
    {
        for (auto& [handle, item] : active_)
        {
            curl_multi_remove_handle(multi_, handle);
            complete(*item, send_status::unknown);
        }
        active_.clear();
        for (auto& item : ring_.pop_all(std::chrono::microseconds(0)))
            complete(*item, send_status::not_sent);
    }

    http_client_limits limits_;
    answer_budget answers_; // Outlives the transfers.
    bounded_ring<std::unique_ptr<transfer>> ring_;
    std::atomic<std::size_t> in_flight_{0};
    std::atomic<bool> stop_{false};
    CURLM* multi_;
    std::map<CURL*, std::unique_ptr<transfer>> active_;
    std::vector<CURL*> idle_; ///< Used by the thread only.
    /// Requests that are still to take a new connection. Thread only.
    std::size_t fresh_left_ = 0;
    std::thread thread_;
};

http_client::http_client(http_client_limits limits)
    : loop_(std::make_unique<loop>(limits))
{
}

http_client::~http_client() = default;

void http_client::send(http_request request, http_callback callback)
{
    loop_->send(std::move(request), std::move(callback));
}

http_request timed_request(const char* method, std::string url,
                           boot_clock::duration timeout)
{
    http_request request;
    request.method = method;
    request.url = std::move(url);
    request.deadline = boot_clock::now() + timeout;
    request.send_before = request.deadline;
    return request;
}

std::string url_encode(const std::string& text)
{
    char* encoded =
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
    std::string result = encoded ? encoded : "";
    curl_free(encoded);
    return result;
}

http_response http_call(http_request request)
{
    if (request.send_before == boot_clock::time_point())
        request.send_before = request.deadline;
    std::promise<http_response> promise;
    auto answer = promise.get_future();
    http_client client(http_client_limits{});
    client.send(std::move(request), [&promise](const http_response& response)
                { promise.set_value(response); });
    return answer.get();
}

} // namespace carobcourse
