#include "hickoryshore/shard/replica_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// A replica is slow if its latency exceeds this multiple of the fastest.
constexpr double slowRatio = 2.5;
/// Weight of another owner's attempt, as reported by the replica, in the replica's load. This owner's own attempts have
/// weight 1.
constexpr double otherOwnersLoadWeight = 0.25;
/// Latency factor for a replica in another region. The round trip itself is part of the measured latency.
constexpr double remoteRegionFactor = 1.2;
/// Latency factor for a replica that may not hold the snapshot.
constexpr double unknownSnapshotFactor = 1.5;
/// Share of refused attempts at which a replica is avoided while retries are scarce.
constexpr double refusalRateToAvoid = 0.1;
constexpr Duration probeInterval = 1s;

bool contains(std::span<const ReplicaNumber> numbers, ReplicaNumber number)
{
    return std::ranges::find(numbers, number) != numbers.end();
}

double latencyOrDefault(const ReplicaState &replica, Instant now, double defaultLatency)
{
    const double latency = replica.effectiveLatency(now);
    return latency > 0.0 ? latency : std::max(defaultLatency, 1.0);
}

bool isSlowNow(const ReplicaState &replica, double fastest, Instant now)
{
    return fastest > 0.0 && replica.currentLatency(now) > slowRatio * fastest;
}

/// Estimates the latency of an attempt in microseconds, for comparison only.
double estimateLatency(const ReplicaState &replica, Instant now, const ReplicaRequest &request, double defaultLatency)
{
    const double load = replica.inFlight + 1 + otherOwnersLoadWeight * replica.otherOwnersLoad;
    const double regionFactor = replica.settings.sameRegion ? 1.0 : remoteRegionFactor;
    const double snapshotFactor = replica.snapshots.holds(request.snapshot) ? 1.0 : unknownSnapshotFactor;
    return latencyOrDefault(replica, now, defaultLatency) * regionFactor * snapshotFactor
        * (1.0 + load / std::max(replica.settings.slots, 1));
}

bool isCandidate(const ReplicaState &replica, Instant now, const ReplicaRequest &request)
{
    return replica.isUsable(now) && replica.snapshots.mayHold(now, request.snapshot)
        && !contains(request.excluded, replica.number);
}

/// The replicas to choose from: those of the best tier among all candidates.
struct CandidateTier
{
    double fastest = 0.0;
    bool avoidTried = false; ///< An untried candidate is neither ejected nor slow.
    int tier = std::numeric_limits<int>::max();

    /// Returns the tier of a replica; lower is better.
    int tierOf(const ReplicaState &replica, Instant now, const ReplicaRequest &request) const
    {
        const int ejected = replica.health.isEjected(now) ? 2 : 0;
        const int tried = this->avoidTried && contains(request.tried, replica.number) ? 1 : 0;
        return ejected + tried;
    }

    bool includes(const ReplicaState &replica, Instant now, const ReplicaRequest &request) const
    {
        return isCandidate(replica, now, request) && this->tierOf(replica, now, request) == this->tier;
    }
};

CandidateTier bestTier(std::span<const ReplicaState> replicas, Instant now, const ReplicaRequest &request)
{
    CandidateTier candidates{.fastest = fastestLatency(replicas, now)};
    for (const ReplicaState &replica : replicas) {
        candidates.avoidTried = candidates.avoidTried
            || (isCandidate(replica, now, request) && !replica.health.isEjected(now)
                && !isSlowNow(replica, candidates.fastest, now) && !contains(request.tried, replica.number));
    }
    for (const ReplicaState &replica : replicas) {
        if (isCandidate(replica, now, request)) {
            candidates.tier = std::min(candidates.tier, candidates.tierOf(replica, now, request));
        }
    }
    return candidates;
}

/// Sub-requests per microsecond, or zero if no service time has been measured.
double serviceRateOf(const ReplicaState &replica, Instant now)
{
    const double serviceTime = replica.serviceTime.value;
    return serviceTime > 0.0 ? replica.concurrencyLimit(now) / serviceTime : 0.0;
}

/// Returns whether it may be better to wait for another replica: this one is slow, or it often refuses attempts while
/// retries are scarce.
bool isPoor(const ReplicaState &replica, double fastest, Instant now, const ReplicaRequest &request)
{
    return isSlowNow(replica, fastest, now)
        || (request.retriesScarce && replica.health.refusalRate >= refusalRateToAvoid);
}

