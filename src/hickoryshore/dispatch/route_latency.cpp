#include "hickoryshore/dispatch/route_latency.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

/// Typical latency and hedge delay before there are samples, as fractions of the latency objective.
constexpr int initialTypicalDivisor = 8;
constexpr int initialHedgeDivisor = 4;
constexpr double medianQuantile = 0.5;
/// Hedging 10 % of the sub-requests, and another 4 % for replicas that pause, stays below the usual extra-attempt
/// budget of 20 %.
constexpr double hedgeQuantile = 0.9;
/// Bounds of the hedge delay as multiples of the median.
constexpr double minHedgeRatio = 1.4;
constexpr double maxHedgeRatio = 2.5;
/// A reply that takes longer than this multiple of the median is later than most.
constexpr double likelyMaxRatio = 1.25;
/// Number of samples after which the percentiles are recomputed.
constexpr int refreshInterval = 64;
/// A shorter delay would only hedge against jitter of the network and of this VM's processor.
constexpr Duration minHedgeDelay = std::chrono::milliseconds(5);

Duration scaled(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

} // namespace

RouteLatency::RouteLatency(Duration latencyObjective)
{
    for (DistanceLatency &each : this->latencies) {
        each.typical = latencyObjective / initialTypicalDivisor;
        each.hedgeDelay = latencyObjective / initialHedgeDivisor;
    }
}

RouteLatency::DistanceLatency &RouteLatency::latencyOf(Distance distance)
{
    return this->latencies[static_cast<std::size_t>(distance)];
}

const RouteLatency::DistanceLatency &RouteLatency::latencyOf(Distance distance) const
{
    return this->latencies[static_cast<std::size_t>(distance)];
}

void RouteLatency::add(Distance distance, Duration latency)
{
    DistanceLatency &changed = this->latencyOf(distance);
    changed.window.add(latency);
    if (--changed.untilRefresh > 0) {
        return;
    }
    const auto median = changed.window.percentile(medianQuantile);
    const auto late = changed.window.percentile(hedgeQuantile);
    if (!median.has_value() || !late.has_value()) {
        return;
    }
    changed.untilRefresh = refreshInterval;
    changed.typical = *median;
    changed.hedgeDelay
        = std::max(minHedgeDelay, std::clamp(*late, scaled(*median, minHedgeRatio), scaled(*median, maxHedgeRatio)));
}

Duration RouteLatency::typical(Distance distance) const
{
    return this->latencyOf(distance).typical;
}

Duration RouteLatency::earliestHedge(Distance distance) const
{
    return scaled(this->typical(distance), minHedgeRatio);
}

Duration RouteLatency::likelyMaxLatency() const
{
    return scaled(std::max(this->typical(Distance::SameRegion), this->typical(Distance::OtherRegion)), likelyMaxRatio);
}

Duration RouteLatency::hedgeDelay(Distance distance) const
{
    return this->latencyOf(distance).hedgeDelay;
}

} // namespace hickoryshore
