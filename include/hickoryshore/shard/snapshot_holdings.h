// Which snapshots a replica holds, according to its replies.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/base/time.h"

#include <span>
#include <vector>

namespace hickoryshore {

/// The snapshots that one replica has reported, and those it has refused.
struct SnapshotHoldings
{
    std::vector<SnapshotId> held; ///< In ascending order; empty if unknown.
    std::vector<SnapshotId> refused; ///< Refused by the replica since its last report.
    Instant reportedAt;
    Instant refusedAt; ///< When the last refusal was received. Refusals expire after a while.

    /// Records the list from a reply. An empty list carries no information and is ignored.
    void report(Instant now, std::span<const SnapshotId> snapshots);

    /// Records that the replica answered that it does not hold this snapshot.
    void recordRefusal(Instant now, SnapshotId snapshot);

    /// Returns whether the replica has reported this snapshot. Every replica holds snapshot zero.
    bool holds(SnapshotId snapshot) const;

    /// Returns whether a sub-request that is pinned to this snapshot may be sent: the replica holds it, or the state is
    /// unknown. An old report does not rule out a snapshot newer than all those it lists.
    bool mayHold(Instant now, SnapshotId snapshot) const;
};

} // namespace hickoryshore
