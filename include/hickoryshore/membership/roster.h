// Records of the other VMs, and the rules for merging updates into them.
#pragma once

#include "hickoryshore/membership/message.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace hickoryshore {

/// Random generator of one VM; seeded, so that the same events give the same actions.
using MembershipRandom = std::mt19937_64;

/// Returns whether `left` replaces `right`, an update of the same VM: first by process start, then by incarnation,
/// then by state (alive < suspect < leaving < dead).
bool isNewer(const MemberUpdate &left, const MemberUpdate &right);

/// Returns an update of the member's state, for VMs that have its description.
MemberUpdate updateWithoutDescription(const Member &member);

/// Returns an update with the member's description.
MemberUpdate updateWithDescription(const Member &member);

/// Returns the address for membership messages, as "ip:port".
std::string membershipAddress(const Member &member);

/// Result of merging an update.
struct MergeResult
{
    bool accepted = false; ///< The update was newer and has been applied.
    bool unknownProcess = false; ///< The process is unknown and the update has no description.
    bool usabilityChanged = false; ///< The member has become usable or unusable.
    std::optional<MemberState> before; ///< std::nullopt if the member or its process is new.
};

/// The peers of one VM, without the VM itself.
class Roster
{
public:
    /// Applies the update if it is newer than the record. A suspicion lasts for `suspicionTimeout`.
    MergeResult merge(Instant now, const MemberUpdate &update, Duration suspicionTimeout, MembershipRandom &random);

    const Member *find(const VmId &vm) const;

    /// Sets fields that updates do not carry. Ignored if the VM is unknown.
    void setConfigRevision(const VmId &vm, Revision revision);
    void setListedLeaving(const VmId &vm, bool leaving);

    /// Returns the members whose suspicion has timed out without a refutation.
    std::vector<VmId> overdueSuspects(Instant now) const;

    /// Removes members that have been dead since before the instant.
    void forgetDeadSince(Instant before);

    /// Extends every suspicion by the time for which this VM was paused.
    void postponeSuspicions(Duration pause);

    /// Returns the next peer that is not dead, in shuffled round robin: each peer once per round.
    std::optional<VmId> nextPeer(MembershipRandom &random);

    /// Returns up to `count` different peers that are not dead, excluding `except`.
    std::vector<VmId> samplePeers(std::size_t count, const VmId &except, MembershipRandom &random) const;

    std::optional<VmId> randomDead(MembershipRandom &random) const;

    /// Returns the peer with the next greater id, wrapping around, or nullptr if there are no peers.
    const Member *peerAfter(const VmId &vm) const;

    /// Returns all peers, ordered by id.
    std::vector<Member> members() const;

    /// Returns the number of peers that are not dead.
    std::size_t peerCount() const;

private:
    struct Peer
    {
        Member member;
        Instant stateSince;
        Instant suspicionDeadline;
    };

    void updateIndexes(const VmId &vm, MemberState state, MembershipRandom &random);
    void addToRound(const VmId &vm, MembershipRandom &random);
    void removeFromRound(const VmId &vm);

    std::map<VmId, Peer> peers;
    std::set<VmId> suspects;
    std::set<VmId> dead;
    std::vector<VmId> round; ///< All peers that are not dead.
    std::size_t nextInRound = 0;
};

} // namespace hickoryshore
