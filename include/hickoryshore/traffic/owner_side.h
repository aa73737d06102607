// The shard owner's duty: takes sub-requests from entry VMs, schedules them over the replicas and replies.
//
// It holds no socket: what it wants done goes out through hooks, and it is driven by the traffic thread.
#pragma once

#include "hickoryshore/metrics/metrics.h"
#include "hickoryshore/shard/shard_scheduler.h"
#include "hickoryshore/traffic/routing_view.h"
#include "hickoryshore/upstream/upstream_protocol.h"

#include "query.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Where a sub-request came from: the routing id of the entry VM's socket, or empty for this VM itself.
struct Origin
{
    std::string routingId;

    bool operator==(const Origin &) const = default;
};

/// One attempt that is to be sent to a replica.
struct UpstreamCall
{
    ShardId shard;
    AttemptId attempt;
    ReplicaId replica;
    UpstreamRequest request;
    bool proven = false;
};

/// A replica of a shard that was asked for lately.
struct ReplicaInUse
{
    ShardId shard;
    ReplicaId replica;
};

/// What the owner's side asks of its surroundings.
struct OwnerHooks
{
    std::function<void(const Origin &, wire::SubReplyMessage)> reply;
    std::function<void(UpstreamCall)> call;
    std::function<void(const ReplicaId &, const std::string &attemptId)> cancel;
    std::function<void(const ReplicaId &, int connections)> limitConnections;
};

/// All shards that this VM has been asked for. Not thread-safe.
class OwnerSide
{
public:
    OwnerSide(std::string attemptPrefix, OwnerHooks hooks, Metrics &metrics);

    /// Takes a new view; schedulers of shards that are gone answer what they have and are dropped when idle.
    void setDirectory(Instant now, ShardDirectory &directory);

    void onSubRequest(Instant now, const Origin &origin, const wire::SubRequestMessage &message);

    /// The entry no longer waits for these.
    void onCancel(Instant now, const Origin &origin, std::span<const std::uint64_t> ids);

    void onUpstreamReply(Instant now, const ShardId &shard, AttemptId attempt, const UpstreamReply &reply);

    /// What a replica's health endpoint told.
    void onHealth(const ShardId &shard, const ReplicaId &replica, const UpstreamReport &report);

    /// How long the way to a replica and back took; the shortest one seen lately counts.
    void onRoundTrip(Instant now, const ShardId &shard, const ReplicaId &replica, Duration roundTrip);

    void onTimer(Instant now);
    std::optional<Instant> nextTimer() const;

    /// The replicas of the shards that were asked for lately, for the health poll.
    std::vector<ReplicaInUse> replicasInUse(Instant now) const;

    std::size_t queued() const;
    std::size_t inFlight() const;

private:
    struct OwnedShard
    {
        IndexId index;
        ShardScheduler scheduler;
        Instant lastUsed;
    };

    struct PendingSubRequest
    {
        Origin origin;
        std::string originKey; ///< See pendingKey().
        wire::SubRequestMessage message;
        Instant arrival;
    };

    ShardSettings settingsOf(const ShardPlace &place) const;
    OwnedShard *openShard(Instant now, const ShardId &name);
    void perform(Instant now, const ShardId &shard, const UpstreamReply *current);
    void dispatch(const ShardId &shard, const DispatchAction &action);
    void answer(Instant now, const ShardId &shard, const AnswerAction &action, const UpstreamReply *current);
    void refuse(const Origin &origin, const wire::SubRequestMessage &message, ResultCode code);

    std::string attemptPrefix;
    OwnerHooks hooks;
    Metrics &metrics;
    ShardDirectory *directory = nullptr;
    std::unordered_map<ShardId, OwnedShard> shards;
    std::unordered_map<ReplicaId, Duration> roundTrips;
    std::unordered_map<SubRequestId, PendingSubRequest> pending;
    std::unordered_map<std::string, SubRequestId> pendingByOrigin;
    std::uint64_t lastSubRequest = 0;
    std::vector<ShardAction> actions;
};

} // namespace hickoryshore
