// Decides how an entry VM answers one query: which snapshot to pin, which sub-requests to send, and when to answer.
// The caller passes in events and the current time and carries out the returned actions; no clock or socket is used.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"
#include "hickoryshore/query/snapshot_merge.h"
#include "hickoryshore/query/snapshot_tracker.h"
#include "hickoryshore/result/result_code.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hickoryshore {

/// Limits and hooks of one query.
struct QuerySettings
{
    Instant softDeadline; ///< From then on minimumCoverage suffices for an answer. Equals `deadline` if not configured.
    Instant deadline;
    double minimumCoverage = 0.0; ///< Share of the layout's shards, 0 to 1.
    bool idempotent = true;
    int maximumRestarts = 3; ///< How often the whole query may restart on another snapshot.
    LayoutShards shardsOfLayout; ///< Must return all configured shards for layout zero; usually prefixLayouts().
    std::function<SubRequestId(std::size_t count)> reserveIds; ///< Returns the first of `count` new consecutive ids.
};

/// The reply of a shard's owner to one sub-request.
struct SubReply
{
    SubRequestId id;
    ShardId shard;
    ResultCode code = ResultCode::Ok;
    std::string payload;
    SnapshotId snapshot; ///< Snapshot that the payload was read from.
    std::vector<SnapshotId> snapshotsHeld; ///< Snapshots that the shard holds; empty if not reported.
    Duration retryAfter{0};
    LayoutId layout; ///< Layout of `snapshot`; zero if not reported.
};

/// A shard that the answer does not cover, with the reason.
struct MissedShard
{
    ShardId shard;
    ResultCode code = ResultCode::InternalError;
};

/// The final answer to a query. Each shard of its layout is either covered or missed.
struct QueryAnswer
{
    ResultCode resultCode = ResultCode::InternalError;
    Execution execution = Execution::MayHaveRun;
    SnapshotId snapshot; ///< Zero if the query was not pinned and no shard answered.
    LayoutId layout; ///< The number of shards if upstreams did not report a layout.
    std::vector<ShardId> covered;
    std::vector<MissedShard> missed;
    std::vector<ShardResult> results; ///< Sorted by the order of shards in the layout.
    Duration retryAfter{0}; ///< The longest retryAfter of all missed shards.
    int restarts = 0;
    int resends = 0;
};

/// Sends a sub-request to the owner of the shard.
struct SendSubRequest
{
    SubRequestId id;
    ShardId shard;
    SnapshotId snapshot; ///< Zero: any snapshot.
    bool resend = false; ///< The previous owner was lost or does not own the shard; choose the next one.
};

/// Cancels sub-requests at the owners.
struct CancelSubRequests
{
    std::vector<SubRequestId> ids;
};

/// Sends this answer to the caller. Emitted exactly once for each query, unless it is abandoned.
struct FinishQuery
{
    QueryAnswer answer;
};

using QueryAction = std::variant<SendSubRequest, CancelSubRequests, FinishQuery>;

/// Answers one query. Not thread-safe; the tracker must outlive the coordinator and be used on the same thread.
///
/// An idempotent query restarts as a whole on another snapshot if a shard no longer holds the pinned one, and is sent
/// to a second owner if the first is lost. A non-idempotent query is sent to each shard once and restarts only if no
/// shard ran it. It waits for the outcome of every shard until the deadline.
///
///     QueryCoordinator query(settings, tracker);
///     std::vector<QueryAction> actions;
///     query.start(now, actions);           // SendSubRequest for each shard
///     query.onSubReply(now, reply, actions);
///     query.onTimer(now, actions);         // FinishQuery at softDeadline or at the deadline
///     wakeUpAt(query.nextTimer());
class QueryCoordinator
{
public:
    QueryCoordinator(QuerySettings settings, SnapshotTracker &tracker);

    /// Pins a snapshot and sends the sub-requests.
    void start(Instant now, std::vector<QueryAction> &actions);

    /// Handles a reply. A reply to an earlier attempt only updates the tracker.
    void onSubReply(Instant now, SubReply reply, std::vector<QueryAction> &actions);

    /// Handles the loss of the owner that holds this sub-request and may have run it.
    void onOwnerLost(Instant now, SubRequestId id, std::vector<QueryAction> &actions);

    /// Finishes the query if softDeadline or the deadline has passed.
    void onTimer(Instant now, std::vector<QueryAction> &actions);

    /// Cancels pending sub-requests without an answer, because the caller disconnected.
    void abandon(Instant now, std::vector<QueryAction> &actions);

    /// Returns when to call onTimer() next, or std::nullopt if the query is finished. Every event may change it.
    std::optional<Instant> nextTimer() const;

    bool finished() const;

private:
    enum class PartState { Pending, Covered, Missed };

    struct Part
    {
        ShardId shard;
        SubRequestId id;
        PartState state = PartState::Pending;
        ResultCode code = ResultCode::Ok;
        Duration retryAfter{0};
        bool resent = false;
        bool ownerLost = false; ///< A lost owner may have run the part, so a later refusal is reported as OwnerLost.
    };

    /// One attempt at the whole query on one snapshot: its parts and their merged results.
    struct QueryAttempt
    {
        SnapshotId requestedSnapshot;
        SubRequestId firstId;
        std::vector<Part> parts;
        SnapshotMerge merge{PinnedSnapshot{}};
        std::size_t pending = 0;
        std::size_t covered = 0;

        double coverage() const;
        bool noShardRan() const;
    };

    QueryAttempt makeAttempt(PinnedSnapshot pin) const;
    void sendSubRequests(std::vector<QueryAction> &actions);
    void updateTracker(const SubReply &reply);
    Part *findPending(SubRequestId id);
    bool belongsToMerge(const SubReply &reply) const;
    void handleResult(Instant now, Part &part, SubReply reply, std::vector<QueryAction> &actions);
    void handleFailure(Instant now, Part &part, const SubReply &reply, std::vector<QueryAction> &actions);
    void markMissed(Part &part, ResultCode code, Duration retryAfter);
    bool resend(Instant now, Part &part, std::vector<QueryAction> &actions);
    bool restart(Instant now, std::vector<QueryAction> &actions);
    bool canRestartNonIdempotent() const;
    bool coverageUnreachable() const;
    void restartOrFinish(Instant now, std::vector<QueryAction> &actions);
    void cancelPending(ResultCode code, std::vector<QueryAction> &actions);
    void finish(ResultCode pendingCode, std::vector<QueryAction> &actions);
    void setOutcome(const QueryAttempt &source, QueryAnswer &answer) const;
    const QueryAttempt &bestAttempt() const;

    QuerySettings settings;
    SnapshotTracker *tracker;
    QueryAttempt currentAttempt;
    std::optional<QueryAttempt> bestEarlierAttempt; ///< Used for the answer if currentAttempt covers fewer shards.
    std::vector<PinnedSnapshot> triedSnapshots; ///< One per attempt; the layout id is set to its number of shards.
    bool earlierAttemptMayHaveRun = false;
    int restarts = 0;
    int resends = 0;
    bool done = false;
};

} // namespace hickoryshore
