// Which VMs a caller is told to connect to: there is no balancer, so each VM answers this from its own view.
#pragma once

#include "hickoryshore/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Where a caller is; an empty name means that it did not tell.
struct CallerLocation
{
    DataCentreId dataCentre;
    RegionId region;
};

/// The bounds of every answer; the same on all VMs, since a leaving VM waits until the answers that name it expire.
struct EntryPointSettings
{
    std::size_t count = 4; ///< Addresses in one answer.
    Duration timeToLive{std::chrono::seconds(30)}; ///< A caller must not use an answer for longer.
};

/// One VM that a caller may connect to.
struct EntryPoint
{
    VmId vm;
    DataCentreId dataCentre;
    std::string address; ///< IP number.
    int httpPort = 0;

    bool operator==(const EntryPoint &) const = default;
};

/// The answer to a caller, best first.
struct EntryPoints
{
    std::vector<EntryPoint> entries;
    Duration timeToLive{0};
};

/// How many replicas each region holds.
using ReplicasByRegion = std::unordered_map<RegionId, int>;

/// The members that are best for a caller, where each VM calls the replicas itself. Regions with few replicas are
/// passed over: one way from the caller to another region costs less than one from the VM for each shard. In the
/// regions that are left, the caller's own if it is one, the VMs with the most processor go before the others, since
/// the slowest of many sub-requests decides when a query is answered; at least two VMs, so that one may fail.
MembershipView preferMembers(const MembershipView &view,
                             const CallerLocation &location,
                             const ReplicasByRegion &replicas);

/// The part, from 0 to 1, of what a fleet has to divide (connections of replicas, extra attempts) that is this VM's.
/// The VMs that preferMembers() names share three quarters of it, and the others the rest; all the same where none is
/// preferred. `fleet` has the VMs that may be in use, also those that seem gone.
double fleetShare(std::span<const Member> fleet, const VmId &self);

/// Chooses among the usable members: those in the caller's data centre first, then its region, then the others. VMs
/// that the platform's list calls leaving go last. The last address is in another data centre where there is one, so
/// that a caller outlives the loss of its own. `random` turns the order within each group: over all its values each
/// VM of a group comes first equally often.
EntryPoints chooseEntryPoints(const MembershipView &view,
                              const CallerLocation &location,
                              const EntryPointSettings &settings,
                              std::uint64_t random);

} // namespace hickoryshore
