// Tracks from replies which snapshots each shard of one index holds, and chooses the snapshot to pin a query to.
#pragma once

#include "hickoryshore/base/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// The number of a partition layout, as upstreams report it with a snapshot. Zero: not reported.
using LayoutId = NumberId<struct LayoutTag>;

/// Returns the shards of a layout, or an empty list if the configuration does not contain the layout.
using LayoutShards = std::function<std::vector<ShardId>(LayoutId)>;

/// Returns the usual LayoutShards function: layout n consists of the first n configured shards, and layout zero of all
/// configured shards.
LayoutShards prefixLayouts(std::vector<ShardId> configured);

/// A snapshot and its layout. Layout zero: not reported yet.
struct PinnedSnapshot
{
    SnapshotId snapshot;
    LayoutId layout;

    auto operator<=>(const PinnedSnapshot &) const = default;
};

/// Tracks the snapshots of one index. All queries of the index on one thread share one instance.
///
///     tracker.report(shard, reply.snapshotsHeld);
///     tracker.reportLayout(reply.snapshot, reply.layout);
///     const PinnedSnapshot pin = tracker.pin(shardsOfLayout);
class SnapshotTracker
{
public:
    /// Replaces the recorded snapshots of a shard. An empty list means "not reported" and changes nothing.
    void report(const ShardId &shard, std::span<const SnapshotId> held);

    /// Records that a shard holds this snapshot, because it answered from it.
    void reportHeld(const ShardId &shard, SnapshotId snapshot);

    /// Records that a shard does not hold this snapshot.
    void reportMissing(const ShardId &shard, SnapshotId snapshot);

    /// Records the layout of a snapshot. Does nothing if either is zero.
    void reportLayout(SnapshotId snapshot, LayoutId layout);

    /// Returns the snapshot that the greatest share of its layout's shards hold, and the newest one if several have
    /// that share. Returns snapshot zero if no snapshot is recorded.
    PinnedSnapshot pin(const LayoutShards &shardsOfLayout) const;

private:
    double shareHolding(PinnedSnapshot candidate, const std::vector<ShardId> &shards) const;

    std::unordered_map<ShardId, std::vector<SnapshotId>> held; ///< Sorted in ascending order for each shard.
    std::map<SnapshotId, LayoutId> layouts;
};

} // namespace hickoryshore
