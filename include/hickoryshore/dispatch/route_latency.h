// How long the sub-requests of one route take, and when one is late enough to be sent to a second replica.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/shard/latency_window.h"

#include <array>

namespace hickoryshore {

/// Where a replica is, seen from this VM.
enum class Distance { SameRegion, OtherRegion };

/// The latencies of one route's sub-requests, apart for near and far replicas.
///
///     RouteLatency latency(100ms);
///     latency.add(Distance::SameRegion, 9ms);
///     if (age > latency.hedgeDelay(Distance::SameRegion)) { ... }
class RouteLatency
{
public:
    /// Until there are samples, the delays are parts of the latency objective.
    explicit RouteLatency(Duration latencyObjective);

    void add(Distance distance, Duration latency);

    /// The median.
    Duration typical(Distance distance) const;

    /// The age from which a sub-request without an answer is probably held up: a high percentile, within bounds set by
    /// the median, so that a few slow replicas do not delay every hedge.
    Duration hedgeDelay(Distance distance) const;

    /// The age from which a sub-request may be hedged at all: before it, most would be.
    Duration earliestHedge(Distance distance) const;

    /// Within this time a reply comes as a rule, wherever the replica is: a hedge that is sent later before the soft
    /// answer time is of no use to it.
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
