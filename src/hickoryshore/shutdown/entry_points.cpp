#include "hickoryshore/shutdown/entry_points.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace hickoryshore {

namespace {

/// Distance of a member from the caller, nearest first.
enum class Distance { SameDataCentre, SameRegion, Elsewhere, ListedLeaving };

Distance distanceTo(const Member &member, const CallerLocation &location)
{
    if (member.listedLeaving) {
        return Distance::ListedLeaving;
    }
    if (!location.dataCentre.value.empty() && member.dataCentre == location.dataCentre) {
        return Distance::SameDataCentre;
    }
    if (!location.region.value.empty() && member.region == location.region) {
        return Distance::SameRegion;
    }
    return Distance::Elsewhere;
}

/// Fills in a missing region from the members in the caller's data centre.
CallerLocation inferRegion(const MembershipView &view, CallerLocation location)
{
    if (!location.region.value.empty() || location.dataCentre.value.empty()) {
        return location;
    }
    const auto neighbour = std::ranges::find(view.members, location.dataCentre, &Member::dataCentre);
    if (neighbour != view.members.end()) {
        location.region = neighbour->region;
    }
    return location;
}

/// Returns all usable members by distance; members of equal distance are rotated by `random`.
std::vector<const Member *> rankMembers(const MembershipView &view,
                                        const CallerLocation &location,
                                        std::uint64_t random)
{
    std::vector<const Member *> ranked;
    for (const Distance distance :
         {Distance::SameDataCentre, Distance::SameRegion, Distance::Elsewhere, Distance::ListedLeaving}) {
        const auto begin = static_cast<std::ptrdiff_t>(ranked.size());
        for (const Member &member : view.members) {
            if (isUsable(member) && distanceTo(member, location) == distance) {
                ranked.push_back(&member);
            }
        }
        const auto size = ranked.size() - static_cast<std::size_t>(begin);
        if (size > 0) {
            const auto first = begin + static_cast<std::ptrdiff_t>(random % size);
            std::rotate(ranked.begin() + begin, ranked.begin() + first, ranked.end());
        }
    }
    return ranked;
}

/// Replaces the last of the first `count` members by one of another data centre if all are in the same one.
void spreadOverDataCentres(std::vector<const Member *> &ranked, std::size_t count)
{
    if (count < 2 || ranked.size() <= count) {
        return;
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    const auto isElsewhere = [&](const Member *member) {
        return member->dataCentre != ranked.front()->dataCentre;
    };
    if (std::any_of(ranked.begin(), end, isElsewhere)) {
        return;
    }
    const auto other = std::find_if(end, ranked.end(), isElsewhere);
    if (other != ranked.end()) {
        std::iter_swap(end - 1, other);
    }
}

/// A region has enough replicas, and a VM enough capacity, if it has at least the maximum divided by this.
constexpr int enoughReplicasDivisor = 2;
constexpr int enoughCapacityDivisor = 2;
/// Minimum number of VMs to prefer over the others.
constexpr std::size_t minPreferred = 2;
/// Share of the fleet's resources that the preferred VMs divide among them.
constexpr double preferredShare = 0.75;

/// Returns whether a region has enough replicas to serve queries from there.
bool hasEnoughReplicas(const RegionId &region, const ReplicasByRegion &replicas)
{
    int most = 0;
    for (const auto &[name, count] : replicas) {
        most = std::max(most, count);
    }
    const auto found = replicas.find(region);
    return (found == replicas.end() ? 0 : found->second) * enoughReplicasDivisor >= most;
}

/// Removes the members that do not match, unless fewer than `enough` match.
void keepIfEnough(std::vector<Member> &members, std::size_t enough, const std::function<bool(const Member &)> &matches)
{
    std::vector<Member> kept;
    std::ranges::copy_if(members, std::back_inserter(kept), matches);
    if (kept.size() >= enough) {
        members = std::move(kept);
    }
}

} // namespace

MembershipView preferMembers(const MembershipView &view,
                             const CallerLocation &location,
                             const ReplicasByRegion &replicas)
{
    MembershipView preferred = view;
    const bool ownRegionServes = hasEnoughReplicas(location.region, replicas);
    keepIfEnough(preferred.members, 1, [&](const Member &member) {
        return ownRegionServes ? member.region == location.region : hasEnoughReplicas(member.region, replicas);
    });
    int maxCapacity = 0;
    for (const Member &member : preferred.members) {
        maxCapacity = std::max(maxCapacity, member.capacity);
    }
    keepIfEnough(preferred.members, minPreferred, [&](const Member &member) {
        return member.capacity * enoughCapacityDivisor >= maxCapacity;
    });
    return preferred;
}

double fleetShare(std::span<const Member> fleet, const VmId &self)
{
    int maxCapacity = 0;
    for (const Member &member : fleet) {
        maxCapacity = std::max(maxCapacity, member.capacity);
    }
    const auto isLarge = [maxCapacity](const Member &member) {
        return member.capacity * enoughCapacityDivisor >= maxCapacity;
    };
    const auto large = static_cast<std::size_t>(std::ranges::count_if(fleet, isLarge));
    const std::size_t small = fleet.size() - large;
    if (small == 0 || large < minPreferred) {
        return 1.0 / static_cast<double>(std::max<std::size_t>(1, fleet.size()));
    }
    const auto own = std::ranges::find(fleet, self, &Member::vm);
    return own != fleet.end() && isLarge(*own) ? preferredShare / static_cast<double>(large)
                                               : (1.0 - preferredShare) / static_cast<double>(small);
}

EntryPoints chooseEntryPoints(const MembershipView &view,
                              const CallerLocation &location,
                              const EntryPointSettings &settings,
                              std::uint64_t random)
{
    std::vector<const Member *> ranked = rankMembers(view, inferRegion(view, location), random);
    spreadOverDataCentres(ranked, settings.count);
    ranked.resize(std::min(ranked.size(), settings.count));
    EntryPoints answer{.timeToLive = settings.timeToLive};
    for (const Member *member : ranked) {
        answer.entries.push_back({.vm = member->vm,
                                  .dataCentre = member->dataCentre,
                                  .address = member->address,
                                  .httpPort = member->httpPort});
    }
    return answer;
}

} // namespace hickoryshore
