#include "hickoryshore/traffic/routing_view.h"

#include "hickoryshore/ownership/rendezvous.h"

#include <algorithm>

namespace hickoryshore {

namespace {

constexpr std::size_t ownersRanked = 2;

} // namespace

bool routesAlike(const RoutingView &left, const RoutingView &right)
{
    if (left.deployment != right.deployment || left.leavingUpstreams != right.leavingUpstreams
        || (left.members == nullptr) != (right.members == nullptr)) {
        return false;
    }
    const auto sameMember = [](Member a, const Member &b) {
        a.configRevision = b.configRevision;
        return a == b;
    };
    return left.members == nullptr || std::ranges::equal(left.members->members, right.members->members, sameMember);
}

bool isDeclaredDraining(const RoutingView &view, const Replica &replica)
{
    const std::string &address = replica.address.value;
    return replica.draining || view.leavingUpstreams.contains(address.substr(0, address.rfind(':')));
}

std::set<RegionId> regionsOf(const RoutingView &view, const Shard &shard)
{
    std::set<RegionId> regions;
    for (const Replica &replica : shard.replicas) {
        const DataCentre *dataCentre = findDataCentre(*view.deployment, replica.dataCentre.value);
        if (dataCentre != nullptr) {
            regions.insert(dataCentre->region);
        }
    }
    return regions;
}

ShardDirectory::ShardDirectory(std::shared_ptr<const RoutingView> view) : routing(std::move(view))
{
    if (this->routing->deployment == nullptr) {
        return;
    }
    for (const Index &index : this->routing->deployment->indexes) {
        for (const Shard &shard : index.shards) {
            this->places.emplace(shard.name, ShardPlace{&index, &shard});
        }
    }
}

ShardPlace ShardDirectory::find(const ShardId &shard) const
{
    const auto place = this->places.find(shard);
    return place == this->places.end() ? ShardPlace{} : place->second;
}

const std::vector<VmId> &ShardDirectory::owners(const ShardId &shard)
{
    const auto known = this->ranked.find(shard);
    if (known != this->ranked.end()) {
        return known->second;
    }
    return this->ranked.emplace(shard, this->rank(this->find(shard))).first->second;
}

const RoutingView &ShardDirectory::view() const
{
    return *this->routing;
}

std::vector<VmId> ShardDirectory::rank(const ShardPlace &place) const
{
    if (place.index == nullptr) {
        return {};
    }
    if (place.index->routing == Routing::Direct || this->routing->members == nullptr) {
        return {this->routing->self};
    }
    std::vector<DataCentreId> dataCentres;
    for (const Replica &replica : place.shard->replicas) {
        dataCentres.push_back(replica.dataCentre);
    }
    const bool ownRegionOnly = regionsOf(*this->routing, *place.shard).contains(this->routing->region);
    std::vector<OwnerCandidate> candidates;
    for (const Member &member : this->routing->members->members) {
        const bool inReach = !ownRegionOnly || member.region == this->routing->region;
        if (member.state != MemberState::Dead && inReach) {
            candidates.push_back({member.vm, member.dataCentre, isUsable(member)});
        }
    }
    return rankOwners(place.shard->name, dataCentres, candidates, ownersRanked);
}

} // namespace hickoryshore
