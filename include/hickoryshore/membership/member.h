// Members of the fleet, as recorded by one VM.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// State of a member, as recorded by another VM. Only alive members are given new work.
enum class MemberState { Alive, Suspect, Leaving, Dead };

/// Returns the name of a state for logs and the status page: "alive", "suspect", "leaving" or "dead".
std::string_view memberStateName(MemberState state);

/// What one VM has recorded about a member.
struct Member
{
    VmId vm;
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP address, without a port.
    int membershipPort = 0; ///< UDP.
    int peerPort = 0; ///< ZeroMQ.
    int httpPort = 0;
    int capacity = 0; ///< Processor capacity in thousandths of a core; zero if not reported.
    MemberState state = MemberState::Alive;
    std::uint64_t processId = 0; ///< Random for each process start, never zero in a running VM.
    WallTime started; ///< Start time of the process; orders the processes of one VM.
    std::uint32_t incarnation = 0; ///< Increased only by the VM itself, to refute a suspicion.
    Revision configRevision; ///< Last revision received from the VM itself; zero if none yet.
    bool listedLeaving = false; ///< Leaving according to the platform's list; only a hint, since the list lags.

    bool operator==(const Member &) const = default;
};

/// All members in one VM's table, itself included, ordered by id. Immutable once published.
struct MembershipView
{
    VmId self;
    std::vector<Member> members;
};

/// Returns the member with this id, or nullptr if the view has none.
const Member *findMember(const MembershipView &view, const VmId &vm);
const Member *findMember(MembershipView &&view, const VmId &vm) = delete;

/// Returns whether new work may be sent to this member.
bool isUsable(const Member &member);

} // namespace hickoryshore
