// The deadlines of an HttpConnections: of exchanges, of connections that are being opened, and of idle ones.
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/upstream/http_connections.h"

namespace hickoryshore {

void HttpConnections::setDeadline(Id id, Connection &connection, Instant deadline)
{
    auto node = this->deadlines.extract({connection.deadline, id});
    connection.deadline = deadline;
    if (node.empty()) {
        this->deadlines.emplace(deadline, id);
    } else {
        node.value().first = deadline;
        this->deadlines.insert(std::move(node));
    }
    this->armTimer();
}

void HttpConnections::armTimer()
{
    if (this->deadlines.empty() || this->deadlines.begin()->first >= this->timerAt) {
        return;
    }
    this->timerAt = this->deadlines.begin()->first;
    this->loop.after(this->timerAt - monotonicNow(), [weak = this->weak_from_this(), at = this->timerAt] {
        const auto self = weak.lock();
        if (self != nullptr && self->timerAt == at) {
            self->onTimer();
        }
    });
}

void HttpConnections::onTimer()
{
    const Instant now = monotonicNow();
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        this->expire(this->deadlines.begin()->second);
    }
    this->timerAt = Instant::max();
    this->armTimer();
}

void HttpConnections::expire(Id id)
{
    if (this->waiting.contains(id)) {
        this->endExchange(this->takeWaiting(id), {.failure = HttpFailure::Connect});
        return;
    }
    const Connection &connection = this->connections.at(id);
    if (!connection.connected) {
        ++this->counters.failedToOpen;
        this->fail(id, HttpFailure::Connect);
    } else if (connection.exchange.has_value()) {
        ++this->counters.closedAsSilent;
        this->closeSuspects(*connection.server, connection.sentAt);
        this->fail(id, HttpFailure::Timeout);
    } else {
        this->close(id);
    }
}

void HttpConnections::closeSuspects(std::string_view server, Instant notAliveSince)
{
    this->closeSuspects(this->serverOf(server), notAliveSince);
}

void HttpConnections::closeSuspects(Server &server, Instant notAliveSince)
{
    const std::vector<Id> idle = server.idle;
    for (const Id id : idle) {
        const Connection &connection = this->connections.at(id);
        if (connection.connected && connection.lastAlive < notAliveSince) {
            ++this->counters.closedAsSuspect;
            this->close(id);
        }
    }
}

} // namespace hickoryshore
