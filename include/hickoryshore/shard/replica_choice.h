// Chooses the replica for an attempt.
#pragma once

#include "hickoryshore/shard/replica_state.h"

#include <cstdint>
#include <optional>
#include <span>

namespace hickoryshore {

/// The purpose of an attempt, which determines the replicas it may use.
enum class AttemptPurpose {
    Serve, ///< First attempt or retry: any replica, or none yet if waiting for a better one is faster.
    Hedge, ///< Only a replica with a free slot that is neither slow nor ejected.
    UrgentHedge, ///< Any replica that accepts attempts.
};

/// What an attempt requires of its replica.
struct ReplicaRequest
{
    SnapshotId snapshot;
    std::span<const ReplicaNumber> tried; ///< Avoided if there is another good replica, even a busy one.
    std::span<const ReplicaNumber> excluded; ///< Never used.
    bool retriesScarce = false; ///< Retries are scarce: avoid replicas that often refuse attempts.
    double queuedAhead = 0.0; ///< Number of sub-requests that get a slot before this one.
    AttemptPurpose purpose = AttemptPurpose::Serve;
    std::uint64_t randomChoice = 0; ///< Random number that breaks ties.
};

/// Whether a shard can serve a sub-request and, if not, why.
enum class Availability { Usable, NoReplica, SnapshotUnavailable };

/// Returns whether any replica may serve a sub-request that is pinned to this snapshot.
Availability availability(std::span<const ReplicaState> replicas, SnapshotId snapshot, Instant now);

/// Returns the lowest average latency of the usable replicas in microseconds, or zero if none has been measured.
double fastestLatency(std::span<const ReplicaState> replicas, Instant now);

/// Returns whether the replica's average latency is several times the fastest one, given in microseconds.
bool isSlow(const ReplicaState &replica, double fastest);

/// Returns the best replica that can take the attempt now, or std::nullopt if there is none or waiting is better.
/// Replicas that are ejected or were already tried form lower tiers. They are not used while a replica of a better tier
/// is merely busy. A slow replica is not used if waiting for a faster one takes less than the slow one's latency.
std::optional<ReplicaNumber> chooseReplica(std::span<const ReplicaState> replicas,
                                           Instant now,
                                           const ReplicaRequest &request);

/// Returns an ejected or slow replica with a free slot that is due for a probe by an additional attempt, or
/// std::nullopt if there is none.
std::optional<ReplicaNumber> replicaToProbe(std::span<const ReplicaState> replicas, SnapshotId snapshot, Instant now);

/// Returns how many sub-requests per microsecond the replicas can serve, or zero if no service time has been measured.
double serviceRate(std::span<const ReplicaState> replicas, Instant now);

} // namespace hickoryshore
