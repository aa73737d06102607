#include "hickoryshore/dispatch/aggregation_plan.h"

#include <algorithm>
#include <iterator>

namespace hickoryshore {

namespace {

constexpr std::size_t nearDataCentreWeight = 2;

} // namespace

bool leavesTimeToHedge(const RouteLatency &latency, Duration untilAnswer, Duration roundTripTime)
{
    return latency.hedgeDelay(Distance::SameRegion) + latency.likelyMaxLatency() + roundTripTime + groupMargin
        <= untilAnswer;
}

std::vector<PartGroup> planGroups(std::span<const DataCentreSet> dataCentres,
                                  DataCentreSet aggregators,
                                  DataCentreSet near,
                                  std::uint64_t random)
{
    std::vector<std::size_t> ungrouped;
    for (std::size_t part = 0; part < dataCentres.size(); ++part) {
        if ((dataCentres[part] & dataCentreBit(ownDataCentreIndex)) == 0 && (dataCentres[part] & aggregators) != 0) {
            ungrouped.push_back(part);
        }
    }
    std::vector<PartGroup> groups;
    while (ungrouped.size() >= minGroupedParts) {
        PartGroup best;
        std::size_t bestWeight = 0;
        for (DataCentreIndex step = 0; step < maxDataCentres; ++step) {
            const auto dataCentreIndex
                = static_cast<DataCentreIndex>((static_cast<std::uint64_t>(step) + random) % maxDataCentres);
            if (dataCentreIndex == ownDataCentreIndex || (aggregators & dataCentreBit(dataCentreIndex)) == 0) {
                continue;
            }
            PartGroup group{.dataCentreIndex = dataCentreIndex, .parts = {}};
            std::ranges::copy_if(ungrouped, std::back_inserter(group.parts), [&](std::size_t part) {
                return (dataCentres[part] & dataCentreBit(dataCentreIndex)) != 0;
            });
            const std::size_t weight
                = group.parts.size() * ((near & dataCentreBit(dataCentreIndex)) != 0 ? nearDataCentreWeight : 1);
            if (group.parts.size() >= minGroupedParts && weight > bestWeight) {
                best = std::move(group);
                bestWeight = weight;
            }
        }
        if (best.parts.empty()) {
            break;
        }
        std::erase_if(ungrouped, [&best](std::size_t part) {
            return std::ranges::find(best.parts, part) != best.parts.end();
        });
        groups.push_back(std::move(best));
    }
    return groups;
}

} // namespace hickoryshore
