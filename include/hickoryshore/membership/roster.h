// What one VM knows of the others, and the rules by which news changes it.
#pragma once

#include "hickoryshore/membership/message.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace hickoryshore {

/// The source of all random choices of one VM; seeded, so that the same events give the same actions.
using MembershipRandom = std::mt19937_64;

/// Whether the left news of a VM replaces the right: a later process start, then a higher incarnation, then the
/// graver state (alive, suspect, leaving, dead).
bool isNewer(const MemberUpdate &left, const MemberUpdate &right);

/// The news that tells the member's state to VMs that know its description.
MemberUpdate updateWithoutDescription(const Member &member);

/// The news that tells everything of the member.
MemberUpdate updateWithDescription(const Member &member);

/// Where the member receives membership messages: "ip:port".
std::string membershipAddress(const Member &member);

/// What became of a piece of news.
struct MergeResult
{
    bool accepted = false; ///< It was newer and has been taken over.
    bool unknownProcess = false; ///< It lacks the description of a process that is not known yet.
    bool usabilityChanged = false; ///< The member is new, or has become usable or unusable.
    std::optional<MemberState> before; ///< Nothing where the member or its process is new.
};

/// The peers of one VM, itself left out.
class Roster
{
public:
    /// Takes over news that is newer than what is known. A suspicion lasts for `suspicionTimeout`.
    MergeResult merge(Instant now, const MemberUpdate &update, Duration suspicionTimeout, MembershipRandom &random);

    const Member *find(const VmId &vm) const;

    /// Sets what was heard outside the news.
    void setConfigRevision(const VmId &vm, Revision revision);
    void setListedLeaving(const VmId &vm, bool leaving);

    /// The members whose suspicion has timed out without a refutation.
    std::vector<VmId> overdueSuspects(Instant now) const;

    /// Forgets members that have been dead since before the instant.
    void forgetDeadSince(Instant before);

    /// Puts off every suspicion by a time in which this VM itself was paused.
    void postponeSuspicions(Duration pause);

    /// The next peer that is not dead, in a shuffled round robin: each peer once a round.
    std::optional<VmId> nextPeer(MembershipRandom &random);

    /// Up to `count` different peers that are not dead, `except` left out.
    std::vector<VmId> samplePeers(std::size_t count, const VmId &except, MembershipRandom &random) const;

    std::optional<VmId> randomDead(MembershipRandom &random) const;

    /// The first peer with a greater id, in a ring.
    const Member *peerAfter(const VmId &vm) const;

    /// All peers, ordered by id.
    std::vector<Member> members() const;

    /// How many peers are not dead.
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