bool fitsPurpose(const ReplicaState &replica, AttemptPurpose purpose, double fastest, Instant now)
{
    switch (purpose) {
    case AttemptPurpose::Serve:
    case AttemptPurpose::UrgentHedge:
        return replica.acceptsAttempt(now);
    case AttemptPurpose::Hedge:
        return replica.hasFreeSlot(now) && !replica.health.isEjected(now) && !isSlowNow(replica, fastest, now);
    }
    return false;
}

/// Returns whether the poor replica is expected to reply no later than a better one that has to be waited for.
bool isFasterThanWaiting(const ReplicaState &poor,
                         std::span<const ReplicaState> replicas,
                         const CandidateTier &candidates,
                         Instant now,
                         const ReplicaRequest &request)
{
    double rate = 0.0;
    for (const ReplicaState &replica : replicas) {
        if (candidates.includes(replica, now, request) && !isPoor(replica, candidates.fastest, now, request)) {
            rate += serviceRateOf(replica, now);
        }
    }
    return rate <= 0.0 || poor.effectiveLatency(now) <= candidates.fastest + (request.queuedAhead + 1.0) / rate;
}

} // namespace

Availability availability(std::span<const ReplicaState> replicas, SnapshotId snapshot, Instant now)
{
    Availability result = Availability::NoReplica;
    for (const ReplicaState &replica : replicas) {
        if (!replica.isUsable(now)) {
            continue;
        }
        if (replica.snapshots.mayHold(now, snapshot)) {
            return Availability::Usable;
        }
        result = Availability::SnapshotUnavailable;
    }
    return result;
}

double fastestLatency(std::span<const ReplicaState> replicas, Instant now)
{
    double fastest = 0.0;
    for (const ReplicaState &replica : replicas) {
        const double latency = replica.latency.value;
        if (replica.isUsable(now) && latency > 0.0 && (fastest <= 0.0 || latency < fastest)) {
            fastest = latency;
        }
    }
    return fastest;
}

bool isSlow(const ReplicaState &replica, double fastest)
{
    return fastest > 0.0 && replica.latency.value > slowRatio * fastest;
}

std::optional<ReplicaNumber> chooseReplica(std::span<const ReplicaState> replicas,
                                           Instant now,
                                           const ReplicaRequest &request)
{
    const CandidateTier candidates = bestTier(replicas, now, request);
    const ReplicaState *best = nullptr;
    std::pair<bool, double> bestEstimate{true, std::numeric_limits<double>::infinity()};
    for (std::size_t offset = 0; offset < replicas.size(); ++offset) {
        const ReplicaState &replica = replicas[(request.randomChoice + offset) % replicas.size()];
        if (!fitsPurpose(replica, request.purpose, candidates.fastest, now)
            || !candidates.includes(replica, now, request)) {
            continue;
        }
        // Any replica that is not poor is preferred to a poor one, whatever the estimates. A poor replica is therefore
        // rejected below only if no better replica is free.
        const bool poor = isPoor(replica, candidates.fastest, now, request);
        const std::pair estimate{poor, estimateLatency(replica, now, request, candidates.fastest)};
        if (estimate < bestEstimate) {
            best = &replica;
            bestEstimate = estimate;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const bool mayWait = request.purpose == AttemptPurpose::Serve && bestEstimate.first;
    if (mayWait && !isFasterThanWaiting(*best, replicas, candidates, now, request)) {
        return std::nullopt;
    }
    return best->number;
}

std::optional<ReplicaNumber> replicaToProbe(std::span<const ReplicaState> replicas, SnapshotId snapshot, Instant now)
{
    const double fastest = fastestLatency(replicas, now);
    for (const ReplicaState &replica : replicas) {
        const bool suspect = replica.health.isEjected(now) || isSlow(replica, fastest);
        if (suspect && replica.isUsable(now) && replica.inFlight == 0 && replica.hasFreeSlot(now)
            && replica.snapshots.mayHold(now, snapshot) && replica.lastProbeAt + probeInterval <= now) {
            return replica.number;
        }
    }
    return std::nullopt;
}

double serviceRate(std::span<const ReplicaState> replicas, Instant now)
{
    double rate = 0.0;
    for (const ReplicaState &replica : replicas) {
        if (replica.isUsable(now) && !replica.health.isEjected(now)) {
            rate += serviceRateOf(replica, now);
        }
    }
    return rate;
}

} // namespace hickoryshore
