// Kept-alive connections to one server, shared by the threads of a process.
#pragma once

#include "hickoryshore/http/http_client.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hickoryshore {

/// Lends connections: each is used by one thread at a time and given back while it is reusable.
///
///     ConnectionPool pool("127.0.0.1", 8500);
///     PooledExchange exchange = pool.exchange(request, 500ms);
class ConnectionPool
{
public:
    ConnectionPool(std::string address, int port);

    /// Sends the request over an idle connection, or a new one where there is none or `fresh` is set. Throws
    /// HttpError; Connect means that the server received nothing.
    HttpResponse exchange(const HttpRequest &request, Duration timeout, bool fresh = false);

private:
    struct IdleConnection
    {
        HttpConnection connection;
        Instant since;
    };

    std::optional<HttpConnection> takeIdle();
    void giveBack(HttpConnection connection);

    std::string address;
    int port;
    std::mutex mutex;
    std::vector<IdleConnection> idle;
};

} // namespace hickoryshore
