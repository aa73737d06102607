// At most once: one VM's view of one ledger partition. Intents are recorded before a request is dispatched.
//
// Safety rests on the compare-and-swap alone. Any VM may write any partition at any time, also one that was paused.
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

/// Limits of the ledger; the same on every VM.
struct LedgerSettings
{
    std::string writer; ///< The VM and process, for operators who read a partition.
    Duration retention{std::chrono::minutes(10)}; ///< How long a request id is remembered after its issue.
    Duration maximumClockSkew{std::chrono::minutes(1)}; ///< A request issued further in the future is refused.
    Duration maximumWait{std::chrono::milliseconds(200)}; ///< After this a request not recorded is refused.
    Duration outcomeDelay{std::chrono::milliseconds(200)}; ///< Outcomes wait so long for a write to share.
    Duration conflictPause{std::chrono::milliseconds(3)}; ///< Longest pause after a first conflict; doubles with each.
    Duration firstRetryAfter{std::chrono::milliseconds(250)}; ///< Pause after a first failure of the service.
    Duration maximumRetryAfter{std::chrono::seconds(8)}; ///< The pause doubles with each failure up to this.
    std::size_t maximumGroup = 1000; ///< Intents in one write; 1 switches group commit off.
    std::size_t maximumBytes = 1'000'000; ///< Stored size of a partition.
    std::size_t maximumOutcomeBytes = 4096; ///< A longer outcome is recorded without its text.
    std::function<std::uint64_t()> nextToken; ///< Returns a random number, never the same twice.
};

/// Read the partition and call onRead() or onReadFailed().
struct ReadPartition
{ };

/// Write the partition with compare-and-swap and call onWriteResult().
struct WritePartition
{
    std::string content;
    std::uint64_t expectedIndex = 0; ///< Zero: the key must not exist.
};

/// Tell the submitter.
struct DecideSubmission
{
    SubmissionId submission;
    LedgerDecision decision;
};

using LedgerAction = std::variant<ReadPartition, WritePartition, DecideSubmission>;

/// What became of a write. Unknown: it may have taken effect, or may still do so later.
enum class LedgerWriteResult { Applied, Conflict, Unknown, NotSent };

/// Records the intents and outcomes of one partition. At most one read or write is in flight; whatever waits
/// meanwhile goes into the next write together (group commit).
///
///     LedgerPartitionState partition(settings);
///     std::vector<LedgerAction> actions;
///     partition.submit(now, wall, request, actions);        // ReadPartition
///     partition.onRead(now, wall, content, index, actions); // WritePartition, or a refusal
///     partition.onWriteResult(now, wall, result, actions);  // DecideSubmission: accepted
///     partition.complete(now, wall, id, code, answer, actions);
class LedgerPartitionState
{
public:
    explicit LedgerPartitionState(LedgerSettings settings);

    void submit(Instant now, WallTime wall, LedgerRequest request, std::vector<LedgerAction> &actions);
    void lookUp(Instant now, LedgerLookUp lookUp, std::vector<LedgerAction> &actions);

    /// The partition as stored. An index of zero: the key does not exist yet.
    void onRead(
        Instant now, WallTime wall, std::string_view content, std::uint64_t index, std::vector<LedgerAction> &actions);
    void onReadFailed(Instant now, std::vector<LedgerAction> &actions);
    void onWriteResult(Instant now, LedgerWriteResult result, std::vector<LedgerAction> &actions);

    /// The accepted request has ended with this code. Nothing of it is in flight any more, unless the code says that
    /// it may have run.
    void complete(Instant now,
                  const RequestId &id,
                  ResultCode code,
                  std::string_view outcome,
                  std::vector<LedgerAction> &actions);

    /// Refuses what has waited too long, and writes what is due.
    void onTimer(Instant now, std::vector<LedgerAction> &actions);

    /// When onTimer() has to be called next; nothing while there is nothing to do. Every event may change it.
    std::optional<Instant> nextTimer() const;

    /// Whether every outcome is recorded and nothing waits.
    bool idle() const;

    /// Whether nothing waits for the service. Requests that were accepted, perhaps for another VM, may still run.
    bool flushed() const;

    const LedgerCounters &counters() const;

private:
    enum class Operation { None, Reading, Writing };

    /// An intent that is not recorded yet, as far as is known.
    struct Waiting
    {
        LedgerRequest request;
        std::uint64_t token = 0;
        Instant giveUpAt;
        std::optional<std::uint64_t> unknownAt; ///< A write against this index may still take effect.
    };

    struct WaitingLookUp
    {
        LedgerLookUp lookUp;
        Instant giveUpAt;
    };

    /// An outcome that is to be recorded for the intent that bears the token.
    struct PendingOutcome
    {
        RequestId id;
        std::uint64_t token = 0;
        LedgerState state = LedgerState::Done;
        ResultCode code = ResultCode::Ok;
        std::string text;
        Instant due{};
        std::optional<std::uint64_t> unknownAt; ///< The intent itself may still be recorded by such a write.
        bool inWrite = false;
    };

    void advance(Instant now, std::vector<LedgerAction> &actions);
    bool hasDueWork(Instant now) const;
    void resolveUnknown(std::uint64_t index, std::vector<LedgerAction> &actions);
    void decideWaiting(Instant now, WallTime wall, std::vector<LedgerAction> &actions);
    std::optional<LedgerDecision> decideFromRecord(const LedgerRequest &request, WallTime wall) const;
    void answerLookUps(std::vector<LedgerAction> &actions);
    /// The entry as read, with the outcome that still waits to be recorded.
    std::optional<LedgerEntry> currentEntry(const RequestId &id) const;
    void writeGroup(Instant now, WallTime wall, std::uint64_t index, std::vector<LedgerAction> &actions);
    void recordOutcomes(LedgerRecord &next);
    void recordIntents(Instant now, WallTime wall, LedgerRecord &next, std::vector<LedgerAction> &actions);
    void takeApplied(std::vector<LedgerAction> &actions);
    void accept(const Waiting &intent, std::vector<LedgerAction> &actions);
    /// Sees to it that an intent which may be on record, now or later, is marked as not run: it is never dispatched.
    void disown(Instant now, const Waiting &intent);
    void refuse(Instant now, const Waiting &intent, Duration retryAfter, std::vector<LedgerAction> &actions);
    void fail(Instant now, std::vector<LedgerAction> &actions);
    void giveUp(Instant now, std::vector<LedgerAction> &actions);
    void refuseLateWrites(Instant now, std::vector<LedgerAction> &actions);
    void pauseAfterConflict(Instant now);
    Duration pauseAfterFailure() const;

    LedgerSettings settings;
    Operation operation = Operation::None;
    LedgerRecord known; ///< As last read; older than the service's by now.
    std::vector<Waiting> waiting;
    std::vector<WaitingLookUp> lookUps;
    std::vector<Waiting> inWrite;
    LedgerRecord writing; ///< What the write in flight stores.
    std::uint64_t writeIndex = 0; ///< What it expects.
    Instant writeStarted;
    Duration recentWrite{0};
    std::vector<PendingOutcome> pending;
    std::unordered_map<RequestId, std::uint64_t> accepted; ///< Tokens of what is dispatched and not complete.
    int failuresInRow = 0;
    int conflictsInRow = 0;
    Instant pausedUntil; ///< The service failed: no calls.
    Instant congestedUntil; ///< A request waited too long: no new ones.
    Instant backOffUntil; ///< Another writer was first: no calls.
    LedgerCounters counted;
};

} // namespace hickoryshore
