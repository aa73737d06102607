// Shard ownership by rendezvous hashing. All VMs with the same list of live VMs compute the same order of owners.
#pragma once

#include "hickoryshore/base/ids.h"

#include <span>
#include <vector>

namespace hickoryshore {

/// A VM that may own shards.
struct OwnerCandidate
{
    VmId vm;
    DataCentreId dataCentre;
    bool usable = true; ///< False if suspect or leaving; ranked after all usable candidates.
};

/// Returns up to `count` candidates in the order in which they should own the shard: usable candidates first, then
/// those in a data centre with a replica of the shard, then by hash.
std::vector<VmId> rankOwners(const ShardId &shard,
                             std::span<const DataCentreId> replicaDataCentres,
                             std::span<const OwnerCandidate> candidates,
                             std::size_t count);

} // namespace hickoryshore
