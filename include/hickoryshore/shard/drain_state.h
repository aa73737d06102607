// Whether a replica is draining, according to the settings, an external signal or its own replies.
#pragma once

#include "hickoryshore/base/time.h"

namespace hickoryshore {

/// The sources that can report a replica as draining. Any one of them is enough.
struct DrainState
{
    bool configured = false; ///< Draining according to the settings.
    bool signalled = false; ///< Reported by the health endpoint or the VM list.
    Instant markedUntil; ///< When the mark from the replica's last marked reply expires.

    /// Records that a reply carried the drain mark. The mark expires after a while. If the replica is still draining
    /// then, it refuses the next attempt without running it, and that reply renews the mark.
    void mark(Instant now);

    /// Removes the drain mark, because a reply showed that the replica has restarted.
    void clearMark();

    bool isDraining(Instant now) const;
};

} // namespace hickoryshore
