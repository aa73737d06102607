// Sizes, service times and network delays of the services that the bench simulates.
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
    Duration connectionCost{std::chrono::milliseconds(6)}; ///< Time to open a connection.
    Duration delayWithinDataCentre{100}; ///< One way, like the two delays below.
    Duration delayBetweenDataCentres{500}; ///< Within a region.
    Duration delayBetweenRegions{std::chrono::milliseconds(8)};
    Duration medianServiceTime{std::chrono::milliseconds(8)}; ///< Median of the lognormal service time.
    double serviceSigma = 0.4; ///< Standard deviation of the logarithm of the service time.
    double tailShare = 0; ///< Share of the service times drawn from a Pareto distribution instead.
    double tailExponent = 1.9; ///< Exponent of the Pareto distribution.
    Duration tailStart{std::chrono::milliseconds(10)}; ///< Minimum of the Pareto distribution.
    int keysPerShard = 1; ///< Sub-requests that a query sends to each shard.
};

/// Returns the eight services.
std::span<const ServiceShape> serviceShapes();

/// Returns the service with this name. Throws std::invalid_argument if there is none.
const ServiceShape &serviceShape(std::string_view name);

/// Returns the shape that the paper "The Tail at Scale" describes: 1,000 keys over 100 servers.
ServiceShape tailAtScaleShape();

/// Returns the mean service time, in seconds.
double meanServiceSeconds(const ServiceShape &shape);

/// Returns how many sub-requests per second the replicas of all shards can run together.
double capacityPerSecond(const ServiceShape &shape);

} // namespace hickoryshore::bench
