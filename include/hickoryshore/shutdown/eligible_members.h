// Which members have what they need to serve callers, as far as this VM can know.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/membership/member.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace hickoryshore {

/// Each VM tells its configuration revision only in its own messages, and in a large fleet two VMs exchange one in half
/// a minute. A member that this VM has known for some seconds is therefore taken to have a configuration.
class EligibleMembers
{
public:
    /// Takes the members that are known now.
    void setView(Instant now, std::shared_ptr<const MembershipView> view);

    /// The usable members that callers may be sent to; this VM itself only where it is complete.
    MembershipView at(Instant now, bool selfIsComplete) const;

private:
    std::shared_ptr<const MembershipView> view = std::make_shared<MembershipView>();
    std::unordered_map<std::uint64_t, Instant> firstSeen; ///< By process.
};

} // namespace hickoryshore
