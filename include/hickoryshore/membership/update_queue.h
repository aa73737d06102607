// The news that a VM still has to pass on, each a bounded number of times.
#pragma once

#include "hickoryshore/membership/message.h"

#include <cstddef>
#include <unordered_map>

namespace hickoryshore {

/// Holds the latest news of each VM until it has been sent often enough to reach the whole fleet.
///
///     queue.add(news);
///     queue.take(message, transmissionLimit(2.0, fleetSize), maximumDatagramBytes);
class UpdateQueue
{
public:
    /// Replaces whatever is queued of the same VM; the new piece starts with no transmission counted.
    void add(MemberUpdate update);

    /// Appends news to the message, those sent least often first, as long as the message stays within `bytes`, and
    /// drops what has now been sent `limit` times.
    void take(MembershipMessage &message, int limit, std::size_t bytes);

    /// Counts a piece of news that a peer has sent and that is queued here, too: it is spreading without this VM. Only
    /// where it tells of a VM's start, which pages of members tell as well; suspicions and refutations are urgent.
    void countReceived(const MemberUpdate &update);

    std::size_t size() const;

private:
    struct Entry
    {
        MemberUpdate update;
        int transmissions = 0;
    };
    std::unordered_map<VmId, Entry> entries;
};

/// How often one piece of news is sent by one VM: factor * ln(fleetSize + 1), at least once.
int transmissionLimit(double factor, std::size_t fleetSize);

} // namespace hickoryshore
