// Ejection and backoff of one replica after failed and shed attempts.
#pragma once

#include "hickoryshore/base/time.h"

namespace hickoryshore {

/// The health of a replica, derived from its results. A replica that fails several times in a row is ejected: it gets
/// no first attempts until a probe succeeds or the ejection expires. A replica that sheds an attempt gets no new ones
/// for a short backoff.
struct ReplicaHealth
{
    int consecutiveFailures = 0;
    int consecutiveEjections = 0; ///< Since the last success.
    Instant ejectedUntil;
    int consecutiveSheds = 0;
    Instant backoffUntil;
    double refusalRate = 0.0; ///< Share of recent attempts that failed or were shed, 0 to 1.

    void countSuccess(Instant now);

    /// Returns true if this failure causes the replica to be ejected.
    bool countFailure(Instant now);

    /// Starts a backoff. The random share, 0 to 1, varies its length, so that several owners do not all end their
    /// backoff at once.
    void countShed(Instant now, double randomShare);

    bool isEjected(Instant now) const;
    bool isBackingOff(Instant now) const;
};

} // namespace hickoryshore
