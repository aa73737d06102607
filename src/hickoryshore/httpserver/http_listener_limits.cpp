// The part of HttpListener that bounds the time, the memory and the connections that clients take.
#include "hickoryshore/httpserver/http_listener.h"

#include "hickoryshore/clock/clock.h"

#include <cerrno>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// For so long a client may take to close its side after the last answer, without sending anything.
constexpr Duration lingerTime = 1s;
/// The same for a client that still sends, mostly the body of a refused request: closing earlier would reset the
/// connection before the client has read the refusal.
constexpr Duration maxLingerTime = 5s;

constexpr int statusRequestTimeout = 408;
constexpr int statusUnavailable = 503;

/// Returns the bytes in the socket's queue that the client has not acknowledged, or zero if the system does not tell.
std::size_t unacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

/// Reports an answer that has not been sent whole, if there is one.
void HttpListener::reportCut(const Connection &connection, HttpCutCause cause) const
{
    const std::size_t unsent = connection.outgoing.size() - connection.sent;
    if (unsent > 0 && this->hooks.onAnswerCut) {
        this->hooks.onAnswerCut({.label = connection.label, .unsentBytes = unsent, .cause = cause});
    }
}

/// Closes a connection whose answer has not been sent whole.
void HttpListener::cut(Id id, HttpCutCause cause)
{
    Connection &connection = this->open.at(id);
    this->reportCut(connection, cause);
    connection.outgoing.clear();
    connection.sent = 0;
    this->close(id, true);
}

void HttpListener::cutAnswers()
{
    std::vector<Id> unsent;
    for (const auto &[id, connection] : this->open) {
        if (connection.sent < connection.outgoing.size()) {
            unsent.push_back(id);
        }
    }
    for (const Id id : unsent) {
        this->cut(id, HttpCutCause::Ending);
    }
}

/// Returns whether the client has read nothing of its answer for stalledTimeout.
bool HttpListener::isStalled(Connection &connection, Instant now) const
{
    // The socket takes no more bytes until a part of its queue is free, which a slow client may need long for.
    const std::size_t unread
        = connection.outgoing.size() - connection.sent + unacknowledgedBytes(connection.descriptor);
    if (unread != connection.unread) {
        connection.unread = unread;
        connection.progressAt = now;
    }
    return now - connection.progressAt > this->settings.stalledTimeout;
}

void HttpListener::checkTimeouts()
{
    const Instant now = monotonicNow();
    std::vector<Id> ended;
    std::vector<Id> late;
    std::vector<Id> stalled;
    for (auto &[id, connection] : this->open) {
        const Duration waited = now - connection.since;
        switch (stageOf(connection)) {
        case ClientStage::Answer:
            if (this->isStalled(connection, now)) {
                stalled.push_back(id);
            }
            break;
        case ClientStage::Work:
            break;
        case ClientStage::Closing:
            if (waited > lingerTime || now - connection.endedAt > maxLingerTime) {
                ended.push_back(id);
            }
            break;
        case ClientStage::Request:
            if (waited > this->settings.requestTimeout) {
                late.push_back(id);
            }
            break;
        case ClientStage::Idle:
            if (waited > this->settings.idleTimeout) {
                ended.push_back(id);
            }
            break;
        }
    }
    for (const Id id : ended) {
        this->close(id, false);
    }
    for (const Id id : late) {
        this->refuse(id, this->open.at(id), {.status = statusRequestTimeout});
    }
    for (const Id id : stalled) {
        this->cut(id, HttpCutCause::ClientStalled);
    }
}

ClientStage HttpListener::stageOf(const Connection &connection)
{
    if (connection.sent < connection.outgoing.size()) {
        return ClientStage::Answer;
    }
    if (connection.call.value != 0) {
        return ClientStage::Work;
    }
    if (connection.closing) {
        return ClientStage::Closing;
    }
    return connection.inRequest ? ClientStage::Request : ClientStage::Idle;
}

std::vector<ClientUse> HttpListener::uses() const
{
    std::vector<ClientUse> uses;
    uses.reserve(this->open.size());
    for (const auto &[id, connection] : this->open) {
        uses.push_back({.connection = id,
                        .stage = stageOf(connection),
                        .bytes = connection.kept,
                        .since = connection.since,
                        .progressAt = connection.progressAt});
    }
    return uses;
}

/// Counts what the connection keeps now.
void HttpListener::countKept(Connection &connection)
{
    const std::size_t kept = connection.reader.keptBytes() + connection.workBytes + connection.outgoing.capacity();
    this->keptTogether += kept - connection.kept;
    connection.kept = kept;
}

/// Refuses incomplete requests and cuts unread answers while all connections together keep too much.
void HttpListener::boundKept()
{
    if (this->keptTogether <= this->settings.maxKeptBytes) {
        return;
    }
    const std::size_t excess = this->keptTogether - this->settings.maxKeptBytes;
    for (const Id id : chooseForBytes(this->uses(), excess, monotonicNow())) {
        Connection &connection = this->open.at(id);
        if (stageOf(connection) == ClientStage::Answer) {
            this->cut(id, HttpCutCause::Memory);
        } else {
            this->refuse(
                id,
                connection,
                {.status = statusUnavailable, .headers = {{"Retry-After", formatSeconds(this->settings.retryAfter)}}});
        }
    }
}

/// Closes a connection so that a new one can be opened. Returns whether there was one to close.
bool HttpListener::makeRoom()
{
    const std::optional<Id> chosen = chooseForRoom(this->uses(), monotonicNow());
    if (chosen.has_value()) {
        this->cut(*chosen, HttpCutCause::ClientStalled);
        this->reportCrowding(HttpCrowding::ClosedForOthers);
    }
    return chosen.has_value();
}

/// Accepts a new connection though the process has no descriptor left, by closing another one or the new one. Returns
/// whether more may be waiting.
bool HttpListener::refuseForDescriptors()
{
    if (this->makeRoom()) {
        return true;
    }
    // Without this, the listening socket would stay ready, and the loop would never wait.
    ::close(this->spareDescriptor);
    const int accepted = ::accept(this->descriptor, nullptr, nullptr);
    const bool took = accepted >= 0;
    if (took) {
        ::close(accepted);
        this->reportCrowding(HttpCrowding::NoDescriptors);
    }
    this->spareDescriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    return took;
}

void HttpListener::reportCrowding(HttpCrowding crowding) const
{
    if (this->hooks.onCrowded) {
        this->hooks.onCrowded(crowding);
    }
}

void HttpListener::setBounds(const HttpListenerSettings &changed)
{
    this->settings = changed;
    for (auto &[id, connection] : this->open) {
        connection.reader.setLimits(changed.limits);
    }
}

} // namespace hickoryshore
