// One TCP connection that a relay passes on.
#pragma once

#include "hickoryshore/base/time.h"

#include <array>
#include <string>

#include <poll.h>

namespace hickoryshore {

/// The name of a process or a group of them in a relay.
using Party = std::string;

/// The two ends of a connection; end 0 opened it. A direction has the number of the end that sends.
struct RelayConnection
{
    std::array<int, 2> descriptors{-1, -1};
    std::array<Party, 2> parties; ///< The first is empty until the process is found.
    std::array<std::string, 2> pending; ///< Read from this end and not yet passed on.
    std::array<bool, 2> ended{}; ///< This end has closed.
    std::string target; ///< IP number that end 1 is at.
    int port = 0; ///< That end 1 is at.
    bool silent = false; ///< Passes nothing on for ever, and does not notice that an end has closed.
    Instant giveUpAt; ///< Closed then if the process of end 0 was not found.
};

/// What is to be polled for an end of an open connection. A direction that is cut is not read.
pollfd pollOf(const RelayConnection &connection, std::size_t end, const std::array<bool, 2> &cut);

/// Reads and writes what the poll allows.
void passOn(RelayConnection &connection, const std::array<pollfd, 2> &polled, const std::array<bool, 2> &cut);

/// Whether one end has closed and the other is to be told so now.
bool hasEnded(const RelayConnection &connection, const std::array<bool, 2> &cut);

/// Closes both ends.
void closeEnds(RelayConnection &connection);

} // namespace hickoryshore
