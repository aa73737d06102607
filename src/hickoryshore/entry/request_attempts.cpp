// The part of RequestService that sends attempts to replicas, drops them and handles their ends.
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// Orphaned attempts, whose reply nobody waits for, are aborted at this age. If they end earlier, their connection can
/// be reused and their latency counts.
constexpr Duration maxOrphanAge = 400ms;
/// Buffer space for the header fields that this VM adds.
constexpr std::size_t addedHeaderBytes = 128;
/// A longer rest of a request is not copied for each attempt.
constexpr std::size_t maxCopiedTailBytes = std::size_t{4} * 1024;
/// Limit of the body of one part of a merged answer: this many times the requested records, but not less than
/// minPartByteLimit. Longer bodies are not valid parts.
constexpr std::size_t maxRecordsFactor = 32;
constexpr std::size_t minPartByteLimit = std::size_t{64} * 1024;
constexpr std::string_view slice = "entry";

std::string milliseconds(Duration duration)
{
    return std::to_string(duration / 1ms);
}

/// Returns the log event for a change of a replica's recorded state.
std::string_view eventName(EndpointState state)
{
    switch (state) {
    case EndpointState::InUse:
        return "replicaBack";
    case EndpointState::Refusing:
        return "replicaRefuses";
    case EndpointState::Leaving:
        return "replicaLeaves";
    case EndpointState::Ejected:
    case EndpointState::Misdirected:
        break;
    }
    return "replicaEjected";
}

} // namespace

/// Returns the bytes to send to a replica now, with this tail, or std::nullopt if the deadline has passed or the
/// replica no longer accepts requests.
std::optional<std::string> RequestService::requestBytes(const Forwarding &forwarding,
                                                        EndpointId endpoint,
                                                        std::string_view replica,
                                                        Instant deadline,
                                                        std::string_view smallTail) const
{
    const Instant now = monotonicNow();
    const Duration remaining = deadline - now;
    if (remaining < 1ms || this->table.refusalReason(now, endpoint).has_value()) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(forwarding.head.size() + addedHeaderBytes + smallTail.size());
    bytes = forwarding.head;
    appendHeader(bytes, this->protocol.headers.remainingMilliseconds, milliseconds(remaining));
    appendHeader(bytes, this->protocol.headers.expectedReplica, replica);
    bytes += smallTail;
    return bytes;
}

/// Counts an attempt, and logs it if it is a hedge or a retry.
void RequestService::recordAttempt(ActiveRequest &request, const SendAttempt &action, const Replica &replica)
{
    ++request.attempts;
    this->metrics.count(Count::Attempts);
    if (action.reason == DirectAttempt::Hedge) {
        ++request.hedges;
        this->metrics.count(Count::Hedges);
    } else if (action.reason != DirectAttempt::First) {
        this->metrics.countRetry(action.cause);
    }
    if (action.reason != DirectAttempt::First) {
        writeLog(
            {.level = LogLevel::Debug,
             .slice = slice,
             .event = action.reason == DirectAttempt::Hedge ? "hedged" : "retried",
             .requestId = request.forwarding->requestId,
             .resultCode = action.cause,
             .fields
             = {{"service", replica.service.value}, {"replica", replica.name}, {"ageMs", milliseconds(action.age)}}});
    }
}

void RequestService::send(RunId id, ActiveRequest &request, const SendAttempt &action)
{
    const Replica &replica = this->replicas.at(action.endpoint);
    const Forwarding &forwarding = *request.forwarding;
    HttpExchange exchange;
    // A short tail is copied, so that the request goes out in one piece.
    const bool isShort = request.tail->size() <= maxCopiedTailBytes;
    exchange.sharedTail = isShort ? nullptr : request.tail;
    exchange.makeRequest = [this,
                            shared = request.forwarding,
                            endpoint = action.endpoint,
                            name = replica.name,
                            deadline = monotonicNow() + action.remaining,
                            tail = isShort ? *request.tail : std::string()] {
        return this->requestBytes(*shared, endpoint, name, deadline, tail);
    };
    exchange.timeout = action.remaining + maxOrphanAge;
    exchange.proven = action.provenConnection;
    exchange.waits = true;
    exchange.bodiless = forwarding.isHead;
    if (!request.route->shards.empty()) {
        const std::size_t wanted = request.route->topRecords * this->protocol.recordBytes;
        exchange.mostBodyBytes = std::max(minPartByteLimit, maxRecordsFactor * wanted);
    }
    exchange.skipsForeign = true;
    exchange.excluded = request.replyConnections;
    exchange.belongs = [this, shared = request.forwarding](const UpstreamHttpResponse &response) {
        const auto echoed = findHeader(response.headers, this->protocol.headers.requestId);
        return !echoed.has_value() || *echoed == shared->requestId;
    };
    exchange.onEnd = [this, attempt = action.attempt](HttpExchangeEnd end) {
        this->onExchangeEnd(attempt, std::move(end));
    };
    this->recordAttempt(request, action, replica);
    this->attempts[action.attempt] = {.run = id,
                                      .endpoint = action.endpoint,
                                      .latency = request.latency,
                                      .exchange = this->upstream->start(replica.address, std::move(exchange)),
                                      .sentAt = monotonicNow(),
                                      .merged = !request.route->shards.empty()};
}

