#include "hickoryshore/httpserver/http_listener.h"

#include "hickoryshore/clock/clock.h"
#include "hickoryshore/http/http_client.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t readSize = std::size_t{16} * 1024;
/// As many connections as may wait to be accepted.
constexpr int backlog = 1024;
constexpr Duration timeoutCheck = 250ms;
/// Read of one connection before others have their turn.
constexpr std::size_t maxBytesPerTurn = 16 * readSize;
/// Received behind a request that awaits its answer. The rest stays in the socket, whose queue the system bounds.
constexpr std::size_t maxHeldBytes = std::size_t{4} * 1024;

constexpr int statusBadRequest = 400;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;

std::string_view usualReason(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case statusBadRequest:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case statusBodyTooLarge:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case statusHeaderTooLarge:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/// Opens a listening socket that does not block. Throws std::system_error.
int listenOn(std::string_view address, int receiveBufferBytes)
{
    HostPort place;
    try {
        place = parseHostPort(address);
    } catch (const std::invalid_argument &) {
        throw std::system_error(EINVAL, std::generic_category(), "address " + std::string(address));
    }
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(static_cast<std::uint16_t>(place.port));
    if (inet_pton(AF_INET, place.host.c_str(), &local.sin_addr) != 1) {
        throw std::system_error(EINVAL, std::generic_category(), "address " + std::string(address));
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receiveBufferBytes > 0) {
        // Accepted sockets take it over.
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    }
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0
        || listen(descriptor, backlog) != 0) {
        const int error = errno;
        ::close(descriptor);
        throw std::system_error(error, std::generic_category(), "listen on " + std::string(address));
    }
    return descriptor;
}

