// Chooses the VMs that a caller should connect to. There is no load balancer: each VM answers from its own view.
#pragma once

#include "hickoryshore/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// Location of a caller; a name is empty if the caller did not report it.
struct CallerLocation
{
    DataCentreId dataCentre;
    RegionId region;
};

/// Limits of every answer. Must be the same on all VMs, since a leaving VM waits until answers that list it expire.
struct EntryPointSettings
{
    std::size_t count = 4; ///< Addresses in one answer.
    Duration timeToLive{std::chrono::seconds(30)}; ///< How long a caller may use an answer.
};

/// One VM that a caller may connect to.
struct EntryPoint
{
    VmId vm;
    DataCentreId dataCentre;
    std::string address; ///< IP address, without a port.
    int httpPort = 0;

    bool operator==(const EntryPoint &) const = default;
};

/// Answer to a caller, best entry first.
struct EntryPoints
{
    std::vector<EntryPoint> entries;
    Duration timeToLive{0};
};

/// Number of replicas per region.
using ReplicasByRegion = std::unordered_map<RegionId, int>;

/// Returns the best members for a caller if each VM calls the replicas itself. Skips regions with few replicas, since
/// one round trip from the caller to another region costs less than a round trip from the VM for each shard. Prefers
/// the caller's region if it has enough replicas. Then prefers the VMs with the most processor capacity, since the
/// slowest of many sub-requests determines the latency of a query. Keeps at least two VMs, so that one may fail.
MembershipView preferMembers(const MembershipView &view,
                             const CallerLocation &location,
                             const ReplicasByRegion &replicas);

/// Returns this VM's share, from 0 to 1, of resources divided over the fleet (replica connections, extra attempts).
/// The VMs with enough capacity for preferMembers() share three quarters, the others the rest; if none is preferred,
/// all shares are equal. `fleet` has all VMs that may be in use, including those that appear to be gone.
double fleetShare(std::span<const Member> fleet, const VmId &self);

/// Chooses among the usable members: first those in the caller's data centre, then in its region, then the others, and
/// last those that the platform's list marks as leaving. The last entry is in another data centre if possible, so that
/// the caller can survive the loss of one. `random` rotates each group, so that each of its VMs comes first equally
/// often.
EntryPoints chooseEntryPoints(const MembershipView &view,
                              const CallerLocation &location,
                              const EntryPointSettings &settings,
                              std::uint64_t random);

} // namespace hickoryshore
