// The numbered result codes: one table for the code, the tools, the counters and docs/RESULT-CODES.md.
#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace hickoryshore {

/// What is certain about the execution of a request at the upstreams.
enum class Execution {
    Ran, ///< It ran.
    NotRun, ///< It certainly did not run.
    MayHaveRun, ///< It may have run: its outcome is not known.
};

/// Whether the caller may send the same request again.
enum class RetryAdvice {
    NotNeeded, ///< The answer is final.
    Safe, ///< Safe also for a non-idempotent request, with the same request id.
    IdempotentOnly, ///< Safe only for an idempotent request.
    Never, ///< The same request would fail again.
};

/// The result codes. Numbers never change their meaning; a new code takes a new number.
enum class ResultCode : int {
    Ok = 0,
    PartialAnswer = 1,
    RecordedOutcome = 2,

    MalformedRequest = 100,
    UnknownIndex = 101,
    InvalidDeadline = 102,
    RequestTooLarge = 103,
    MissingRequestId = 104,
    RequestExpired = 105,
    UnknownCaller = 106,
    UnknownRequest = 107,
    RequestIdReused = 108,
    UnknownRoute = 109,
    HeaderTooLarge = 110,
    RequestIncomplete = 111,

    WouldMissDeadline = 200,
    QueueFull = 201,
    FairShareExceeded = 202,
    NoConfiguration = 203,
    PlatformUnavailable = 204,
    Leaving = 205,
    NoReplica = 206,
    NoOwner = 207,
    SnapshotUnavailable = 208,
    UpstreamShed = 209,
    UpstreamDraining = 210,
    RetryBudgetExhausted = 211,
    NotOwner = 212,
    EntryOverloaded = 213,
    DeadlineBeforeDispatch = 214,
    ConnectFailed = 215,
    RequestMemoryFull = 216,

    DeadlineExceeded = 300,
    ConnectionLost = 301,
    ConnectionSilent = 302,
    UpstreamError = 303,
    EchoMismatch = 304,
    UpstreamGarbage = 305,
    OwnerLost = 306,
    Cancelled = 307,
    OutcomeUnknown = 308,
    CoverageTooLow = 309,

    BadFrame = 400,
    FrameVersion = 401,
    FrameTooLarge = 402,

    InternalError = 500,
};

/// One row of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code = ResultCode::InternalError;
    std::string_view name; ///< In camelCase, as it stands in answers, logs and counters.
    Execution execution = Execution::MayHaveRun;
    RetryAdvice retry = RetryAdvice::Never;
    int httpStatus = 500; ///< The status of the HTTP answer to the caller.
    std::string_view meaning; ///< One sentence for the operator.
};

/// Returns all rows in rising order of their numbers.
std::span<const ResultCodeInfo> resultCodes();

/// Returns the row of a code. Throws std::out_of_range for a number that is not in the table.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// Returns the code with this number, or nothing where the table has no such number.
std::optional<ResultCode> resultCodeFromNumber(int number);

/// Returns the name of an execution state as it stands in answers: "ran", "notRun" or "mayHaveRun".
std::string_view executionName(Execution execution);

/// Returns the name of a retry advice as it stands in the table.
std::string_view retryAdviceName(RetryAdvice advice);

} // namespace hickoryshore
