#include "hickoryshore/upstream/upstream_pool.h"

#include "hickoryshore/http1/http_exchange.h"

#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace hickoryshore {

namespace {

constexpr Duration cancelTimeout = std::chrono::milliseconds(200);

ResultCode codeOfFailure(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::Connect:
        return ResultCode::ConnectFailed;
    case HttpFailure::Closed:
        return ResultCode::ConnectionLost;
    case HttpFailure::Timeout:
        return ResultCode::ConnectionSilent;
    case HttpFailure::Malformed:
        return ResultCode::UpstreamGarbage;
    }
    return ResultCode::UpstreamGarbage;
}

/// The reply to an exchange that brought none.
UpstreamReply failedReply(const HttpExchangeEnd &end)
{
    const ResultCode code = end.dropped ? ResultCode::Cancelled : codeOfFailure(*end.failure);
    return {.code = code, .snapshot = {}, .result = {}, .report = {}};
}

void tellHealth(const HealthCompletion &completion, const HttpExchangeEnd &end)
{
    std::optional<UpstreamReport> report;
    try {
        if (!end.failure.has_value()) {
            report = parseUpstreamHealth(end.response.body);
        }
    } catch (const std::invalid_argument &) {
        // Told as no answer.
    }
    completion(report.has_value() ? &*report : nullptr);
}

HttpExchange cancellation(const ReplicaId &replica, std::string_view attemptId)
{
    HttpExchange exchange;
    exchange.request
        = formatHttpRequest("DELETE", "/v1/sub-requests/" + std::string(attemptId), replica.value, std::string_view());
    exchange.timeout = cancelTimeout;
    return exchange;
}

void cancelNow(HttpConnections &connections, const ReplicaId &replica, std::string_view attemptId)
{
    if (!connections.dropWaiting(replica.value, attemptId)) {
        // A replica with every connection in use finishes the attempt on its own.
        connections.start(replica.value, cancellation(replica, attemptId));
    }
}

} // namespace

struct UpstreamPool::OwnLoop
{
    EventLoop loop{0};
    std::thread thread;
};

UpstreamPool::UpstreamPool(EventLoop &loop, const UpstreamPoolSettings &settings)
    : connections(std::make_shared<HttpConnections>(loop, settings))
{ }

UpstreamPool::UpstreamPool(const UpstreamPoolSettings &settings)
    : ownLoop(std::make_unique<OwnLoop>()),
      connections(std::make_shared<HttpConnections>(this->ownLoop->loop, settings))
{
    this->ownLoop->thread = std::thread([loop = &this->ownLoop->loop] {
        loop->run();
    });
}

UpstreamPool::~UpstreamPool()
{
    if (this->ownLoop != nullptr) {
        this->ownLoop->loop.stop();
        this->ownLoop->thread.join();
    }
}

void UpstreamPool::limitConnections(const ReplicaId &replica, int limit)
{
    if (this->ownLoop == nullptr) {
        this->connections->setLimit(replica.value, limit);
        return;
    }
    this->ownLoop->loop.post([connections = this->connections.get(), replica, limit] {
        connections->setLimit(replica.value, limit);
    });
}

void UpstreamPool::start(const ReplicaId &replica, HttpExchange exchange)
{
    if (this->ownLoop == nullptr) {
        this->connections->start(replica.value, std::move(exchange));
        return;
    }
    this->ownLoop->loop.post([connections = this->connections.get(), replica, exchange = std::move(exchange)] {
        connections->start(replica.value, exchange);
    });
}

void UpstreamPool::call(
    const ReplicaId &replica, UpstreamRequest request, Duration timeout, bool proven, UpstreamCompletion completion)
{
    HttpExchange exchange;
    exchange.request = formatHttpRequest("POST", "/v1/sub-requests", replica.value, formatUpstreamRequest(request));
    exchange.timeout = timeout;
    exchange.proven = proven;
    exchange.waits = true;
    exchange.tag = std::move(request.attemptId);
    // Parsed once, where it is asked whether the response belongs to this attempt.
    const auto reply = std::make_shared<UpstreamReply>();
    exchange.belongs = [attempt = exchange.tag, reply](const UpstreamHttpResponse &response) {
        *reply = parseUpstreamReply(attempt, response.status, response.body);
        return reply->code != ResultCode::EchoMismatch;
    };
    exchange.onEnd = [reply, completion = std::move(completion)](const HttpExchangeEnd &end) {
        completion(end.failure.has_value() ? failedReply(end) : *reply);
    };
    this->start(replica, std::move(exchange));
}

void UpstreamPool::cancel(const ReplicaId &replica, std::string_view attemptId)
{
    if (this->ownLoop != nullptr) {
        this->ownLoop->loop.post([connections = this->connections.get(), replica, attempt = std::string(attemptId)] {
            cancelNow(*connections, replica, attempt);
        });
    } else {
        cancelNow(*this->connections, replica, attemptId);
    }
}

void UpstreamPool::readHealth(const ReplicaId &replica, Duration timeout, HealthCompletion completion)
{
    HttpExchange exchange;
    exchange.request = formatHttpRequest("GET", "/v1/health", replica.value, std::string_view());
    exchange.timeout = timeout;
    exchange.onEnd = [completion = std::move(completion)](const HttpExchangeEnd &end) {
        tellHealth(completion, end);
    };
    this->start(replica, std::move(exchange));
}

UpstreamPoolCounts UpstreamPool::counts() const
{
    return this->connections->counts();
}

} // namespace hickoryshore
