#include "hickoryshore/dispatch/aggregator_table.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

/// Assumed round-trip times until a call has measured one.
constexpr Duration initialNearRoundTripTime = std::chrono::milliseconds(3);
constexpr Duration initialFarRoundTripTime = std::chrono::milliseconds(20);
/// The smoothed round-trip time is a moving average; one call has the weight 1 / divisor.
constexpr int roundTripTimeDivisor = 8;

} // namespace

void AggregatorTable::setCandidates(Instant now, std::vector<AggregatorCandidate> newCandidates)
{
    this->candidates = std::move(newCandidates);
    for (const AggregatorCandidate &candidate : this->candidates) {
        AggregatorState &state = this->states[candidate.vm];
        if (std::exchange(state.processId, candidate.processId) != candidate.processId) {
            state.avoidedUntil = now + warmUp;
        }
    }
    std::erase_if(this->states, [this](const auto &entry) {
        return entry.second.due.empty()
            && std::ranges::find(this->candidates, entry.first, &AggregatorCandidate::vm) == this->candidates.end();
    });
}

DataCentreSet AggregatorTable::dataCentres(Instant now, const RouteId &route) const
{
    DataCentreSet dataCentres = 0;
    std::array<std::size_t, maxDataCentres> considered{};
    for (const AggregatorCandidate &candidate : this->candidates) {
        const DataCentreSet bit = dataCentreBit(candidate.dataCentreIndex);
        if (bit == 0 || (dataCentres & bit) != 0 || this->isAvoided(candidate.vm, now)) {
            continue;
        }
        std::size_t &count = considered[static_cast<std::size_t>(candidate.dataCentreIndex)];
        if (count < maxUsedPerDataCentre && !this->refuses(candidate.vm, now, route)) {
            dataCentres |= bit;
        }
        ++count;
    }
    return dataCentres;
}

DataCentreSet AggregatorTable::nearDataCentres() const
{
    DataCentreSet dataCentres = 0;
    for (const AggregatorCandidate &candidate : this->candidates) {
        dataCentres |= candidate.near ? dataCentreBit(candidate.dataCentreIndex) : 0;
    }
    return dataCentres;
}

std::optional<AggregatorCandidate> AggregatorTable::choose(Instant now,
                                                           DataCentreIndex dataCentreIndex,
                                                           const RouteId &route) const
{
    const AggregatorCandidate *best = nullptr;
    std::size_t minInFlight = 0;
    std::size_t considered = 0;
    for (const AggregatorCandidate &candidate : this->candidates) {
        if (candidate.dataCentreIndex != dataCentreIndex || considered == maxUsedPerDataCentre
            || this->isAvoided(candidate.vm, now)) {
            continue;
        }
        // One that refuses isn't replaced by the next candidate, or each request would ask another VM in vain.
        ++considered;
        if (this->refuses(candidate.vm, now, route)) {
            continue;
        }
        const auto found = this->states.find(candidate.vm);
        const std::size_t inFlight = found == this->states.end() ? 0 : found->second.due.size();
        if (best == nullptr || inFlight < minInFlight) {
            best = &candidate;
            minInFlight = inFlight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool AggregatorTable::isAvoided(const VmId &vm, Instant now) const
{
    const auto found = this->states.find(vm);
    if (found == this->states.end()) {
        return false;
    }
    const AggregatorState &state = found->second;
    const bool overdue = !state.due.empty() && *state.due.begin() + lateAnswerThreshold < now;
    return overdue || state.avoidedUntil > now;
}

bool AggregatorTable::refuses(const VmId &vm, Instant now, const RouteId &route) const
{
    const auto found = this->states.find(vm);
    if (found == this->states.end()) {
        return false;
    }
    const auto refusal = found->second.refusesUntil.find(route);
    return refusal != found->second.refusesUntil.end() && refusal->second > now;
}

void AggregatorTable::recordRefusal(Instant now, const VmId &vm, const RouteId &route)
{
    auto &refusals = this->states[vm].refusesUntil;
    std::erase_if(refusals, [now](const auto &refusal) {
        return refusal.second <= now;
    });
    refusals[route] = now + refusalPause;
}

void AggregatorTable::removeCall(const VmId &vm, Instant due)
{
    std::multiset<Instant> &calls = this->states[vm].due;
    const auto found = calls.find(due);
    if (found != calls.end()) {
        calls.erase(found);
    }
}

void AggregatorTable::countSent(const VmId &vm, Instant due)
{
    this->states[vm].due.insert(due);
}

void AggregatorTable::countEnd(Instant now, const VmId &vm, Instant due, const AggregatorEnd &end)
{
    this->removeCall(vm, due);
    if (!end.answered || now > due + lateAnswerThreshold) {
        this->states[vm].avoidedUntil = now + failurePause;
        return;
    }
    if (end.refusedRoute.has_value()) {
        this->recordRefusal(now, vm, *end.refusedRoute);
    }
    const auto found = std::ranges::find(this->candidates, vm, &AggregatorCandidate::vm);
    if (found == this->candidates.end() || dataCentreBit(found->dataCentreIndex) == 0) {
        return;
    }
    std::optional<Duration> &smoothed = this->roundTripTimes[static_cast<std::size_t>(found->dataCentreIndex)];
    const Duration before = smoothed.value_or(end.roundTripTime);
    smoothed = before + (end.roundTripTime - before) / roundTripTimeDivisor;
}

void AggregatorTable::countDropped(const VmId &vm, Instant due)
{
    this->removeCall(vm, due);
}

Duration AggregatorTable::roundTripTime(DataCentreIndex dataCentreIndex) const
{
    if (dataCentreBit(dataCentreIndex) != 0
        && this->roundTripTimes[static_cast<std::size_t>(dataCentreIndex)].has_value()) {
        return *this->roundTripTimes[static_cast<std::size_t>(dataCentreIndex)];
    }
    return (this->nearDataCentres() & dataCentreBit(dataCentreIndex)) != 0 ? initialNearRoundTripTime
                                                                           : initialFarRoundTripTime;
}

} // namespace hickoryshore
