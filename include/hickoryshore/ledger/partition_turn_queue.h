// Limits how many ledger partitions of one VM call the platform's key-value service at the same time.
#pragma once

#include "hickoryshore/base/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace hickoryshore {

/// Gives turns to partitions in the order of their requests. A turn is one read and the write that follows it.
///
/// Submissions that arrive while their partition waits are written as one group in its turn. Those that time out before
/// the turn begins cause no calls to the service.
///
///     PartitionTurnQueue queue(4);
///     if (queue.request(now, partition)) { read(partition); }
///     for (auto next = queue.release(now, partition); next; next = std::nullopt) { read(*next); }
class PartitionTurnQueue
{
public:
    explicit PartitionTurnQueue(std::size_t turnsAtOnce);

    /// Requests a turn. Returns true if it begins now; otherwise it begins when release() returns this partition.
    bool request(Instant now, std::size_t partition);

    /// Ends the turn of the partition. Returns the partition whose turn begins now, or std::nullopt if none waits or
    /// the given partition has no turn.
    std::optional<std::size_t> release(Instant now, std::size_t partition);

    /// Returns how long a new request would wait for its turn, estimated from the duration of recent turns.
    Duration estimatedWait() const;

private:
    std::size_t turnsAtOnce;
    std::map<std::size_t, Instant> running; ///< Start time of each current turn.
    std::deque<std::size_t> waiting;
    Duration recentTurnDuration{0}; ///< Moving average.
};

} // namespace hickoryshore
