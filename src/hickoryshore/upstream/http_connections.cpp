#include "hickoryshore/upstream/http_connections.h"

#include "hickoryshore/clock/clock.h"

#include "client_socket.h"

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

/// How much is read at once; a longer reply takes more than one read.
constexpr std::size_t readSize = std::size_t{64} * 1024;

/// A spare connection that has not opened after this time is given up.
constexpr Duration spareOpening = std::chrono::seconds(1);

/// An exchange that has waited for a connection until this part of its time is left is not sent: hardly a server could
/// answer it.
constexpr int leastTimeDivisor = 10;

/// Responses to other requests that are passed over for one exchange: copies of answers come one at a time.
constexpr int mostForeign = 4;

} // namespace

HttpConnections::HttpConnections(EventLoop &loop, HttpConnectionSettings settings)
    : loop(loop), settings(std::move(settings)), received(readSize)
{ }

HttpConnections::~HttpConnections()
{
    for (const auto &[id, connection] : this->connections) {
        this->loop.unwatchStream(connection.watch, connection.descriptor);
        ::close(connection.descriptor);
    }
}

HttpConnections::Server &HttpConnections::serverOf(std::string_view server)
{
    const auto [known, isNew] = this->servers.try_emplace(std::string(server));
    if (isNew) {
        known->second.name = known->first;
        known->second.limit = this->settings.connectionsPerServer;
    }
    return known->second;
}

void HttpConnections::setLimit(std::string_view server, int connections)
{
    this->serverOf(server).limit = connections;
}

HttpExchangeId HttpConnections::start(std::string_view serverName, HttpExchange exchange)
{
    Server &server = this->serverOf(serverName);
    const Instant deadline = monotonicNow() + exchange.timeout;
    const Id exchangeId = ++this->lastId;
    this->starting = true;
    const std::optional<Id> id = this->takeOrOpen(server, exchange, deadline);
    const bool atBound = server.open >= server.limit;
    if (id.has_value()) {
        this->use(*id, exchangeId, std::move(exchange), deadline);
    } else if (atBound && exchange.waits) {
        this->wait(server, exchangeId, std::move(exchange), deadline);
    } else {
        this->endExchange(std::move(exchange), {.failure = HttpFailure::Connect});
    }
    this->starting = false;
    return {exchangeId};
}

void HttpConnections::use(Id id, Id exchangeId, HttpExchange exchange, Instant deadline)
{
    Connection &connection = this->connections.at(id);
    connection.exchange = std::move(exchange);
    connection.exchangeId = exchangeId;
    this->inUse.emplace(exchangeId, id);
    this->setDeadline(id, connection, deadline);
    if (connection.connected) {
        this->beginSending(id, connection);
    }
}

/// Failing at once would count against the server, though the bound is this VM's own, and a retry would fail at once
/// again, until the retry budget is spent.
void HttpConnections::wait(Server &server, Id exchangeId, HttpExchange exchange, Instant deadline)
{
    this->waiting.emplace(exchangeId, Waiting{&server, std::move(exchange), deadline});
    server.waiting.push_back(exchangeId);
    this->deadlines.emplace(deadline, exchangeId);
    this->armTimer();
}

HttpExchange HttpConnections::takeWaiting(Id id)
{
    const auto found = this->waiting.find(id);
    Waiting taken = std::move(found->second);
    this->waiting.erase(found);
    this->deadlines.erase({taken.deadline, id});
    std::erase(taken.server->waiting, id);
    return std::move(taken.exchange);
}

void HttpConnections::serveWaitingSoon(Server &server)
{
    if (server.waiting.empty()) {
        return;
    }
    this->loop.post([weak = this->weak_from_this(), &server] {
        if (const auto self = weak.lock()) {
            self->serveWaiting(server);
        }
    });
}

void HttpConnections::serveWaiting(Server &server)
{
    while (!server.waiting.empty()) {
        const Id next = server.waiting.front();
        const Waiting &first = this->waiting.at(next);
        const Instant deadline = first.deadline;
        if (deadline - monotonicNow() < first.exchange.timeout / leastTimeDivisor) {
            this->endExchange(this->takeWaiting(next), {.failure = HttpFailure::Connect});
            continue;
        }
        const std::optional<Id> id = this->takeOrOpen(server, first.exchange, deadline);
        if (!id.has_value() && server.open >= server.limit) {
            return;
        }
        HttpExchange exchange = this->takeWaiting(next);
        if (id.has_value()) {
            this->use(*id, next, std::move(exchange), deadline);
        } else {
            this->endExchange(std::move(exchange), {.failure = HttpFailure::Connect});
        }
    }
}

