// Which replica gets an attempt.
#pragma once

#include "hickoryshore/shard/replica_state.h"

#include <cstdint>
#include <optional>
#include <span>

namespace hickoryshore {

/// What an attempt is for, which tells the replicas that it may use.
enum class AttemptPurpose {
    Serve, ///< First attempt or retry: any replica, waiting for a better one where that is faster.
    Hedge, ///< A free slot of a replica that is neither slow nor ejected.
    UrgentHedge, ///< Any replica that takes work.
};

/// What an attempt asks of its replica.
struct ReplicaRequest
{
    SnapshotId snapshot;
    std::span<const ReplicaNumber> tried; ///< Avoided where another good replica exists, even a busy one.
    std::span<const ReplicaNumber> excluded; ///< Never used.
    bool retriesScarce = false; ///< Avoid replicas that refuse attempts.
    double queuedAhead = 0.0; ///< Sub-requests that get a slot before this one.
    AttemptPurpose purpose = AttemptPurpose::Serve;
    std::uint64_t randomChoice = 0; ///< Decides between equals.
};

/// Why a shard cannot serve a sub-request at all.
enum class Availability { Usable, NoReplica, SnapshotUnavailable };

/// Whether any replica may serve a sub-request that is pinned to this snapshot.
Availability availability(std::span<const ReplicaState> replicas, SnapshotId snapshot, Instant now);

/// The lowest average latency of the usable replicas, in microseconds; zero while none is known.
double fastestLatency(std::span<const ReplicaState> replicas, Instant now);

/// Whether the replica is several times slower than the fastest.
bool isSlow(const ReplicaState &replica, double fastest);

/// The best replica with a free slot, or nothing. Untried replicas that are not ejected go first; a busy replica of a
/// better kind is waited for, and so is a faster one where waiting for it takes less than the slow one's latency.
std::optional<ReplicaNumber> chooseReplica(std::span<const ReplicaState> replicas,
                                           Instant now,
                                           const ReplicaRequest &request);

/// An ejected or slow replica with a free slot that should be tried again with a spare attempt, or nothing.
std::optional<ReplicaNumber> replicaToProbe(std::span<const ReplicaState> replicas, SnapshotId snapshot, Instant now);

/// Sub-requests for each microsecond that the replicas can serve; zero while nothing is known.
double serviceRate(std::span<const ReplicaState> replicas, Instant now);

} // namespace hickoryshore
