#include "connection_pool.h"
#include "hickoryshore/clock/clock.h"

#include <chrono>

namespace hickoryshore {

namespace {

constexpr std::size_t mostIdle = 8;
/// Below the idle timeout of common servers, so that a request seldom meets a connection that the server closes.
constexpr Duration longestIdle = std::chrono::seconds(10);

} // namespace

ConnectionPool::ConnectionPool(std::string address, int port) : address(std::move(address)), port(port)
{ }

HttpResponse ConnectionPool::exchange(const HttpRequest &request, Duration timeout, bool fresh)
{
    std::optional<HttpConnection> connection;
    if (!fresh) {
        connection = this->takeIdle();
    }
    if (!connection.has_value()) {
        connection.emplace(this->address, this->port);
    }
    HttpResponse response = connection->exchange(request, timeout);
    if (connection->reusable()) {
        this->giveBack(std::move(*connection));
    }
    return response;
}

std::optional<HttpConnection> ConnectionPool::takeIdle()
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->idle, [now = monotonicNow()](const IdleConnection &candidate) {
        return now - candidate.since > longestIdle;
    });
    if (this->idle.empty()) {
        return std::nullopt;
    }
    HttpConnection connection = std::move(this->idle.back().connection);
    this->idle.pop_back();
    return connection;
}

void ConnectionPool::giveBack(HttpConnection connection)
{
    const std::lock_guard lock(this->mutex);
    if (this->idle.size() < mostIdle) {
        this->idle.push_back({std::move(connection), monotonicNow()});
    }
}

} // namespace hickoryshore
