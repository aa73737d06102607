// The state that a shard's owner keeps for one replica.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/shard/drain_state.h"
#include "hickoryshore/shard/replica_health.h"
#include "hickoryshore/shard/shard_settings.h"
#include "hickoryshore/shard/snapshot_holdings.h"

#include <cstdint>

namespace hickoryshore {

/// Identifies a replica within one scheduler. Numbers are never reused.
using ReplicaNumber = std::uint64_t;

/// An exponentially weighted moving average of durations in microseconds. It is zero until the first sample.
struct MovingAverage
{
    double value = 0.0;

    /// Adds a sample with a weight from 0 to 1. The first sample sets the average. Later samples are capped at four
    /// times the average to limit the effect of a single outlier.
    void add(Duration sample, double weight);
};

/// The settings of one replica and what the owner has measured of it.
struct ReplicaState
{
    ReplicaSettings settings;
    ReplicaNumber number = 0;
    bool removed = false; ///< No longer in the settings, but attempts may still be in flight.
    int inFlight = 0; ///< Attempts that hold a slot, including cancelled ones.
    MovingAverage latency; ///< From dispatch to reply.
    MovingAverage serviceTime; ///< How long an attempt holds a slot there, including cancelled attempts.
    double otherOwnersLoad = 0.0; ///< Average number of other owners' attempts, from the replica's own count.
    Instant warmingUpUntil; ///< When a cold start that the replica reported is assumed to be over.
    Instant lastReplyAt; ///< When the last reply arrived.
    Instant stalledSince; ///< Since when attempts have been in flight without a reply.
    Instant lastProbeAt; ///< When the last probe was sent.
    DrainState drain;
    ReplicaHealth health;
    SnapshotHoldings snapshots;

    /// Records the replica's own count of attempts in flight, which includes this owner's. The count may be wrong, so
    /// it is bounded and averaged.
    void recordReportedLoad(int inFlightAtReplica);

    /// Returns how many attempts this owner may have running at the replica now. The limit is reduced, but never below
    /// one, while the replica warms up, and while it refuses attempts and also reports load from other owners.
    int concurrencyLimit(Instant now) const;

    /// Returns how many attempts beyond the concurrency limit may be in transit, so that a slot is not idle for a round
    /// trip. Returns zero while the replica warms up or refuses attempts, or if no round trip or service time is known.
    int inTransitAllowance(Instant now) const;

    /// Derives the service time from how long an attempt was in flight. `inFlightAtStart` includes this attempt.
    void recordServiceTime(Duration inFlightFor, int inFlightAtStart);

    /// Returns the average latency in microseconds, or the time since the last reply if attempts are in flight and that
    /// time is longer. Returns zero if no latency has been measured.
    double currentLatency(Instant now) const;

    /// Returns currentLatency(), increased in proportion to the share of refused attempts.
    double effectiveLatency(Instant now) const;

    /// Returns whether the replica may get new attempts at all: it is configured and not draining.
    bool isUsable(Instant now) const;

    /// Returns whether the replica has a free slot and is not backing off.
    bool hasFreeSlot(Instant now) const;

    /// Returns whether an attempt may be sent now: there is a free slot, or one is expected to be free when the attempt
    /// arrives.
    bool acceptsAttempt(Instant now) const;
};

} // namespace hickoryshore
