// The clocks of this machine. Only modules that do input and output read them; the decision modules get the time passed
// in (base/time.h).
//
//     const Instant deadline = monotonicNow() + remaining;
#pragma once

#include "hickoryshore/base/time.h"

namespace hickoryshore {

/// Returns the time on this process's monotonic time line. Thread-safe.
Instant monotonicNow();

/// Returns the wall-clock time, for what crosses processes. It can jump when the machine's clock is set. Thread-safe.
WallTime wallNow();

} // namespace hickoryshore
