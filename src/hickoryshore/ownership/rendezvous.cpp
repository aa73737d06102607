#include "hickoryshore/ownership/rendezvous.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace hickoryshore {

namespace {

struct RankedCandidate
{
    bool unusable = false;
    bool remote = false; ///< Not in a data centre with a replica of the shard.
    std::uint64_t weight = 0;
    const OwnerCandidate *candidate = nullptr;
};

std::uint64_t rendezvousWeight(const ShardId &shard, const VmId &vm)
{
    const std::uint64_t shardHash = XXH3_64bits(shard.value.data(), shard.value.size());
    return XXH3_64bits_withSeed(vm.value.data(), vm.value.size(), shardHash);
}

bool ranksBefore(const RankedCandidate &left, const RankedCandidate &right)
{
    // A higher weight ranks first. The VM name breaks ties, so that all VMs compute the same order.
    return std::tie(left.unusable, left.remote, right.weight, left.candidate->vm)
        < std::tie(right.unusable, right.remote, left.weight, right.candidate->vm);
}

} // namespace

std::vector<VmId> rankOwners(const ShardId &shard,
                             std::span<const DataCentreId> replicaDataCentres,
                             std::span<const OwnerCandidate> candidates,
                             std::size_t count)
{
    std::vector<RankedCandidate> ranked;
    ranked.reserve(candidates.size());
    for (const OwnerCandidate &candidate : candidates) {
        const bool holdsReplica
            = std::ranges::find(replicaDataCentres, candidate.dataCentre) != replicaDataCentres.end();
        ranked.push_back({!candidate.usable, !holdsReplica, rendezvousWeight(shard, candidate.vm), &candidate});
    }
    count = std::min(count, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), ranksBefore);
    std::vector<VmId> owners;
    owners.reserve(count);
    for (auto item = ranked.begin(); item != end; ++item) {
        owners.push_back(item->candidate->vm);
    }
    return owners;
}

} // namespace hickoryshore
