// Rate limiter that permits bursts.
#pragma once

#include "hickoryshore/base/time.h"

#include <algorithm>

namespace hickoryshore {

/// Holds up to `capacity` tokens and gains `perSecond` of them each second. It starts full.
class TokenBucket
{
public:
    TokenBucket(double capacity, double perSecond) : capacity(capacity), perSecond(perSecond), tokens(capacity)
    { }

    /// Refills the bucket and returns the tokens available now.
    double available(Instant now)
    {
        const double seconds = std::chrono::duration<double>(now - this->refilled).count();
        this->tokens = std::min(this->capacity, this->tokens + std::max(0.0, seconds) * this->perSecond);
        this->refilled = std::max(this->refilled, now);
        return this->tokens;
    }

    /// Removes `count` available tokens.
    void take(double count)
    {
        this->tokens -= count;
    }

private:
    double capacity;
    double perSecond;
    double tokens;
    Instant refilled;
};

} // namespace hickoryshore
