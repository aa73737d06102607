#include "hickoryshore/clock/clock.h"

#include <ctime>

namespace hickoryshore {

Instant monotonicNow()
{
    // Not CLOCK_MONOTONIC: that stands still while the machine is suspended, and deadlines and leases do not.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime{std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

} // namespace hickoryshore
