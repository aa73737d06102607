#include "hickoryshore/ledger/ledger_decision.h"

namespace hickoryshore {

Execution executionWithoutRecord(const LedgerRequest &request)
{
    return request.repeated ? Execution::MayHaveRun : Execution::NotRun;
}

LedgerDecision unrecordedDecision(const LedgerRequest &request, Duration retryAfter)
{
    return {.code = request.repeated ? ResultCode::OutcomeUnknown : ResultCode::PlatformUnavailable,
            .execution = executionWithoutRecord(request),
            .retryAfter = retryAfter};
}

LedgerDecision unknownOutcomeDecision()
{
    return {.code = ResultCode::OutcomeUnknown, .execution = Execution::MayHaveRun};
}

LedgerDecision failedLookUpDecision(Duration retryAfter)
{
    return {.code = ResultCode::PlatformUnavailable, .execution = Execution::MayHaveRun, .retryAfter = retryAfter};
}

LedgerDecision recordedDecision(ResultCode code, std::string_view outcome)
{
    return {.code = ResultCode::RecordedOutcome,
            .execution = Execution::Ran,
            .recordedCode = code,
            .recordedOutcome = std::string(outcome)};
}

std::optional<LedgerDecision> decideFromEntry(const LedgerRequest &request, const LedgerEntry &entry)
{
    if (entry.bodyHash != request.bodyHash || entry.caller != request.caller) {
        return LedgerDecision{.code = ResultCode::RequestIdReused, .execution = Execution::NotRun};
    }
    switch (entry.state) {
    case LedgerState::NotRun:
        return std::nullopt;
    case LedgerState::Done:
        return recordedDecision(entry.resultCode, entry.outcome);
    case LedgerState::Intent:
        break;
    }
    return unknownOutcomeDecision();
}

LedgerDecision decideLookUp(const LedgerLookUp &lookUp, const std::optional<LedgerEntry> &entry, WallTime prunedBefore)
{
    if (!entry.has_value()) {
        const bool remembered = lookUp.issuedAt.has_value() && *lookUp.issuedAt >= prunedBefore;
        return {.code = ResultCode::UnknownRequest,
                .execution = remembered ? Execution::NotRun : Execution::MayHaveRun};
    }
    switch (entry->state) {
    case LedgerState::NotRun:
        return {.code = entry->resultCode, .execution = Execution::NotRun};
    case LedgerState::Done:
        return recordedDecision(entry->resultCode, entry->outcome);
    case LedgerState::Intent:
        break;
    }
    return unknownOutcomeDecision();
}

} // namespace hickoryshore
