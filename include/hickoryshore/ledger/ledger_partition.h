// One VM's state of one ledger partition. Runs requests at most once by recording intents before dispatch.
//
// Safety depends only on compare-and-swap: any VM may write any partition at any time, even after a long pause.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/ledger/ledger_counters.h"
#include "hickoryshore/ledger/ledger_decision.h"
#include "hickoryshore/ledger/ledger_record.h"
#include "hickoryshore/result/result_code.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hickoryshore {

/// Settings of the ledger. The limits must be the same on every VM.
struct LedgerSettings
{
    std::string writer; ///< The VM and process, stored for operators who inspect a partition.
    Duration retention{std::chrono::minutes(10)}; ///< How long an entry is kept after its request was issued.
    Duration maximumClockSkew{std::chrono::minutes(1)}; ///< Requests issued further in the future are refused.
    Duration maximumWait{std::chrono::milliseconds(200)}; ///< Requests not recorded within this time are refused.
    Duration outcomeDelay{std::chrono::milliseconds(200)}; ///< How long an outcome waits to share a write.
    Duration conflictPause{std::chrono::milliseconds(3)}; ///< Longest random pause; doubles with each further conflict.
    Duration firstRetryAfter{std::chrono::milliseconds(250)}; ///< Pause after the first failure of the service.
    Duration maximumRetryAfter{std::chrono::seconds(8)}; ///< Upper limit of the pause, which doubles with each failure.
    std::size_t maximumGroup = 1000; ///< Intents and outcomes in one write; 1 disables group commit.
    std::size_t maximumPartitionBytes = 1'000'000; ///< Limit of a partition's stored size.
    std::size_t maximumOutcomeBytes = 4096; ///< Longer outcomes are recorded without their text.
    std::function<std::uint64_t()> nextToken; ///< Returns a random number that is unique to one intent.
};

/// Reads the partition. The caller then calls onRead() or onReadFailed().
struct ReadPartition
{ };

/// Writes the partition with compare-and-swap. The caller then calls onWriteResult().
struct WritePartition
{
    std::string content;
    std::uint64_t expectedIndex = 0; ///< Zero: the key must not exist.
};

/// Reports the decision to the submitter.
struct DecideSubmission
{
    SubmissionId submission;
    LedgerDecision decision;
};

using LedgerAction = std::variant<ReadPartition, WritePartition, DecideSubmission>;

/// The result of a write. Unknown: the write may have taken effect already or may do so later.
enum class LedgerWriteResult { Applied, Conflict, Unknown, NotSent };

/// Records the intents and outcomes of one partition. At most one read or write is in flight. Intents and outcomes that
/// arrive in the meantime share the next write (group commit).
///
///     LedgerPartitionState partition(settings);
///     std::vector<LedgerAction> actions;
///     partition.submit(now, wall, request, actions);        // ReadPartition
///     partition.onRead(now, wall, content, index, actions); // WritePartition, or a refusal
///     partition.onWriteResult(now, result, actions);        // DecideSubmission: accepted
///     partition.complete(now, id, code, outcome, actions);
class LedgerPartitionState
{
public:
    explicit LedgerPartitionState(LedgerSettings settings);

    void submit(Instant now, WallTime wall, LedgerRequest request, std::vector<LedgerAction> &actions);
    void lookUp(Instant now, LedgerLookUp lookUp, std::vector<LedgerAction> &actions);

    /// Handles the stored content of the partition. Index zero: the key does not exist yet.
    void onRead(
        Instant now, WallTime wall, std::string_view content, std::uint64_t index, std::vector<LedgerAction> &actions);
    void onReadFailed(Instant now, std::vector<LedgerAction> &actions);
    void onWriteResult(Instant now, LedgerWriteResult result, std::vector<LedgerAction> &actions);

    /// Records how an accepted request ended. Unless the code means that it may have run, no part of the request may
    /// still be in flight.
    void complete(Instant now,
                  const RequestId &id,
                  ResultCode code,
                  std::string_view outcome,
                  std::vector<LedgerAction> &actions);

    /// Refuses submissions that have waited too long, and starts a read if intents, look-ups or outcomes are due.
    void onTimer(Instant now, std::vector<LedgerAction> &actions);

