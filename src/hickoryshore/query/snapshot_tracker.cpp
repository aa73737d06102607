#include "hickoryshore/query/snapshot_tracker.h"

#include <algorithm>
#include <set>

namespace hickoryshore {

namespace {

constexpr std::size_t maximumLayouts = 32;

} // namespace

LayoutShards prefixLayouts(std::vector<ShardId> configured)
{
    return [configured = std::move(configured)](LayoutId layout) {
        if (layout.value == 0 || layout.value == configured.size()) {
            return configured;
        }
        if (layout.value > configured.size()) {
            return std::vector<ShardId>{};
        }
        const auto count = static_cast<std::ptrdiff_t>(layout.value);
        return std::vector<ShardId>(configured.begin(), configured.begin() + count);
    };
}

void SnapshotTracker::report(const ShardId &shard, std::span<const SnapshotId> held)
{
    if (held.empty()) {
        return;
    }
    std::vector<SnapshotId> &recorded = this->held[shard];
    if (std::ranges::equal(recorded, held)) {
        return;
    }
    recorded.assign(held.begin(), held.end());
    std::ranges::sort(recorded);
}

void SnapshotTracker::reportHeld(const ShardId &shard, SnapshotId snapshot)
{
    if (snapshot.value == 0) {
        return;
    }
    std::vector<SnapshotId> &recorded = this->held[shard];
    const auto position = std::ranges::lower_bound(recorded, snapshot);
    if (position == recorded.end() || *position != snapshot) {
        recorded.insert(position, snapshot);
    }
}

void SnapshotTracker::reportMissing(const ShardId &shard, SnapshotId snapshot)
{
    const auto recorded = this->held.find(shard);
    if (recorded != this->held.end()) {
        std::erase(recorded->second, snapshot);
    }
}

void SnapshotTracker::reportLayout(SnapshotId snapshot, LayoutId layout)
{
    if (snapshot.value == 0 || layout.value == 0) {
        return;
    }
    this->layouts[snapshot] = layout;
    if (this->layouts.size() > maximumLayouts) {
        this->layouts.erase(this->layouts.begin());
    }
}

double SnapshotTracker::shareHolding(PinnedSnapshot candidate, const std::vector<ShardId> &shards) const
{
    const auto holds = [&](const ShardId &shard) {
        const auto recorded = this->held.find(shard);
        return recorded != this->held.end() && std::ranges::binary_search(recorded->second, candidate.snapshot);
    };
    return static_cast<double>(std::ranges::count_if(shards, holds)) / static_cast<double>(shards.size());
}

PinnedSnapshot SnapshotTracker::pin(const LayoutShards &shardsOfLayout) const
{
    std::set<SnapshotId, std::greater<>> newestFirst;
    for (const auto &[shard, snapshots] : this->held) {
        newestFirst.insert(snapshots.begin(), snapshots.end());
    }
    PinnedSnapshot best;
    double bestShare = 0.0;
    for (const SnapshotId snapshot : newestFirst) {
        const auto layout = this->layouts.find(snapshot);
        const PinnedSnapshot candidate{snapshot, layout == this->layouts.end() ? LayoutId{} : layout->second};
        const std::vector<ShardId> shards = shardsOfLayout(candidate.layout);
        if (shards.empty()) {
            continue;
        }
        const double share = this->shareHolding(candidate, shards);
        if (share > bestShare) {
            best = candidate;
            bestShare = share;
        }
    }
    return best;
}

} // namespace hickoryshore
