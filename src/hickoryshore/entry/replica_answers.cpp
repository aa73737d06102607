// Classifies the responses of replicas for a RequestService.
#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/log/log.h"

namespace hickoryshore {

namespace {

constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
/// Misdirected request: the address now belongs to a replica other than the expected one.
constexpr int statusMisdirected = 421;
constexpr int firstServerError = 500;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxLoggedBytes = 64;

} // namespace

/// Copies load, leaving state and requested pause from the response's headers to `result`. Must not be called for a
/// misdirected request, because its headers describe a replica other than the expected one.
void RequestService::readReplicaStatus(const UpstreamHttpResponse &response, AttemptEnd &result) const
{
    const ForwardingHeaders &names = this->protocol.headers;
    if (const auto load = findHeader(response.headers, names.replicaLoad)) {
        result.waiting = this->protocol.parseQueueLength(*load);
    }
    if (const auto leaving = findHeader(response.headers, names.replicaLeaving)) {
        result.leaving = this->protocol.parseLeaving(*leaving);
    }
    const auto pause = findHeader(response.headers, names.requestedPause);
    if (response.status == statusUnavailable && pause.has_value()) {
        result.refusesFor = this->protocol.parsePause(*pause);
        if (!result.refusesFor.has_value()) {
            writeLog({.level = LogLevel::Warn,
                      .slice = "entry",
                      .event = "pauseUnreadable",
                      .fields = {{"value", std::string(pause->substr(0, maxLoggedBytes))}}});
        }
    }
}

AttemptEnd RequestService::classify(const ActiveAttempt &attempt, const HttpExchangeEnd &end, Instant now) const
{
    AttemptEnd result{.sent = end.sent, .latency = now - attempt.sentAt};
    if (end.withdrawn) {
        result.code = this->table.refusalReason(now, attempt.endpoint).value_or(ResultCode::DeadlineBeforeDispatch);
        result.sent = false;
        result.withdrawn = true;
        return result;
    }
    if (end.failure.has_value()) {
        switch (*end.failure) {
        case HttpFailure::Connect:
            result.code = ResultCode::ConnectFailed;
            result.sent = false;
            break;
        case HttpFailure::Closed:
            result.code = end.sent ? ResultCode::ConnectionLost : ResultCode::ConnectFailed;
            break;
        case HttpFailure::Timeout:
            result.code = ResultCode::ConnectionSilent;
            break;
        case HttpFailure::Malformed:
            result.code = ResultCode::UpstreamGarbage;
            break;
        }
        return result;
    }
    const ForwardingHeaders &names = this->protocol.headers;
    const int status = end.response.status;
    const bool success = status >= firstSuccess && status < firstRedirect;
    const bool notExecuted = findHeader(end.response.headers, names.notExecuted).has_value();
    const bool needsRequestId = success || notExecuted || status == statusMisdirected;
    const bool identified = findHeader(end.response.headers, names.requestId).has_value();
    if ((needsRequestId && !identified) || findHeader(end.response.headers, "Content-Encoding").has_value()) {
        // Without the id, the response may belong to an earlier request. With an encoding, the body isn't what the
        // replica produced.
        result.code = ResultCode::UpstreamGarbage;
        return result;
    }
    if (status == statusMisdirected) {
        result.code = ResultCode::UpstreamDraining;
        return result;
    }
    this->readReplicaStatus(end.response, result);
    if (notExecuted) {
        result.code = ResultCode::UpstreamShed;
    } else if (success ? !findHeader(end.response.headers, names.resultSignature).has_value()
                       : attempt.merged || status >= firstServerError) {
        result.code = ResultCode::UpstreamError;
    }
    return result;
}

} // namespace hickoryshore
