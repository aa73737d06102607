// Queue of the membership updates that a VM still has to gossip.
#pragma once

#include "hickoryshore/membership/message.h"

#include <cstddef>
#include <unordered_map>

namespace hickoryshore {

/// Holds the latest update of each VM until it has been sent often enough to reach the whole fleet.
///
///     queue.add(update);
///     queue.take(message, transmissionLimit(2.0, fleetSize), maximumDatagramBytes);
class UpdateQueue
{
public:
    /// Replaces the queued update of the same VM and restarts its transmission count.
    void add(MemberUpdate update);

    /// Appends updates to the message, least sent first, while it stays within `bytes`. Drops updates that have now
    /// been sent `limit` times.
    void take(MembershipMessage &message, int limit, std::size_t bytes);

    /// Counts an update received from a peer as transmissions of the same queued update, since it spreads without this
    /// VM. Applies only to starts of VMs, which join replies report too; suspicions and refutations are urgent.
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

/// Returns how often one VM sends an update: factor * ln(fleetSize + 1), at least once.
int transmissionLimit(double factor, std::size_t fleetSize);

} // namespace hickoryshore
