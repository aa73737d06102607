#include "hickoryshore/shard/snapshot_holdings.h"

#include <algorithm>

namespace hickoryshore {

namespace {

/// Older reports and refusals do not rule out a snapshot, because it may have arrived since.
constexpr Duration reportLifetime = std::chrono::seconds(1);
/// Maximum number of refused snapshots that are kept.
constexpr std::size_t maxRefused = 16;

} // namespace

void SnapshotHoldings::report(Instant now, std::span<const SnapshotId> snapshots)
{
    if (snapshots.empty()) {
        return;
    }
    this->held.assign(snapshots.begin(), snapshots.end());
    std::ranges::sort(this->held);
    this->refused.clear();
    this->reportedAt = now;
}

void SnapshotHoldings::recordRefusal(Instant now, SnapshotId snapshot)
{
    if (snapshot.value == 0) {
        return;
    }
    std::erase(this->held, snapshot);
    if (this->refused.size() >= maxRefused) {
        this->refused.erase(this->refused.begin());
    }
    this->refused.push_back(snapshot);
    this->refusedAt = now;
}

bool SnapshotHoldings::holds(SnapshotId snapshot) const
{
    return snapshot.value == 0 || std::ranges::binary_search(this->held, snapshot);
}

bool SnapshotHoldings::mayHold(Instant now, SnapshotId snapshot) const
{
    if (this->holds(snapshot)) {
        return true;
    }
    const bool wasRefused = std::ranges::find(this->refused, snapshot) != this->refused.end();
    if (wasRefused && this->refusedAt + reportLifetime >= now) {
        return false;
    }
    return this->held.empty() || wasRefused
        || (snapshot > this->held.back() && this->reportedAt + reportLifetime < now);
}

} // namespace hickoryshore
