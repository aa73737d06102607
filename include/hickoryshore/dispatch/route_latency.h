// Tracks the latency of a route's sub-requests and decides when one is late enough to be hedged.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/shard/latency_window.h"

#include <array>

namespace hickoryshore {

/// Where a replica is relative to this VM.
enum class Distance { SameRegion, OtherRegion };

/// The latencies of one route's sub-requests, kept separately for each distance.
///
///     RouteLatency latency(100ms);
///     latency.add(Distance::SameRegion, 9ms);
///     if (age > latency.hedgeDelay(Distance::SameRegion)) { ... }
class RouteLatency
{
public:
    /// Until there are samples, the delays are fixed fractions of the latency objective.
    explicit RouteLatency(Duration latencyObjective);

    void add(Distance distance, Duration latency);

    /// Returns the median latency.
    Duration typical(Distance distance) const;

    /// Returns the age at which an unanswered sub-request is probably delayed. This is a high percentile of the
    /// latency, bounded by multiples of the median so that a few slow replicas do not delay every hedge.
    Duration hedgeDelay(Distance distance) const;

    /// Returns the minimum age at which a sub-request may be hedged. Earlier, most sub-requests would be hedged.
    Duration earliestHedge(Distance distance) const;

    /// Returns the time within which most replies arrive, at any distance. A hedge sent later than this before the soft
    /// deadline would not be answered in time.
    Duration likelyMaxLatency() const;

private:
    struct DistanceLatency
    {
        LatencyWindow window;
        int untilRefresh = 0;
        Duration typical{0};
        Duration hedgeDelay{0};
    };

    DistanceLatency &latencyOf(Distance distance);
    const DistanceLatency &latencyOf(Distance distance) const;

    std::array<DistanceLatency, 2> latencies;
};

} // namespace hickoryshore
