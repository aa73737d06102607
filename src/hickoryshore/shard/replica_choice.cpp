#include "hickoryshore/shard/replica_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

/// A replica is slow from this multiple of the fastest latency.
constexpr double slowRatio = 2.5;
/// How much one attempt of another owner, as the replica reports it, adds to its cost; own attempts count one.
constexpr double foreignLoadShare = 0.25;
/// Factor for a replica in another region, whose way is part of its latency once it is measured.
constexpr double remoteCost = 1.2;
/// Factor for a replica of which it is not known whether it holds the snapshot.
constexpr double unsureCost = 1.5;
constexpr double refusalRateToAvoid = 0.1;
constexpr Duration probeInterval = 1s;

bool contains(std::span<const ReplicaNumber> numbers, ReplicaNumber number)
{
    return std::ranges::find(numbers, number) != numbers.end();
}

double latencyOr(const ReplicaState &replica, Instant now, double unknown)
{
    const double latency = replica.effectiveLatency(now);
    return latency > 0.0 ? latency : std::max(unknown, 1.0);
}

bool isSlowNow(const ReplicaState &replica, double fastest, Instant now)
{
    return fastest > 0.0 && replica.currentLatency(now) > slowRatio * fastest;
}

double costOf(const ReplicaState &replica, Instant now, const ReplicaRequest &request, double unknownLatency)
{
    const double load = replica.inFlight + 1 + foreignLoadShare * replica.foreignLoad;
    const double way = replica.settings.sameRegion ? 1.0 : remoteCost;
    const double unsure = replica.snapshots.holds(request.snapshot) ? 1.0 : unsureCost;
    return latencyOr(replica, now, unknownLatency) * way * unsure * (1.0 + load / std::max(replica.settings.slots, 1));
}

bool qualifies(const ReplicaState &replica, Instant now, const ReplicaRequest &request)
{
    return replica.isUsable(now) && replica.snapshots.mayHold(now, request.snapshot)
        && !contains(request.excluded, replica.number);
}

/// The replicas among which the choice is made: those of the best kind that any qualifying replica has.
struct Field
{
    double fastest = 0.0;
    bool avoidTried = false; ///< There is an untried replica that is neither ejected nor slow.
    int kind = std::numeric_limits<int>::max();

    /// Lower is better.
    int kindOf(const ReplicaState &replica, Instant now, const ReplicaRequest &request) const
    {
        const int ejected = replica.health.isEjected(now) ? 2 : 0;
        const int tried = this->avoidTried && contains(request.tried, replica.number) ? 1 : 0;
        return ejected + tried;
    }

    bool has(const ReplicaState &replica, Instant now, const ReplicaRequest &request) const
    {
        return qualifies(replica, now, request) && this->kindOf(replica, now, request) == this->kind;
    }
};

Field fieldOf(std::span<const ReplicaState> replicas, Instant now, const ReplicaRequest &request)
{
    Field field{.fastest = fastestLatency(replicas, now)};
    for (const ReplicaState &replica : replicas) {
        field.avoidTried = field.avoidTried
            || (qualifies(replica, now, request) && !replica.health.isEjected(now)
                && !isSlowNow(replica, field.fastest, now) && !contains(request.tried, replica.number));
    }
    for (const ReplicaState &replica : replicas) {
        if (qualifies(replica, now, request)) {
            field.kind = std::min(field.kind, field.kindOf(replica, now, request));
        }
    }
    return field;
}

double rateOf(const ReplicaState &replica, Instant now)
{
    const double serviceTime = replica.serviceTime.value;
    return serviceTime > 0.0 ? replica.window(now) / serviceTime : 0.0;
}

/// Whether a slot of another replica is better waited for. A replica that refuses attempts is one to avoid where
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
        return replica.takesWork(now);
    case AttemptPurpose::Hedge:
        return replica.hasFreeSlot(now) && !replica.health.isEjected(now) && !isSlowNow(replica, fastest, now);
    }
    return false;
}

/// Whether waiting for a replica that is not poor is expected to take longer than the poor one needs.
bool isWorthUsing(const ReplicaState &poor,
                  std::span<const ReplicaState> replicas,
                  const Field &field,
                  Instant now,
                  const ReplicaRequest &request)
{
    double rate = 0.0;
    for (const ReplicaState &replica : replicas) {
        if (field.has(replica, now, request) && !isPoor(replica, field.fastest, now, request)) {
            rate += rateOf(replica, now);
        }
    }
    return rate <= 0.0 || poor.effectiveLatency(now) <= field.fastest + (request.waitingBefore + 1.0) / rate;
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
    const Field field = fieldOf(replicas, now, request);
    const ReplicaState *best = nullptr;
    std::pair<bool, double> bestCost{true, std::numeric_limits<double>::infinity()};
    for (std::size_t offset = 0; offset < replicas.size(); ++offset) {
        const ReplicaState &replica = replicas[(request.randomChoice + offset) % replicas.size()];
        if (!fitsPurpose(replica, request.purpose, field.fastest, now) || !field.has(replica, now, request)) {
            continue;
        }
        // A free replica that is not poor goes before a poor one of any cost: only then may the latter be refused
        // below.
        const bool poor = isPoor(replica, field.fastest, now, request);
        const std::pair cost{poor, costOf(replica, now, request, field.fastest)};
        if (cost < bestCost) {
            best = &replica;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const bool mayWait = request.purpose == AttemptPurpose::Serve && bestCost.first;
    if (mayWait && !isWorthUsing(*best, replicas, field, now, request)) {
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
            && replica.snapshots.mayHold(now, snapshot) && replica.probedAt + probeInterval <= now) {
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
            rate += rateOf(replica, now);
        }
    }
    return rate;
}

} // namespace hickoryshore
