// What the answers of replicas mean to a RequestService.
#include "hickoryshore/entry/request_service.h"

namespace hickoryshore {

namespace {

constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
/// Another replica has the address than the one that was meant.
constexpr int statusMisdirected = 421;
constexpr int firstServerError = 500;

} // namespace

AttemptEnd RequestService::classify(const ActiveAttempt &attempt, const HttpExchangeEnd &end, Instant now) const
{
    AttemptEnd result{.sent = end.sent, .latency = now - attempt.sentAt};
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
    const ForwardingHeaders &names = this->dialect.headers;
    const int status = end.response.status;
    const bool success = status >= firstSuccess && status < firstRedirect;
    if (const auto load = findHeader(end.response.headers, names.replicaLoad)) {
        result.waiting = this->dialect.parseWaiting(*load);
    }
    if (status == statusMisdirected) {
        result.code = ResultCode::UpstreamDraining;
    } else if (findHeader(end.response.headers, names.notExecuted).has_value()) {
        result.code = ResultCode::UpstreamShed;
    } else if (success ? !findHeader(end.response.headers, names.resultSignature).has_value()
                       : attempt.merged || status >= firstServerError) {
        result.code = ResultCode::UpstreamError;
    }
    return result;
}

} // namespace hickoryshore
