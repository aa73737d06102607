// One kept-alive HTTP connection to a server, over CivetWeb's client.
//
//     HttpConnection connection("127.0.0.1", 8080);
//     HttpResponse response = connection.exchange({.method = "GET", .path = "/healthz"}, 100ms);
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/http/http_message.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

struct mg_connection;

namespace hickoryshore {

/// How an exchange failed. Only after Connect is it certain that the server received nothing.
enum class HttpFailure { Connect, Closed, Timeout, Malformed };

/// Thrown when an exchange fails; the connection must not be used again.
class HttpError : public std::runtime_error
{
public:
    HttpError(HttpFailure failure, const std::string &message) : std::runtime_error(message), failure(failure)
    { }

    HttpFailure failure;
};

/// A connection that carries one exchange at a time; it blocks the calling thread.
class HttpConnection
{
public:
    /// Connects. Throws HttpError(Connect).
    HttpConnection(const std::string &address, int port);

    /// Sends the request and waits for the response. Throws HttpError; then, and after a response that closes the
    /// connection, reusable() is false.
    HttpResponse exchange(const HttpRequest &request, Duration timeout);

    bool reusable() const;

private:
    struct Closer
    {
        void operator()(mg_connection *connection) const;
    };

    std::string host;
    std::unique_ptr<mg_connection, Closer> connection;
    bool intact = true;
};

/// An "ip:port" address taken apart.
struct HostPort
{
    std::string host;
    int port = 0;
};

/// Parses "ip:port". Throws std::invalid_argument.
HostPort parseHostPort(std::string_view text);

} // namespace hickoryshore
