// Which parts of a request are asked for together: those whose replicas stand in another data centre can be merged by a
// VM over there, so that one answer crosses in place of many.
//
//     const std::vector<PartGroup> groups = planGroups(placesOfParts, aggregators, near, random);
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/dispatch/route_latency.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace hickoryshore {

/// A data centre as one VM numbers them: its own is number zero.
using DataCentreIndex = int;

/// A set of data centres, a bit for each number.
using DataCentreSet = std::uint64_t;

/// Data centres beyond this number are not told apart: their parts are asked for directly.
inline constexpr DataCentreIndex maxDataCentres = 64;

inline constexpr DataCentreIndex ownDataCentreIndex = 0;

/// The set with this data centre alone; empty where the number is beyond the bound.
constexpr DataCentreSet dataCentreBit(DataCentreIndex dataCentreIndex)
{
    return dataCentreIndex >= 0 && dataCentreIndex < maxDataCentres
        ? DataCentreSet{1} << static_cast<unsigned>(dataCentreIndex)
        : 0;
}

/// Parts that a VM of one data centre is asked for together.
struct PartGroup
{
    DataCentreIndex dataCentreIndex = ownDataCentreIndex;
    std::vector<std::size_t> parts; ///< Their numbers.
};

/// Kept back from the time until a group's answer is due: for merging, and for ways that take longer than usual.
inline constexpr Duration groupMargin{std::chrono::milliseconds(3)};

/// Fewer parts are asked for directly: a VM in between costs time and processor.
inline constexpr std::size_t minGroupedParts = 3;

/// Whether a VM that is asked for parts can still hedge one that a replica holds up, and its answer be in time: a hedge
/// goes to another data centre from there, too. `untilAnswer` is the time until the request is to be answered, `travel`
/// the ways there and back.
bool leavesTimeToHedge(const RouteLatency &latency, Duration untilAnswer, Duration roundTripTime);

/// Groups the parts. `places` has for each part the data centres that can serve it well; a part that the own one serves
/// well is in no group. Only data centres of `aggregators` are asked. The data centre that can serve most parts comes
/// first, where one of `near` counts twice; `random` decides between equals.
std::vector<PartGroup> planGroups(std::span<const DataCentreSet> dataCentres,
                                  DataCentreSet aggregators,
                                  DataCentreSet near,
                                  std::uint64_t random);

} // namespace hickoryshore