void HttpConnections::abort(HttpExchangeId exchange)
{
    if (this->waiting.contains(exchange.value)) {
        this->takeWaiting(exchange.value);
        return;
    }
    const auto found = this->inUse.find(exchange.value);
    if (found != this->inUse.end()) {
        this->close(found->second);
    }
}

bool HttpConnections::dropWaiting(std::string_view serverName, std::string_view tag)
{
    const Server &server = this->serverOf(serverName);
    const auto found = std::ranges::find_if(server.waiting, [this, tag](Id id) {
        return this->waiting.at(id).exchange.tag == tag;
    });
    if (found == server.waiting.end()) {
        return false;
    }
    this->loop.post([dropped = this->takeWaiting(*found)] {
        dropped.onEnd({.failure = HttpFailure::Connect, .dropped = true});
    });
    return true;
}

/// Returns the idle connection that was used last, or std::nullopt if there is none that the exchange may use.
std::optional<HttpConnections::Id> HttpConnections::takeIdle(Server &server, const HttpExchange &exchange)
{
    const auto found = std::find_if(server.idle.rbegin(), server.idle.rend(), [&exchange](Id id) {
        return std::ranges::find(exchange.excluded, HttpConnectionId{id}) == exchange.excluded.end();
    });
    if (found == server.idle.rend()) {
        return std::nullopt;
    }
    const Id id = *found;
    const Connection &connection = this->connections.at(id);
    const bool stale = connection.connected && monotonicNow() - connection.lastAlive > this->settings.provenFor;
    if (exchange.proven && stale) {
        ++this->counters.closedAsSuspect;
        this->close(id);
        return std::nullopt;
    }
    std::erase(server.idle, id);
    return id;
}

/// Returns an idle connection or one that is being opened, or std::nullopt if the limit allows none. Idle connections
/// that the exchange excludes make room for a new one, so that it doesn't wait while connections are free.
std::optional<HttpConnections::Id> HttpConnections::takeOrOpen(Server &server,
                                                               const HttpExchange &exchange,
                                                               Instant deadline)
{
    if (const std::optional<Id> idle = this->takeIdle(server, exchange)) {
        return idle;
    }
    while (server.open >= server.limit && !server.idle.empty()) {
        ++this->counters.closedForRepeats;
        this->close(server.idle.front());
    }
    return this->open(server, deadline);
}

std::optional<HttpConnections::Id> HttpConnections::open(Server &server, Instant deadline)
{
    if (server.open >= server.limit) {
        return std::nullopt;
    }
    const int descriptor = startConnecting(server.name, this->settings.sourceAddress);
    if (descriptor < 0) {
        ++this->counters.failedToOpen;
        return std::nullopt;
    }
    if (this->settings.keepAliveProbe > Duration(0)) {
        probeWhileIdle(descriptor, this->settings.keepAliveProbe);
    }
    const Id id = ++this->lastId;
    std::uint64_t watch = 0;
    try {
        watch = this->loop.watchStream(descriptor, [this, id](Readiness readiness) {
            this->onReady(id, readiness);
        });
    } catch (const std::system_error &) {
        ::close(descriptor);
        ++this->counters.failedToOpen;
        return std::nullopt;
    }
    const auto [added, isNew]
        = this->connections.try_emplace(id, Connection{.reader = HttpResponseReader(this->settings.responses)});
    Connection &connection = added->second;
    connection.server = &server;
    connection.descriptor = descriptor;
    connection.watch = watch;
    ++server.open;
    this->setDeadline(id, connection, deadline);
    return id;
}

void HttpConnections::keepSpare(Server &server)
{
    if (!this->settings.warmSpare || !server.idle.empty()) {
        return;
    }
    if (const std::optional<Id> id = this->open(server, monotonicNow() + spareOpening)) {
        server.idle.push_back(*id);
    }
}

void HttpConnections::close(Id id)
{
    const auto found = this->connections.find(id);
    Connection &connection = found->second;
    Server &server = *connection.server;
    this->loop.unwatchStream(connection.watch, connection.descriptor);
    ::close(connection.descriptor);
    --server.open;
    std::erase(server.idle, id);
    if (connection.connected) {
        --this->counters.open;
    }
    if (connection.exchange.has_value()) {
        this->inUse.erase(connection.exchangeId);
    }
    this->countBuffered(connection, 0);
    this->deadlines.erase({connection.deadline, id});
    this->connections.erase(found);
    this->serveWaitingSoon(server);
}

