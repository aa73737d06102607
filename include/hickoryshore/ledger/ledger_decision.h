// What is asked of the ledger, and what it decides.
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

/// One arrival of a request or of a look-up, unique within the VM. A repeated request is another submission.
using SubmissionId = NumberId<struct SubmissionTag>;

/// A non-idempotent request that asks to be dispatched.
struct LedgerRequest
{
    SubmissionId submission;
    RequestId id;
    CallerId caller;
    std::uint64_t bodyHash = 0;
    WallTime issuedAt;
    bool repeated = false; ///< The caller sent this id before, so a run of it may be on record.
    Duration waitLimit{0}; ///< Refused if not recorded by then; zero or more than the ledger's own limit: that limit.
};

/// Asks what became of a request.
struct LedgerLookUp
{
    SubmissionId submission;
    RequestId id;
    std::optional<WallTime> issuedAt; ///< Tells a request that was never recorded from one that was pruned.
};

/// What became of a submission. Each gets exactly one decision.
struct LedgerDecision
{
    bool accepted = false; ///< Dispatch the request now, once.
    ResultCode code = ResultCode::Ok; ///< Why not, where it is not accepted.
    Execution execution = Execution::NotRun; ///< What is certain; goes before the code's own.
    Duration retryAfter{0};
    ResultCode recordedCode = ResultCode::Ok; ///< For RecordedOutcome.
    std::string recordedOutcome; ///< For RecordedOutcome; empty where it was too long to be kept.
};

/// What is certain of a request that is refused without a record: a repeated one may have run before.
Execution executionWithoutRecord(const LedgerRequest &request);

/// The request was not recorded and is not dispatched.
LedgerDecision unrecordedDecision(const LedgerRequest &request, Duration retryAfter);

/// The look-up failed, which tells nothing of the request.
LedgerDecision failedLookUpDecision(Duration retryAfter);

/// The request ran, with this outcome.
LedgerDecision recordedDecision(ResultCode code, std::string_view outcome);

/// The request was accepted before and may have run.
LedgerDecision unknownOutcome();

/// Decides a repeated request. Nothing: the entry says that it did not run, so that it may be recorded anew.
std::optional<LedgerDecision> decideFromEntry(const LedgerRequest &request, const LedgerEntry &entry);

/// Decides a look-up by the entry, if the partition has one.
LedgerDecision decideLookUp(const LedgerLookUp &lookUp, const std::optional<LedgerEntry> &entry, WallTime prunedBefore);

} // namespace hickoryshore
