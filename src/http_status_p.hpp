/// Status codes of HTTP that the project sends or acts on.
#pragma once

namespace carobcourse::http_status
{

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int precondition_failed = 412;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int unavailable = 503;

/// First of the client's and of the server's errors.
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

} // namespace carobcourse::http_status
