// Distributes the requests of a route over services by weight.
#pragma once

#include "hickoryshore/routes/route_table.h"

#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Chooses a service for each request with smooth weighted round robin: the service furthest behind its share is next.
/// The shares therefore hold at any time, not only on average.
///
///     ServiceSplit split(seed);
///     const ServiceId &service = split.next(route);
class ServiceSplit
{
public:
    /// The seed determines where each route starts, so that the VMs of a fleet do not all choose the same service at
    /// the same time.
    explicit ServiceSplit(std::uint64_t seed);

    /// Returns the service for the next request. The route must have a split. Shares are reset when the weights change.
    const ServiceId &next(const Route &route);

private:
    struct Shares
    {
        std::vector<ServiceShare> split;
        std::vector<double> lag; ///< For each service, how many requests it is behind its share.
    };

    Shares &sharesOf(const Route &route);

    std::minstd_rand random;
    std::unordered_map<RouteId, Shares> routes;
};

} // namespace hickoryshore
