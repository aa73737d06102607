#include "hickoryshore/shutdown/eligible_members.h"

#include <utility>

namespace hickoryshore {

namespace {

/// A starting VM fetches its state from the store or another VM, which takes about a second.
constexpr Duration stateTransferTime = std::chrono::seconds(3);

} // namespace

void EligibleMembers::setView(Instant now, std::shared_ptr<const MembershipView> changed)
{
    std::unordered_map<std::uint64_t, Instant> known;
    for (const Member &member : changed->members) {
        const auto before = this->firstSeen.find(member.processId);
        known.emplace(member.processId, before == this->firstSeen.end() ? now : before->second);
    }
    this->firstSeen = std::move(known);
    this->view = std::move(changed);
}

MembershipView EligibleMembers::at(Instant now, bool selfIsComplete) const
{
    MembershipView eligible{.self = this->view->self, .members = {}};
    for (const Member &member : this->view->members) {
        const bool hasConfiguration
            = member.configRevision.value > 0 || now - this->firstSeen.at(member.processId) >= stateTransferTime;
        if (isUsable(member) && (member.vm == this->view->self ? selfIsComplete : hasConfiguration)) {
            eligible.members.push_back(member);
        }
    }
    return eligible;
}

} // namespace hickoryshore
