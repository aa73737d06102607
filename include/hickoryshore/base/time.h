// Time as the decision modules see it: values that are passed in, never read from a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace hickoryshore {

/// A span of time in whole microseconds.
using Duration = std::chrono::microseconds;

/// Names the monotonic time line of one process. It has no now(): the callers of the decision functions pass the
/// time in, so that tests and benchmarks can run the same code in virtual time.
struct MonotonicTimeline
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTimeline>;
    static constexpr bool is_steady = true;
};

/// A point on the monotonic time line of one process. It has no meaning in another process.
using Instant = MonotonicTimeline::time_point;

/// Wall-clock time in milliseconds since 1970-01-01 UTC; used only where it crosses processes.
struct WallTime
{
    std::int64_t milliseconds = 0;

    auto operator<=>(const WallTime &) const = default;
};

/// Returns the duration in milliseconds, rounded up, as the protocols carry it.
constexpr std::int64_t ceilMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

} // namespace hickoryshore
