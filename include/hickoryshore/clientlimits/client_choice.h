// Which connections of clients a server gives up when it runs out of memory or of connections for them.
//
//     for (const std::uint64_t connection : chooseForBytes(uses, total - limit, now)) { refuse(connection); }
#pragma once

#include "hickoryshore/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hickoryshore {

/// What a connection is used for at the moment.
enum class ClientStage {
    Idle, ///< No part of a request has come.
    Request, ///< A part of a request has come.
    Work, ///< A whole request awaits its answer.
    Answer, ///< The client has not read all of its answer.
    Closing, ///< All is answered; the client has not closed its side.
};

/// A connection and what it takes.
struct ClientUse
{
    std::uint64_t connection = 0;
    ClientStage stage = ClientStage::Idle;
    std::size_t bytes = 0; ///< Of memory.
    Instant since; ///< When the stage began.
    Instant progressAt; ///< When the client last sent bytes of its request, or read bytes of its answer.
};

/// A client that has sent or read nothing for this long makes no progress.
inline constexpr Duration stalledAfter = std::chrono::milliseconds(500);

/// Connections with fewer bytes are not given up for their bytes, so that small requests are served while large ones
/// are refused. The number of connections bounds their sum.
inline constexpr std::size_t minFreedBytes = std::size_t{8} * 1024;

/// Returns connections to give up, in this order, so that `excess` bytes become free, or as many as can: clients that
/// make no progress, the longest first; incomplete requests, the newest first, so that the older ones are completed;
/// unread answers. A request in work is not given up, since a replica may run it.
std::vector<std::uint64_t> chooseForBytes(std::span<const ClientUse> uses, std::size_t excess, Instant now);

/// Returns the connection to close for a new one, or std::nullopt if each has a request that makes progress or is in
/// work: one that is only being closed, the one that is idle the longest, or the client that has made no progress for
/// the longest.
std::optional<std::uint64_t> chooseForRoom(std::span<const ClientUse> uses, Instant now);

} // namespace hickoryshore
