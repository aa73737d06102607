// The caller's JSON: the body of a query and the answer to it. docs/CALLERS.md describes both.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/http/http_message.h"
#include "hickoryshore/query/query_coordinator.h"
#include "hickoryshore/result/result_code.h"

#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hickoryshore {

/// The body of POST /v1/indexes/{index}/query.
struct QueryBody
{
    RequestId requestId;
    CallerId caller;
    std::string query;
    std::optional<Duration> deadline; ///< From the arrival on; the policy's default where it is missing.
    bool idempotent = true;
    WallTime issuedAt; ///< Required for non-idempotent requests.
    bool repeated = false; ///< The caller sent this request id before, so it may have run already.
};

/// Thrown for a request that is refused as it stands.
class RequestError : public std::runtime_error
{
public:
    RequestError(ResultCode code, const std::string &message) : std::runtime_error(message), code(code)
    { }

    ResultCode code;
};

/// Longest accepted texts, in bytes.
constexpr std::size_t longestRequestId = 128;
constexpr std::size_t longestQuery = std::size_t{64} * 1024;

/// Parses the body. Throws RequestError: MalformedRequest, InvalidDeadline, MissingRequestId or RequestTooLarge.
QueryBody parseQueryBody(std::string_view body, Duration longestDeadline);

/// Returns the body of an answer, whole: every shard of the layout is covered or missed.
std::string formatAnswerBody(const RequestId &requestId, const QueryAnswer &answer);

/// Returns an answer as an HTTP response, with the matching status and Retry-After on refusals.
HttpResponse answerResponse(const RequestId &requestId, const QueryAnswer &answer);

/// A refusal of a whole request.
struct Refusal
{
    ResultCode code = ResultCode::InternalError;
    Execution execution = Execution::MayHaveRun;
    Duration retryAfter{0};
    std::string message; ///< What is wrong with the request; the code's meaning where it is empty.
};

/// Returns a refusal for this reason, with what the code says of the execution.
Refusal makeRefusal(ResultCode code, Duration retryAfter, std::string message = {});

/// Returns a refusal as an HTTP response.
HttpResponse refusalResponse(const RequestId &requestId, const Refusal &refusal);

/// Returns the body of GET /v1/entry-points.
std::string formatEntryPoints(std::span<const std::string> addresses, Duration timeToLive);

} // namespace hickoryshore
