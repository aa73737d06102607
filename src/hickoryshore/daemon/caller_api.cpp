#include "hickoryshore/daemon/caller_api.h"
#include "hickoryshore/clock/clock.h"

#include <charconv>
#include <future>
#include <utility>

#include <xxhash.h>

namespace hickoryshore {

namespace {

constexpr std::string_view indexPrefix = "/v1/indexes/";
constexpr std::string_view querySuffix = "/query";
constexpr std::string_view requestPrefix = "/v1/requests/";
constexpr std::size_t longestPath = 512;
constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;
constexpr int statusPathTooLong = 414;
constexpr int statusInternalError = 500;

/// The default where neither the request nor the policy gives a deadline.
constexpr Duration fallbackDeadline = std::chrono::milliseconds(150);

/// A query that is answered sooner is not worth the system calls that watch its caller.
constexpr Duration unwatchedTime = std::chrono::milliseconds(5);

/// When to come back after a refusal that no shard has given a time for.
constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

std::optional<std::string> queriedIndex(const HttpRequest &request)
{
    const std::string_view path = request.path;
    if (request.method != "POST" || !path.starts_with(indexPrefix) || !path.ends_with(querySuffix)
        || path.size() <= indexPrefix.size() + querySuffix.size()) {
        return std::nullopt;
    }
    return std::string(path.substr(indexPrefix.size(), path.size() - indexPrefix.size() - querySuffix.size()));
}

std::uint64_t bodyHash(const std::string &index, const QueryBody &body)
{
    const std::string whole = index + '\n' + body.caller.value + '\n' + body.query;
    return XXH3_64bits(whole.data(), whole.size());
}

std::optional<WallTime> readWallTime(std::string_view text)
{
    WallTime time;
    const char *end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, time.milliseconds);
    const bool whole = error == std::errc() && stopped == end;
    return whole ? std::optional(time) : std::nullopt;
}

HttpResponse plainText(std::string body)
{
    return {.body = std::move(body), .headers = {}, .contentType = "text/plain; version=0.0.4"};
}

HttpResponse jsonText(std::string body)
{
    return {.body = std::move(body), .headers = {}};
}

} // namespace

CallerApi::CallerApi(CallerApiHooks hooks, Duration longestDeadline, Metrics &metrics)
    : hooks(std::move(hooks)), longestDeadline(longestDeadline), metrics(metrics)
{ }

HttpResponse CallerApi::handle(const HttpRequest &request, const CallerConnection *caller)
{
    if (request.path.size() > longestPath) {
        return this->refuseBadInput(ResultCode::RequestTooLarge, "the path is too long");
    }
    if (const auto index = queriedIndex(request)) {
        return this->query(*index, request, caller);
    }
    if (request.method == "GET") {
        if (request.path == "/healthz") {
            const std::optional<Refusal> refusal = this->hooks.admit();
            return refusal.has_value() ? this->refuse({}, *refusal) : plainText("ok\n");
        }
        if (request.path == "/metrics") {
            return plainText(this->metrics.prometheusText(this->hooks.gauges()));
        }
        if (request.path == "/v1/entry-points") {
            return jsonText(this->hooks.entryPoints(request));
        }
        if (request.path == "/v1/status") {
            return jsonText(this->hooks.status());
        }
        if (request.path.starts_with(requestPrefix)) {
            return this->lookUp(request.path.substr(requestPrefix.size()), request);
        }
    }
    HttpResponse response = this->refuseBadInput(ResultCode::MalformedRequest, "no such path");
    response.status = statusNotFound;
    return response;
}

HttpResponse CallerApi::answerFault(const HttpFault &fault)
{
    ResultCode code = ResultCode::MalformedRequest;
    if (fault.status == statusTooLarge || fault.status == statusPathTooLong) {
        code = ResultCode::RequestTooLarge;
    } else if (fault.status == statusInternalError) {
        return this->refuse({}, makeRefusal(ResultCode::InternalError, Duration(0), fault.message));
    }
    HttpResponse response = this->refuseBadInput(code, fault.message);
    response.status = fault.status;
    return response;
}

HttpResponse CallerApi::query(const std::string &index, const HttpRequest &request, const CallerConnection *caller)
{
    QueryBody body;
    try {
        body = parseQueryBody(request.body, this->longestDeadline);
    } catch (const RequestError &error) {
        return this->refuseBadInput(error.code, error.what());
    }
    if (auto refusal = this->refuseEarly(body, index)) {
        return std::move(*refusal);
    }
    return this->runQuery(this->requestOf(body, index), body, caller);
}