void RequestService::drop(const DropAttempt &action)
{
    const auto found = this->attempts.find(action.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second.run = {};
    if (action.callerLeft) {
        this->metrics.count(Count::Cancellations);
        this->upstream->abort(found->second.exchange);
        this->table.countDropped(monotonicNow(), found->second.endpoint, false);
        this->attempts.erase(found);
        return;
    }
    const Duration left = found->second.sentAt + maxOrphanAge - monotonicNow();
    this->loop.after(std::max(left, Duration(0)), [this, attempt = action.attempt] {
        this->abandonOrphan(attempt);
    });
}

void RequestService::abandonOrphan(AttemptId attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const ActiveAttempt orphan = found->second;
    this->attempts.erase(found);
    this->metrics.count(Count::Cancellations);
    this->upstream->abort(orphan.exchange);
    this->table.countDropped(monotonicNow(), orphan.endpoint, true);
    const auto replica = this->replicas.find(orphan.endpoint);
    if (replica != this->replicas.end()) {
        this->upstream->closeSuspects(replica->second.address, orphan.sentAt);
    }
}

void RequestService::onExchangeEnd(AttemptId attempt, HttpExchangeEnd end)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const Instant now = monotonicNow();
    const ActiveAttempt ended = found->second;
    this->attempts.erase(found);
    const AttemptEnd result = this->classify(ended, end, now);
    const auto change = this->table.countEnd(now, ended.endpoint, *ended.latency, result);
    if (change.has_value()) {
        this->onEndpointChange(*change, result.code);
    }
    if (result.code == ResultCode::Ok) {
        this->metrics.observe(Latency::Upstream, result.latency);
        this->observeService(ended.endpoint, result.latency);
        ended.latency->add(this->table.distanceOf(ended.endpoint), result.latency);
    }
    const auto waiting = this->active.find(ended.run);
    if (waiting == this->active.end()) {
        this->collectObservations();
        this->metrics.count(Count::LateReplies);
        return;
    }
    const bool isReply = !end.failure.has_value();
    if (isReply) {
        waiting->second.replyConnections.push_back(end.connection);
        waiting->second.replies.emplace(attempt, std::move(end.response));
    }
    if (result.code != ResultCode::Ok) {
        waiting->second.lastFailure = result.code;
    }
    std::vector<RunAction> actions;
    waiting->second.run->onAttemptEnd(now, attempt, result, isReply, actions);
    this->perform(ended.run, actions);
}

/// Logs a change of a replica's recorded state. Attempts that wait for a connection to a leaving or refusing replica
/// are withdrawn, so that they can be sent to another one.
void RequestService::onEndpointChange(const EndpointChange &change, ResultCode code)
{
    const auto replica = this->replicas.find(change.endpoint);
    const bool listed = replica != this->replicas.end();
    writeLog({.level = LogLevel::Warn,
              .slice = slice,
              .event = eventName(change.state),
              .resultCode = code,
              .fields = {{"replica", listed ? replica->second.name : ""},
                         {"failures", std::to_string(change.failures)},
                         {"lastsMs", milliseconds(change.refusalDuration)}}});
    const bool takesNoRequests = change.state == EndpointState::Leaving || change.state == EndpointState::Refusing;
    if (listed && takesNoRequests) {
        this->upstream->withdrawWaiting(replica->second.address);
    }
    if (change.state == EndpointState::Leaving && this->hooks.onReplicaLeaving) {
        this->hooks.onReplicaLeaving(change.endpoint);
    }
}

void RequestService::observeService(EndpointId endpoint, Duration latency)
{
    const auto replica = this->replicas.find(endpoint);
    if (replica != this->replicas.end()) {
        this->serviceLatencies.observe(replica->second.service.value, latency);
    }
}

} // namespace hickoryshore