void HttpConnections::onReady(Id id, Readiness readiness)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        return;
    }
    Connection &connection = found->second;
    if (!connection.connected) {
        if (!readiness.writable || !this->finishOpening(id, connection)) {
            return;
        }
    } else if (readiness.writable && connection.exchange.has_value() && !connection.sentWhole) {
        this->sendMore(id, connection);
    }
    // Sending may have failed and closed it.
    if (readiness.readable && this->connections.contains(id)) {
        this->receive(id, connection, readiness.ended);
        this->boundTogether();
    }
}

/// Sets what the reader may take for the exchange that begins.
void HttpConnections::expectResponse(Connection &connection)
{
    if (connection.exchange->bodiless) {
        connection.reader.expectNoBody();
    }
    if (connection.exchange->mostBodyBytes > 0) {
        connection.reader.limitBody(connection.exchange->mostBodyBytes);
    }
}

void HttpConnections::countBuffered(Connection &connection, std::size_t bytes)
{
    this->bufferedTogether += bytes - std::exchange(connection.buffered, bytes);
}

/// Many servers that send without end must not take the memory that all other answers need.
void HttpConnections::boundTogether()
{
    while (this->settings.bytesTogether > 0 && this->bufferedTogether > this->settings.bytesTogether) {
        const auto longest = std::ranges::max_element(this->connections, {}, [](const auto &entry) {
            return entry.second.buffered;
        });
        ++this->counters.closedAsTooLong;
        this->fail(longest->first, HttpFailure::Malformed);
    }
}

bool HttpConnections::finishOpening(Id id, Connection &connection)
{
    if (!hasOpened(connection.descriptor)) {
        ++this->counters.failedToOpen;
        this->fail(id, HttpFailure::Connect);
        return false;
    }
    connection.connected = true;
    connection.lastAlive = monotonicNow();
    ++this->counters.opened;
    ++this->counters.open;
    if (connection.exchange.has_value()) {
        this->beginSending(id, connection);
    } else {
        this->setDeadline(id, connection, connection.lastAlive + this->settings.idleLimit);
    }
    return this->connections.contains(id);
}

void HttpConnections::beginSending(Id id, Connection &connection)
{
    connection.sent = 0;
    connection.sentWhole = false;
    connection.sentAt = monotonicNow();
    if (connection.exchange->makeRequest) {
        std::optional<std::string> request = connection.exchange->makeRequest();
        if (!request.has_value()) {
            this->withdraw(id, connection);
            return;
        }
        connection.exchange->request = std::move(*request);
    }
    connection.foreign = 0;
    this->expectResponse(connection);
    Server &server = *connection.server;
    this->sendMore(id, connection);
    this->keepSpare(server);
}

/// Ends an exchange that is too late to be sent; the connection stays of use.
void HttpConnections::withdraw(Id id, Connection &connection)
{
    HttpExchange exchange = std::move(*connection.exchange);
    connection.exchange.reset();
    this->inUse.erase(connection.exchangeId);
    this->setDeadline(id, connection, connection.lastAlive + this->settings.idleLimit);
    connection.server->idle.push_back(id);
    this->serveWaitingSoon(*connection.server);
    this->endWithdrawn(std::move(exchange));
}

void HttpConnections::endWithdrawn(HttpExchange exchange)
{
    this->loop.post([onEnd = std::move(exchange.onEnd)] {
        if (onEnd) {
            onEnd({.failure = HttpFailure::Connect, .withdrawn = true});
        }
    });
}

void HttpConnections::withdrawWaiting(std::string_view serverName)
{
    const std::deque<Id> candidates = this->serverOf(serverName).waiting;
    for (const Id id : candidates) {
        const HttpExchange &exchange = this->waiting.at(id).exchange;
        if (exchange.makeRequest && !exchange.makeRequest().has_value()) {
            this->endWithdrawn(this->takeWaiting(id));
        }
    }
}

void HttpConnections::sendMore(Id id, Connection &connection)
{
    HttpExchange &exchange = *connection.exchange;
    const std::size_t requestBytes = exchange.request.size();
    const std::size_t total = requestBytes + (exchange.sharedTail == nullptr ? 0 : exchange.sharedTail->size());
    while (connection.sent < total) {
        const std::string_view left = connection.sent < requestBytes
            ? std::string_view(exchange.request).substr(connection.sent)
            : std::string_view(*exchange.sharedTail).substr(connection.sent - requestBytes);
        const ssize_t count = ::send(connection.descriptor, left.data(), left.size(), MSG_NOSIGNAL);
        if (count >= 0) {
            connection.sent += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN) {
            return;
        } else if (errno != EINTR) {
            this->fail(id, HttpFailure::Closed);
            return;
        }
    }
    connection.sentWhole = true;
    // It is not sent again, and the response may be long in coming.
    exchange.request = {};
    exchange.sharedTail.reset();
}

