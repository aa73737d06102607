// Merges the parts of one answer. All parts of a merge come from the same snapshot and layout.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/query/snapshot_tracker.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryshore {

/// The result of one shard, as the JSON text that the upstream sent.
struct ShardResult
{
    ShardId shard;
    std::string payload;
};

/// The result of one shard together with its source, as passed to SnapshotMerge::add().
struct AnswerPart
{
    ShardId shard;
    SnapshotId snapshot;
    LayoutId layout; ///< Zero if not reported.
    std::string payload;
};

/// Collects the parts of one snapshot. If the pin has no snapshot or layout, the first part that has one sets it.
///
///     SnapshotMerge merge(pin);
///     if (!merge.add(part)) { ... } // another snapshot, another layout, or a second part of the shard
class SnapshotMerge
{
public:
    explicit SnapshotMerge(PinnedSnapshot pin);

    /// Adds the part. Returns false and changes nothing if its snapshot or layout differs or its shard has a part.
    bool add(AnswerPart part);

    /// Returns whether a part of this snapshot and layout can be merged.
    bool accepts(PinnedSnapshot source) const;

    PinnedSnapshot pin() const;

    /// Returns the parts in the order of the given shards, without shards that have no part.
    std::vector<ShardResult> results(std::span<const ShardId> order) const;

private:
    PinnedSnapshot pinned;
    std::unordered_map<ShardId, std::string> payloads;
};

} // namespace hickoryshore
