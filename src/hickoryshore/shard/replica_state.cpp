#include "hickoryshore/shard/replica_state.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

/// The effective latency increases by this multiple of the latency, times the share of refused attempts.
constexpr double refusalLatencyFactor = 10.0;
constexpr double outlierRatio = 4.0;
/// Weight of one report in the moving average of the other owners' load.
constexpr double loadReportWeight = 0.1;
/// Share of refused attempts at which the reported load of other owners reduces the concurrency limit.
constexpr double contentionRefusalRate = 0.1;
constexpr double serviceTimeWeight = 0.05;
/// Maximum number of attempts in transit, as a multiple of the slots.
constexpr double maxRoundTripRatio = 16.0;

} // namespace

void MovingAverage::add(Duration sample, double weight)
{
    const double microseconds = std::max(1.0, static_cast<double>(sample.count()));
    if (this->value <= 0.0) {
        this->value = microseconds;
        return;
    }
    this->value += weight * (std::min(microseconds, outlierRatio * this->value) - this->value);
}

void ReplicaState::recordReportedLoad(int inFlightAtReplica)
{
    const double reported = std::clamp(inFlightAtReplica - this->inFlight, 0, std::max(this->settings.slots, 1));
    this->otherOwnersLoad += loadReportWeight * (reported - this->otherOwnersLoad);
}

int ReplicaState::concurrencyLimit(Instant now) const
{
    const int slots = std::max(this->settings.slots, 1);
    if (this->warmingUpUntil > now) {
        return std::max(1, slots / 2);
    }
    if (this->health.refusalRate >= contentionRefusalRate) {
        return std::max(1, slots - static_cast<int>(this->otherOwnersLoad));
    }
    return slots;
}

int ReplicaState::inTransitAllowance(Instant now) const
{
    const double service = this->serviceTime.value;
    if (this->settings.roundTrip <= Duration(0) || service <= 0.0 || this->warmingUpUntil > now
        || this->health.refusalRate >= contentionRefusalRate) {
        return 0;
    }
    const double roundTripRatio = static_cast<double>(this->settings.roundTrip.count()) / service;
    return static_cast<int>(std::ceil(this->settings.slots * std::min(roundTripRatio, maxRoundTripRatio)));
}

void ReplicaState::recordServiceTime(Duration inFlightFor, int inFlightAtStart)
{
    const Duration atReplica = std::max(inFlightFor - this->settings.roundTrip, Duration(1));
    // By Little's law, this share of the attempts in flight was at the replica. Attempts beyond its slots waited there.
    const auto microseconds = static_cast<double>(atReplica.count());
    const double shareAtReplica = microseconds / std::max(1.0, static_cast<double>(inFlightFor.count()));
    const double runningShare = std::min(1.0, this->settings.slots / std::max(1.0, inFlightAtStart * shareAtReplica));
    this->serviceTime.add(Duration(std::llround(microseconds * runningShare)), serviceTimeWeight);
}

double ReplicaState::currentLatency(Instant now) const
{
    if (this->inFlight == 0 || this->latency.value <= 0.0) {
        return this->latency.value;
    }
    return std::max(this->latency.value, static_cast<double>((now - this->stalledSince).count()));
}

double ReplicaState::effectiveLatency(Instant now) const
{
    return this->currentLatency(now) * (1.0 + refusalLatencyFactor * this->health.refusalRate);
}

bool ReplicaState::isUsable(Instant now) const
{
    return !this->removed && !this->drain.isDraining(now);
}

bool ReplicaState::hasFreeSlot(Instant now) const
{
    return this->inFlight < this->concurrencyLimit(now) && !this->health.isBackingOff(now);
}

bool ReplicaState::acceptsAttempt(Instant now) const
{
    return this->inFlight < this->concurrencyLimit(now) + this->inTransitAllowance(now)
        && !this->health.isBackingOff(now);
}

} // namespace hickoryshore
