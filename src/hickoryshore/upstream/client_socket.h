// Opening a connection without waiting for it.
#pragma once

#include "hickoryshore/base/time.h"

#include <string>
#include <string_view>

namespace hickoryshore {

/// Returns a non-blocking descriptor on which a connection to "ip:port" is being opened, or -1 where the address is
/// none or the system refuses. It becomes writable when the opening has ended. The caller closes it. The connection
/// comes from the address `source`, or from any if that is empty or not one of this machine's.
int startConnecting(std::string_view address, const std::string &source);

/// Whether the opening of a connection that became writable succeeded.
bool hasOpened(int descriptor);

/// Has the kernel probe the connection while nothing is received, once in the interval (whole seconds, one at least),
/// so that one that has gone silent fails after a few intervals.
void probeWhileIdle(int descriptor, Duration interval);

} // namespace hickoryshore