/// Returns the memory of a request while it awaits its answer.
std::size_t bytesOf(const HttpServerRequest &request)
{
    std::size_t bytes = request.target.size() + request.body.capacity();
    for (const HttpHeader &header : request.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

std::string formatAnswer(const HttpAnswer &answer, bool withBody, bool close)
{
    std::string message = "HTTP/1.1 " + std::to_string(answer.status) + ' ';
    message.append(answer.reason.empty() ? usualReason(answer.status) : answer.reason).append("\r\n");
    for (const HttpHeader &header : answer.headers) {
        appendHeader(message, header.name, header.value);
    }
    appendHeader(message, "Content-Length", std::to_string(answer.body.size()));
    if (close) {
        appendHeader(message, "Connection", "close");
    }
    message += "\r\n";
    if (withBody) {
        message += answer.body;
    }
    return message;
}

} // namespace

HttpListener::HttpListener(EventLoop &loop,
                           std::string_view address,
                           HttpListenerSettings settings,
                           HttpListenerHooks hooks)
    : loop(loop),
      settings(settings),
      hooks(std::move(hooks)),
      descriptor(listenOn(address, settings.receiveBufferBytes)),
      spareDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      received(readSize)
{
    this->loop.watch(this->descriptor, [this] {
        this->accept();
    });
    this->loop.every(timeoutCheck, [this] {
        this->checkTimeouts();
    });
}

HttpListener::~HttpListener()
{
    for (const auto &[id, connection] : this->open) {
        this->loop.unwatchStream(connection.watch, connection.descriptor);
        ::close(connection.descriptor);
    }
    ::close(this->descriptor);
    ::close(this->spareDescriptor);
}

void HttpListener::accept()
{
    while (this->acceptOne()) { }
}

/// Takes one new connection. Returns whether more may be waiting.
bool HttpListener::acceptOne()
{
    const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
        const bool hasNone = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        // A connection that its client has closed already is no reason to leave the others.
        return hasNone ? this->refuseForDescriptors() : errno == EINTR || errno == ECONNABORTED;
    }
    if (this->open.size() >= this->settings.maxConnections && !this->makeRoom()) {
        ::close(accepted);
        this->reportCrowding(HttpCrowding::Refused);
        return true;
    }
    const int on = 1;
    const auto timeoutMs = static_cast<unsigned>(ceilMilliseconds(this->settings.unacknowledgedTimeout));
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(accepted, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
    const Id id = ++this->lastId;
    std::uint64_t watch = 0;
    try {
        watch = this->loop.watchStream(accepted, [this, id](Readiness readiness) {
            this->onReady(id, readiness);
        });
    } catch (const std::system_error &) {
        ::close(accepted);
        this->reportCrowding(HttpCrowding::NoDescriptors);
        return true;
    }
    const Instant now = monotonicNow();
    this->open.try_emplace(id,
                           Connection{.descriptor = accepted,
                                      .watch = watch,
                                      .reader = HttpRequestReader(this->settings.limits),
                                      .progressAt = now,
                                      .since = now});
    return true;
}

void HttpListener::onReady(Id id, Readiness readiness)
{
    const auto found = this->open.find(id);
    if (found == this->open.end()) {
        return;
    }
    Connection &connection = found->second;
    if (readiness.writable && connection.sent < connection.outgoing.size()) {
        this->send(id, connection);
    }
    if (!readiness.readable || !this->open.contains(id)) {
        return;
    }
    if (connection.paused && readiness.ended) {
        // The end comes behind bytes that are not read before the answer is sent.
        this->close(id, true);
    } else {
        this->receive(id, connection);
    }
}

void HttpListener::receive(Id id, Connection &connection)
{
    std::size_t bytes = 0;
    while (bytes < maxBytesPerTurn) {
        connection.paused = this->mustPause(connection);
        if (connection.paused) {
            return;
        }
        const ssize_t count = ::recv(connection.descriptor, this->received.data(), readSize, 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && errno == EAGAIN) {
            return;
        }
        if (count <= 0) {
            this->close(id, true);
            return;
        }
        bytes += static_cast<std::size_t>(count);
        if (!this->take(id, connection, {this->received.data(), static_cast<std::size_t>(count)})) {
            return;
        }
    }
    connection.paused = true;
    this->resumeSoon(id, connection);
}

/// Takes received bytes. Returns whether the connection is still open.
bool HttpListener::take(Id id, Connection &connection, std::string_view bytes)
{
    const Instant now = monotonicNow();
    if (connection.closing) {
        return this->discard(id, connection, bytes.size());
    }
    if (!connection.inRequest) {
        connection.inRequest = true;
        connection.since = now;
    }
    if (!isBusy(connection)) {
        connection.progressAt = now;
        if (!this->process(id, connection, connection.reader.take(bytes))) {
            return false;
        }
    } else if (!connection.reader.hold(bytes)) {
        // While a request awaits its answer, what follows is kept unread, up to one request.
        this->close(id, true);
        return false;
    }
    this->countKept(connection);
    this->boundKept();
    return this->open.contains(id);
}

/// Passes over what comes on a connection that is closing. Returns whether the connection is still open.
bool HttpListener::discard(Id id, Connection &connection, std::size_t bytes)
{
    connection.since = monotonicNow();
    connection.discarded += bytes;
    if (connection.discarded > this->settings.limits.headerBytes + this->settings.limits.bodyBytes) {
        this->close(id, true);
        return false;
    }
    return true;
}

/// Returns whether a request awaits its answer, or an answer awaits its client.
bool HttpListener::isBusy(const Connection &connection)
{
    return connection.call.value != 0 || connection.sent < connection.outgoing.size();
}

/// Returns whether what comes now is left in the socket.
bool HttpListener::mustPause(const Connection &connection) const
{
    const std::size_t held = connection.closing ? connection.discarded : connection.reader.heldBytes();
    return isBusy(connection) && held >= maxHeldBytes;
}

/// Acts on what the reader has come to; returns whether the connection is still open.
bool HttpListener::process(Id id, Connection &connection, HttpRequestReader::Progress progress)
{
    switch (progress) {
    case HttpRequestReader::Progress::NeedsMore:
        return true;
    case HttpRequestReader::Progress::Malformed:
        this->refuse(id, connection, {.status = statusBadRequest});
        return this->open.contains(id);
    case HttpRequestReader::Progress::HeaderTooLarge:
        this->refuse(id, connection, {.status = statusHeaderTooLarge});
        return this->open.contains(id);
    case HttpRequestReader::Progress::BodyTooLarge:
        this->refuse(id, connection, {.status = statusBodyTooLarge});
        return this->open.contains(id);
    case HttpRequestReader::Progress::Complete:
        break;
    }
    HttpServerRequest request = connection.reader.release();
    connection.call = {++this->lastCall};
    connection.workBytes = bytesOf(request);
    connection.isHead = request.method == "HEAD";
    connection.inRequest = false;
    connection.closing = connection.closing || !request.keepAlive;
    this->calls.emplace(connection.call, id);
    this->hooks.onRequest(connection.call, std::move(request));
    const auto still = this->open.find(id);
    if (still != this->open.end() && !still->second.reader.hold({})) {
        this->close(id, true);
        return false;
    }
    return still != this->open.end();
}

/// Answers in place of the hooks, and closes the connection.
void HttpListener::refuse(Id id, Connection &connection, const HttpAnswer &refusal)
{
    if (this->hooks.onRefused) {
        this->hooks.onRefused(refusal.status);
    }
    connection.reader = HttpRequestReader(this->settings.limits);
    connection.inRequest = false;
    connection.closing = true;
    this->queue(connection, formatAnswer(refusal, true, true), {});
    this->send(id, connection);
}

void HttpListener::answer(HttpCallId call, const HttpAnswer &answer)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end()) {
        return;
    }
    const Id id = found->second;
    this->calls.erase(found);
    Connection &connection = this->open.at(id);
    connection.closing = connection.closing || answer.close || this->ending;
    this->queue(connection, formatAnswer(answer, !connection.isHead, connection.closing), answer.label);
    connection.call = {};
    connection.workBytes = 0;
    connection.since = monotonicNow();
    this->send(id, connection);
    this->boundKept();
}

