#include "hickoryshore/result/result_code.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

namespace hickoryshore {

namespace {

using enum Execution;
using enum RetryAdvice;

// Rows stand in rising order of their numbers: resultCodeInfo() searches them.
constexpr auto table = std::to_array<ResultCodeInfo>({
    {ResultCode::Ok, "ok", Ran, NotNeeded, 200, "The answer covers every shard."},
    {ResultCode::PartialAnswer,
     "partialAnswer",
     Ran,
     IdempotentOnly,
     200,
     "The answer covers some shards; the missed ones are listed."},
    {ResultCode::RecordedOutcome,
     "recordedOutcome",
     Ran,
     NotNeeded,
     200,
     "The request ran before; this is its recorded outcome."},

    {ResultCode::MalformedRequest,
     "malformedRequest",
     NotRun,
     Never,
     400,
     "The request could not be parsed or a field has the wrong type."},
    {ResultCode::UnknownIndex, "unknownIndex", NotRun, Never, 404, "The configuration in force has no such index."},
    {ResultCode::InvalidDeadline,
     "invalidDeadline",
     NotRun,
     Never,
     400,
     "The deadline is not within the allowed range."},
    {ResultCode::RequestTooLarge,
     "requestTooLarge",
     NotRun,
     Never,
     413,
     "The body or the path is longer than allowed."},
    {ResultCode::MissingRequestId,
     "missingRequestId",
     NotRun,
     Never,
     400,
     "A non-idempotent request needs requestId and issuedAtMs."},
    {ResultCode::RequestExpired,
     "requestExpired",
     MayHaveRun,
     Never,
     410,
     "The request is older than the retention of outcomes; it was not run again."},
    {ResultCode::UnknownCaller, "unknownCaller", NotRun, Never, 403, "The configuration in force has no such caller."},
    {ResultCode::UnknownRequest,
     "unknownRequest",
     NotRun,
     Safe,
     404,
     "No record of this request id: it was not accepted."},
    {ResultCode::RequestIdReused,
     "requestIdReused",
     NotRun,
     Never,
     409,
     "The request id was used before for another request."},
    {ResultCode::UnknownRoute, "unknownRoute", NotRun, Never, 404, "No route has this host and path."},
    {ResultCode::HeaderTooLarge, "headerTooLarge", NotRun, Never, 431, "The request's header exceeds the limit."},
    {ResultCode::RequestIncomplete, "requestIncomplete", NotRun, Safe, 408, "The request did not come whole in time."},

    {ResultCode::WouldMissDeadline,
     "wouldMissDeadline",
     NotRun,
     Safe,
     503,
     "The estimated wait is longer than the time remaining."},
    {ResultCode::QueueFull, "queueFull", NotRun, Safe, 503, "The queue of the shard is full."},
    {ResultCode::FairShareExceeded,
     "fairShareExceeded",
     NotRun,
     Safe,
     429,
     "The caller is past its fair share of a loaded shard."},
    {ResultCode::NoConfiguration, "noConfiguration", NotRun, Safe, 503, "The VM has no configuration yet."},
    {ResultCode::PlatformUnavailable,
     "platformUnavailable",
     NotRun,
     Safe,
     503,
     "The platform's key-value service did not confirm the record."},
    {ResultCode::Leaving, "leaving", NotRun, Safe, 503, "The VM is shutting down; use another entry point."},
    {ResultCode::NoReplica, "noReplica", NotRun, Safe, 503, "No replica of the shard takes new work."},
    {ResultCode::NoOwner, "noOwner", NotRun, Safe, 503, "No live VM owns the shard."},
    {ResultCode::SnapshotUnavailable,
     "snapshotUnavailable",
     NotRun,
     Safe,
     503,
     "No replica of the shard holds the pinned snapshot."},
    {ResultCode::UpstreamShed, "upstreamShed", NotRun, Safe, 503, "The upstream shed the request before running it."},
    {ResultCode::UpstreamDraining,
     "upstreamDraining",
     NotRun,
     Safe,
     503,
     "The upstream is draining and did not run the request."},
    {ResultCode::RetryBudgetExhausted,
     "retryBudgetExhausted",
     NotRun,
     Safe,
     503,
     "A retry was safe, but the index's retry budget is spent."},
    {ResultCode::NotOwner, "notOwner", NotRun, Safe, 503, "The VM does not own this shard."},
    {ResultCode::EntryOverloaded, "entryOverloaded", NotRun, Safe, 503, "The entry VM has too many queries in flight."},
    {ResultCode::DeadlineBeforeDispatch,
     "deadlineBeforeDispatch",
     NotRun,
     Safe,
     504,
     "The deadline passed before the request was sent to an upstream."},
    {ResultCode::ConnectFailed, "connectFailed", NotRun, Safe, 503, "No connection to the upstream could be opened."},
    {ResultCode::RequestMemoryFull,
     "requestMemoryFull",
     NotRun,
     Safe,
     503,
     "The VM's memory for callers' requests is in use; this one was not read whole."},

    {ResultCode::DeadlineExceeded,
     "deadlineExceeded",
     MayHaveRun,
     IdempotentOnly,
     504,
     "The deadline passed after the request was sent to an upstream."},
    {ResultCode::ConnectionLost,
     "connectionLost",
     MayHaveRun,
     IdempotentOnly,
     502,
     "The connection to the upstream broke after the request was sent."},
    {ResultCode::ConnectionSilent,
     "connectionSilent",
     MayHaveRun,
     IdempotentOnly,
     504,
     "The connection to the upstream went silent after the request was sent."},
    {ResultCode::UpstreamError,
     "upstreamError",
     MayHaveRun,
     IdempotentOnly,
     502,
     "The upstream reported an error while running the request."},
    {ResultCode::EchoMismatch,
     "echoMismatch",
     MayHaveRun,
     IdempotentOnly,
     502,
     "The upstream's reply named another request and was discarded."},
    {ResultCode::UpstreamGarbage,
     "upstreamGarbage",
     MayHaveRun,
     IdempotentOnly,
     502,
     "The upstream's reply could not be parsed."},
    {ResultCode::OwnerLost,
     "ownerLost",
     MayHaveRun,
     IdempotentOnly,
     502,
     "The VM that owned the shard was lost while it had the request."},
    {ResultCode::Cancelled,
     "cancelled",
     MayHaveRun,
     IdempotentOnly,
     499,
     "The caller left or another attempt answered first."},
    {ResultCode::OutcomeUnknown,
     "outcomeUnknown",
     MayHaveRun,
     Never,
     409,
     "The request was accepted before; its outcome is not known."},
    {ResultCode::CoverageTooLow,
     "coverageTooLow",
     MayHaveRun,
     IdempotentOnly,
     503,
     "Fewer shards answered than the policy's minimum coverage."},

    {ResultCode::BadFrame, "badFrame", NotRun, Never, 400, "A frame between VMs could not be parsed."},
    {ResultCode::FrameVersion, "frameVersion", NotRun, Never, 400, "A frame between VMs has an unknown version."},
    {ResultCode::FrameTooLarge, "frameTooLarge", NotRun, Never, 413, "A frame between VMs is longer than allowed."},

    {ResultCode::InternalError,
     "internalError",
     MayHaveRun,
     IdempotentOnly,
     500,
     "An unexpected error in hickoryshore itself."},
});

} // namespace

std::span<const ResultCodeInfo> resultCodes()
{
    return table;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto row = std::ranges::lower_bound(table, code, {}, &ResultCodeInfo::code);
    if (row == table.end() || row->code != code) {
        throw std::out_of_range("no result code " + std::to_string(static_cast<int>(code)));
    }
    return *row;
}

std::optional<ResultCode> resultCodeFromNumber(int number)
{
    const auto code = static_cast<ResultCode>(number);
    const auto row = std::ranges::lower_bound(table, code, {}, &ResultCodeInfo::code);
    if (row == table.end() || row->code != code) {
        return std::nullopt;
    }
    return code;
}

std::string_view executionName(Execution execution)
{
    switch (execution) {
    case Ran:
        return "ran";
    case NotRun:
        return "notRun";
    case MayHaveRun:
        return "mayHaveRun";
    }
    return "mayHaveRun";
}

std::string_view retryAdviceName(RetryAdvice advice)
{
    switch (advice) {
    case NotNeeded:
        return "notNeeded";
    case Safe:
        return "safe";
    case IdempotentOnly:
        return "idempotentOnly";
    case Never:
        return "never";
    }
    return "never";
}

} // namespace hickoryshore
