// The part of RequestService that builds and logs answers.
#include "hickoryshore/clock/clock.h"
#include "hickoryshore/dispatch/record_merge.h"
#include "hickoryshore/entry/request_service.h"
#include "hickoryshore/log/log.h"

#include <algorithm>
#include <span>

#include <xxhash.h>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// One in this many complete answers is logged. The hash of the request id selects them, so that all VMs log the same
/// requests.
constexpr std::uint64_t answersPerLogLine = 64;

/// Maximum number of missed services in a log line.
constexpr std::size_t maxLoggedServices = 3;

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// Returns the status of an answer without a result. Only 503 guarantees that no replica ran the request.
int failureStatus(ResultCode code)
{
    const ResultCodeInfo &info = resultCodeInfo(code);
    if (info.execution == Execution::NotRun) {
        return info.httpStatus >= 500 ? statusUnavailable : info.httpStatus;
    }
    return code == ResultCode::DeadlineExceeded || code == ResultCode::ConnectionSilent ? statusGatewayTimeout
                                                                                        : statusBadGateway;
}

/// Returns the first missed services as text, each with the result code of its last attempt.
std::string missedText(std::span<const MissedPart> missed)
{
    std::string text;
    for (const MissedPart &part : missed.first(std::min(missed.size(), maxLoggedServices))) {
        text.append(text.empty() ? "" : " ").append(part.service.value).append("=");
        text.append(part.code == ResultCode::Ok ? "inFlight" : resultCodeInfo(part.code).name);
    }
    return text;
}

} // namespace

HttpAnswer RequestService::answerOf(const ActiveRequest &request, const FinishRun &outcome) const
{
    const bool answered = outcome.code == ResultCode::Ok || outcome.code == ResultCode::PartialAnswer;
    if (answered && !request.route->shards.empty()) {
        return this->mergedAnswer(request, outcome);
    }
    if (answered) {
        return this->forwardedAnswer(request.replies.at(outcome.answered.front()));
    }
    // A replica's failure response is forwarded unchanged. A success without a signature is no answer.
    if (request.route->shards.empty() && outcome.failureReply.has_value()) {
        const UpstreamHttpResponse &reply = request.replies.at(*outcome.failureReply);
        if (reply.status / 100 != 2) {
            return this->forwardedAnswer(reply);
        }
    }
    const Duration retryAfter = outcome.code == ResultCode::NoReplica ? this->hooks.retryAfter() : outcome.retryAfter;
    return this->refusalAnswer(request.forwarding->requestId, outcome.code, retryAfter);
}

HttpAnswer RequestService::mergedAnswer(const ActiveRequest &request, const FinishRun &outcome) const
{
    std::vector<std::string_view> parts;
    std::string signatures;
    for (const AttemptId attempt : outcome.answered) {
        const auto direct = request.replies.find(attempt);
        signatures.append(signatures.empty() ? "" : ", ");
        if (direct != request.replies.end()) {
            parts.emplace_back(direct->second.body);
            signatures.append(findHeader(direct->second.headers, this->protocol.headers.resultSignature).value_or(""));
            continue;
        }
        const auto group = std::ranges::find_if(request.groups, [attempt](const ActiveGroup &each) {
            return each.signatures.contains(attempt);
        });
        signatures.append(group->signatures.at(attempt));
    }
    for (const ActiveGroup &group : request.groups) {
        parts.emplace_back(group.records);
    }
    HttpAnswer merged;
    merged.headers = {{this->protocol.headers.requestId, request.forwarding->requestId},
                      {this->protocol.headers.coveredSignatures, std::move(signatures)},
                      {this->protocol.headers.missingShards, std::to_string(outcome.missed.size())}};
    merged.body = greatestRecords(parts, this->protocol.recordBytes, request.route->topRecords);
    return merged;
}

HttpAnswer RequestService::forwardedAnswer(const UpstreamHttpResponse &reply) const
{
    HttpAnswer forwarded{.status = reply.status, .reason = reply.reason, .headers = {}, .body = reply.body};
    const std::string_view connection = findHeader(reply.headers, "Connection").value_or("");
    for (const HttpHeader &header : reply.headers) {
        if (!isHopByHop(header.name, connection)) {
            forwarded.headers.push_back(header);
        }
    }
    return forwarded;
}

HttpAnswer RequestService::refusalAnswer(std::string_view requestId, ResultCode code, Duration retryAfter) const
{
    HttpAnswer refused{.status = failureStatus(code)};
    if (!requestId.empty()) {
        refused.headers.push_back({this->protocol.headers.requestId, std::string(requestId)});
    }
    if (refused.status == statusUnavailable) {
        refused.headers.push_back({"Retry-After", formatSeconds(retryAfter)});
    }
    return refused;
}

void RequestService::logFinish(const ActiveRequest &request, const FinishRun &outcome, int status) const
{
    const std::string &id = request.forwarding->requestId;
    if (outcome.code == ResultCode::Ok && XXH3_64bits(id.data(), id.size()) % answersPerLogLine != 0) {
        return;
    }
    const Duration age = monotonicNow() - request.arrival;
    writeLog({.level = outcome.code == ResultCode::Ok ? LogLevel::Info : LogLevel::Warn,
              .slice = "entry",
              .event = request.forPeer ? "aggregated" : "answered",
              .requestId = id,
              .resultCode = outcome.code,
              .fields = {{"route", request.route->name.value},
                         {"version", std::to_string(request.forPeer ? 0 : request.table->version)},
                         {"status", std::to_string(status)},
                         {"ageMs", std::to_string(age / 1ms)},
                         {"attempts", std::to_string(request.attempts)},
                         {"hedges", std::to_string(request.hedges)},
                         {"groups", std::to_string(request.groups.size())},
                         {"missing", std::to_string(outcome.missed.size())},
                         {"missed", missedText(outcome.missed)},
                         {"lastFailure", std::string(resultCodeInfo(request.lastFailure).name)},
                         {"sent", outcome.sent ? "true" : "false"}}});
}

} // namespace hickoryshore
