// The timers of one scheduler, ordered by due time.
#pragma once

#include "hickoryshore/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

namespace hickoryshore {

/// What to do when a timer is due. Timers that are due at the same instant run in this order.
enum class TimerKind {
    Deadline, ///< A sub-request's deadline.
    Release, ///< Release the slot that a cancelled attempt still holds.
    Hedge, ///< A hedge for a sub-request is due or becomes urgent.
    ReplicaUsable, ///< A replica's backoff or ejection ends.
    QueueCheck, ///< A replica became unusable: answer sub-requests that can no longer be served.
};

/// A timer. Depending on the kind, the id is that of a sub-request, an attempt or a replica.
struct Timer
{
    Instant due;
    TimerKind kind = TimerKind::Deadline;
    std::uint64_t id = 0;

    auto operator<=>(const Timer &) const = default;
};

/// A sorted set of timers. Adding, removing and taking a timer cost O(log n).
///
///     timers.add({deadline, TimerKind::Deadline, subRequest.id.value});
///     while (const auto timer = timers.takeDue(now)) { ... }
class TimerQueue
{
public:
    void add(const Timer &timer);

    /// Does nothing if the timer is not in the queue.
    void remove(const Timer &timer);

    /// Removes and returns the first timer that is due, or returns std::nullopt if none is due.
    std::optional<Timer> takeDue(Instant now);

    /// Returns when the first timer is due, or std::nullopt if there are no timers.
    std::optional<Instant> next() const;

private:
    std::set<Timer> timers;
};

} // namespace hickoryshore
