// Bounds the calls of one VM to the platform's service: partitions take turns, a read and its write in one turn.
#pragma once

#include "hickoryshore/base/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace hickoryshore {

/// Hands out turns to partitions. What arrives while its partition waits joins the group of its turn, and what gives
/// up meanwhile has cost the service nothing.
///
///     PartitionTurnQueue queue(4);
///     if (queue.request(now, partition)) { read(partition); }
///     for (auto next = queue.release(now, partition); next; next = std::nullopt) { read(*next); }
class PartitionTurnQueue
{
public:
    explicit PartitionTurnQueue(std::size_t turnsAtOnce);

    /// Asks for a turn: true if it begins now; otherwise it begins when a release() returns this partition.
    bool request(Instant now, std::size_t partition);

    /// Ends the turn of the partition, if it has one, and returns the partition whose turn begins now.
    std::optional<std::size_t> release(Instant now, std::size_t partition);

    /// How long a new turn would have to wait, by the length of recent ones.
    Duration estimatedWait() const;

private:
    std::size_t turnsAtOnce;
    std::map<std::size_t, Instant> running; ///< When each turn began.
    std::deque<std::size_t> waiting;
    Duration recentTurn{0};
};

} // namespace hickoryshore
