#include "hickoryshore/shard/drain_state.h"

namespace hickoryshore {

namespace {

/// How long a drain mark is valid after the reply that carried it.
constexpr Duration drainMarkLifetime = std::chrono::seconds(30);

} // namespace

void DrainState::mark(Instant now)
{
    this->markedUntil = now + drainMarkLifetime;
}

void DrainState::clearMark()
{
    this->markedUntil = Instant{};
}

bool DrainState::isDraining(Instant now) const
{
    return this->configured || this->signalled || this->markedUntil > now;
}

} // namespace hickoryshore
