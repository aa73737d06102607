// The sizes of the eight services that the bench models, and the delays between their data centres.
#pragma once

#include "hickoryshore/base/time.h"

#include <span>
#include <string>
#include <string_view>

namespace hickoryshore::bench {

/// The size of one index and the service times of its replicas.
struct ServiceShape
{
    std::string name;
    int shards = 1;
    int replicas = 2;
    int slots = 2; ///< Requests that a replica runs at once.
    int connections = 60; ///< Connections that a replica accepts.
    Duration connectionCost{std::chrono::milliseconds(6)};
    Duration delayWithinDataCentre{100};
    Duration delayBetweenDataCentres{500};
    Duration delayBetweenRegions{std::chrono::milliseconds(8)};
    Duration medianServiceTime{std::chrono::milliseconds(8)}; ///< Median of the lognormal service time.
    double serviceSigma = 0.4; ///< Shape of the lognormal service time.
    double tailShare = 0; ///< Share of the service times drawn from a Pareto tail instead.
    double tailExponent = 1.9;
    Duration tailStart{std::chrono::milliseconds(10)};
    int keysPerShard = 1; ///< Sub-requests that a query sends to each shard.
};

/// The eight services of the two users.
std::span<const ServiceShape> serviceShapes();

/// Returns the service with this name. Throws std::invalid_argument.
const ServiceShape &serviceShape(std::string_view name);

/// Returns the shape of "The Tail at Scale": 1,000 keys over 100 servers.
ServiceShape tailAtScaleShape();

/// Returns the mean service time, in seconds.
double meanServiceSeconds(const ServiceShape &shape);

/// Returns how many sub-requests all shards together can run in a second.
double capacityPerSecond(const ServiceShape &shape);

} // namespace hickoryshore::bench