    /// Returns when to call onTimer() next, or std::nullopt if no work is pending. Every event may change it.
    std::optional<Instant> nextTimer() const;

    /// Returns whether no accepted request is running and flushed() is true.
    bool idle() const;

    /// Returns whether no operation is in flight or pending. Accepted requests, also of other VMs, may still run.
    bool flushed() const;

    const LedgerCounters &counters() const;

private:
    enum class Operation { None, Reading, Writing };

    /// An intent whose recording is not confirmed yet.
    struct WaitingIntent
    {
        LedgerRequest request;
        std::uint64_t token = 0;
        Instant waitDeadline;
        std::optional<std::uint64_t> unknownWriteIndex; ///< Expected by an unconfirmed write that may store the intent.
    };

    struct WaitingLookUp
    {
        LedgerLookUp lookUp;
        Instant waitDeadline;
    };

    /// An outcome to be recorded for the intent with this token.
    struct PendingOutcome
    {
        RequestId id;
        std::uint64_t token = 0;
        LedgerState state = LedgerState::Done;
        ResultCode code = ResultCode::Ok;
        std::string text;
        Instant due{};
        std::optional<std::uint64_t> unknownWriteIndex; ///< Expected by an unconfirmed write that may store the intent.
        bool inWrite = false;
    };

    void startReadIfDue(Instant now, std::vector<LedgerAction> &actions);
    bool hasDueWork(Instant now) const;
    void resolveUnknownWrites(std::uint64_t index, std::vector<LedgerAction> &actions);
    void decideWaitingIntents(Instant now, WallTime wall, std::vector<LedgerAction> &actions);
    std::optional<LedgerDecision> decideFromRecord(const LedgerRequest &request, WallTime wall) const;
    void answerLookUps(std::vector<LedgerAction> &actions);
    /// Returns the entry of latestRecord, updated with its pending outcome if it has one.
    std::optional<LedgerEntry> currentEntry(const RequestId &id) const;
    void writeGroup(Instant now, WallTime wall, std::uint64_t index, std::vector<LedgerAction> &actions);
    void recordOutcomes(LedgerRecord &next);
    void recordIntents(Instant now, WallTime wall, LedgerRecord &next, std::vector<LedgerAction> &actions);
    void handleApplied(std::vector<LedgerAction> &actions);
    void accept(const WaitingIntent &intent, std::vector<LedgerAction> &actions);
    /// Marks an intent that will not be dispatched as not run if an unconfirmed write may still store it.
    void ensureMarkedNotRun(Instant now, const WaitingIntent &intent);
    void refuse(Instant now, const WaitingIntent &intent, Duration retryAfter, std::vector<LedgerAction> &actions);
    void handleFailure(Instant now, std::vector<LedgerAction> &actions);
    void refuseOverdue(Instant now, std::vector<LedgerAction> &actions);
    void refuseIntentsLateForWrite(Instant now, std::vector<LedgerAction> &actions);
    void pauseAfterConflict(Instant now);
    Duration pauseAfterFailure() const;

    LedgerSettings settings;
    Operation operation = Operation::None;
    LedgerRecord latestRecord; ///< Last read or written record; the service may have a newer one.
    std::vector<WaitingIntent> waitingIntents;
    std::vector<WaitingLookUp> lookUps;
    std::vector<WaitingIntent> intentsInWrite;
    LedgerRecord recordInWrite; ///< Content of the write in flight.
    std::uint64_t expectedWriteIndex = 0; ///< Index that the write in flight expects.
    Instant writeStarted;
    Duration recentWriteDuration{0}; ///< Moving average.
    std::vector<PendingOutcome> pendingOutcomes;
    std::unordered_map<RequestId, std::uint64_t> acceptedTokens; ///< Tokens of accepted requests that are not complete.
    int failuresInRow = 0;
    int conflictsInRow = 0;
    Instant pausedUntil; ///< No calls until then, because the service failed.
    Instant congestedUntil; ///< No new requests until then, because a request waited too long.
    Instant backOffUntil; ///< No calls until then, because of a conflict with another writer.
    LedgerCounters counted;
};

} // namespace hickoryshore
