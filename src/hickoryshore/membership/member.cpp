#include "hickoryshore/membership/member.h"

#include <algorithm>

namespace hickoryshore {

std::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

const Member *findMember(const MembershipView &view, const VmId &vm)
{
    const auto found = std::ranges::lower_bound(view.members, vm, {}, &Member::vm);
    return found != view.members.end() && found->vm == vm ? &*found : nullptr;
}

bool isUsable(const Member &member)
{
    return member.state == MemberState::Alive;
}

} // namespace hickoryshore
