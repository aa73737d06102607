// The HTTP interface of one VM: queries, look-up of outcomes, entry points, health, status and metrics.
#pragma once

#include "hickoryshore/api/caller_messages.h"
#include "hickoryshore/http/caller_connection.h"
#include "hickoryshore/http/http_message.h"
#include "hickoryshore/http/http_server.h"
#include "hickoryshore/ledger/ledger_decision.h"
#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/traffic/traffic_loop.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hickoryshore {

/// The daemon's duties as the interface needs them. Each may be called from any thread and may block.
struct CallerApiHooks
{
    std::function<std::optional<Refusal>()> admit; ///< Nothing while this VM takes queries.
    std::function<std::shared_ptr<const Deployment>()> deployment;
    std::function<QueryNumber(QueryRequest, QueryCompletion)> submit;
    std::function<void(QueryNumber)> abandon; ///< The caller of a submitted query has left; must not block.
    std::function<LedgerDecision(const LedgerRequest &)> recordIntent;
    std::function<void(const RequestId &, ResultCode, std::string answerBody)> recordOutcome;
    std::function<LedgerDecision(const RequestId &, std::optional<WallTime> issuedAt)> lookUp;
    std::function<std::string(const HttpRequest &)> entryPoints; ///< The body of the answer.
    std::function<std::string()> status; ///< The body of the answer.
    std::function<std::vector<Gauge>()> gauges;
};

/// Serves the requests of callers and operators.
class CallerApi
{
public:
    CallerApi(CallerApiHooks hooks, Duration longestDeadline, Metrics &metrics);

    /// Answers one request. Where the connection is given, an idempotent query ends when the caller closes it.
    HttpResponse handle(const HttpRequest &request, const CallerConnection *caller = nullptr);

    /// Answers and counts what was no usable HTTP request.
    HttpResponse answerFault(const HttpFault &fault);

private:
    HttpResponse query(const std::string &index, const HttpRequest &request, const CallerConnection *caller);
    HttpResponse runQuery(const QueryRequest &request, const QueryBody &body, const CallerConnection *caller);
    std::optional<HttpResponse> refuseEarly(const QueryBody &body, const std::string &index);
    QueryRequest requestOf(const QueryBody &body, const std::string &index) const;
    HttpResponse lookUp(const std::string &requestId, const HttpRequest &request);
    HttpResponse answerFromLedger(const RequestId &requestId, const LedgerDecision &decision);
    HttpResponse refuse(const RequestId &requestId, const Refusal &refusal);
    HttpResponse refuseBadInput(ResultCode code, const std::string &message);
    QueryAnswer waitForAnswer(const QueryRequest &request, const CallerConnection *caller);

    CallerApiHooks hooks;
    Duration longestDeadline;
    Metrics &metrics;
};

} // namespace hickoryshore
