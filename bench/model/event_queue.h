// An event queue in virtual time. It is the only clock of the policy bench.
#pragma once

#include "hickoryshore/base/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace hickoryshore::bench {

/// Runs events in order of time. Events of the same time run in the order in which they were added.
///
///     EventQueue queue;
///     queue.after(5ms, [] { ... });
///     queue.runUntil(Instant(1s));
class EventQueue
{
public:
    using Event = std::function<void()>;

    Instant now() const
    {
        return this->current;
    }

    /// Adds an event. A time in the past is taken as the current time.
    void at(Instant when, Event event)
    {
        this->events.push_back({std::max(when, this->current), ++this->lastSequence, std::move(event)});
        std::ranges::push_heap(this->events, laterThan);
    }

    void after(Duration delay, Event event)
    {
        this->at(this->current + delay, std::move(event));
    }

    /// Runs all events up to and including `end`, also those that are added meanwhile, and advances the clock to `end`.
    void runUntil(Instant end)
    {
        while (!this->events.empty() && this->events.front().when <= end) {
            std::ranges::pop_heap(this->events, laterThan);
            const Entry next = std::move(this->events.back());
            this->events.pop_back();
            this->current = next.when;
            next.event();
        }
        this->current = end;
    }

private:
    struct Entry
    {
        Instant when;
        std::uint64_t sequence = 0;
        Event event;
    };

    static bool laterThan(const Entry &left, const Entry &right)
    {
        return left.when != right.when ? left.when > right.when : left.sequence > right.sequence;
    }

    std::vector<Entry> events;
    Instant current;
    std::uint64_t lastSequence = 0;
};

} // namespace hickoryshore::bench
