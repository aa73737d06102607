#include "hickoryshore/query/snapshot_merge.h"

namespace hickoryshore {

SnapshotMerge::SnapshotMerge(PinnedSnapshot pin) : pinned(pin)
{ }

bool SnapshotMerge::accepts(PinnedSnapshot source) const
{
    if (source.snapshot.value == 0) {
        return false;
    }
    const bool sameSnapshot = this->pinned.snapshot.value == 0 || this->pinned.snapshot == source.snapshot;
    const bool sameLayout
        = this->pinned.layout.value == 0 || source.layout.value == 0 || this->pinned.layout == source.layout;
    return sameSnapshot && sameLayout;
}

bool SnapshotMerge::add(AnswerPart part)
{
    const PinnedSnapshot source{part.snapshot, part.layout};
    if (!this->accepts(source) || this->payloads.contains(part.shard)) {
        return false;
    }
    this->pinned.snapshot = source.snapshot;
    if (source.layout.value != 0) {
        this->pinned.layout = source.layout;
    }
    this->payloads.emplace(std::move(part.shard), std::move(part.payload));
    return true;
}

PinnedSnapshot SnapshotMerge::pin() const
{
    return this->pinned;
}

std::vector<ShardResult> SnapshotMerge::results(std::span<const ShardId> order) const
{
    std::vector<ShardResult> results;
    for (const ShardId &shard : order) {
        const auto payload = this->payloads.find(shard);
        if (payload != this->payloads.end()) {
            results.push_back({shard, payload->second});
        }
    }
    return results;
}

} // namespace hickoryshore
