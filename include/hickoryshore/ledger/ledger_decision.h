// Requests to the ledger and the decisions that it returns.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/ledger/ledger_record.h"
#include "hickoryshore/result/result_code.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryshore {

/// Identifies one submission of a request or look-up within the VM. A repeated request is another submission.
using SubmissionId = NumberId<struct SubmissionTag>;

/// A non-idempotent request whose intent is to be recorded before it is dispatched.
struct LedgerRequest
{
    SubmissionId submission;
    RequestId id;
    CallerId caller;
    std::uint64_t bodyHash = 0;
    WallTime issuedAt;
    bool repeated = false; ///< The caller sent this id before, so a run may already be recorded.
    Duration waitLimit{0}; ///< Refused if not recorded within this time. At most maximumWait; zero means maximumWait.
};

/// Queries the recorded outcome of a request.
struct LedgerLookUp
{
    SubmissionId submission;
    RequestId id;
    std::optional<WallTime> issuedAt; ///< Distinguishes a request that was never recorded from a pruned one.
};

/// The decision on a submission. Each submission gets exactly one.
struct LedgerDecision
{
    bool accepted = false; ///< The request is to be dispatched now, exactly once.
    ResultCode code = ResultCode::Ok; ///< The reason if it is not accepted.
    Execution execution = Execution::NotRun; ///< Overrides the execution that `code` implies.
    Duration retryAfter{0};
    ResultCode recordedCode = ResultCode::Ok; ///< For RecordedOutcome.
    std::string recordedOutcome; ///< For RecordedOutcome; empty if it was too long to be stored.
};

/// Returns the execution state of a request that is refused without a record. A repeated request may have run before.
Execution executionWithoutRecord(const LedgerRequest &request);

/// Returns the decision on a request that was not recorded and is not dispatched.
LedgerDecision unrecordedDecision(const LedgerRequest &request, Duration retryAfter);

/// Returns the decision on a look-up that failed, so the state of the request is unknown.
LedgerDecision failedLookUpDecision(Duration retryAfter);

/// Returns the decision on a request that ran with this outcome.
LedgerDecision recordedDecision(ResultCode code, std::string_view outcome);

/// Returns the decision on a request that was accepted before and may have run.
LedgerDecision unknownOutcomeDecision();

/// Decides a repeated request from its entry. Returns std::nullopt if it did not run and may be recorded again.
std::optional<LedgerDecision> decideFromEntry(const LedgerRequest &request, const LedgerEntry &entry);

/// Decides a look-up from the entry, or std::nullopt if the partition has none.
LedgerDecision decideLookUp(const LedgerLookUp &lookUp, const std::optional<LedgerEntry> &entry, WallTime prunedBefore);

} // namespace hickoryshore
