#include "hickoryshore/shutdown/shutdown_state.h"

#include <algorithm>
#include <stdexcept>

namespace hickoryshore {

namespace {

// How often to check whether the last requests have finished.
constexpr Duration drainCheckInterval = std::chrono::milliseconds(20);

} // namespace

std::string_view shutdownPhaseName(ShutdownPhase phase)
{
    switch (phase) {
    case ShutdownPhase::Serving:
        return "serving";
    case ShutdownPhase::Leaving:
        return "leaving";
    case ShutdownPhase::Lingering:
        return "lingering";
    case ShutdownPhase::Refusing:
        return "refusing";
    case ShutdownPhase::Exiting:
        return "exiting";
    }
    return "unknown";
}

ShutdownState::ShutdownState(ShutdownSettings settings) : settings(settings)
{
    const Duration minShutdownTime = settings.leaveGossipTime + settings.entryPointLifetime + settings.refusePeriod;
    if (settings.maxShutdownTime < minShutdownTime) {
        throw std::invalid_argument("the longest shutdown ends before the callers' answers expire");
    }
}

void ShutdownState::beginLeave(Instant now, std::vector<ShutdownAction> &actions)
{
    if (this->currentPhase != ShutdownPhase::Serving) {
        return;
    }
    this->leftAt = now;
    this->currentPhase = ShutdownPhase::Leaving;
    actions.emplace_back(AnnounceLeavingAction{});
    actions.emplace_back(HandOverShardsAction{});
}

void ShutdownState::shardsHandedOver()
{
    if (this->currentPhase == ShutdownPhase::Leaving) {
        this->currentPhase = ShutdownPhase::Lingering;
    }
}

void ShutdownState::onTimer(Instant now, std::size_t inFlight, std::vector<ShutdownAction> &actions)
{
    if (this->currentPhase == ShutdownPhase::Leaving && now >= this->handOverDeadline()) {
        this->currentPhase = ShutdownPhase::Lingering;
    }
    if (this->currentPhase == ShutdownPhase::Lingering && now >= *this->answersExpire()) {
        this->currentPhase = ShutdownPhase::Refusing;
        actions.emplace_back(RefuseQueriesAction{});
    }
    if (this->currentPhase != ShutdownPhase::Refusing) {
        return;
    }
    const bool drained = inFlight == 0 && now >= *this->answersExpire() + this->settings.refusePeriod;
    if (drained || now >= this->exitDeadline()) {
        this->currentPhase = ShutdownPhase::Exiting;
        actions.emplace_back(ExitAction{inFlight});
    }
}

std::optional<Instant> ShutdownState::nextTimer(Instant now) const
{
    switch (this->currentPhase) {
    case ShutdownPhase::Serving:
    case ShutdownPhase::Exiting:
        return std::nullopt;
    case ShutdownPhase::Leaving:
        return this->handOverDeadline();
    case ShutdownPhase::Lingering:
        return this->answersExpire();
    case ShutdownPhase::Refusing:
        break;
    }
    const Instant drained = *this->answersExpire() + this->settings.refusePeriod;
    return std::min(this->exitDeadline(), std::max(drained, now + drainCheckInterval));
}

Instant ShutdownState::exitDeadline() const
{
    return this->leftAt + this->settings.maxShutdownTime;
}

Instant ShutdownState::handOverDeadline() const
{
    return std::min(this->exitDeadline(), this->leftAt + this->settings.handOverTimeout);
}

ShutdownPhase ShutdownState::phase() const
{
    return this->currentPhase;
}

bool ShutdownState::acceptsQueries() const
{
    return this->currentPhase < ShutdownPhase::Refusing;
}

std::optional<Instant> ShutdownState::answersExpire() const
{
    if (this->currentPhase == ShutdownPhase::Serving) {
        return std::nullopt;
    }
    return this->leftAt + this->settings.leaveGossipTime + this->settings.entryPointLifetime;
}

} // namespace hickoryshore
