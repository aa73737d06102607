#include "hickoryshore/shard/timer_queue.h"

namespace hickoryshore {

void TimerQueue::add(const Timer &timer)
{
    this->timers.insert(timer);
}

void TimerQueue::remove(const Timer &timer)
{
    this->timers.erase(timer);
}

std::optional<Timer> TimerQueue::takeDue(Instant now)
{
    if (this->timers.empty() || this->timers.begin()->due > now) {
        return std::nullopt;
    }
    return this->timers.extract(this->timers.begin()).value();
}

std::optional<Instant> TimerQueue::next() const
{
    if (this->timers.empty()) {
        return std::nullopt;
    }
    return this->timers.begin()->due;
}

} // namespace hickoryshore
