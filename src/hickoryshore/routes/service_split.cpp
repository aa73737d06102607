#include "hickoryshore/routes/service_split.h"

#include "hickoryshore/base/random.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace hickoryshore {

ServiceSplit::ServiceSplit(std::uint64_t seed) : random(seededGenerator(seed))
{ }

ServiceSplit::Shares &ServiceSplit::sharesOf(const Route &route)
{
    Shares &shares = this->routes[route.name];
    if (shares.split != route.split) {
        shares.split = route.split;
        shares.lag.clear();
        std::uniform_real_distribution<double> initialLag(0.0, 1.0);
        for (std::size_t index = 0; index < route.split.size(); ++index) {
            shares.lag.push_back(initialLag(this->random));
        }
    }
    return shares;
}

const ServiceId &ServiceSplit::next(const Route &route)
{
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    Shares &shares = this->sharesOf(route);
    const double total
        = std::accumulate(route.split.begin(), route.split.end(), 0.0, [](double sum, const ServiceShare &share) {
              return sum + share.weight;
          });
    for (std::size_t index = 0; index < shares.lag.size(); ++index) {
        shares.lag[index] += total > 0.0 ? route.split[index].weight / total : 0.0;
    }
    const auto furthestBehind = std::ranges::max_element(shares.lag);
    *furthestBehind -= 1.0;
    return route.split[static_cast<std::size_t>(std::distance(shares.lag.begin(), furthestBehind))].service;
}

} // namespace hickoryshore