std::optional<HttpResponse> CallerApi::refuseEarly(const QueryBody &body, const std::string &index)
{
    if (const std::optional<Refusal> refusal = this->hooks.admit()) {
        return this->refuse(body.requestId, *refusal);
    }
    const auto deployment = this->hooks.deployment();
    if (deployment == nullptr) {
        return this->refuse(body.requestId, makeRefusal(ResultCode::NoConfiguration, defaultRetryAfter));
    }
    if (findIndex(*deployment, index) == nullptr) {
        return this->refuse(body.requestId, makeRefusal(ResultCode::UnknownIndex, Duration(0), "no index " + index));
    }
    if (findCaller(*deployment, body.caller.value) == nullptr) {
        const std::string message = "no caller " + body.caller.value;
        return this->refuse(body.requestId, makeRefusal(ResultCode::UnknownCaller, Duration(0), message));
    }
    return std::nullopt;
}

QueryRequest CallerApi::requestOf(const QueryBody &body, const std::string &index) const
{
    Duration deadline = fallbackDeadline;
    if (const auto deployment = this->hooks.deployment()) {
        const Index *declared = findIndex(*deployment, index);
        const Policy *policy = declared == nullptr ? nullptr : findPolicy(*deployment, declared->policy.value);
        deadline = policy == nullptr ? deadline : policy->defaultDeadline;
    }
    const Instant now = monotonicNow();
    return {.requestId = body.requestId,
            .caller = body.caller,
            .index = {index},
            .query = body.query,
            .arrival = now,
            .deadline = now + body.deadline.value_or(deadline),
            .idempotent = body.idempotent};
}

HttpResponse CallerApi::runQuery(const QueryRequest &request, const QueryBody &body, const CallerConnection *caller)
{
    if (!body.idempotent) {
        const LedgerDecision decision = this->hooks.recordIntent({.submission = {},
                                                                  .id = body.requestId,
                                                                  .caller = body.caller,
                                                                  .bodyHash = bodyHash(request.index.value, body),
                                                                  .issuedAt = body.issuedAt,
                                                                  .repeated = body.repeated,
                                                                  .waitLimit = request.deadline - request.arrival});
        if (!decision.accepted) {
            return this->answerFromLedger(body.requestId, decision);
        }
    }
    const QueryAnswer answer = this->waitForAnswer(request, caller);
    this->metrics.countAnswer(answer.resultCode);
    HttpResponse response = answerResponse(body.requestId, answer);
    if (!body.idempotent) {
        this->hooks.recordOutcome(body.requestId, answer.resultCode, response.body);
    }
    return response;
}

HttpResponse CallerApi::answerFromLedger(const RequestId &requestId, const LedgerDecision &decision)
{
    if (decision.code == ResultCode::RecordedOutcome && !decision.recordedOutcome.empty()) {
        this->metrics.countAnswer(decision.code);
        return jsonText(decision.recordedOutcome);
    }
    return this->refuse(requestId, {decision.code, decision.execution, decision.retryAfter, ""});
}

QueryAnswer CallerApi::waitForAnswer(const QueryRequest &request, const CallerConnection *caller)
{
    auto promise = std::make_shared<std::promise<QueryAnswer>>();
    std::future<QueryAnswer> future = promise->get_future();
    const QueryNumber number = this->hooks.submit(request, [promise](const QueryAnswer &answer) {
        promise->set_value(answer);
    });
    const bool watched = request.idempotent && caller != nullptr;
    if (watched && future.wait_for(unwatchedTime) == std::future_status::timeout) {
        const CallerConnection::Guard guard = caller->whenClosed([this, number] {
            this->hooks.abandon(number);
        });
        future.wait();
    }
    return future.get();
}

HttpResponse CallerApi::lookUp(const std::string &requestId, const HttpRequest &request)
{
    std::optional<WallTime> issuedAt;
    if (const auto text = findQueryParameter(request.queryString, "issuedAtMs")) {
        issuedAt = readWallTime(*text);
        if (!issuedAt.has_value()) {
            const std::string message = "issuedAtMs must be milliseconds since 1970-01-01 UTC";
            // The look-up did not happen, which tells nothing of the request itself.
            return this->refuse({requestId},
                                {ResultCode::MalformedRequest, Execution::MayHaveRun, Duration(0), message});
        }
    }
    return this->answerFromLedger({requestId}, this->hooks.lookUp({requestId}, issuedAt));
}

HttpResponse CallerApi::refuse(const RequestId &requestId, const Refusal &refusal)
{
    this->metrics.countAnswer(refusal.code);
    return refusalResponse(requestId, refusal);
}

HttpResponse CallerApi::refuseBadInput(ResultCode code, const std::string &message)
{
    this->metrics.countBadInput(code);
    return this->refuse({}, makeRefusal(code, Duration(0), message));
}

} // namespace hickoryshore
