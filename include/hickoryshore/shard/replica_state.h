// What an owner knows of one replica of its shard.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/shard/drain_state.h"
#include "hickoryshore/shard/replica_health.h"
#include "hickoryshore/shard/shard_settings.h"
#include "hickoryshore/shard/snapshot_holdings.h"

#include <cstdint>

namespace hickoryshore {

/// Identifies a replica within one scheduler; never used again for another one.
using ReplicaNumber = std::uint64_t;

/// An exponentially weighted moving average of times in microseconds; zero while there is no sample.
struct MovingAverage
{
    double value = 0.0;

    /// The weight of the sample is from 0 to 1; the first sample counts whole. A sample is counted as at most four
    /// times the average, so that one outlier tells little.
    void add(Duration sample, double weight);
};

/// What is known of one replica.
struct ReplicaState
{
    ReplicaSettings settings;
    ReplicaNumber number = 0;
    bool removed = false; ///< No longer in the settings; attempts may still be in flight.
    int inFlight = 0; ///< Attempts that hold a slot, cancelled ones included.
    MovingAverage latency; ///< From dispatch to reply.
    MovingAverage serviceTime; ///< For which an attempt holds a slot there, cancelled attempts included.
    double otherOwnersLoad = 0.0; ///< Attempts of other owners, as the replica's own count suggests.
    Instant warmingUpUntil; ///< It said that it is warming up.
    Instant lastReplyAt; ///< When its last reply came.
    Instant stalledSince; ///< Start of the time without a reply while attempts are in flight.
    Instant lastProbeAt; ///< When it last got a probe.
    DrainState drain;
    ReplicaHealth health;
    SnapshotHoldings snapshots;

    /// Takes the replica's own count of attempts in flight, this owner's included. It is a hint: bounded, and averaged.
    void recordReportedLoad(int inFlightAtReplica);

    /// The attempts that this owner may have running there now. It is lowered, never to less than one, while the
    /// replica warms up, and while it both sheds and reports the load of another owner.
    int concurrencyLimit(Instant now) const;

    /// The attempts beyond the window that may be on their way, so that a slot does not idle for a round trip. None
    /// where the replica sheds.
    int inTransitAllowance(Instant now) const;

    /// Counts the time for which an attempt was in flight; `inFlightAtStart` includes it.
    void recordServiceTime(Duration inFlightFor, int inFlightAtStart);

    /// The average latency in microseconds, or the time for which attempts in flight have had no reply where that is
    /// longer; zero while unknown.
    double currentLatency(Instant now) const;

    /// The same, raised by the share of refused attempts.
    double effectiveLatency(Instant now) const;

    /// Whether new work may go there at all.
    bool isUsable(Instant now) const;

    /// Whether an attempt would find a free slot there now.
    bool hasFreeSlot(Instant now) const;

    /// Whether new work may go there now: onto a free slot, or so that it arrives about when a slot becomes free.
    bool acceptsAttempt(Instant now) const;
};

} // namespace hickoryshore
