#include "hickoryshore/dispatch/aggregation_plan.h"

#include <algorithm>
#include <iterator>

namespace hickoryshore {

namespace {

constexpr std::size_t nearWeight = 2;

} // namespace

bool leavesTimeToHedge(const RouteLatency &latency, Duration untilAnswer, Duration travel)
{
    return latency.hedgeDelay(Distance::SameRegion) + latency.likelyLongest() + travel + groupMargin <= untilAnswer;
}

std::vector<PartGroup> planGroups(std::span<const PlaceSet> places,
                                  PlaceSet aggregators,
                                  PlaceSet near,
                                  std::uint64_t random)
{
    std::vector<std::size_t> left;
    for (std::size_t part = 0; part < places.size(); ++part) {
        if ((places[part] & placeBit(ownPlace)) == 0 && (places[part] & aggregators) != 0) {
            left.push_back(part);
        }
    }
    std::vector<PartGroup> groups;
    while (left.size() >= fewestGrouped) {
        PartGroup best;
        std::size_t bestWeight = 0;
        for (PlaceNumber turn = 0; turn < mostPlaces; ++turn) {
            const auto place = static_cast<PlaceNumber>((static_cast<std::uint64_t>(turn) + random) % mostPlaces);
            if (place == ownPlace || (aggregators & placeBit(place)) == 0) {
                continue;
            }
            PartGroup group{.place = place, .parts = {}};
            std::ranges::copy_if(left, std::back_inserter(group.parts), [&](std::size_t part) {
                return (places[part] & placeBit(place)) != 0;
            });
            const std::size_t weight = group.parts.size() * ((near & placeBit(place)) != 0 ? nearWeight : 1);
            if (group.parts.size() >= fewestGrouped && weight > bestWeight) {
                best = std::move(group);
                bestWeight = weight;
            }
        }
        if (best.parts.empty()) {
            break;
        }
        std::erase_if(left, [&best](std::size_t part) {
            return std::ranges::find(best.parts, part) != best.parts.end();
        });
        groups.push_back(std::move(best));
    }
    return groups;
}

} // namespace hickoryshore
