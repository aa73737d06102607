#include "hickoryshore/shard/replica_health.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

using namespace std::chrono_literals;

constexpr int failuresUntilEjection = 3;
/// Each further ejection without a success in between lasts twice as long.
constexpr Duration firstEjection = 5s;
constexpr int maxEjectionDoublings = 3;
/// Maximum length of the first backoff; it doubles with each consecutive shed.
constexpr Duration firstBackoff = 2ms;
constexpr int maxBackoffDoublings = 5;
/// Weight of one result in the moving average of refusals.
constexpr double refusalWeight = 0.05;

} // namespace

void ReplicaHealth::countSuccess(Instant now)
{
    this->consecutiveFailures = 0;
    this->consecutiveSheds = 0;
    this->consecutiveEjections = 0;
    this->ejectedUntil = std::min(this->ejectedUntil, now);
    this->refusalRate -= refusalWeight * this->refusalRate;
}

bool ReplicaHealth::countFailure(Instant now)
{
    this->refusalRate += refusalWeight * (1.0 - this->refusalRate);
    if (++this->consecutiveFailures < failuresUntilEjection || this->isEjected(now)) {
        return false;
    }
    this->ejectedUntil = now + firstEjection * (1 << std::min(this->consecutiveEjections, maxEjectionDoublings));
    ++this->consecutiveEjections;
    return true;
}

void ReplicaHealth::countShed(Instant now, double randomShare)
{
    this->refusalRate += refusalWeight * (1.0 - this->refusalRate);
    const Duration maxBackoff = firstBackoff * (1 << std::min(this->consecutiveSheds, maxBackoffDoublings));
    ++this->consecutiveSheds;
    this->backoffUntil
        = now + Duration(std::llround(static_cast<double>(maxBackoff.count()) * (0.5 + 0.5 * randomShare)));
}

bool ReplicaHealth::isEjected(Instant now) const
{
    return this->ejectedUntil > now;
}

bool ReplicaHealth::isBackingOff(Instant now) const
{
    return this->backoffUntil > now;
}

} // namespace hickoryshore
