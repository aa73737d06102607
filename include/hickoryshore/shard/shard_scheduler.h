// The owner's decisions for one shard: admission, replica choice, hedging, retries and cancellation.
//
// The caller passes in events and the current time and receives actions; nothing here reads a clock or a socket:
//
//     ShardScheduler scheduler(shardSettings, 1);
//     std::vector<ShardAction> actions;
//     scheduler.submit(now, subRequest, actions);    // DispatchAction, or AnswerAction with a refusal
//     scheduler.onReply(now, attempt, reply, actions); // AnswerAction
//     scheduler.onTimer(now, actions);               // hedges, deadlines
//     wakeUpAt(scheduler.nextTimer());
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/result/result_code.h"
#include "hickoryshore/shard/shard_settings.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace hickoryshore {

/// A sub-request received from an entry VM. Its id is unique within this owner.
struct SubRequest
{
    SubRequestId id;
    CallerId caller;
    Instant arrival;
    Instant deadline;
    bool idempotent = true;
    SnapshotId snapshot;
};

/// The result of one attempt, reported by the transport.
struct AttemptReply
{
    ResultCode code = ResultCode::Ok;
    std::optional<int> inFlight; ///< The replica's own count, if it reports one. It lags and may be wrong.
    bool draining = false; ///< The reply carried the drain mark.
    bool coldStart = false; ///< The reply reported that the replica is warming up.
    std::vector<SnapshotId> snapshotsHeld; ///< Empty if the reply did not list them.
};

/// Why an attempt is made. Each reason has its own counter.
enum class AttemptReason { First, RetryNotRun, RetryIdempotent, Hedge };

/// An instruction to send the sub-request to this replica now.
struct DispatchAction
{
    AttemptId attempt;
    SubRequestId subRequest;
    ReplicaId replica;
    AttemptReason reason = AttemptReason::First;
    ResultCode retryCause = ResultCode::Ok; ///< For a retry: the result of the previous attempt.
    Duration remaining{0}; ///< Time until the deadline, to be sent to the replica.
    bool provenConnection = false; ///< Use only a connection that is new or proven alive. Set for sub-requests that are
                                   ///< not idempotent, and if a connection may have gone silent.
};

/// An instruction to cancel this attempt at its replica. Its sub-request no longer waits for a reply.
struct CancelAction
{
    AttemptId attempt;
    ReplicaId replica;
};

/// The final answer to a sub-request. Each sub-request that is not cancelled gets exactly one.
struct AnswerAction
{
    SubRequestId subRequest;
    ResultCode code = ResultCode::Ok;
    std::optional<AttemptId> attempt; ///< The attempt whose reply is the answer, if the code is Ok.
    Duration retryAfter{0}; ///< When to retry, for refusals.
    int attempts = 0; ///< Attempts dispatched for the sub-request, including hedges.
};

using ShardAction = std::variant<DispatchAction, CancelAction, AnswerAction>;

/// The state of one replica as shown to operators.
struct ReplicaView
{
    ReplicaId id;
    int inFlight = 0;
    Duration recentLatency{0};
    bool draining = false;
    bool ejected = false;
    std::optional<SnapshotId> oldestSnapshot;
    std::optional<SnapshotId> newestSnapshot;
};

/// Schedules the sub-requests of one shard over its replicas. Not thread-safe.
class ShardScheduler
{
public:
    /// The seed determines every random choice, so that the same events produce the same actions.
    ShardScheduler(ShardSettings settings, std::uint64_t seed);
    ~ShardScheduler();
    ShardScheduler(ShardScheduler &&) noexcept;
    ShardScheduler &operator=(ShardScheduler &&) noexcept;
    ShardScheduler(const ShardScheduler &) = delete;
    ShardScheduler &operator=(const ShardScheduler &) = delete;

    /// Dispatches, queues or refuses a new sub-request and appends the resulting actions. A sub-request that was
    /// submitted before and has no answer yet is ignored, because its answer is still to come.
    void submit(Instant now, const SubRequest &subRequest, std::vector<ShardAction> &actions);

    /// Handles the end of an attempt. The end of a cancelled attempt frees its slot at once. Unknown attempts are
    /// ignored.
    void onReply(Instant now, AttemptId attempt, const AttemptReply &reply, std::vector<ShardAction> &actions);

    /// Drops a sub-request because its caller left or another VM answered first, and cancels its attempts. No answer
    /// follows.
    void cancel(Instant now, SubRequestId subRequest, std::vector<ShardAction> &actions);

    /// Handles what is due: hedges, deadlines and queued sub-requests.
    void onTimer(Instant now, std::vector<ShardAction> &actions);

    /// Returns when onTimer() has to be called next, or std::nullopt if no timer is set.
    std::optional<Instant> nextTimer() const;

    /// Applies changed settings (another revision, drains). Attempts in flight continue.
    void update(Instant now, ShardSettings settings, std::vector<ShardAction> &actions);

    /// Records an external report (health endpoint or VM list) of whether a replica is draining.
    void markDraining(const ReplicaId &replica, bool draining);

    /// Returns the snapshots that at least one usable replica reports holding, in ascending order.
    std::vector<SnapshotId> snapshotsHeld() const;

    std::vector<ReplicaView> replicas() const;
    std::size_t queued() const;
    std::size_t inFlight() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace hickoryshore
