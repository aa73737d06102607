// Failures and sheds of one replica: ejection and backoff.
#pragma once

#include "hickoryshore/base/time.h"

namespace hickoryshore {

/// What a replica's results say of its health. A replica that failed several times in a row is ejected: it gets no
/// first attempts until a probe succeeds or its time is over. One that sheds is left alone for a short while.
struct ReplicaHealth
{
    int consecutiveFailures = 0;
    int consecutiveEjections = 0; ///< In a row, without a success between them.
    Instant ejectedUntil;
    int consecutiveSheds = 0;
    Instant backoffUntil;
    double refusalRate = 0.0; ///< Share of the recent attempts that failed or were shed, 0 to 1.

    void countSuccess(Instant now);

    /// Returns whether the replica is ejected by this failure.
    bool countFailure(Instant now);

    /// The random share, 0 to 1, spreads the ends of the backoffs of several owners.
    void countShed(Instant now, double randomShare);

    bool isEjected(Instant now) const;
    bool isBackingOff(Instant now) const;
};

} // namespace hickoryshore