void HttpConnections::receive(Id id, Connection &connection, bool ended)
{
    while (true) {
        const ssize_t count = ::recv(connection.descriptor, this->received.data(), readSize, 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && errno == EAGAIN) {
            return;
        }
        if (count == 0 && this->receiveEnd(id, connection)) {
            return;
        }
        // An idle connection that ends, or on which something comes unasked, is of no further use.
        if (count <= 0 || !connection.exchange.has_value()) {
            this->fail(id, HttpFailure::Closed);
            return;
        }
        const auto size = static_cast<std::size_t>(count);
        if (this->take(id, connection, {this->received.data(), size}, ended)) {
            return;
        }
        if (size < readSize && !ended) {
            return;
        }
    }
}

/// The server closed the connection; returns whether that completed a response.
bool HttpConnections::receiveEnd(Id id, Connection &connection)
{
    if (!connection.exchange.has_value() || connection.reader.end() != HttpResponseReader::Progress::Complete) {
        return false;
    }
    return this->completed(id, connection, true);
}

/// Takes what was received; returns whether nothing more is to be read now.
bool HttpConnections::take(Id id, Connection &connection, std::string_view bytes, bool ended)
{
    std::string next;
    while (true) {
        const auto progress = connection.reader.take(bytes);
        if (progress == HttpResponseReader::Progress::Malformed) {
            this->fail(id, HttpFailure::Malformed);
            return true;
        }
        if (progress == HttpResponseReader::Progress::NeedsMore) {
            this->countBuffered(connection, connection.reader.buffered());
            return false;
        }
        this->countBuffered(connection, 0);
        next = std::string(connection.reader.excess());
        if (this->completed(id, connection, ended || !next.empty())) {
            return true;
        }
        if (next.empty()) {
            return false;
        }
        bytes = next;
    }
}

/// A whole response has been read, after which the connection may be at its end. Returns false where it was passed
/// over as foreign, and the exchange goes on.
bool HttpConnections::completed(Id id, Connection &connection, bool ended)
{
    HttpExchangeEnd end{.sent = true, .response = connection.reader.release(), .connection = {id}};
    const bool foreign = connection.exchange->belongs && !connection.exchange->belongs(end.response);
    this->counters.foreignResponses += foreign ? 1 : 0;
    connection.sawForeign = connection.sawForeign || foreign;
    if (foreign && connection.exchange->skipsForeign) {
        if (++connection.foreign > mostForeign) {
            this->fail(id, HttpFailure::Malformed);
            return true;
        }
        this->expectResponse(connection);
        return false;
    }
    HttpExchange exchange = std::move(*connection.exchange);
    connection.exchange.reset();
    this->inUse.erase(connection.exchangeId);
    // Idle before the completion runs, so that this can hand over the next exchange to the connection.
    if (end.response.keepAlive && connection.sentWhole && !ended && !connection.sawForeign) {
        connection.lastAlive = monotonicNow();
        const Duration idle = end.response.idleTimeout.value_or(this->settings.idleLimit);
        this->setDeadline(id, connection, connection.lastAlive + std::min(idle, this->settings.idleLimit));
        connection.server->idle.push_back(id);
        this->serveWaitingSoon(*connection.server);
    } else {
        this->close(id);
    }
    this->endExchange(std::move(exchange), std::move(end));
    return true;
}

void HttpConnections::fail(Id id, HttpFailure failure)
{
    Connection &connection = this->connections.at(id);
    const bool sent = connection.connected && connection.exchange.has_value();
    std::optional<HttpExchange> exchange;
    if (connection.exchange.has_value()) {
        exchange = std::move(connection.exchange);
        connection.exchange.reset();
        this->inUse.erase(connection.exchangeId);
    }
    this->close(id);
    if (exchange.has_value()) {
        this->endExchange(std::move(*exchange), {.failure = failure, .sent = sent});
    }
}

void HttpConnections::endExchange(HttpExchange exchange, HttpExchangeEnd end)
{
    if (!exchange.onEnd) {
        return;
    }
    if (!this->starting) {
        exchange.onEnd(std::move(end));
        return;
    }
    this->loop.post([onEnd = std::move(exchange.onEnd), end = std::move(end)] {
        onEnd(end);
    });
}

HttpConnectionCounts HttpConnections::counts() const
{
    return {.opened = this->counters.opened,
            .failedToOpen = this->counters.failedToOpen,
            .closedAsSilent = this->counters.closedAsSilent,
            .closedAsSuspect = this->counters.closedAsSuspect,
            .closedAsTooLong = this->counters.closedAsTooLong,
            .closedForRepeats = this->counters.closedForRepeats,
            .foreignResponses = this->counters.foreignResponses,
            .open = this->counters.open};
}

} // namespace hickoryshore
