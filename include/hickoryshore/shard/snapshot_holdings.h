// Which snapshots a replica holds, as far as its replies tell.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <span>
#include <vector>

namespace hickoryshore {

/// What is known of one replica's snapshots.
struct SnapshotHoldings
{
    std::vector<SnapshotId> held; ///< Rising; empty while unknown.
    std::vector<SnapshotId> refused; ///< Refused by the replica since its last report.
    Instant reportedAt;
    Instant refusedAt; ///< The last of them; refusals are forgotten after a while.

    /// Takes the list of a reply. An empty list tells nothing.
    void report(Instant now, std::span<const SnapshotId> snapshots);

    /// The replica answered that it does not hold this snapshot.
    void recordRefusal(Instant now, SnapshotId snapshot);

    bool holds(SnapshotId snapshot) const;

    /// Whether a sub-request that is pinned to this snapshot may be sent: it is held, or nothing is known. A report
    /// that has grown old does not speak against a snapshot newer than all that it names. Zero is held everywhere.
    bool mayHold(Instant now, SnapshotId snapshot) const;
};

} // namespace hickoryshore
