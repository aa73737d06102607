// The members of the fleet as one VM sees them.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// What one VM believes of another. Only alive members are given new work.
enum class MemberState { Alive, Suspect, Leaving, Dead };

/// The name of a state for logs and the status page: "alive", "suspect", "leaving" or "dead".
std::string_view memberStateName(MemberState state);

/// One VM as another one sees it.
struct Member
{
    VmId vm;
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP number.
    int membershipPort = 0; ///< UDP.
    int peerPort = 0; ///< ZeroMQ.
    int httpPort = 0;
    int capacity = 0; ///< Processor, in thousandths of a core; zero: not told.
    MemberState state = MemberState::Alive;
    std::uint64_t processId = 0; ///< Random for each process start, never zero in a running VM.
    WallTime started; ///< Start of the process; orders two processes of one VM.
    std::uint32_t incarnation = 0; ///< Raised by the VM itself to refute a suspicion.
    Revision configRevision; ///< The highest that was heard from this VM itself; zero: none yet.
    bool listedLeaving = false; ///< The platform's list calls it leaving. A hint: the VM itself may say otherwise.

    bool operator==(const Member &) const = default;
};

/// All members that one VM knows, itself included, ordered by id. Immutable once it is handed out.
struct MembershipView
{
    VmId self;
    std::vector<Member> members;
};

/// Returns the member with this id, or nullptr where the view has none.
const Member *findMember(const MembershipView &view, const VmId &vm);
const Member *findMember(MembershipView &&view, const VmId &vm) = delete;

/// Whether new work may go to this member.
bool isUsable(const Member &member);

} // namespace hickoryshore