std::string HttpListener::clientAddress(HttpCallId call) const
{
    const auto found = this->calls.find(call);
    sockaddr_in client{};
    socklen_t size = sizeof(client);
    std::array<char, INET_ADDRSTRLEN> text{};
    if (found == this->calls.end()
        || getpeername(this->open.at(found->second).descriptor, reinterpret_cast<sockaddr *>(&client), &size) != 0
        || inet_ntop(AF_INET, &client.sin_addr, text.data(), text.size()) == nullptr) {
        return {};
    }
    return text.data();
}

void HttpListener::queue(Connection &connection, std::string bytes, std::string_view label)
{
    connection.unread += bytes.size();
    connection.label = label;
    if (connection.outgoing.empty()) {
        connection.progressAt = monotonicNow();
        connection.outgoing = std::move(bytes);
    } else {
        connection.outgoing += bytes;
    }
}

void HttpListener::send(Id id, Connection &connection)
{
    while (connection.sent < connection.outgoing.size()) {
        const ssize_t count = ::send(connection.descriptor,
                                     connection.outgoing.data() + connection.sent,
                                     connection.outgoing.size() - connection.sent,
                                     MSG_NOSIGNAL);
        if (count >= 0) {
            connection.sent += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN) {
            this->countKept(connection);
            return;
        } else if (errno != EINTR) {
            this->close(id, true);
            return;
        }
    }
    this->onSent(id, connection);
}

/// Everything was handed to the system: the next request may be read, or the connection ends.
void HttpListener::onSent(Id id, Connection &connection)
{
    connection.outgoing = {};
    connection.sent = 0;
    connection.unread = 0;
    this->countKept(connection);
    if (connection.call.value != 0) {
        return;
    }
    connection.since = monotonicNow();
    if (connection.closing) {
        // The client reads to the end before the connection is closed: closing with bytes unread would reset it.
        ::shutdown(connection.descriptor, SHUT_WR);
        connection.endedAt = connection.since;
    } else if (connection.reader.hasBegun()) {
        connection.inRequest = true;
        connection.progressAt = connection.since;
    }
    if (connection.inRequest || connection.paused) {
        // Soon rather than now: the answer may have been given within the hook for this connection's request.
        this->resumeSoon(id, connection);
    }
}

void HttpListener::resumeSoon(Id id, Connection &connection)
{
    if (!connection.resuming) {
        connection.resuming = true;
        this->loop.post([this, id] {
            this->resume(id);
        });
    }
}

/// Goes on with what is held of the next request, and with what has come since.
void HttpListener::resume(Id id)
{
    const auto found = this->open.find(id);
    if (found == this->open.end()) {
        return;
    }
    Connection &connection = found->second;
    connection.resuming = false;
    if (!isBusy(connection) && !connection.closing && connection.reader.heldBytes() > 0) {
        if (!this->process(id, connection, connection.reader.take(""))) {
            return;
        }
        this->countKept(connection);
    }
    if (connection.paused) {
        this->receive(id, connection);
    }
}

void HttpListener::close(Id id, bool clientLeft)
{
    const auto found = this->open.find(id);
    const HttpCallId call = found->second.call;
    this->reportCut(found->second, HttpCutCause::ClientLeft);
    this->loop.unwatchStream(found->second.watch, found->second.descriptor);
    ::close(found->second.descriptor);
    this->keptTogether -= found->second.kept;
    this->open.erase(found);
    if (call.value != 0) {
        this->calls.erase(call);
        if (clientLeft && this->hooks.onClientLeft) {
            this->hooks.onClientLeft(call);
        }
    }
}

void HttpListener::closeAfterAnswers()
{
    this->ending = true;
}

std::size_t HttpListener::connections() const
{
    return this->open.size();
}

std::size_t HttpListener::keptBytes() const
{
    return this->keptTogether;
}

std::size_t HttpListener::busyConnections() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->open, [](const auto &entry) {
        const Connection &connection = entry.second;
        const bool reading = connection.inRequest && !connection.closing;
        return reading || isBusy(connection);
    }));
}

} // namespace hickoryshore
