// What the traffic thread sees of the control state: an immutable picture that is replaced as a whole.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/config/deployment.h"
#include "hickoryshore/membership/member.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// The deployment in force and the members, with this VM's own place. Either may still be missing.
struct RoutingView
{
    std::shared_ptr<const Deployment> deployment;
    std::shared_ptr<const MembershipView> members;
    std::set<std::string> leavingUpstreams; ///< IP numbers of upstream VMs that the platform's list calls leaving.
    VmId self;
    DataCentreId dataCentre;
    RegionId region;
};

/// Whether both views route alike: the same deployment, members and drains. Members may differ in their revisions,
/// which change on every VM with each publication.
bool routesAlike(const RoutingView &left, const RoutingView &right);

/// Whether a replica takes no new work by its declaration or by the platform's list.
bool isDeclaredDraining(const RoutingView &view, const Replica &replica);

/// The regions that hold a replica of the shard.
std::set<RegionId> regionsOf(const RoutingView &view, const Shard &shard);

/// Where a shard stands in a deployment.
struct ShardPlace
{
    const Index *index = nullptr;
    const Shard *shard = nullptr;
};

/// Finds shards by name and ranks their owners; results are kept until the view changes.
class ShardDirectory
{
public:
    explicit ShardDirectory(std::shared_ptr<const RoutingView> view);

    /// The place of a shard, or nulls where the deployment has no such shard.
    ShardPlace find(const ShardId &shard) const;

    /// The first two VMs that should own the shard: those of this VM's region where it holds a replica, so that no
    /// sub-request crosses regions needlessly, else those of all regions. This VM alone where the index is routed
    /// directly or no member is known.
    const std::vector<VmId> &owners(const ShardId &shard);

    const RoutingView &view() const;

private:
    std::vector<VmId> rank(const ShardPlace &place) const;

    std::shared_ptr<const RoutingView> routing;
    std::unordered_map<ShardId, ShardPlace> places;
    std::unordered_map<ShardId, std::vector<VmId>> ranked;
};

} // namespace hickoryshore
