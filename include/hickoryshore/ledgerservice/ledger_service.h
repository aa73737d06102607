// The ledger at work: all partitions on the control thread, over the platform's key-value service.
#pragma once

#include "hickoryshore/eventloop/event_loop.h"
#include "hickoryshore/keyvalue/key_value_client.h"
#include "hickoryshore/ledger/ledger_partition.h"
#include "hickoryshore/ledger/partition_turn_queue.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Where the ledger is kept. The hooks block and are called on the loop's pool threads, several at once.
struct LedgerServiceSettings
{
    LedgerSettings ledger; ///< Without nextToken: random tokens.
    std::size_t partitions = 64; ///< The same on every VM, for as long as outcomes are retained.
    std::size_t turnsAtOnce = 2; ///< Partitions that this VM reads or writes at once.
    std::string keyPrefix = "hickoryshore/ledger/";
    std::function<std::optional<StoredValue>(std::string_view key)> read; ///< Throws PlatformError.
    std::function<WriteResult(std::string_view key, std::string_view value, std::uint64_t expectedIndex)>
        compareAndSwap; ///< Throws PlatformError only where nothing was sent.
    std::function<WallTime()> wallTime; ///< Empty: the system's clock.
};

/// Returns the key of a partition: the prefix and at least two digits.
std::string ledgerKey(std::string_view prefix, std::size_t partition);

/// Records non-idempotent requests. Its loop must not run any more when it is destroyed.
///
///     LedgerService ledger(loop, settings);
///     ledger.submit(request, [&](const LedgerDecision &decision) {
///         if (decision.accepted) {
///             dispatch(request); // once; then ledger.complete(request.id, code, answer)
///         }
///     });
class LedgerService
{
public:
    using OnDecision = std::function<void(const LedgerDecision &)>;

    LedgerService(EventLoop &loop, LedgerServiceSettings settings);
    LedgerService(const LedgerService &) = delete;
    LedgerService &operator=(const LedgerService &) = delete;

    /// Asks whether the request may be dispatched. The submission id in it is ignored. From any thread; the callback
    /// runs on the control thread, once.
    void submit(LedgerRequest request, OnDecision onDecision);

    /// The accepted request has ended with this code. From any thread.
    void complete(RequestId id, ResultCode code, std::string outcome);

    /// Asks what became of a request. Its issue time, where known, tells "never recorded" from "no longer
    /// remembered". From any thread; the callback runs on the control thread, once.
    void lookUp(RequestId id, std::optional<WallTime> issuedAt, OnDecision onDecision);

    /// The sums over all partitions. On the control thread.
    LedgerCounters counters() const;

    /// Whether every outcome is recorded and nothing waits. On the control thread.
    bool idle() const;

    /// Whether nothing waits for the service; requests accepted for other VMs may still run. On the control thread.
    bool flushed() const;

private:
    struct Partition
    {
        LedgerPartitionState state;
        std::string key;
        std::optional<Instant> wakeUpAt; ///< The earliest timer that is set.
    };

    using Event = std::function<void(Instant now, LedgerPartitionState &state, std::vector<LedgerAction> &actions)>;

    /// Whether the event ends a read or write, and with it the partition's turn if no write follows.
    enum class Call { None, Ended };

    void drive(std::size_t partition, const Event &event, Call call = Call::None);
    void perform(std::size_t partition, const LedgerAction &action);
    bool refuseForLoad(const LedgerRequest &request, const OnDecision &onDecision);
    void beginTurn(std::optional<std::size_t> partition);
    void startRead(std::size_t partition);
    void startWrite(std::size_t partition, const WritePartition &write);
    void decide(const DecideSubmission &decide);
    void setTimer(std::size_t partition, Instant from);
    std::size_t partitionOf(const RequestId &id) const;

    EventLoop *loop;
    LedgerServiceSettings settings;
    std::vector<Partition> partitions;
    PartitionTurnQueue turns;
    std::uint64_t refusedForLoad = 0;
    std::unordered_map<SubmissionId, OnDecision> callbacks;
    std::uint64_t lastSubmission = 0;
};

} // namespace hickoryshore
