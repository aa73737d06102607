#include "hickoryshore/dispatch/route_latency.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore {

namespace {

/// Parts of the latency objective that count as typical and as late while nothing is known.
constexpr int firstTypicalDivisor = 8;
constexpr int firstHedgeDivisor = 4;
constexpr double medianShare = 0.5;
/// With 10 % of the sub-requests hedged, and 4 % for replicas that pause, hedges stay below the usual repeat budget of
/// 20 %.
constexpr double hedgeShare = 0.9;
/// Bounds of the hedge delay as multiples of the median.
constexpr double leastHedgeRatio = 1.4;
constexpr double mostHedgeRatio = 2.5;
/// A reply that takes so many medians is later than most.
constexpr double likelyRatio = 1.25;
/// Samples after which the percentiles are computed anew.
constexpr int refreshInterval = 64;
/// Below this a hedge would only cover the jitter of the network and of this VM's processor.
constexpr Duration shortestHedgeDelay = std::chrono::milliseconds(5);

Duration scaled(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

} // namespace

RouteLatency::RouteLatency(Duration latencyObjective)
{
    for (Side &each : this->sides) {
        each.typical = latencyObjective / firstTypicalDivisor;
        each.hedgeDelay = latencyObjective / firstHedgeDivisor;
    }
}

RouteLatency::Side &RouteLatency::side(Distance distance)
{
    return this->sides[static_cast<std::size_t>(distance)];
}

const RouteLatency::Side &RouteLatency::side(Distance distance) const
{
    return this->sides[static_cast<std::size_t>(distance)];
}

void RouteLatency::add(Distance distance, Duration latency)
{
    Side &changed = this->side(distance);
    changed.window.add(latency);
    if (--changed.untilRefresh > 0) {
        return;
    }
    const auto median = changed.window.percentile(medianShare);
    const auto late = changed.window.percentile(hedgeShare);
    if (!median.has_value() || !late.has_value()) {
        return;
    }
    changed.untilRefresh = refreshInterval;
    changed.typical = *median;
    changed.hedgeDelay = std::max(shortestHedgeDelay,
                                  std::clamp(*late, scaled(*median, leastHedgeRatio), scaled(*median, mostHedgeRatio)));
}

Duration RouteLatency::typical(Distance distance) const
{
    return this->side(distance).typical;
}

Duration RouteLatency::earliestHedge(Distance distance) const
{
    return scaled(this->typical(distance), leastHedgeRatio);
}

Duration RouteLatency::likelyLongest() const
{
    return scaled(std::max(this->typical(Distance::SameRegion), this->typical(Distance::OtherRegion)), likelyRatio);
}

Duration RouteLatency::hedgeDelay(Distance distance) const
{
    return this->side(distance).hedgeDelay;
}

} // namespace hickoryshore
