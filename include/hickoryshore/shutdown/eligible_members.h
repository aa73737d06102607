// Members that can serve callers, as estimated by this VM.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/membership/member.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace hickoryshore {

/// Selects the members that have a configuration. A VM reports its revision only in its own messages, and in a large
/// fleet two VMs exchange one only every half a minute, so a member recorded for some seconds is assumed to have one.
class EligibleMembers
{
public:
    /// Replaces the current members.
    void setView(Instant now, std::shared_ptr<const MembershipView> view);

    /// Returns the usable members that can serve callers; this VM only if `selfIsComplete`.
    MembershipView at(Instant now, bool selfIsComplete) const;

private:
    std::shared_ptr<const MembershipView> view = std::make_shared<MembershipView>();
    std::unordered_map<std::uint64_t, Instant> firstSeen; ///< By process id.
};

} // namespace hickoryshore
