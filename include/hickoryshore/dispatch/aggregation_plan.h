// Groups the parts of a request whose replicas are in other data centres. A VM in such a data centre serves a whole
// group and merges the results, so only one reply crosses between the data centres.
//
//     const std::vector<PartGroup> groups = planGroups(dataCentresOfParts, aggregators, near, random);
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/dispatch/route_latency.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace hickoryshore {

/// Index of a data centre, assigned by each VM for itself. The VM's own data centre has index 0.
using DataCentreIndex = int;

/// A set of data centres, one bit per index.
using DataCentreSet = std::uint64_t;

/// Number of data centres that can be distinguished. Parts that only data centres beyond this number can serve are sent
/// directly.
inline constexpr DataCentreIndex maxDataCentres = 64;

inline constexpr DataCentreIndex ownDataCentreIndex = 0;

/// Returns the set that holds only this data centre, or an empty set if the index is out of range.
constexpr DataCentreSet dataCentreBit(DataCentreIndex dataCentreIndex)
{
    return dataCentreIndex >= 0 && dataCentreIndex < maxDataCentres
        ? DataCentreSet{1} << static_cast<unsigned>(dataCentreIndex)
        : 0;
}

/// Parts that one VM of a data centre serves together.
struct PartGroup
{
    DataCentreIndex dataCentreIndex = ownDataCentreIndex;
    std::vector<std::size_t> parts; ///< Indexes of the parts in the request.
};

/// Subtracted from the time within which a group must be answered. Covers merging and round trips that take longer than
/// usual.
inline constexpr Duration groupMargin{std::chrono::milliseconds(3)};

/// Smaller groups are sent directly, because an aggregator adds latency and processor time.
inline constexpr std::size_t minGroupedParts = 3;

/// Returns whether an aggregator still has time to hedge a part whose replica is slow and to answer in time. The hedge
/// may itself go to another data centre. `untilAnswer` is the time until the request must be answered; `roundTripTime`
/// is that between this VM and the aggregator.
bool leavesTimeToHedge(const RouteLatency &latency, Duration untilAnswer, Duration roundTripTime);

/// Groups the parts. `dataCentres` holds, for each part, the data centres that can serve it well. A part that this VM's
/// own data centre serves well is put in no group. Only data centres in `aggregators` are used. The data centre that
/// serves the most parts is taken first; one in `near` counts twice. `random` breaks ties.
std::vector<PartGroup> planGroups(std::span<const DataCentreSet> dataCentres,
                                  DataCentreSet aggregators,
                                  DataCentreSet near,
                                  std::uint64_t random);

} // namespace hickoryshore
