// Divides the requests of a route between services by weight.
#pragma once

#include "hickoryshore/routes/route_table.h"

#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Chooses the service of each request so that the shares are kept closely at any time, not only on average: the
/// service that lags most behind its share is next (smooth weighted round robin).
///
///     ServiceSplit split(seed);
///     const ServiceId &service = split.next(route);
class ServiceSplit
{
public:
    /// The seed sets where each route begins, so that the VMs of a fleet do not choose in step.
    explicit ServiceSplit(std::uint64_t seed);

    /// The route must have a split. Its shares start anew when its weights have changed.
    const ServiceId &next(const Route &route);

private:
    struct Shares
    {
        std::vector<ServiceShare> split;
        std::vector<double> lag; ///< In requests, for each service.
    };

    Shares &sharesOf(const Route &route);

    std::minstd_rand random;
    std::unordered_map<RouteId, Shares> routes;
};

} // namespace hickoryshore
