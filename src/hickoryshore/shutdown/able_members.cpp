#include "hickoryshore/shutdown/able_members.h"

#include <utility>

namespace hickoryshore {

namespace {

/// A VM that starts takes its state within about a second, from the store or from another VM.
constexpr Duration timeToTakeState = std::chrono::seconds(3);

} // namespace

void AbleMembers::setView(Instant now, std::shared_ptr<const MembershipView> changed)
{
    std::unordered_map<std::uint64_t, Instant> known;
    for (const Member &member : changed->members) {
        const auto before = this->knownSince.find(member.processId);
        known.emplace(member.processId, before == this->knownSince.end() ? now : before->second);
    }
    this->knownSince = std::move(known);
    this->view = std::move(changed);
}

MembershipView AbleMembers::at(Instant now, bool selfIsComplete) const
{
    MembershipView able{.self = this->view->self, .members = {}};
    for (const Member &member : this->view->members) {
        const bool hasConfiguration
            = member.configRevision.value > 0 || now - this->knownSince.at(member.processId) >= timeToTakeState;
        if (isUsable(member) && (member.vm == this->view->self ? selfIsComplete : hasConfiguration)) {
            able.members.push_back(member);
        }
    }
    return able;
}

} // namespace hickoryshore
