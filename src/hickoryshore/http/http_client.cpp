#include "hickoryshore/http/http_client.h"
#include "hickoryshore/clock/clock.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdlib>

#include <civetweb.h>

namespace hickoryshore {

namespace {

constexpr std::size_t errorTextSize = 256;
constexpr long long largestBody = 16LL * 1024 * 1024;
constexpr int largestPort = 65535;

std::string requestText(const HttpRequest &request, const std::string &host)
{
    std::string text = request.method + ' ' + request.path;
    if (!request.queryString.empty()) {
        text += '?' + request.queryString;
    }
    text += " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
    for (const HttpHeader &header : request.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::string readBody(mg_connection *connection, long long length)
{
    if (length < 0 || length > largestBody) {
        throw HttpError(HttpFailure::Malformed, "the response has no usable Content-Length");
    }
    std::string body(static_cast<std::size_t>(length), '\0');
    std::size_t filled = 0;
    while (filled < body.size()) {
        const int count = mg_read(connection, body.data() + filled, body.size() - filled);
        if (count <= 0) {
            throw HttpError(HttpFailure::Closed, "the connection closed within the response's body");
        }
        filled += static_cast<std::size_t>(count);
    }
    return body;
}

HttpResponse readResponse(mg_connection *connection)
{
    const mg_response_info *info = mg_get_response_info(connection);
    HttpResponse response;
    response.status = info->status_code;
    for (int number = 0; number < info->num_headers; ++number) {
        response.headers.push_back({info->http_headers[number].name, info->http_headers[number].value});
    }
    response.body = readBody(connection, info->content_length);
    response.contentType = findHeader(response.headers, "Content-Type").value_or("");
    return response;
}

} // namespace

void HttpConnection::Closer::operator()(mg_connection *connection) const
{
    mg_close_connection(connection);
}

HttpConnection::HttpConnection(const std::string &address, int port) : host(address + ':' + std::to_string(port))
{
    std::array<char, errorTextSize> error{};
    this->connection.reset(mg_connect_client(address.c_str(), port, 0, error.data(), error.size()));
    if (this->connection == nullptr) {
        throw HttpError(HttpFailure::Connect, error.data());
    }
}

HttpResponse HttpConnection::exchange(const HttpRequest &request, Duration timeout)
{
    const bool wasIntact = this->intact;
    this->intact = false;
    if (!wasIntact) {
        throw HttpError(HttpFailure::Closed, "the connection is not reusable");
    }
    const std::string text = requestText(request, this->host);
    if (mg_write(this->connection.get(), text.data(), text.size()) != static_cast<int>(text.size())) {
        throw HttpError(HttpFailure::Closed, "the request could not be sent whole");
    }
    const Instant start = monotonicNow();
    std::array<char, errorTextSize> error{};
    const int timeoutMs = static_cast<int>(std::max<std::int64_t>(1, ceilMilliseconds(timeout)));
    if (mg_get_response(this->connection.get(), error.data(), error.size(), timeoutMs) < 0) {
        const Duration elapsed = monotonicNow() - start;
        const bool timedOut = elapsed >= std::chrono::milliseconds(timeoutMs);
        throw HttpError(timedOut ? HttpFailure::Timeout : HttpFailure::Closed, error.data());
    }
    HttpResponse response = readResponse(this->connection.get());
    const std::string_view connectionHeader = findHeader(response.headers, "Connection").value_or("keep-alive");
    this->intact = connectionHeader != "close";
    if (!this->intact) {
        // The server waits for this end to close before it can use its thread for others.
        this->connection.reset();
    }
    return response;
}

bool HttpConnection::reusable() const
{
    return this->intact;
}

HostPort parseHostPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    HostPort result;
    if (colon != std::string_view::npos && colon > 0) {
        const std::string_view digits = text.substr(colon + 1);
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
        if (failure == std::errc{} && end == digits.data() + digits.size() && result.port > 0
            && result.port <= largestPort) {
            result.host = text.substr(0, colon);
            return result;
        }
    }
    throw std::invalid_argument("not an ip:port address: " + std::string(text));
}

} // namespace hickoryshore
